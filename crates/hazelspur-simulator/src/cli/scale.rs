//! The subcommand `scale`: measures what coordination costs a server as the fleet grows, in two regions of
//! three zones each. It prints a table, and writes the points to a file if one is named.

use clap::Args;
use comfy_table::{Table, presets};
use hazelspur::Duration;
use hazelspur_simulator::map_in_parallel;
use hazelspur_simulator::studies::scale::points::{Point, Study, summarize};
use hazelspur_simulator::studies::scale::{
    Case, Links, ProtocolSet, Scenario, SharesCase, run_case, run_shares_case,
};
use hazelspur_simulator::studies::shares::Fault;
use std::path::PathBuf;
use std::time::Instant;

/// Seconds in a minute.
const SECONDS_PER_MINUTE: f64 = 60.0;
/// Milliseconds in a second.
const MS_PER_SECOND: u64 = 1000;
/// Name of the part that measures quota leases by themselves.
const SHARES_PART: &str = "shares";

#[derive(Args)]
pub(crate) struct ScaleArguments {
    /// Fleet sizes, in servers.
    #[arg(long, value_delimiter = ',', default_value = "100,200,400,810,1620")]
    sizes: Vec<usize>,
    /// Seeds of the runs.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    /// Parts to measure: members (membership alone), joint (membership, load reports and quota leases of one
    /// limit), shares (quota leases alone).
    #[arg(long = "of", value_delimiter = ',', default_value = "members,joint,shares")]
    parts: Vec<String>,
    /// Scenarios to run: storm-and-rest, zone, regions, bunch. The part `shares` has faults of its own.
    #[arg(long = "cases", value_delimiter = ',', default_value = "storm-and-rest,zone,regions,bunch")]
    scenarios: Vec<String>,
    /// Numbers of shared limits, for the part `shares`.
    #[arg(long, value_delimiter = ',', default_value = "1,16")]
    limits: Vec<usize>,
    /// One-way latency from region to region, in ms.
    #[arg(long, default_value_t = 40)]
    region_lag_ms: u64,
    /// Fraction of datagrams lost from region to region.
    #[arg(long, default_value_t = 0.0)]
    region_loss: f64,
    /// Fraction of all datagrams lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Time over which traffic is counted in each phase, in seconds.
    #[arg(long, default_value_t = 30)]
    window_s: u64,
    /// Start no run after this many minutes, and report those left out. Runs that have started are finished.
    #[arg(long, default_value_t = 30.0)]
    minutes: f64,
    /// File to write all points to.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Keep the file's points that are not measured again.
    #[arg(long, requires = "json")]
    append: bool,
    /// Runs at the same time. The CPU time of a run grows with them, because they share the machine's caches.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get()))]
    threads: usize,
}

/// One run: protocols on all servers, or quota leases alone.
enum Run {
    Protocols(Case),
    Shares(SharesCase),
}

/// Points of a run, and its duration in real time.
struct RunResult {
    points: Vec<Point>,
    elapsed_s: f64,
}

impl Run {
    fn execute(&self) -> RunResult {
        let began = Instant::now();
        let points = match self {
            Self::Protocols(case) => run_case(case),
            Self::Shares(case) => run_shares_case(case),
        };
        RunResult { points, elapsed_s: began.elapsed().as_secs_f64() }
    }

    fn describe(&self) -> String {
        match self {
            Self::Protocols(Case { protocols, scenario, size, seed, .. }) => {
                format!("{} {} {size} seed {seed}", protocols.name(), scenario.name())
            }
            Self::Shares(SharesCase { limits, fault, servers, seed, .. }) => {
                format!("shares of {limits}, {}, {servers} seed {seed}", fault.name())
            }
        }
    }
}

impl ScaleArguments {
    fn measures(&self, name: &str) -> bool {
        self.parts.iter().any(|wanted| wanted == name)
    }

    fn check_names(&self) -> anyhow::Result<()> {
        let known_parts: Vec<&str> =
            ProtocolSet::ALL.iter().map(|protocols| protocols.name()).chain([SHARES_PART]).collect();
        let known_scenarios: Vec<&str> = Scenario::ALL.iter().map(|scenario| scenario.name()).collect();
        check_known("of", &self.parts, &known_parts)?;
        check_known("cases", &self.scenarios, &known_scenarios)
    }

    fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for size in &self.sizes {
            for seed in &self.seeds {
                self.add_protocol_runs(&mut runs, *size, *seed);
                if self.measures(SHARES_PART) {
                    self.add_shares_runs(&mut runs, *size, *seed);
                }
            }
        }
        runs
    }

    fn links(&self) -> Links {
        let region_latency = Duration::from_ms(self.region_lag_ms);
        Links { region_latency, region_loss: self.region_loss, loss: self.loss }
    }

    fn add_protocol_runs(&self, runs: &mut Vec<Run>, size: usize, seed: u64) {
        let links = self.links();
        let window = Duration::from_ms(self.window_s.max(1) * MS_PER_SECOND);
        for protocols in ProtocolSet::ALL.into_iter().filter(|protocols| self.measures(protocols.name())) {
            let is_wanted = |scenario: &Scenario| self.scenarios.iter().any(|name| name == scenario.name());
            for scenario in Scenario::ALL.into_iter().filter(is_wanted) {
                runs.push(Run::Protocols(Case { protocols, scenario, size, seed, links, window }));
            }
        }
    }

    fn add_shares_runs(&self, runs: &mut Vec<Run>, servers: usize, seed: u64) {
        let links = self.links();
        for limits in self.limits.iter().copied() {
            for fault in Fault::FOR_SCALE {
                runs.push(Run::Shares(SharesCase { servers, limits, fault, seed, links }));
            }
        }
    }

    fn save(&self, file: &std::path::Path, points: Vec<Point>) -> anyhow::Result<()> {
        let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let mut study = Study {
            study: "scale".into(),
            command: format!("cargo run --release -p hazelspur-simulator -- {}", arguments.join(" ")),
            revision: checked_out_revision(),
            machine: format!("{cores} cores, simulated, {} runs at once", self.threads),
            points,
        };
        if self.append {
            study = study.append_to(file)?;
        }
        Ok(study.write(file)?)
    }
}

fn check_known(flag: &str, names: &[String], known: &[&str]) -> anyhow::Result<()> {
    for name in names {
        anyhow::ensure!(
            known.contains(&name.as_str()),
            "--{flag}: unknown name {name}, expected one of {}",
            known.join(", ")
        );
    }
    Ok(())
}

/// Runs all cases that can start in time, prints a table, and writes the points if a file is named.
///
/// # Errors
/// Returns an error if a name is unknown, or the study's file cannot be read or written.
pub(crate) fn run(arguments: &ScaleArguments) -> anyhow::Result<()> {
    arguments.check_names()?;
    let runs = arguments.runs();
    let began = Instant::now();
    let outcomes = map_in_parallel(&runs, arguments.threads, |run| {
        let in_time = began.elapsed().as_secs_f64() <= arguments.minutes * SECONDS_PER_MINUTE;
        in_time.then(|| run.execute())
    });
    report_progress(&runs, &outcomes);
    let points: Vec<Point> = outcomes.into_iter().flatten().flat_map(|result| result.points).collect();
    print_points(&points, &arguments.sizes);
    match &arguments.json {
        Some(file) => arguments.save(file, points),
        None => Ok(()),
    }
}

fn report_progress(runs: &[Run], outcomes: &[Option<RunResult>]) {
    for (run, outcome) in runs.iter().zip(outcomes) {
        let description = run.describe();
        match outcome {
            Some(result) => eprintln!("{description}: played in {:.1} s", result.elapsed_s),
            None => eprintln!("{description}: NOT RUN, the time was over"),
        }
    }
}

fn print_points(points: &[Point], sizes: &[usize]) {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    let columns = ["figure", "case", "unit"].map(str::to_string).into_iter();
    table.set_header(columns.chain(sizes.iter().map(|size| format!("{size} servers"))));
    for line in summarize(points, sizes) {
        let cells = line.cells.iter().map(|cell| match cell {
            Some((min, mean, max)) if min < max => format!("{mean:.1} ({min:.1} to {max:.1})"),
            Some((_, mean, _)) => format!("{mean:.1}"),
            None => "not measured".into(),
        });
        table.add_row([line.figure, line.case, line.unit].into_iter().chain(cells));
    }
    println!("{table}");
}

/// Returns the abbreviated hash of the commit that is checked out here, marked `-dirty` if files were
/// changed.
fn checked_out_revision() -> String {
    let output = std::process::Command::new("git").args(["describe", "--always", "--dirty"]).output();
    let stdout = output.ok().filter(|out| out.status.success()).map(|out| out.stdout).unwrap_or_default();
    let revision = String::from_utf8_lossy(&stdout).trim().to_string();
    if revision.is_empty() { "not known".into() } else { revision }
}
