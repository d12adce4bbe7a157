//! The subcommand `shares`: simulates quota leases of one limit under faults, without the servers' other
//! work, and prints a table.

use super::table::markdown_table;
use clap::Args;
use hazelspur_simulator::map_in_parallel;
use hazelspur_simulator::studies::shares::{Case, Fault, Outcome, run_case};

#[derive(Args)]
pub(crate) struct SharesArguments {
    /// Fleet sizes, in servers.
    #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000")]
    sizes: Vec<usize>,
    /// Number of runs of each kind, with the seeds from 1 on.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

/// Runs each fault at each size, and prints a table.
pub(crate) fn run(arguments: &SharesArguments) {
    let mut table = markdown_table([
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
    for size in &arguments.sizes {
        for fault in Fault::ALL {
            let cases: Vec<Case> = (1..=arguments.seeds)
                .map(|seed| Case { servers: *size, fault, seed, limits: 1, links: None })
                .collect();
            let outcomes = map_in_parallel(&cases, threads, run_case);
            let mean = |figure: &dyn Fn(&Outcome) -> f64| {
                outcomes.iter().map(figure).sum::<f64>() / outcomes.len().max(1) as f64
            };
            let max = |figure: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(figure).fold(0.0, f64::max);
            let min =
                |figure: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(figure).fold(f64::INFINITY, f64::min);
            table.add_row([
                fault.name().to_string(),
                size.to_string(),
                format!("{:.4}", max(&|o| o.max_in_force)),
                format!("{:.3}", mean(&|o| o.used_fraction)),
                format!("{:.2}", min(&|o| o.min_over_fair)),
                format!("{:.3}", mean(&|o| o.jain_index)),
                format!("{:.2}", min(&|o| o.min_used_fraction)),
                format!("{:.1}", max(&|o| o.settled_s)),
                format!("{:.0}", mean(&|o| o.allocator_messages_per_s)),
            ]);
        }
    }
    println!("{table}");
}
