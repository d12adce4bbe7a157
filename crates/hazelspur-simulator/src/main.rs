//! The laboratory's command line.

use clap::{Args, Parser, Subcommand};
use comfy_table::{Table, presets};
use hazelspur::Duration;
use hazelspur_simulator::on_all_cores;
use hazelspur_simulator::studies::who_is_here::{Case, Row, play};
use hazelspur_simulator::ways::Way;
use hazelspur_simulator::ways::beats::Beats;
use hazelspur_simulator::ways::library::Library;
use hazelspur_simulator::ways::own::Own;
use std::path::PathBuf;
use std::time::Instant;

/// What a run holds is counted.
#[global_allocator]
static HEAP: hazelspur_simulator::heap::Counting = hazelspur_simulator::heap::Counting;

#[derive(Parser)]
#[command(name = "hazelspur-simulator", version, about = "Many servers in virtual time")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Compares the ways of knowing who is here.
    WhoIsHere(WhoIsHere),
    /// The real decision modules of many servers, at several sizes.
    Together(Together),
    /// What each role needs at the size in a file, beside its budgets: status 1 where one is passed.
    Capacity(hazelspur_simulator::capacity::command::Asked),
    /// The hard cases of choices that add up, under each way of choosing.
    Choices(Choices),
    /// Shares of one limit through troubles, without the servers' other work.
    Shares {
        #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000")]
        sizes: Vec<usize>,
        /// Seeds from 1 on.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// What the machines cost a server as the fleet grows, in two regions of three zones.
    Scale(Scale),
    /// What choices that all make alike come to in sum: reports, subsets, turns.
    Sums {
        #[arg(long, value_delimiter = ',', default_value = "1,10,100,300,1000")]
        sizes: Vec<usize>,
        /// Writes what the capacity command reads of it.
        #[arg(long, requires = "text")]
        json: Option<std::path::PathBuf>,
        /// The commit that this is made on.
        #[arg(long)]
        text: Option<String>,
    },
    /// One real server's own path: what it adds to a request, and what it costs, by the size of its settings.
    Path(hazelspur_simulator::path::command::Asked),
}

#[derive(Args)]
struct Scale {
    #[arg(long, value_delimiter = ',', default_value = "100,200,400,810,1620")]
    sizes: Vec<usize>,
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    /// Of members, joint (members, signals and shares of one limit together), shares (by themselves).
    #[arg(long, value_delimiter = ',', default_value = "members,joint,shares")]
    of: Vec<String>,
    /// Of storm-and-rest, zone, regions, bunch; shares have troubles of their own.
    #[arg(long, value_delimiter = ',', default_value = "storm-and-rest,zone,regions,bunch")]
    cases: Vec<String>,
    /// Limits, for shares by themselves.
    #[arg(long, value_delimiter = ',', default_value = "1,16")]
    limits: Vec<usize>,
    /// One way, from region to region.
    #[arg(long, default_value_t = 40)]
    region_lag_ms: u64,
    /// The share of datagrams lost from region to region.
    #[arg(long, default_value_t = 0.0)]
    region_loss: f64,
    /// The share of all datagrams lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Traffic is counted for so long in each case.
    #[arg(long, default_value_t = 30)]
    window_s: u64,
    /// No run is begun after so many minutes; what was left out is said. A run that was begun is ended.
    #[arg(long, default_value_t = 30.0)]
    minutes: f64,
    /// Writes all points there.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Keeps what the file has of other points.
    #[arg(long, requires = "json")]
    append: bool,
    /// Runs played at once. What CPU a run costs grows with them, since they share the machine's caches.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get()))]
    threads: usize,
}

#[derive(Args)]
struct Choices {
    #[arg(long, value_delimiter = ',', default_value = "100")]
    sizes: Vec<usize>,
    /// Seeds from 1 on.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Only the cases whose name has this in it.
    #[arg(long, default_value = "")]
    case: String,
    /// Only the ways whose name has this in it.
    #[arg(long, default_value = "")]
    way: String,
    /// The part of shared limits that is each server's for good.
    #[arg(long, default_value_t = 0.2)]
    floor: f64,
    #[arg(long)]
    by_second: bool,
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get()))]
    threads: usize,
}

