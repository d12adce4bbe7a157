//! The number of rejections by reason: each rule counts the requests that it ends under its own reason.

mod helpers;

use hazelspur::{Duration, Outcome, RejectionReason, Timestamp};
use helpers::{Harness, RequestSpec};

/// Returns all reasons with a count above zero.
fn counts_by_reason(harness: &Harness) -> Vec<(RejectionReason, u64)> {
    use RejectionReason::*;
    let all = [
        UnknownClass,
        DeadlineReached,
        ServerStops,
        ObjectiveReached,
        MemoryLimit,
        KeyMemoryLimit,
        CallAttemptsExhausted,
        AdmissionRate,
        ArrivedWhileDraining,
        WouldBeLate,
        WorkLost,
    ];
    let counts = all.map(|reason| (reason, harness.controller.rejection_count(reason)));
    counts.into_iter().filter(|(_, count)| *count > 0).collect()
}

#[test]
fn an_unknown_class_is_counted() {
    let mut harness = Harness::new("");
    harness.receive("odd", RequestSpec { request_class: 9, ..RequestSpec::default() }).decide();
    assert_eq!(counts_by_reason(&harness), [(RejectionReason::UnknownClass, 1)]);
}

#[test]
fn deadline_and_objective_have_different_reasons() {
    let mut late = Harness::new("op_types.0.target_latency_us=4000000");
    late.receive("a", RequestSpec { remaining_wait_ms: 900, ..RequestSpec::default() }).decide();
    late.at(870).decide();
    assert_eq!(counts_by_reason(&late), [(RejectionReason::DeadlineReached, 1)]);
    let mut worthless = Harness::new("");
    worthless.receive("a", RequestSpec::default()).decide();
    worthless.at(970).decide();
    assert_eq!(counts_by_reason(&worthless), [(RejectionReason::ObjectiveReached, 1)]);
}

#[test]
fn request_memory_and_key_memory_have_different_reasons() {
    let mut requests = Harness::new("server.memory_kb=100");
    requests.receive("a", RequestSpec { size_kb: 200.0, ..RequestSpec::default() }).decide();
    assert_eq!(counts_by_reason(&requests), [(RejectionReason::MemoryLimit, 1)]);
    let mut keys = Harness::new("server.memory_kb=100 server.key_kb=200 op_types.0.repeats=keyed");
    keys.receive("a", RequestSpec::default()).decide();
    assert_eq!(counts_by_reason(&keys), [(RejectionReason::KeyMemoryLimit, 1)]);
}

#[test]
fn a_failed_call_of_a_non_idempotent_request_is_counted() {
    let mut harness = Harness::new("op_types.0.repeats=non-retryable");
    harness.receive("a", RequestSpec::default()).decide();
    harness.call_requested("a").decide();
    harness.at(100).call_finished("a", Outcome::ConnectionLost).decide();
    assert_eq!(counts_by_reason(&harness), [(RejectionReason::CallAttemptsExhausted, 1)]);
}

#[test]
fn late_arrival_and_server_stop_have_different_reasons() {
    let mut harness = Harness::new("");
    let stops_at = Timestamp::from_us(53_000_000);
    harness.controller.shutdown_notice(harness.now, stops_at);
    harness.at(2200).receive("past-grace", RequestSpec::default()).decide();
    assert_eq!(counts_by_reason(&harness), [(RejectionReason::ArrivedWhileDraining, 1)]);
    let mut stopping = Harness::new("op_types.0.target_latency_us=4000000");
    stopping.at(1900).receive("running", RequestSpec::default()).decide();
    stopping.controller.shutdown_notice(stopping.now, stops_at);
    stopping.at(2760).decide();
    assert_eq!(counts_by_reason(&stopping), [(RejectionReason::ServerStops, 1)]);
}

/// Guards against the run of a request that was on its way for so long that it came after the grace period.
#[test]
fn request_sent_in_grace_period_but_received_later_is_rejected() {
    let mut harness = Harness::new("");
    harness.controller.shutdown_notice(harness.now, Timestamp::from_us(53_000_000));
    harness.at(2000).receive("at-its-end", RequestSpec { age_ms: 300, ..RequestSpec::default() }).decide();
    assert_eq!(counts_by_reason(&harness), []);
    harness.at(2001).receive("past-it", RequestSpec { age_ms: 300, ..RequestSpec::default() }).decide();
    assert_eq!(counts_by_reason(&harness), [(RejectionReason::ArrivedWhileDraining, 1)]);
}

#[test]
fn rejection_counts_omit_zeros_and_show_reason_names() {
    let mut harness = Harness::new("");
    harness.receive("odd", RequestSpec { request_class: 9, ..RequestSpec::default() });
    harness.receive("long", RequestSpec { cost_ms: Some(3000), ..RequestSpec::default() }).decide();
    let counts = harness.controller.rejection_counts();
    let shown: Vec<String> = counts.iter().map(|(reason, count)| format!("{reason}={count}")).collect();
    assert_eq!(shown, ["unknown_class=1", "would_be_late=1"]);
}

#[test]
fn late_request_and_lost_work_have_different_reasons() {
    let mut late = Harness::new("");
    late.receive("a", RequestSpec { cost_ms: Some(3000), ..RequestSpec::default() }).decide();
    assert_eq!(counts_by_reason(&late), [(RejectionReason::WouldBeLate, 1)]);
    let mut lost = Harness::new("");
    lost.receive("a", RequestSpec::default()).decide();
    lost.at(100).finish_run("a", Outcome::Preempted).decide();
    assert_eq!(counts_by_reason(&lost), [(RejectionReason::WorkLost, 1)]);
}

#[test]
fn new_sessions_without_a_token_are_counted() {
    let mut harness = Harness::new("");
    harness.offer_load(4000, 9);
    harness.run_time = Duration::from_ms(300);
    while harness.take_trace(&["mode rate_limited"]).is_empty() {
        harness.offer_load(40, 25);
    }
    let before = harness.controller.rejection_count(RejectionReason::AdmissionRate);
    // The admission rate limits from now on, and its bucket is empty. Gauges far below the number of running
    // requests raise the concurrency target, so that concurrency delays no request.
    for _ in 0..24 {
        harness.tick(-20.0);
    }
    for i in 0..9 {
        harness.receive(&format!("new{i}"), RequestSpec { cost_ms: Some(1), ..RequestSpec::default() });
    }
    harness.decide();
    harness.now = harness.now + Duration::from_ms(330);
    harness.decide();
    let after = harness.controller.rejection_count(RejectionReason::AdmissionRate);
    assert!(after > before, "{:?}", counts_by_reason(&harness));
}
