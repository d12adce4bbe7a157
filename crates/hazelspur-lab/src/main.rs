//! The laboratory's command line.

use clap::{Args, Parser, Subcommand};
use comfy_table::{Table, presets};
use hazelspur::Span;
use hazelspur_lab::on_all_cores;
use hazelspur_lab::studies::who_is_here::{Case, Row, play};
use hazelspur_lab::ways::Way;
use hazelspur_lab::ways::beats::Beats;
use hazelspur_lab::ways::library::Library;
use hazelspur_lab::ways::own::Own;
use std::time::Instant;

#[derive(Parser)]
#[command(name = "hazelspur-lab", version, about = "Many servers in virtual time")]
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
    }
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
        let down = Span::from_ms(asked.ledger_down_ms);
        let case = |seed| hazelspur_lab::studies::together::Case {
            servers: *servers,
            seed,
            load: asked.load,
            seconds: asked.seconds,
            ledger_down: down,
        };
        let cases: Vec<_> = (1..=asked.seeds).map(case).collect();
        let began = Instant::now();
        let all = on_all_cores(&cases, asked.threads, hazelspur_lab::studies::together::play);
        let speed = (asked.seconds * asked.seeds) as f64 * *servers as f64 / began.elapsed().as_secs_f64();
        let mean = |of: &dyn Fn(&hazelspur_lab::drive::Figures) -> f64| {
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
    let (trouble, stop) = (Span::from_ms(asked.minutes * 60_000), Span::from_ms(asked.stop_ms));
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