#[derive(Args)]
struct Together {
    #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000")]
    sizes: Vec<usize>,
    /// Seeds from 1 on.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Demand over what the cores can do.
    #[arg(long, default_value_t = 0.7)]
    load: f64,
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Nobody answers at the ledger from 10 s on, for so many ms.
    #[arg(long, default_value_t = 0)]
    ledger_down_ms: u64,
    /// Prints what was served in each second too.
    #[arg(long)]
    by_second: bool,
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get()))]
    threads: usize,
}

#[derive(Args)]
struct WhoIsHere {
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_value = "10,100,300")]
    sizes: Vec<usize>,
    /// Seeds from 1 on.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Minutes of stops and loss.
    #[arg(long, default_value_t = 10)]
    minutes: u64,
    /// The share of datagrams that is lost then.
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// How long each stop lasts, in ms.
    #[arg(long, default_value_t = 2000)]
    stop_ms: u64,
    /// Only the ways whose name has this in it.
    #[arg(long, default_value = "")]
    way: String,
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get()))]
    threads: usize,
}

fn main() {
    match Line::parse().command {
        Command::WhoIsHere(asked) => who_is_here(&asked),
        Command::Together(asked) => together(&asked),
        Command::Capacity(asked) => std::process::exit(hazelspur_simulator::capacity::command::run(&asked)),
        Command::Choices(asked) => choices(&asked),
        Command::Shares { sizes, seeds } => shares(&sizes, seeds),
        Command::Scale(asked) => {
            if let Err(why) = scale(&asked) {
                eprintln!("{why}");
                std::process::exit(1);
            }
        }
        Command::Sums { sizes, json, text } => {
            sums(&sizes);
            if let Some((file, text)) = json.zip(text) {
                let study = hazelspur_simulator::studies::sums::study(&sizes, &text);
                if let Err(why) = std::fs::write(&file, study) {
                    eprintln!("{}: {why}", file.display());
                    std::process::exit(1);
                }
            }
        }
        Command::Path(asked) => {
            if let Err(why) = hazelspur_simulator::path::command::run(&asked) {
                eprintln!("{why:#}");
                std::process::exit(2);
            }
        }
    }
}

