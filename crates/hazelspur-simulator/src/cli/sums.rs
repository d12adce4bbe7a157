//! The subcommand `sums`: measures the combined load of servers that all follow the same rule, and prints a
//! table for load reports, one for subsets and one for time slots.

use super::table::markdown_table;
use clap::Args;
use hazelspur::Duration;
use hazelspur_simulator::studies::sums::{
    ReportSpacing, SubsetMethod, measure_reports, measure_subsets, measure_time_slots, study_json,
};
use std::path::PathBuf;

/// Number of seeds over which the peak of reports is averaged.
const REPORT_SEEDS: u64 = 20;
/// Number of servers in the subset of each client.
const SUBSET_SIZE: usize = 4;
/// Smallest fleet for which subsets are compared.
const MIN_SUBSET_FLEET: usize = 10;
/// Seed of the subsets.
const SUBSET_SEED: u64 = 1;
/// Wanted rate of time slots over all servers, per second.
const SLOTS_PER_SECOND: f64 = 100.0;
/// Longest period of the slot schedule.
const MAX_SLOT_PERIOD: Duration = Duration::from_ms(2000);
/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1000;

#[derive(Args)]
pub(crate) struct SumsArguments {
    /// Fleet sizes, in servers.
    #[arg(long, value_delimiter = ',', default_value = "1,10,100,300,1000")]
    sizes: Vec<usize>,
    /// File to write the points to that the subcommand `capacity` reads.
    #[arg(long, requires = "revision")]
    json: Option<PathBuf>,
    /// Commit that is being measured; it is recorded in the file.
    #[arg(long = "text")]
    revision: Option<String>,
}

/// Prints the tables, and writes the study if a file is named.
///
/// # Errors
/// Returns an error if the study's file cannot be written.
pub(crate) fn run(arguments: &SumsArguments) -> anyhow::Result<()> {
    print_reports(&arguments.sizes);
    print_subsets(&arguments.sizes);
    print_slots(&arguments.sizes);
    let (Some(file), Some(revision)) = (&arguments.json, &arguments.revision) else { return Ok(()) };
    std::fs::write(file, study_json(&arguments.sizes, revision))
        .map_err(|error| anyhow::anyhow!("{}: {error}", file.display()))
}

fn print_reports(sizes: &[usize]) {
    let mut table =
        markdown_table(["servers", "reports", "most in 20 ms over the mean", "longest without a place, ms"]);
    for size in sizes {
        for (spacing, name) in [(ReportSpacing::Fixed, "in step"), (ReportSpacing::Jittered, "spread")] {
            let all: Vec<_> = (1..=REPORT_SEEDS).map(|seed| measure_reports(*size, spacing, seed)).collect();
            let peak = all.iter().map(|(peak, _)| peak).sum::<f64>() / all.len() as f64;
            let longest = all.iter().map(|(_, longest)| longest.us() / US_PER_MS).max().unwrap_or(0);
            table.add_row([size.to_string(), name.into(), format!("{peak:.1}"), longest.to_string()]);
        }
    }
    println!("{table}\n");
}

fn print_subsets(sizes: &[usize]) {
    let mut table = markdown_table([
        "servers",
        "4 of them by",
        "least load",
        "most load",
        "choices that move when one goes",
        "that differ between pictures a tenth apart",
    ]);
    for size in sizes.iter().filter(|size| **size >= MIN_SUBSET_FLEET) {
        for method in SubsetMethod::ALL {
            let (min, max, moved, differing) = measure_subsets(*size, SUBSET_SIZE, method, SUBSET_SEED);
            let cells = [min, max, moved, differing].map(|figure| format!("{figure:.3}"));
            table.add_row([vec![size.to_string(), method.name().into()], cells.to_vec()].concat());
        }
    }
    println!("{table}\n");
}

fn print_slots(sizes: &[usize]) {
    let mut table = markdown_table([
        "servers",
        "turns, 100 a second wanted",
        "most in 100 ms over the mean",
        "longest wait, ms",
    ]);
    for size in sizes {
        let (peak, wait) = measure_time_slots(*size, SLOTS_PER_SECOND, MAX_SLOT_PERIOD);
        let name = "slots of a period of 2 s at most";
        let wait_ms = wait.us() / US_PER_MS;
        table.add_row([size.to_string(), name.into(), format!("{peak:.1}"), wait_ms.to_string()]);
    }
    println!("{table}");
}
