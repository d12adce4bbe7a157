//! The subcommand `shares`: quota leases of one limit under faults, without the servers' other work.

use super::table::markdown_table;
use clap::Args;
use hazelspur_simulator::map_in_parallel;
use hazelspur_simulator::studies::shares::{Case, Outcome, Trouble, play};

#[derive(Args)]
pub(crate) struct SharesArguments {
    #[arg(long, value_delimiter = ',', default_value = "10,100,300,1000")]
    sizes: Vec<usize>,
    /// Seeds from 1 on.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
}

/// Plays each fault at each size, and prints a table.
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
        for trouble in Trouble::ALL {
            let cases: Vec<Case> = (1..=arguments.seeds)
                .map(|seed| Case { servers: *size, trouble, seed, limits: 1, between: None })
                .collect();
            let all = map_in_parallel(&cases, threads, play);
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