fn scale(asked: &Scale) -> Result<(), String> {
    use hazelspur_simulator::studies::scale::points::{Point, Study, lines};
    use hazelspur_simulator::studies::scale::{
        Between, Case, Machine, SharesCase, Situation, play, play_shares,
    };
    use hazelspur_simulator::studies::shares::Trouble;
    enum Run {
        Machine(Case),
        Shares(SharesCase),
    }
    let known = |name: &String, of: &[&str], flag: &str| match of.contains(&name.as_str()) {
        true => Ok(()),
        false => Err(format!("--{flag}: {name} is none of {}", of.join(", "))),
    };
    let machines: Vec<&str> = Machine::ALL.iter().map(|m| m.name()).chain(["shares"]).collect();
    let situations: Vec<&str> = Situation::ALL.iter().map(|s| s.name()).collect();
    asked.of.iter().try_for_each(|name| known(name, &machines, "of"))?;
    asked.cases.iter().try_for_each(|name| known(name, &situations, "cases"))?;
    let lag = Duration::from_ms(asked.region_lag_ms);
    let between = Between { lag, region_loss: asked.region_loss, loss: asked.loss };
    let window = Duration::from_ms(asked.window_s.max(1) * 1000);
    let mut runs = Vec::new();
    for (size, seed) in asked.sizes.iter().flat_map(|size| asked.seeds.iter().map(|seed| (*size, *seed))) {
        for machine in Machine::ALL.into_iter().filter(|m| asked.of.iter().any(|name| name == m.name())) {
            let wanted = |s: &Situation| asked.cases.iter().any(|name| name == s.name());
            for situation in Situation::ALL.into_iter().filter(wanted) {
                runs.push(Run::Machine(Case { machine, situation, size, seed, between, window }));
            }
        }
        if asked.of.iter().any(|name| name == "shares") {
            for (limits, trouble) in
                asked.limits.iter().flat_map(|limits| Trouble::OF_SCALE.map(|trouble| (*limits, trouble)))
            {
                runs.push(Run::Shares(SharesCase { servers: size, limits, trouble, seed, between }));
            }
        }
    }
    let began = Instant::now();
    let outcomes = on_all_cores(&runs, asked.threads, |run| {
        if began.elapsed().as_secs_f64() > asked.minutes * 60.0 {
            return None;
        }
        let from = Instant::now();
        let points = match run {
            Run::Machine(case) => play(case),
            Run::Shares(case) => play_shares(case),
        };
        Some((points, from.elapsed().as_secs_f64()))
    });
    for (run, outcome) in runs.iter().zip(&outcomes) {
        let what = match run {
            Run::Machine(case) => {
                format!("{} {} {} seed {}", case.machine.name(), case.situation.name(), case.size, case.seed)
            }
            Run::Shares(case) => {
                let (limits, trouble) = (case.limits, case.trouble.name());
                format!("shares of {limits}, {trouble}, {} seed {}", case.servers, case.seed)
            }
        };
        match outcome {
            Some((_, secs)) => eprintln!("{what}: played in {secs:.1} s"),
            None => eprintln!("{what}: NOT RUN, the time was over"),
        }
    }
    let points: Vec<Point> = outcomes.into_iter().flatten().flat_map(|(points, _)| points).collect();
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    let head = ["figure", "case", "unit"].map(str::to_string).into_iter();
    table.set_header(head.chain(asked.sizes.iter().map(|size| format!("{size} servers"))));
    for line in lines(&points, &asked.sizes) {
        let cells = line.cells.iter().map(|cell| match cell {
            Some((least, mean, most)) if least < most => format!("{mean:.1} ({least:.1} to {most:.1})"),
            Some((_, mean, _)) => format!("{mean:.1}"),
            None => "not measured".into(),
        });
        table.add_row([line.figure, line.case, line.unit].into_iter().chain(cells));
    }
    println!("{table}");
    if let Some(file) = &asked.json {
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        let line: Vec<String> = std::env::args().skip(1).collect();
        let mut study = Study {
            study: "scale".into(),
            command: format!("cargo run --release -p hazelspur-simulator -- {}", line.join(" ")),
            text: text_of_the_tree(),
            machine: format!("{cores} cores, simulated, {} runs at once", asked.threads),
            points,
        };
        if asked.append {
            study = study.append_to(file)?;
        }
        study.write(file)?;
    }
    Ok(())
}

/// The short hash of the text that is checked out here, with a mark where it was changed.
fn text_of_the_tree() -> String {
    let asked = std::process::Command::new("git").args(["describe", "--always", "--dirty"]).output();
    let said = asked.ok().filter(|out| out.status.success()).map(|out| out.stdout).unwrap_or_default();
    let said = String::from_utf8_lossy(&said).trim().to_string();
    if said.is_empty() { "not known".into() } else { said }
}

/// Mean and the half width of a 95% interval, by Student's t for few.
fn interval(of: &[f64]) -> (f64, f64) {
    const T: [f64; 9] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26];
    let n = of.len().max(1) as f64;
    let mean = of.iter().sum::<f64>() / n;
    let spread = of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
    let t = T.get(of.len().saturating_sub(2)).copied().unwrap_or(2.09);
    (mean, if of.len() < 2 { f64::NAN } else { t * (spread / n).sqrt() })
}

