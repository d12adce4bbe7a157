//! What the laboratory promises of its runs.

use hazelspur::Duration;
use hazelspur_simulator::membership_protocols::MembershipProtocol;
use hazelspur_simulator::membership_protocols::foca::FocaProtocol;
use hazelspur_simulator::membership_protocols::heartbeat::Heartbeat;
use hazelspur_simulator::membership_protocols::swim::Swim;
use hazelspur_simulator::on_all_cores;
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

fn row<W: MembershipProtocol>(size: usize, seeds: u64, threads: usize) -> Row {
    Row { protocol: W::NAME, size, outcomes: on_all_cores(&cases(size, seeds), threads, run_case::<W>) }
}

#[test]
fn one_seed_gives_one_run_on_any_number_of_threads() {
    let on = |threads| row::<Swim>(12, 4, threads).cells().join(" | ");
    assert_eq!(on(1), on(4));
    let other = row::<Swim>(12, 3, 2).cells().join(" | ");
    assert_ne!(on(2), other, "seeds make no difference");
}

#[test]
fn two_second_stops_and_lost_datagrams_kill_nobody_and_a_kill_is_noticed_by_all() {
    for outcome in row::<Swim>(40, 3, 4).outcomes {
        assert_eq!((outcome.false_deaths, outcome.undetected), (0, 0));
        assert!(outcome.detection_ms.value_at_quantile(0.99) < 40_000);
        assert!(outcome.heal_s.is_some_and(|s| s < 30.0) && outcome.storm_s.is_some());
    }
}

#[test]
fn the_ways_that_are_compared_do_what_they_are_for() {
    for row in [row::<FocaProtocol>(12, 2, 2), row::<Heartbeat>(12, 2, 2)] {
        let found = row.outcomes.iter().all(|o| o.undetected == 0 && o.storm_s.is_some());
        assert!(found, "{}: {:?}", row.protocol, row.cells());
    }
}

fn together(servers: usize, seed: u64, load: f64, down_ms: u64) -> together::Case {
    together::Case { servers, seed, load, seconds: 18, ledger_outage: Duration::from_ms(down_ms) }
}

#[test]
fn the_real_modules_of_many_servers_play_one_run_for_one_seed() {
    let cases: Vec<_> = (1..=3).map(|seed| together(4, seed, 0.5, 2000)).collect();
    let (one, four) =
        (on_all_cores(&cases, 1, together::run_case), on_all_cores(&cases, 4, together::run_case));
    assert_eq!(one, four);
    assert_ne!(one[0], one[1]);
}

#[test]
fn models_and_modules_serve_what_fits_and_refuse_what_does_not() {
    let quiet = together::run_case(&together(6, 1, 0.4, 0));
    assert!(quiet.service() > 0.99, "{quiet:?}");
    let crowded = together::run_case(&together(2, 1, 1.6, 0));
    assert!((0.3..0.75).contains(&crowded.service()) && crowded.rejected > 0, "{crowded:?}");
    let down = together::run_case(&together(6, 1, 0.4, 5000));
    let second = |at: usize| down.succeeded_by_second.get(at).copied().unwrap_or(0);
    assert!(second(12) < 30 && second(16) > 400, "{:?}", down.succeeded_by_second);
    let all = down.succeeded + down.rejected + down.failed + down.late;
    assert!(all <= down.requests && all + 200 > down.requests, "{down:?}");
}

#[test]
fn a_site_that_is_killed_costs_service_until_it_is_back_and_slow_cores_cost_less() {
    let run = |turns: &[(u64, ScriptAction)]| {
        let mut simulation = Simulation::new(SimulationConfig::new(6, 1, 0.6));
        turns.iter().for_each(|(ms, turn)| simulation.script(Duration::from_ms(*ms), *turn));
        simulation.run(Duration::from_ms(20_000));
        simulation.figures
    };
    let whole = run(&[]);
    let ends = [
        (8000, ScriptAction::Kill(0)),
        (8000, ScriptAction::Kill(1)),
        (13_000, ScriptAction::Start(0)),
        (13_000, ScriptAction::Start(1)),
    ];
    let killed = run(&ends);
    let slow = run(&[
        (8000, ScriptAction::SetCoreSpeed(0, 0.2)),
        (13_000, ScriptAction::SetCoreSpeed(0, 1.0)),
        (8000, ScriptAction::SetLedgerSlowdown(2.0)),
    ]);
    assert!(whole.service() > 0.99 && slow.service() < whole.service(), "{whole:?}\n{slow:?}");
    assert!((0.5..0.99).contains(&killed.service()), "{killed:?}");
    let second = |of: &Figures, at: usize| of.succeeded_by_second.get(at).copied().unwrap_or(0);
    assert!(second(&killed, 19) * 10 > second(&whole, 19) * 9, "{:?}", killed.succeeded_by_second);
}

