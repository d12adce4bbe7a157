//! Server processes between test doubles, restarted in waves or all at once while requests are in progress.

use hazelspur_fault_harness::run::{Verdict, play};
use hazelspur_fault_harness::script::Script;
use hazelspur_fault_harness::test_fleet::Plan;

/// Servers in the tests of restart waves.
const SERVERS: usize = 30;
/// Servers in the test of the call limit.
const CALL_LIMIT_SERVERS: usize = 20;
/// Concurrent calls that the dependency allows for each of them.
const CALLS_PER_SERVER: f64 = 0.25;
/// Time from the start to serving, in milliseconds, within which nine in ten servers stay. The slowest one
/// stays within three times as much.
const MAX_USUAL_START_MS: u64 = 10_000;

fn restart_in_waves(faults: &str) -> Verdict {
    let restart = |server: usize| format!("{}+1.5 term n{server}", 1.0 + 2.5 * (server / 10) as f64);
    let waves: Vec<String> = (0..SERVERS).map(restart).collect();
    let script: Script = format!("{}{faults}", waves.join("; ")).parse().expect("a script");
    let plan = Plan {
        server_binary: env!("CARGO_BIN_EXE_hazelspur-server").into(),
        servers: SERVERS,
        gateways: 4,
        script,
        seed: 5,
        rate: 60.0,
        max_servers: SERVERS * 2,
        calls_per_server: hazelspur_fault_harness::test_fleet::CALLS_PER_SERVER,
        coordinated: false,
    };
    let verdict = play(plan, &mut |_, _| {}).unwrap_or_else(|why| panic!("{why:#}"));
    assert!(verdict.breaches.is_empty(), "{}\n{:#?}", verdict.figures(), verdict.breaches);
    verdict
}

/// Returns the time from each start to serving in milliseconds, by the log lines of the processes, in
/// ascending order.
fn start_durations_ms(verdict: &Verdict) -> Vec<u64> {
    let time_ms = |line: &str| line.split(' ').next()?.replace('.', "").parse::<u64>().ok();
    let mut durations = Vec::new();
    for log in &verdict.logs {
        let mut began = None;
        for line in log.lines() {
            if line.contains(" info start ") {
                began = time_ms(line);
            } else if line.contains("phase serving") {
                durations.extend(
                    began.take().zip(time_ms(line)).map(|(began, ready)| ready.saturating_sub(began)),
                );
            }
        }
    }
    durations.sort_unstable();
    durations
}

fn assert_all_serve_again(verdict: &Verdict) {
    let durations = start_durations_ms(verdict);
    assert_eq!(durations.len(), verdict.evidence.process_incarnations.len(), "each process served");
    assert_eq!(durations.len(), 2 * SERVERS, "each server ran twice");
    let ninth_decile = durations[durations.len() * 9 / 10 - 1];
    assert!(
        ninth_decile <= MAX_USUAL_START_MS && durations[durations.len() - 1] <= 3 * MAX_USUAL_START_MS,
        "{durations:?}"
    );
    let ended =
        verdict.evidence.process_incarnations.iter().filter(|life| life.notice_ms.is_some() && !life.killed);
    assert!(ended.clone().all(|life| life.exit_status == Some(0)), "{:?}", ended.collect::<Vec<_>>());
}

#[test]
fn all_serve_after_restart_waves_with_silent_registry() {
    assert_all_serve_again(&restart_in_waves("; 0.5+8 mute servers list; 0.5+8 mute list servers"));
}

#[test]
fn all_serve_after_restart_waves_with_slow_endpoints() {
    let slow: String = (0..SERVERS).map(|server| format!("; 0.5+9 delay:400 n{server} r{server}")).collect();
    assert_all_serve_again(&restart_in_waves(&format!("{slow}; 0.5+9 delay:900 servers list")));
}

/// All servers restart at once while the dependency is slow. Each is allowed a fraction of a call, and they
/// do not coordinate.
#[test]
fn simultaneous_restarts_stay_within_the_call_limit() {
    let restarts: Vec<String> = (0..CALL_LIMIT_SERVERS).map(|server| format!("2+1 term n{server}")).collect();
    let plan = Plan {
        server_binary: env!("CARGO_BIN_EXE_hazelspur-server").into(),
        servers: CALL_LIMIT_SERVERS,
        gateways: 4,
        script: format!("{}; 1+12 slower:60 ledger", restarts.join("; ")).parse().expect("a script"),
        seed: 7,
        rate: 120.0,
        max_servers: CALL_LIMIT_SERVERS * 2,
        calls_per_server: CALLS_PER_SERVER,
        coordinated: false,
    };
    let verdict = play(plan, &mut |_, _| {}).unwrap_or_else(|why| panic!("{why:#}"));
    assert!(verdict.breaches.is_empty(), "{}\n{:#?}", verdict.figures(), verdict.breaches);
    let (limit, most) =
        (CALL_LIMIT_SERVERS as f64 * CALLS_PER_SERVER, verdict.evidence.max_mean_concurrent_calls);
    println!("limit {limit}, most on average {most:.2}");
    assert!((limit / 5.0..=limit).contains(&most), "{most} of {limit}");
}