fn choices(asked: &Choices) {
    use hazelspur_simulator::drive::Way;
    use hazelspur_simulator::studies::choices::{Case, Hard, Outcome, play};
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "case",
        "servers",
        "way",
        "service",
        "more than apart",
        "of the way to the oracle",
        "worst second",
        "tries an op",
        "most calls, of slots",
        "vain tries/s",
        "in force, of slots",
        "datagrams/s",
        "server-seconds/s",
    ]);
    for size in &asked.sizes {
        for hard in Hard::ALL.into_iter().filter(|hard| hard.name().contains(&asked.case)) {
            let mut apart: Vec<f64> = Vec::new();
            let mut rows: Vec<(Way, Vec<Outcome>, f64)> = Vec::new();
            for way in Way::ALL.into_iter().filter(|way| way.name().contains(&asked.way)) {
                let cases: Vec<Case> = (1..=asked.seeds)
                    .map(|seed| Case { hard, way, servers: *size, seed, floor: asked.floor })
                    .collect();
                let began = Instant::now();
                let all = on_all_cores(&cases, asked.threads, play);
                let speed = 40.0 * (*size as u64 * asked.seeds) as f64 / began.elapsed().as_secs_f64();
                if way == Way::Apart {
                    apart = all.iter().map(Outcome::service).collect();
                }
                if asked.by_second {
                    println!("{} {size} {}: {:?}", hard.name(), way.name(), all[0].figures.by_second);
                }
                rows.push((way, all, speed));
            }
            let mean = |all: &[Outcome]| all.iter().map(Outcome::service).sum::<f64>() / all.len() as f64;
            let oracle = rows.iter().find(|(way, ..)| *way == Way::Oracle).map(|(_, all, _)| mean(all));
            for (way, all, speed) in &rows {
                let of =
                    |figure: &dyn Fn(&Outcome) -> f64| all.iter().map(figure).sum::<f64>() / all.len() as f64;
                let gains: Vec<f64> = all.iter().zip(&apart).map(|(o, apart)| o.service() - apart).collect();
                let (gain, around) = interval(&gains);
                let gap = oracle.map_or(f64::NAN, |oracle| oracle - interval(&apart).0);
                let part = if gap.abs() < 0.005 { "-".into() } else { format!("{:.2}", gain / gap) };
                table.add_row([
                    hard.name().to_string(),
                    size.to_string(),
                    way.name().to_string(),
                    format!("{:.3}", mean(all)),
                    if apart.is_empty() { "-".into() } else { format!("{gain:+.3} ± {around:.3}") },
                    part,
                    format!("{:.2}", of(&|o| o.worst_second())),
                    format!("{:.2}", of(&|o| o.figures.tries as f64 / o.figures.asked.max(1) as f64)),
                    format!("{:.2}", of(&|o| o.figures.most_calls as f64 / o.slots)),
                    format!("{:.0}", of(&|o| o.figures.vain as f64 / 24.0)),
                    format!("{:.2}", all.iter().map(|o| o.most_in_force).fold(0.0, f64::max)),
                    format!("{:.1}", of(&|o| o.figures.datagrams as f64 / 24.0 / o.servers as f64)),
                    format!("{speed:.0}"),
                ]);
            }
        }
    }
    println!("{table}");
}

fn shares(sizes: &[usize], seeds: u64) {
    use hazelspur_simulator::studies::shares::{Case, Outcome, Trouble, play};
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "trouble",
        "servers",
        "most in force, of the limit",
        "in use at last",
        "least over fair",
        "Jain's index",
        "worst dip",
        "settled after s, worst",
        "messages/s at the divider",
    ]);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    for size in sizes {
        for trouble in Trouble::ALL {
            let cases: Vec<Case> = (1..=seeds)
                .map(|seed| Case { servers: *size, trouble, seed, limits: 1, between: None })
                .collect();
            let all = on_all_cores(&cases, threads, play);
            let mean =
                |of: &dyn Fn(&Outcome) -> f64| all.iter().map(of).sum::<f64>() / all.len().max(1) as f64;
            let most = |of: &dyn Fn(&Outcome) -> f64| all.iter().map(of).fold(0.0, f64::max);
            let least = |of: &dyn Fn(&Outcome) -> f64| all.iter().map(of).fold(f64::INFINITY, f64::min);
            table.add_row([
                trouble.name().to_string(),
                size.to_string(),
                format!("{:.4}", most(&|o| o.most)),
                format!("{:.3}", mean(&|o| o.used)),
                format!("{:.2}", least(&|o| o.least)),
                format!("{:.3}", mean(&|o| o.jain)),
                format!("{:.2}", least(&|o| o.dip)),
                format!("{:.1}", most(&|o| o.settled_s)),
                format!("{:.0}", mean(&|o| o.divider)),
            ]);
        }
    }
    println!("{table}");
}

