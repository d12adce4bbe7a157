//! The subcommand `who-is-here`: compares membership protocols.

use clap::Args;
use comfy_table::{Table, presets};
use hazelspur::Duration;
use hazelspur_simulator::membership_protocols::MembershipProtocol;
use hazelspur_simulator::membership_protocols::foca::FocaProtocol;
use hazelspur_simulator::membership_protocols::heartbeat::Heartbeat;
use hazelspur_simulator::membership_protocols::swim::Swim;
use hazelspur_simulator::on_all_cores;
use hazelspur_simulator::studies::who_is_here::{Case, Row, run_case};
use std::time::Instant;

#[derive(Args)]
pub(crate) struct WhoIsHereArguments {
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
    #[arg(long = "stop-ms", default_value_t = 2000)]
    pause_ms: u64,
    /// Only the ways whose name has this in it.
    #[arg(long = "way", default_value = "")]
    protocol: String,
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
    let outcomes = on_all_cores(&cases, arguments.threads, run_case::<P>);
    // Storm, rests, kills and halves take about eleven minutes besides.
    let server_seconds = (fault_duration.secs() + 660.0) * size as f64 * arguments.seeds as f64;
    let server_seconds_per_s = server_seconds / began.elapsed().as_secs_f64();
    eprintln!("{}, {size} servers: {server_seconds_per_s:.0} server-seconds a second", P::NAME);
    Some(Row { protocol: P::NAME, size, outcomes })
}
