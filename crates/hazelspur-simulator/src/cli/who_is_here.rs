//! The subcommand `who-is-here`: compares membership protocols on a simulated network, and prints a table.

use clap::Args;
use comfy_table::{Table, presets};
use hazelspur::Duration;
use hazelspur_simulator::map_in_parallel;
use hazelspur_simulator::membership_protocols::MembershipProtocol;
use hazelspur_simulator::membership_protocols::foca::FocaProtocol;
use hazelspur_simulator::membership_protocols::heartbeat::Heartbeat;
use hazelspur_simulator::membership_protocols::swim::Swim;
use hazelspur_simulator::studies::who_is_here::{Case, Row, run_case};
use std::time::Instant;

#[derive(Args)]
pub(crate) struct WhoIsHereArguments {
    /// Fleet sizes, in servers.
    #[arg(long, value_delimiter = ',', default_value = "10,100,300")]
    sizes: Vec<usize>,
    /// Number of runs of each protocol and size, with the seeds from 1 on.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Length of the phase in which members are paused and datagrams lost, in minutes.
    #[arg(long, default_value_t = 10)]
    minutes: u64,
    /// Fraction of datagrams lost in that phase.
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// Duration of each pause, in ms.
    #[arg(long = "stop-ms", default_value_t = 2000)]
    pause_ms: u64,
    /// Run only the protocols whose name contains this text.
    #[arg(long = "way", default_value = "")]
    protocol: String,
    /// Runs at the same time.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get()))]
    threads: usize,
}

/// Compares the membership protocols, and prints a table.
pub(crate) fn run(arguments: &WhoIsHereArguments) {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN).set_header(Row::HEADER);
    for size in &arguments.sizes {
        let rows = [
            run_protocol::<Swim>(arguments, *size),
            run_protocol::<FocaProtocol>(arguments, *size),
            run_protocol::<Heartbeat>(arguments, *size),
        ];
        for row in rows.into_iter().flatten() {
            table.add_row(row.cells());
        }
    }
    println!("{table}");
}

fn run_protocol<P: MembershipProtocol>(arguments: &WhoIsHereArguments, size: usize) -> Option<Row> {
    if !P::NAME.contains(&arguments.protocol) {
        return None;
    }
    let (fault_duration, pause) =
        (Duration::from_ms(arguments.minutes * 60_000), Duration::from_ms(arguments.pause_ms));
    let cases: Vec<Case> = (1..=arguments.seeds)
        .map(|seed| Case { size, seed, fault_duration, loss: arguments.loss, pause })
        .collect();
    let began = Instant::now();
    let outcomes = map_in_parallel(&cases, arguments.threads, run_case::<P>);
    // The start, the phases at rest, the kills and the partition take about eleven minutes besides.
    let server_seconds = (fault_duration.secs() + 660.0) * size as f64 * arguments.seeds as f64;
    let server_seconds_per_s = server_seconds / began.elapsed().as_secs_f64();
    eprintln!("{}, {size} servers: {server_seconds_per_s:.0} server-seconds a second", P::NAME);
    Some(Row { protocol: P::NAME, size, outcomes })
}
