//! Thirty processes on stand-ins, ended and started again in waves while requests are in flight.

use hazelspur_fault_harness::bed::Plan;
use hazelspur_fault_harness::play::{Verdict, play};
use hazelspur_fault_harness::script::Script;

const SERVERS: usize = 30;
/// Where the sum of calls is looked at.
const CALLERS: usize = 20;
const PART: f64 = 0.25;
/// Nine in ten are ready within this after their start, the last one within three times as much.
const READY_MS: u64 = 10_000;

fn waves(more: &str) -> Verdict {
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
        calls: hazelspur_fault_harness::bed::CALLS,
        joint: false,
    };
    let verdict = play(plan, &mut |_, _| {}).unwrap_or_else(|why| panic!("{why:#}"));
    assert!(verdict.breaches.is_empty(), "{}\n{:#?}", verdict.figures(), verdict.breaches);
    verdict
}

/// From each start to the moment in which requests are served, by the process's own lines.
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

fn all_come_back(verdict: &Verdict) {
    let took = ready_ms(verdict);
    assert_eq!(took.len(), verdict.evidence.lives.len(), "each life came to serve");
    assert_eq!(took.len(), 2 * SERVERS, "each server had two lives");
    let nine_in_ten = took[took.len() * 9 / 10 - 1];
    assert!(nine_in_ten <= READY_MS && took[took.len() - 1] <= 3 * READY_MS, "{took:?}");
    let ended = verdict.evidence.lives.iter().filter(|life| life.notice_ms.is_some() && !life.killed);
    assert!(ended.clone().all(|life| life.status == Some(0)), "{:?}", ended.collect::<Vec<_>>());
}

#[test]
fn waves_of_restarts_while_the_list_is_silent() {
    all_come_back(&waves("; 0.5+8 mute servers list; 0.5+8 mute list servers"));
}

#[test]
fn waves_of_restarts_while_runtime_and_list_are_slow_to_answer() {
    let late: String = (0..SERVERS).map(|of| format!("; 0.5+9 delay:400 n{of} r{of}")).collect();
    all_come_back(&waves(&format!("{late}; 0.5+9 delay:900 servers list")));
}

/// All begin again in one moment while the ledger is slow: each has a part of a call, none hears of another.
#[test]
fn twenty_processes_that_begin_together_keep_within_what_the_ledger_takes() {
    let all: Vec<String> = (0..CALLERS).map(|of| format!("2+1 term n{of}")).collect();
    let plan = Plan {
        server_binary: env!("CARGO_BIN_EXE_hazelspur-server").into(),
        servers: CALLERS,
        gateways: 4,
        script: format!("{}; 1+12 slower:60 ledger", all.join("; ")).parse().expect("a script"),
        seed: 7,
        rate: 120.0,
        most: CALLERS * 2,
        calls: PART,
        joint: false,
    };
    let verdict = play(plan, &mut |_, _| {}).unwrap_or_else(|why| panic!("{why:#}"));
    assert!(verdict.breaches.is_empty(), "{}\n{:#?}", verdict.figures(), verdict.breaches);
    let (limit, most) = (CALLERS as f64 * PART, verdict.evidence.calls_on_average);
    println!("limit {limit}, most on average {most:.2}");
    assert!((limit / 5.0..=limit).contains(&most), "{most} of {limit}");
}
