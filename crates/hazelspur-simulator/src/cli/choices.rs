//! The subcommand `choices`: simulates faults and uneven load under each kind of coordination, and prints a
//! table that compares them.

use super::table::{interval, markdown_table};
use clap::Args;
use comfy_table::Table;
use hazelspur_simulator::map_in_parallel;
use hazelspur_simulator::simulation::Coordination;
use hazelspur_simulator::studies::choices::{Case, Outcome, Scenario, run_case};
use std::time::Instant;

/// Length of one run in virtual seconds, with its warm-up.
const RUN_SECONDS: f64 = 40.0;
/// Length of the measured part of a run, in virtual seconds.
const MEASURED_SECONDS: f64 = 24.0;
/// Smallest difference in service between the oracle and no coordination at which a fraction of it is
/// printed; of a smaller one it says nothing.
const MIN_GAP_TO_ORACLE: f64 = 0.005;
/// Headings of the table.
const HEADER: [&str; 13] = [
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
];

#[derive(Args)]
pub(crate) struct ChoicesArguments {
    /// Fleet sizes, in servers.
    #[arg(long, value_delimiter = ',', default_value = "100")]
    sizes: Vec<usize>,
    /// Number of runs of each kind, with the seeds from 1 on.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Run only the scenarios whose name contains this text.
    #[arg(long = "case", default_value = "")]
    scenario: String,
    /// Run only the kinds of coordination whose name contains this text.
    #[arg(long = "way", default_value = "")]
    coordination: String,
    /// Fraction of shared limits that is guaranteed to servers without a lease.
    #[arg(long = "floor", default_value_t = 0.2)]
    guaranteed_fraction: f64,
    /// Also print how many requests succeeded in each second of the first seed.
    #[arg(long)]
    by_second: bool,
    /// Runs at the same time.
    #[arg(long, default_value_t = std::thread::available_parallelism().map_or(1, |n| n.get()))]
    threads: usize,
}

/// Runs of one scenario under one kind of coordination.
struct Runs {
    coordination: Coordination,
    outcomes: Vec<Outcome>,
    /// Simulated server-seconds in a second of real time.
    server_seconds_per_s: f64,
}

impl Runs {
    fn mean(&self, figure: impl Fn(&Outcome) -> f64) -> f64 {
        self.outcomes.iter().map(figure).sum::<f64>() / self.outcomes.len() as f64
    }
}

/// Results with which the runs of one scenario are compared.
struct Baselines {
    /// Service of each seed without coordination; empty if that was not run.
    uncoordinated: Vec<f64>,
    /// Mean service with the oracle; `None` if that was not run.
    oracle: Option<f64>,
}

impl Baselines {
    fn from_runs(runs: &[Runs]) -> Self {
        let find = |coordination| runs.iter().find(move |runs| runs.coordination == coordination);
        let uncoordinated = find(Coordination::None)
            .map(|runs| runs.outcomes.iter().map(Outcome::service).collect())
            .unwrap_or_default();
        let oracle = find(Coordination::Oracle).map(|runs| runs.mean(Outcome::service));
        Self { uncoordinated, oracle }
    }
}

/// Runs each scenario at each size, and prints a table.
pub(crate) fn run(arguments: &ChoicesArguments) {
    let mut table = markdown_table(HEADER);
    for size in &arguments.sizes {
        for scenario in
            Scenario::ALL.into_iter().filter(|scenario| scenario.name().contains(&arguments.scenario))
        {
            let coordinations = Coordination::ALL
                .into_iter()
                .filter(|coordination| coordination.name().contains(&arguments.coordination));
            let all_runs: Vec<Runs> = coordinations
                .map(|coordination| run_all_seeds(arguments, scenario, *size, coordination))
                .collect();
            let baselines = Baselines::from_runs(&all_runs);
            all_runs.iter().for_each(|runs| add_row(&mut table, scenario, *size, runs, &baselines));
        }
    }
    println!("{table}");
}

fn run_all_seeds(
    arguments: &ChoicesArguments,
    scenario: Scenario,
    servers: usize,
    coordination: Coordination,
) -> Runs {
    let cases: Vec<Case> = (1..=arguments.seeds)
        .map(|seed| Case {
            scenario,
            coordination,
            servers,
            seed,
            guaranteed_fraction: arguments.guaranteed_fraction,
        })
        .collect();
    let began = Instant::now();
    let outcomes = map_in_parallel(&cases, arguments.threads, run_case);
    let server_seconds_per_s =
        RUN_SECONDS * (servers as u64 * arguments.seeds) as f64 / began.elapsed().as_secs_f64();
    if arguments.by_second {
        let by_second = &outcomes[0].figures.succeeded_by_second;
        println!("{} {servers} {}: {by_second:?}", scenario.name(), coordination.name());
    }
    Runs { coordination, outcomes, server_seconds_per_s }
}

fn add_row(table: &mut Table, scenario: Scenario, servers: usize, runs: &Runs, baselines: &Baselines) {
    let Baselines { uncoordinated, oracle } = baselines;
    let pairs = runs.outcomes.iter().zip(uncoordinated);
    let gains: Vec<f64> = pairs.map(|(outcome, baseline)| outcome.service() - baseline).collect();
    let gain = interval(&gains);
    let gap = oracle.map(|oracle| oracle - interval(uncoordinated).mean);
    let gap = gap.filter(|gap| gap.abs() >= MIN_GAP_TO_ORACLE);
    let gap_fraction = gap.map_or("-".into(), |gap| format!("{:.2}", gain.mean / gap));
    let max_in_force = runs.outcomes.iter().map(|outcome| outcome.max_in_force).fold(0.0, f64::max);
    let attempts =
        |outcome: &Outcome| outcome.figures.attempts as f64 / outcome.figures.requests.max(1) as f64;
    let calls_of_slots = |outcome: &Outcome| outcome.figures.max_concurrent_calls as f64 / outcome.slots;
    let unreachable_calls = |outcome: &Outcome| outcome.figures.unreachable_calls as f64 / MEASURED_SECONDS;
    let datagrams =
        |outcome: &Outcome| outcome.figures.datagrams as f64 / MEASURED_SECONDS / outcome.servers as f64;
    table.add_row([
        scenario.name().to_string(),
        servers.to_string(),
        runs.coordination.name().to_string(),
        format!("{:.3}", runs.mean(Outcome::service)),
        if uncoordinated.is_empty() { "-".into() } else { gain.to_string() },
        gap_fraction,
        format!("{:.2}", runs.mean(Outcome::worst_second_ratio)),
        format!("{:.2}", runs.mean(attempts)),
        format!("{:.2}", runs.mean(calls_of_slots)),
        format!("{:.0}", runs.mean(unreachable_calls)),
        format!("{max_in_force:.2}"),
        format!("{:.1}", runs.mean(datagrams)),
        format!("{:.0}", runs.server_seconds_per_s),
    ]);
}
