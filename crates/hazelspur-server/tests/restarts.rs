//! Thirty processes between test doubles, restarted in waves while requests are in progress.

use hazelspur_fault_harness::run::{Verdict, play};
use hazelspur_fault_harness::script::Script;
use hazelspur_fault_harness::test_fleet::Plan;

/// Servers in the tests of restart waves.
const SERVERS: usize = 30;
/// Servers in the test of the shared call limit.
const CALLERS: usize = 20;
/// The calls that each of them may make at once.
const CALLS_PER_SERVER: f64 = 0.25;
/// Nine in ten serve within this after their start, the last one within three times as much.
const READY_MS: u64 = 10_000;

fn restart_in_waves(more: &str) -> Verdict {
    let each = |of: usize| format!("{}+1.5 term n{of}", 1.0 + 2.5 * (of / 10) as f64);
    let waves: Vec<String> = (0..SERVERS).map(each).collect();
    let script: Script = format!("{}{more}", waves.join("; ")).parse().expect("a script");
    let plan = Plan {
        server_binary: env!("CARGO_BIN_EXE_hazelspur-server").into(),
        servers: SERVERS,
        gateways: 4,
        script,
        seed: 5,
        rate: 60.0,
        most: SERVERS * 2,
        calls: hazelspur_fault_harness::test_fleet::CALLS,
        joint: false,
    };
    let verdict = play(plan, &mut |_, _| {}).unwrap_or_else(|why| panic!("{why:#}"));
    assert!(verdict.breaches.is_empty(), "{}\n{:#?}", verdict.figures(), verdict.breaches);
    verdict
}

/// The time from each start to serving, by the process's log lines, in order of length.
fn ready_ms(verdict: &Verdict) -> Vec<u64> {
    let at = |line: &str| line.split(' ').next()?.replace('.', "").parse::<u64>().ok();
    let mut took = Vec::new();
    for log in &verdict.logs {
        let mut began = None;
        for line in log.lines() {
            if line.contains(" info start ") {
                began = at(line);
            } else if line.contains("phase serving") {
                took.extend(began.take().zip(at(line)).map(|(began, ready)| ready.saturating_sub(began)));
            }
        }
    }
    took.sort_unstable();
    took
}

fn assert_all_serve_again(verdict: &Verdict) {
    let took = ready_ms(verdict);
    assert_eq!(took.len(), verdict.evidence.lives.len(), "each life came to serve");
    assert_eq!(took.len(), 2 * SERVERS, "each server had two lives");
    let nine_in_ten = took[took.len() * 9 / 10 - 1];
    assert!(nine_in_ten <= READY_MS && took[took.len() - 1] <= 3 * READY_MS, "{took:?}");
    let ended = verdict.evidence.lives.iter().filter(|life| life.notice_ms.is_some() && !life.killed);
    assert!(ended.clone().all(|life| life.status == Some(0)), "{:?}", ended.collect::<Vec<_>>());
}

#[test]
fn restart_waves_while_the_registry_is_silent() {
    assert_all_serve_again(&restart_in_waves("; 0.5+8 mute servers list; 0.5+8 mute list servers"));
}

#[test]
fn restart_waves_while_worker_and_registry_are_slow() {
    let late: String = (0..SERVERS).map(|of| format!("; 0.5+9 delay:400 n{of} r{of}")).collect();
    assert_all_serve_again(&restart_in_waves(&format!("{late}; 0.5+9 delay:900 servers list")));
}

/// All restart at once while the dependency is slow; each has a fraction of a call and they do not communicate.
#[test]
fn twenty_simultaneous_starts_stay_within_the_dependencys_limit() {
    let all: Vec<String> = (0..CALLERS).map(|of| format!("2+1 term n{of}")).collect();
    let plan = Plan {
        server_binary: env!("CARGO_BIN_EXE_hazelspur-server").into(),
        servers: CALLERS,
        gateways: 4,
        script: format!("{}; 1+12 slower:60 ledger", all.join("; ")).parse().expect("a script"),
        seed: 7,
        rate: 120.0,
        most: CALLERS * 2,
        calls: CALLS_PER_SERVER,
        joint: false,
    };
    let verdict = play(plan, &mut |_, _| {}).unwrap_or_else(|why| panic!("{why:#}"));
    assert!(verdict.breaches.is_empty(), "{}\n{:#?}", verdict.figures(), verdict.breaches);
    let (limit, most) = (CALLERS as f64 * CALLS_PER_SERVER, verdict.evidence.calls_on_average);
    println!("limit {limit}, most on average {most:.2}");
    assert!((limit / 5.0..=limit).contains(&most), "{most} of {limit}");
}
