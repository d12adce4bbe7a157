//! The subcommand `together`: simulates uncoordinated servers with their real decision modules at several
//! fleet sizes, and prints a table.

use super::table::markdown_table;
use clap::Args;
use hazelspur::Duration;
use hazelspur_simulator::map_in_parallel;
use hazelspur_simulator::simulation::Figures;
use hazelspur_simulator::studies::together::{Case, run_case};
use std::time::Instant;

#[derive(Args)]
pub(crate) struct TogetherArguments {
    /// Fleet sizes, in servers.
    #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000")]
    sizes: Vec<usize>,
    /// Number of runs of each size, with the seeds from 1 on.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Demand as a fraction of the capacity of all cores.
    #[arg(long, default_value_t = 0.7)]
    load: f64,
    /// Length of each run, in virtual seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// How long the ledger is unreachable, from 10 s after the start on, in ms.
    #[arg(long, default_value_t = 0)]
    ledger_down_ms: u64,
    /// Also print how many requests succeeded in each second of the first seed.
    #[arg(long)]
    by_second: bool,
    /// Runs at the same time.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get()))]
    threads: usize,
}

/// Runs the simulation at each size, and prints a table.
pub(crate) fn run(arguments: &TogetherArguments) {
    let mut table = markdown_table([
        "servers",
        "service",
        "refused",
        "most calls at once, of slots",
        "server-seconds a second",
    ]);
    for servers in &arguments.sizes {
        let ledger_outage = Duration::from_ms(arguments.ledger_down_ms);
        let case = |seed| Case {
            servers: *servers,
            seed,
            load: arguments.load,
            seconds: arguments.seconds,
            ledger_outage,
        };
        let cases: Vec<_> = (1..=arguments.seeds).map(case).collect();
        let began = Instant::now();
        let runs = map_in_parallel(&cases, arguments.threads, run_case);
        let server_seconds_per_s =
            (arguments.seconds * arguments.seeds) as f64 * *servers as f64 / began.elapsed().as_secs_f64();
        let mean = |figure: &dyn Fn(&Figures) -> f64| {
            runs.iter().map(figure).sum::<f64>() / runs.len().max(1) as f64
        };
        if let Some(first) = runs.first().filter(|_| arguments.by_second) {
            println!("{servers} servers, seed 1, served in each second: {:?}", first.succeeded_by_second);
        }
        // Eight ledger slots for each server, as the simulation has by default.
        let slots = 8.0 * *servers as f64;
        table.add_row([
            servers.to_string(),
            format!("{:.3}", mean(&|figures| figures.success_fraction())),
            format!("{:.3}", mean(&|figures| figures.rejected as f64 / figures.requests.max(1) as f64)),
            format!("{:.2}", mean(&|figures| figures.max_concurrent_calls as f64 / slots)),
            format!("{server_seconds_per_s:.0}"),
        ]);
    }
    println!("{table}");
}