fn sums(sizes: &[usize]) {
    use hazelspur_simulator::studies::sums::{Reports, Subsets, reports, subsets, turns};
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(["servers", "reports", "most in 20 ms over the mean", "longest without a place, ms"]);
    for size in sizes {
        for (how, name) in [(Reports::InStep, "in step"), (Reports::Spread, "spread")] {
            let all: Vec<_> = (1..=20).map(|seed| reports(*size, how, seed)).collect();
            let peak = all.iter().map(|(peak, _)| peak).sum::<f64>() / all.len() as f64;
            let longest = all.iter().map(|(_, longest)| longest.us() / 1000).max().unwrap_or(0);
            table.add_row([size.to_string(), name.into(), format!("{peak:.1}"), longest.to_string()]);
        }
    }
    println!("{table}\n");
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "servers",
        "4 of them by",
        "least load",
        "most load",
        "choices that move when one goes",
        "that differ between pictures a tenth apart",
    ]);
    for size in sizes.iter().filter(|size| **size >= 10) {
        for way in Subsets::ALL {
            let (least, most, moved, differ) = subsets(*size, 4, way, 1);
            let cells = [least, most, moved, differ].map(|figure| format!("{figure:.3}"));
            table.add_row([vec![size.to_string(), way.name().into()], cells.to_vec()].concat());
        }
    }
    println!("{table}\n");
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "servers",
        "turns, 100 a second wanted",
        "most in 100 ms over the mean",
        "longest wait, ms",
    ]);
    for size in sizes {
        let (peak, wait) = turns(*size, 100.0, Duration::from_ms(2000));
        let name = "slots of a period of 2 s at most";
        table.add_row([size.to_string(), name.into(), format!("{peak:.1}"), (wait.us() / 1000).to_string()]);
    }
    println!("{table}");
}

fn together(asked: &Together) {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "servers",
        "service",
        "refused",
        "most calls at once, of slots",
        "server-seconds a second",
    ]);
    for servers in &asked.sizes {
        let down = Duration::from_ms(asked.ledger_down_ms);
        let case = |seed| hazelspur_simulator::studies::together::Case {
            servers: *servers,
            seed,
            load: asked.load,
            seconds: asked.seconds,
            ledger_down: down,
        };
        let cases: Vec<_> = (1..=asked.seeds).map(case).collect();
        let began = Instant::now();
        let all = on_all_cores(&cases, asked.threads, hazelspur_simulator::studies::together::play);
        let speed = (asked.seconds * asked.seeds) as f64 * *servers as f64 / began.elapsed().as_secs_f64();
        let mean = |of: &dyn Fn(&hazelspur_simulator::drive::Figures) -> f64| {
            all.iter().map(of).sum::<f64>() / all.len().max(1) as f64
        };
        if let Some(first) = all.first().filter(|_| asked.by_second) {
            println!("{servers} servers, seed 1, served in each second: {:?}", first.by_second);
        }
        let slots = 8.0 * *servers as f64;
        table.add_row([
            servers.to_string(),
            format!("{:.3}", mean(&|f| f.service())),
            format!("{:.3}", mean(&|f| f.refused as f64 / f.asked.max(1) as f64)),
            format!("{:.2}", mean(&|f| f.most_calls as f64 / slots)),
            format!("{speed:.0}"),
        ]);
    }
    println!("{table}");
}

fn who_is_here(asked: &WhoIsHere) {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN).set_header(Row::HEAD);
    for size in &asked.sizes {
        let rows = [rows::<Own>(asked, *size), rows::<Library>(asked, *size), rows::<Beats>(asked, *size)];
        for row in rows.into_iter().flatten() {
            table.add_row(row.cells());
        }
    }
    println!("{table}");
}

fn rows<W: Way>(asked: &WhoIsHere, size: usize) -> Option<Row> {
    if !W::NAME.contains(&asked.way) {
        return None;
    }
    let (trouble, stop) = (Duration::from_ms(asked.minutes * 60_000), Duration::from_ms(asked.stop_ms));
    let cases: Vec<Case> =
        (1..=asked.seeds).map(|seed| Case { size, seed, trouble, loss: asked.loss, stop }).collect();
    let began = Instant::now();
    let outcomes = on_all_cores(&cases, asked.threads, play::<W>);
    // Storm, rests, kills and halves take about eleven minutes besides.
    let simulated = (trouble.secs() + 660.0) * size as f64 * asked.seeds as f64;
    let speed = simulated / began.elapsed().as_secs_f64();
    eprintln!("{}, {size} servers: {speed:.0} server-seconds a second", W::NAME);
    Some(Row { way: W::NAME, size, outcomes })
}
