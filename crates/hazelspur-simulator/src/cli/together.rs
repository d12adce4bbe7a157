//! The subcommand `together`: the real decision modules of many servers at several sizes.

use super::table::markdown_table;
use clap::Args;
use hazelspur::Duration;
use hazelspur_simulator::on_all_cores;
use hazelspur_simulator::simulation::Figures;
use hazelspur_simulator::studies::together::{Case, run_case};
use std::time::Instant;

#[derive(Args)]
pub(crate) struct TogetherArguments {
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

/// Runs the simulation at each size, and prints a table.
pub(crate) fn run(asked: &TogetherArguments) {
    let mut table = markdown_table([
        "servers",
        "service",
        "refused",
        "most calls at once, of slots",
        "server-seconds a second",
    ]);
    for servers in &asked.sizes {
        let down = Duration::from_ms(asked.ledger_down_ms);
        let case = |seed| Case {
            servers: *servers,
            seed,
            load: asked.load,
            seconds: asked.seconds,
            ledger_outage: down,
        };
        let cases: Vec<_> = (1..=asked.seeds).map(case).collect();
        let began = Instant::now();
        let all = on_all_cores(&cases, asked.threads, run_case);
        let speed = (asked.seconds * asked.seeds) as f64 * *servers as f64 / began.elapsed().as_secs_f64();
        let mean = |of: &dyn Fn(&Figures) -> f64| all.iter().map(of).sum::<f64>() / all.len().max(1) as f64;
        if let Some(first) = all.first().filter(|_| asked.by_second) {
            println!("{servers} servers, seed 1, served in each second: {:?}", first.succeeded_by_second);
        }
        let slots = 8.0 * *servers as f64;
        table.add_row([
            servers.to_string(),
            format!("{:.3}", mean(&|f| f.service())),
            format!("{:.3}", mean(&|f| f.rejected as f64 / f.requests.max(1) as f64)),
            format!("{:.2}", mean(&|f| f.max_concurrent_calls as f64 / slots)),
            format!("{speed:.0}"),
        ]);
    }
    println!("{table}");
}