fn choice(scenario: Scenario, coordination: Coordination, seed: u64) -> choices::Case {
    choices::Case { scenario, coordination, servers: 12, seed, guaranteed_fraction: 0.2 }
}

#[test]
fn talk_and_modules_play_one_run_for_one_seed() {
    let cases = [
        choice(Scenario::Partition, Coordination::Gossip, 1),
        choice(Scenario::Partition, Coordination::Gossip, 2),
    ];
    let (one, two) = (on_all_cores(&cases, 1, choices::run_case), on_all_cores(&cases, 2, choices::run_case));
    assert!(one == two && one[0] != one[1]);
    let spent = one[0].figures.datagrams as f64 / 24.0 / 12.0;
    assert!((2.0..15.0).contains(&spent), "{spent} datagrams a second and server");
}

#[test]
fn shares_by_demand_serve_more_than_equal_ones_and_never_pass_the_slots() {
    let scenarios = [Scenario::UnevenLoad, Scenario::ServersPaused, Scenario::ServersReplaced];
    let kinds = [Coordination::None, Coordination::Gossip, Coordination::Oracle];
    let cases: Vec<_> =
        scenarios.iter().flat_map(|scenario| kinds.map(|way| choice(*scenario, way, 1))).collect();
    let all = on_all_cores(&cases, 4, choices::run_case);
    for (scenario, of) in scenarios.iter().zip(all.chunks(3)) {
        let service: Vec<f64> = of.iter().map(choices::Outcome::service).collect();
        let figures = format!("{}: {service:.3?}, {:.3} in force", scenario.name(), of[1].max_in_force);
        assert!(of[1].max_in_force <= 1.0 + 1e-6, "{figures}");
        assert!(service[1] > service[0] + 0.01 && service[2] > service[0], "{figures}");
    }
}

#[test]
fn a_ledger_that_is_gone_is_tried_by_few_and_served_from_again() {
    let cases = [Coordination::None, Coordination::Local, Coordination::Gossip]
        .map(|way| choice(Scenario::LedgerDown, way, 1));
    let all = on_all_cores(&cases, 3, choices::run_case);
    let vain: Vec<u64> = all.iter().map(|outcome| outcome.figures.unreachable_calls).collect();
    assert!(vain[1] * 3 < vain[0] && vain[2] * 3 < vain[0], "{vain:?}");
    for outcome in &all {
        let after: u32 = outcome.figures.succeeded_by_second[26..36].iter().sum();
        let before: u32 = outcome.figures.succeeded_by_second[16..18].iter().sum();
        assert!(after > before * 4, "{:?}", outcome.figures.succeeded_by_second);
    }
}

#[test]
fn sums_of_choices_made_alike() {
    let peak = |how| (1..=5).map(|seed| sums::measure_reports(300, how, seed).0).sum::<f64>() / 5.0;
    assert!(peak(ReportSpacing::Fixed) > 3.0 * peak(ReportSpacing::Jittered));
    let longest = (1..=5).map(|seed| sums::measure_reports(300, ReportSpacing::Jittered, seed).1).max();
    assert!(longest.is_some_and(|span| span < Duration::from_ms(6500)), "{longest:?}");
    let (.., moved, differ) = sums::measure_subsets(100, 4, SubsetMethod::Rendezvous, 1);
    assert!(moved < 0.03 && differ < 0.2, "{moved} {differ}");
    for other in [SubsetMethod::Random, SubsetMethod::Rounds] {
        assert!(sums::measure_subsets(100, 4, other, 1).2 > 0.5, "{}", other.name());
    }
    let (peak, wait) = sums::measure_time_slots(300, 100.0, Duration::from_ms(2000));
    assert!(peak < 2.5 && wait < Duration::from_ms(4000), "{peak} {wait:?}");
}

/// Guards against a spread that is no number where there is one value only.
#[test]
fn a_study_of_one_seed_prints_numbers_only() {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_hazelspur-simulator"));
    let output = command.args(["choices", "--sizes", "5", "--seeds", "1", "--case", "ledger"]).output();
    let table = String::from_utf8(output.expect("it runs").stdout).expect("text");
    assert!(table.lines().count() > 3 && !table.contains("NaN") && !table.contains("inf"), "{table}");
}
