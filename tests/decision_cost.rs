//! The cost of decisions about many requests at one time, counted in requests that the rules examine.

mod helpers;

use hazelspur::{Decision, Duration, GuidanceKey, Outcome};
use helpers::{Harness, RequestSpec};

/// Number of requests that are received at one time.
const BURST: usize = 4096;
/// Requests that the rules may examine for each request and each doubling of their number.
const MAX_EXAMINED_PER_REQUEST_AND_DOUBLING: u64 = 4;

/// Receives a burst of requests, named by their numbers.
fn receive_burst(harness: &mut Harness, spec: impl Fn(usize) -> RequestSpec<'static>) {
    for number in 0..BURST {
        harness.receive(&format!("r{number}"), spec(number));
    }
}

/// Pulls all decisions, checks that the rules examined no more than N log N requests for them, and returns the
/// number of decisions that end a request.
fn decide_within_bound(harness: &mut Harness, case: &str) -> usize {
    let examined_before = harness.controller.examined_request_count();
    let decisions = harness.decide();
    let examined = harness.controller.examined_request_count() - examined_before;
    let doublings = u64::from(BURST.ilog2());
    let bound = MAX_EXAMINED_PER_REQUEST_AND_DOUBLING * BURST as u64 * doublings;
    assert!(
        examined <= bound,
        "{case}: {examined} requests examined for {} decisions, at most {bound}",
        decisions.len()
    );
    let ends = |d: &&Decision| {
        matches!(d, Decision::Reject { .. } | Decision::Fail(_) | Decision::AnswerFromOriginal(_))
    };
    decisions.iter().filter(ends).count()
}

/// Guards against a walk over all requests for each rejection, with which a few thousand requests at one time
/// kept the server from reading and answering for seconds (docs/incidents/decisions-in-quadratic-time.md).
#[test]
fn burst_of_late_requests_costs_no_walk_each() {
    let mut harness = Harness::new("");
    receive_burst(&mut harness, |_| RequestSpec { size_kb: 1.0, ..RequestSpec::default() });
    let ended = decide_within_bound(&mut harness, "late");
    assert!(ended > BURST * 9 / 10, "{ended} rejected");
}

/// Guards against the same cost where the requests exceed the memory limit.
#[test]
fn burst_over_memory_limit_costs_no_walk_each() {
    let mut harness = Harness::new("server.memory_kb=10000");
    receive_burst(&mut harness, |_| RequestSpec::default());
    let ended = decide_within_bound(&mut harness, "memory");
    assert!(ended > BURST * 9 / 10, "{ended} rejected");
}

/// Guards against the same cost where all requests must be answered before their deadline or before the stop.
#[test]
fn requests_expiring_together_cost_no_walk_each() {
    let patient = |_| RequestSpec { size_kb: 1.0, cost_ms: Some(1), ..RequestSpec::default() };
    let settings = "op_types.0.target_latency_us=20000000 op_types.0.op_timeout_us=20000000";
    for stops in [false, true] {
        let mut harness = Harness::new(settings);
        receive_burst(&mut harness, patient);
        let queued = BURST - decide_within_bound(&mut harness, "received");
        assert!(queued > BURST / 2, "{queued} queued");
        if stops {
            let stops_at = harness.now + Duration::from_ms(100);
            harness.controller.shutdown_notice(harness.now, stops_at);
        } else {
            harness.at(3990);
        }
        let ended = decide_within_bound(&mut harness, if stops { "stop" } else { "deadline" });
        assert_eq!(ended, queued, "answered");
    }
}

/// Guards against the same cost for the keys of a burst, and for its retries.
#[test]
fn burst_of_keys_and_retries_costs_no_walk_each() {
    let settings = "op_types.0.repeats=keyed op_types.0.window_us=60000000 server.key_kb=0.1 \
        op_types.0.target_latency_us=20000000 op_types.0.op_timeout_us=20000000";
    let mut harness = Harness::new(settings);
    let keyed = |_| RequestSpec { size_kb: 1.0, cost_ms: Some(1), ..RequestSpec::default() };
    receive_burst(&mut harness, keyed);
    decide_within_bound(&mut harness, "keyed");
    for number in 0..BURST {
        harness.receive(&format!("retry{number}"), RequestSpec { retry_of: Some("r0"), ..keyed(number) });
    }
    let ended = decide_within_bound(&mut harness, "retries");
    assert_eq!(ended, BURST, "answered from their original");
}

/// Guards against the same cost where the requests of new sessions find no admission token.
#[test]
fn burst_without_tokens_costs_no_walk_each() {
    let mut harness = Harness::new("");
    harness.offer_load(8000, 9);
    harness.run_time = Duration::from_ms(300);
    harness.offer_load(5000, 20);
    assert!(!harness.take_trace(&["mode rate_limited"]).is_empty(), "the admission rate limits");
    let spec = |number| RequestSpec { size_kb: 1.0, client: number as u64, ..RequestSpec::default() };
    receive_burst(&mut harness, spec);
    decide_within_bound(&mut harness, "admission");
    harness.now = harness.now + Duration::from_ms(400);
    decide_within_bound(&mut harness, "without a token");
}

/// Guards against the same cost for inputs: each run that ends or asks for a call counts the requests.
#[test]
fn inputs_examine_no_queued_request() {
    let settings = "op_types.0.target_latency_us=20000000 op_types.0.op_timeout_us=20000000";
    let mut harness = Harness::new(settings);
    receive_burst(&mut harness, |_| RequestSpec { size_kb: 1.0, cost_ms: Some(1), ..RequestSpec::default() });
    harness.decide();
    let examined_before = harness.controller.examined_request_count();
    harness.set_guidance(GuidanceKey::BreakerOpen, Some(0.0));
    harness.call_requested("r0").call_finished("r0", Outcome::Ok).finish_run("r0", Outcome::Ok);
    assert_eq!(harness.controller.examined_request_count() - examined_before, 0, "requests examined");
}
