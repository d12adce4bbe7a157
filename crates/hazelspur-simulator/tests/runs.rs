//! Properties of simulated runs: one seed gives one result on any number of threads, and faults and
//! coordination have the effects that the studies rely on.

use hazelspur::Duration;
use hazelspur_simulator::map_in_parallel;
use hazelspur_simulator::membership_protocols::MembershipProtocol;
use hazelspur_simulator::membership_protocols::foca::FocaProtocol;
use hazelspur_simulator::membership_protocols::heartbeat::Heartbeat;
use hazelspur_simulator::membership_protocols::swim::Swim;
use hazelspur_simulator::simulation::{Coordination, Figures, ScriptAction, Simulation, SimulationConfig};
use hazelspur_simulator::studies::choices::{self, Scenario};
use hazelspur_simulator::studies::sums::{self, ReportSpacing, SubsetMethod};
use hazelspur_simulator::studies::together;
use hazelspur_simulator::studies::who_is_here::{Case, Row, run_case};

fn cases(size: usize, seeds: u64) -> Vec<Case> {
    let fault_duration = Duration::from_ms(120_000);
    let pause = Duration::from_ms(2000);
    (1..=seeds).map(|seed| Case { size, seed, fault_duration, loss: 0.01, pause }).collect()
}

fn row<P: MembershipProtocol>(size: usize, seeds: u64, threads: usize) -> Row {
    Row { protocol: P::NAME, size, outcomes: map_in_parallel(&cases(size, seeds), threads, run_case::<P>) }
}

#[test]
fn same_seed_gives_same_rows_on_any_number_of_threads() {
    let cells = |threads| row::<Swim>(12, 4, threads).cells().join(" | ");
    assert_eq!(cells(1), cells(4));
    let fewer_seeds = row::<Swim>(12, 3, 2).cells().join(" | ");
    assert_ne!(cells(2), fewer_seeds, "four seeds give the same rows as three");
}

#[test]
fn swim_survives_pauses_and_loss_and_detects_every_kill() {
    for outcome in row::<Swim>(40, 3, 4).outcomes {
        assert_eq!((outcome.false_deaths, outcome.undetected), (0, 0));
        assert!(outcome.detection_ms.value_at_quantile(0.99) < 40_000);
        assert!(outcome.heal_s.is_some_and(|s| s < 30.0) && outcome.storm_s.is_some());
    }
}

#[test]
fn foca_and_heartbeat_detect_kills_and_reach_agreement() {
    for row in [row::<FocaProtocol>(12, 2, 2), row::<Heartbeat>(12, 2, 2)] {
        let as_expected = row.outcomes.iter().all(|o| o.undetected == 0 && o.storm_s.is_some());
        assert!(as_expected, "{}: {:?}", row.protocol, row.cells());
    }
}

fn together_case(servers: usize, seed: u64, load: f64, down_ms: u64) -> together::Case {
    together::Case { servers, seed, load, seconds: 18, ledger_outage: Duration::from_ms(down_ms) }
}

#[test]
fn same_seed_gives_same_figures_for_simulated_servers() {
    let cases: Vec<_> = (1..=3).map(|seed| together_case(4, seed, 0.5, 2000)).collect();
    let (on_one_thread, on_four) =
        (map_in_parallel(&cases, 1, together::run_case), map_in_parallel(&cases, 4, together::run_case));
    assert_eq!(on_one_thread, on_four);
    assert_ne!(on_one_thread[0], on_one_thread[1]);
}

#[test]
fn simulation_serves_what_fits_and_rejects_overload() {
    let underloaded = together::run_case(&together_case(6, 1, 0.4, 0));
    assert!(underloaded.success_fraction() > 0.99, "{underloaded:?}");
    let overloaded = together::run_case(&together_case(2, 1, 1.6, 0));
    assert!(
        (0.3..0.75).contains(&overloaded.success_fraction()) && overloaded.rejected > 0,
        "{overloaded:?}"
    );
    let with_outage = together::run_case(&together_case(6, 1, 0.4, 5000));
    let succeeded_in = |second: usize| with_outage.succeeded_by_second.get(second).copied().unwrap_or(0);
    assert!(succeeded_in(12) < 30 && succeeded_in(16) > 400, "{:?}", with_outage.succeeded_by_second);
    let ended = with_outage.succeeded + with_outage.rejected + with_outage.failed + with_outage.late;
    assert!(ended <= with_outage.requests && ended + 200 > with_outage.requests, "{with_outage:?}");
}

/// Two of six servers are killed and start again five seconds later; in another run the cores of one server
/// and the ledger are slow. Service must fall in both, and recover after the restart.
#[test]
fn killed_servers_and_slow_cores_reduce_service() {
    let run = |actions: &[(u64, ScriptAction)]| {
        let mut simulation = Simulation::new(SimulationConfig::new(6, 1, 0.6));
        actions.iter().for_each(|(ms, action)| simulation.script(Duration::from_ms(*ms), *action));
        simulation.run(Duration::from_ms(20_000));
        simulation.figures
    };
    let without_fault = run(&[]);
    let kills_and_restarts = [
        (8000, ScriptAction::Kill(0)),
        (8000, ScriptAction::Kill(1)),
        (13_000, ScriptAction::Start(0)),
        (13_000, ScriptAction::Start(1)),
    ];
    let killed = run(&kills_and_restarts);
    let slow = run(&[
        (8000, ScriptAction::SetCoreSpeed(0, 0.2)),
        (13_000, ScriptAction::SetCoreSpeed(0, 1.0)),
        (8000, ScriptAction::SetDependencySlowdown(2.0)),
    ]);
    assert!(
        without_fault.success_fraction() > 0.99 && slow.success_fraction() < without_fault.success_fraction(),
        "{without_fault:?}\n{slow:?}"
    );
    assert!((0.5..0.99).contains(&killed.success_fraction()), "{killed:?}");
    let succeeded_in =
        |figures: &Figures, second: usize| figures.succeeded_by_second.get(second).copied().unwrap_or(0);
    assert!(
        succeeded_in(&killed, 19) * 10 > succeeded_in(&without_fault, 19) * 9,
        "{:?}",
        killed.succeeded_by_second
    );
}

fn choices_case(scenario: Scenario, coordination: Coordination, seed: u64) -> choices::Case {
    choices::Case { scenario, coordination, servers: 12, seed, guaranteed_fraction: 0.2 }
}

#[test]
fn same_seed_gives_same_outcome_with_gossip() {
    let cases = [
        choices_case(Scenario::Partition, Coordination::Gossip, 1),
        choices_case(Scenario::Partition, Coordination::Gossip, 2),
    ];
    let (on_one_thread, on_two) =
        (map_in_parallel(&cases, 1, choices::run_case), map_in_parallel(&cases, 2, choices::run_case));
    assert!(on_one_thread == on_two && on_one_thread[0] != on_one_thread[1]);
    let datagrams_per_s = on_one_thread[0].figures.datagrams as f64 / 24.0 / 12.0;
    assert!((2.0..15.0).contains(&datagrams_per_s), "{datagrams_per_s} datagrams a second for each server");
}

/// Quotas by demand must serve more than uncoordinated servers do, and their sum must never exceed the
/// ledger's slots.
#[test]
fn gossip_quotas_beat_no_coordination_within_the_slots() {
    let scenarios = [Scenario::UnevenLoad, Scenario::ServersPaused, Scenario::ServersReplaced];
    let coordinations = [Coordination::None, Coordination::Gossip, Coordination::Oracle];
    let cases: Vec<_> = scenarios
        .iter()
        .flat_map(|scenario| coordinations.map(|coordination| choices_case(*scenario, coordination, 1)))
        .collect();
    let outcomes = map_in_parallel(&cases, 4, choices::run_case);
    for (scenario, of_scenario) in scenarios.iter().zip(outcomes.chunks(3)) {
        let service: Vec<f64> = of_scenario.iter().map(choices::Outcome::service).collect();
        let figures =
            format!("{}: {service:.3?}, {:.3} in force", scenario.name(), of_scenario[1].max_in_force);
        assert!(of_scenario[1].max_in_force <= 1.0 + 1e-6, "{figures}");
        assert!(service[1] > service[0] + 0.01 && service[2] > service[0], "{figures}");
    }
}

/// Guards against servers that all keep calling a ledger that does not answer, which servers without fleet
/// guidance do.
#[test]
fn ledger_outage_gets_few_calls_and_service_recovers() {
    let cases = [Coordination::None, Coordination::Local, Coordination::Gossip]
        .map(|coordination| choices_case(Scenario::LedgerDown, coordination, 1));
    let outcomes = map_in_parallel(&cases, 3, choices::run_case);
    let unreachable_calls: Vec<u64> =
        outcomes.iter().map(|outcome| outcome.figures.unreachable_calls).collect();
    assert!(
        unreachable_calls[1] * 3 < unreachable_calls[0] && unreachable_calls[2] * 3 < unreachable_calls[0],
        "{unreachable_calls:?}"
    );
    for outcome in &outcomes {
        let after: u32 = outcome.figures.succeeded_by_second[26..36].iter().sum();
        let before: u32 = outcome.figures.succeeded_by_second[16..18].iter().sum();
        assert!(after > before * 4, "{:?}", outcome.figures.succeeded_by_second);
    }
}

#[test]
fn jitter_rendezvous_and_time_slots_spread_load() {
    let mean_peak =
        |spacing| (1..=5).map(|seed| sums::measure_reports(300, spacing, seed).0).sum::<f64>() / 5.0;
    assert!(mean_peak(ReportSpacing::Fixed) > 3.0 * mean_peak(ReportSpacing::Jittered));
    let longest = (1..=5).map(|seed| sums::measure_reports(300, ReportSpacing::Jittered, seed).1).max();
    assert!(longest.is_some_and(|longest| longest < Duration::from_ms(6500)), "{longest:?}");
    let (.., moved, differing) = sums::measure_subsets(100, 4, SubsetMethod::Rendezvous, 1);
    assert!(moved < 0.03 && differing < 0.2, "{moved} {differing}");
    for other in [SubsetMethod::Random, SubsetMethod::Rounds] {
        assert!(sums::measure_subsets(100, 4, other, 1).2 > 0.5, "{}", other.name());
    }
    let (peak, wait) = sums::measure_time_slots(300, 100.0, Duration::from_ms(2000));
    assert!(peak < 2.5 && wait < Duration::from_ms(4000), "{peak} {wait:?}");
}

/// Guards against a confidence interval that is NaN, because one seed gives a single value.
#[test]
fn choices_table_of_one_seed_has_only_finite_numbers() {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_hazelspur-simulator"));
    let output = command.args(["choices", "--sizes", "5", "--seeds", "1", "--case", "ledger"]).output();
    let table = String::from_utf8(output.expect("the simulator starts").stdout).expect("its output is UTF-8");
    assert!(table.lines().count() > 3 && !table.contains("NaN") && !table.contains("inf"), "{table}");
}
