//! Traces of dependency calls: limits, attempts and the circuit breaker.
//!
//! `UPDATE_EXPECT=1 cargo test` rewrites the expected traces.

mod helpers;

use expect_test::expect;
use hazelspur::{GuidanceKey, Outcome};
use helpers::{Harness, RequestSpec, check};

/// A rejected call is retried. A call of a non-idempotent request that may have run is not: the request
/// fails.
#[test]
fn call_limits_hold_and_lost_non_idempotent_calls_fail() {
    let settings = "server.calls_bound=1.2 op_types.1.target_latency_us=1000000 op_types.1.op_timeout_us=4000000 \
        op_types.1.repeats=non-retryable";
    let mut harness = Harness::new(settings);
    harness
        .receive("a", RequestSpec::default())
        .receive("b", RequestSpec { request_class: 1, ..RequestSpec::default() })
        .decide();
    harness.call_requested("a").call_requested("b").decide();
    harness.at(100).call_finished("a", Outcome::TimedOut).decide();
    harness.at(160).call_finished("a", Outcome::Rejected).decide();
    harness.at(200).call_finished("b", Outcome::Rejected).decide();
    harness.at(250).decide();
    harness.at(300).call_finished("b", Outcome::ConnectionLost);
    check(
        &mut harness,
        &[],
        &expect![[r#"
            0     Run(a)
            0     Run(b)
            0     StartCall { request: a, timeout: Duration(1173913) }
            100   StartCall { request: a, timeout: Duration(1073913) }
            160   StartCall { request: b, timeout: Duration(1013913) }
            250   StartCall { request: b, timeout: Duration(1032608) }
            300   Fail(b)
            300   StartCall { request: a, timeout: Duration(982608) }
        "#]],
    );
}

/// Guards against runs that wait for a lost reply until their deadline and use up the call-time budget.
#[test]
fn a_call_without_reply_times_out_after_a_few_usual_latencies() {
    let mut harness = Harness::new("server.calls_bound=20 server.lingers_us=200000");
    harness.receive("a", RequestSpec::default()).decide();
    for i in 0..4 {
        harness.at(i * 20).call_requested("a").decide();
        harness.at(i * 20 + 10).call_finished("a", Outcome::Ok).decide();
    }
    harness.at(100).call_requested("a").decide();
    harness.at(101).call_finished("a", Outcome::ConnectionLost).decide();
    harness.at(181).call_finished("a", Outcome::TimedOut).decide();
    let trace = harness.take_trace(&[]);
    let calls: Vec<&str> = trace.lines().filter(|line| line.contains("Call")).collect();
    expect![[r#"
        60    StartCall { request: a, timeout: Duration(80000) }
        100   StartCall { request: a, timeout: Duration(80000) }
        101   StartCall { request: a, timeout: Duration(80000) }
        181   StartCall { request: a, timeout: Duration(3819000) }"#]]
    .assert_eq(&calls[3..].join("\n"));
}

#[test]
fn an_open_breaker_delays_only_requests_that_need_calls() {
    let settings = "server.calls_bound=4 op_types.1.target_latency_us=1000000 op_types.1.op_timeout_us=4000000 \
        op_types.1.repeats=retryable";
    let mut harness = Harness::new(settings);
    harness.receive("a", RequestSpec::default()).decide();
    harness.at(50).call_requested("a").decide();
    harness.at(100).call_finished("a", Outcome::Ok).decide();
    harness.at(150).finish_run("a", Outcome::Ok).decide();
    harness.at(200).receive("b", RequestSpec::default()).decide();
    harness.at(250).call_requested("b").set_guidance(GuidanceKey::BreakerOpen, Some(1.0)).decide();
    harness
        .at(300)
        .receive("c", RequestSpec::default())
        .receive("d", RequestSpec { request_class: 1, ..RequestSpec::default() })
        .decide();
    harness.at(500).set_guidance(GuidanceKey::BreakerOpen, None).decide();
    harness
        .at(600)
        .call_finished("b", Outcome::Ok)
        .set_guidance(GuidanceKey::BreakerOpen, Some(1.0))
        .decide();
    harness.receive("e", RequestSpec::default()).decide();
    for ms in (640..2000).step_by(40) {
        harness.at(ms).tick(0.0).decide();
    }
    check(
        &mut harness,
        &["Run", "Call", "Reject", "Fail"],
        &expect![[r#"
            0     Run(a)
            50    StartCall { request: a, timeout: Duration(3950000) }
            200   Run(b)
            300   Run(d)
            500   StartCall { request: b, timeout: Duration(400000) }
            500   Run(c)
            1080  Reject { request: e, retry_after: Duration(80842), do_not_retry_elsewhere: false }
            1160  Fail(b)
            1280  Fail(c)
            1280  Fail(d)
        "#]],
    );
}

#[test]
fn an_open_breaker_skips_calls_if_degraded_responses_have_value() {
    let mut harness = Harness::new("server.calls_bound=4 server.skip_worth.0=0.5");
    harness.receive("a", RequestSpec::default()).decide();
    harness.at(50).call_requested("a").decide();
    harness.at(100).call_finished("a", Outcome::Ok).decide();
    harness.at(150).finish_run("a", Outcome::Ok).set_guidance(GuidanceKey::BreakerOpen, Some(1.0)).decide();
    harness.at(200).receive("b", RequestSpec::default()).decide();
    harness.at(250).call_requested("b").decide();
    check(
        &mut harness,
        &["Run", "Call", "Skip", "Fail"],
        &expect![[r#"
            0     Run(a)
            50    StartCall { request: a, timeout: Duration(3950000) }
            200   Run(b)
            250   SkipCall(b)
        "#]],
    );
}

/// Invalid guidance (not a number, or negative) counts as absent: the limit of the settings applies again.
#[test]
fn a_call_limit_applies_at_once_and_an_invalid_one_clears_it() {
    let mut harness = Harness::new("server.calls_bound=4 server.cores=8");
    let started_calls = |harness: &mut Harness, from: usize| {
        for i in from..from + 4 {
            harness.receive(&format!("o{i}"), RequestSpec::default());
        }
        harness.decide();
        for i in from..from + 4 {
            harness.call_requested(&format!("o{i}"));
        }
        harness.decide();
        harness.take_trace(&["Call"]).lines().count()
    };
    let before = started_calls(&mut harness, 0);
    for i in 0..4 {
        harness.call_finished(&format!("o{i}"), Outcome::Ok).finish_run(&format!("o{i}"), Outcome::Ok);
    }
    harness
        .at(1000)
        .set_guidance(GuidanceKey::CallConcurrencyLimit, Some(0.5))
        .set_guidance(GuidanceKey::CallConcurrencyLimit, Some(0.5));
    let after_lower_limit = started_calls(&mut harness, 10);
    for i in 10..14 {
        harness.call_finished(&format!("o{i}"), Outcome::Ok).finish_run(&format!("o{i}"), Outcome::Ok);
    }
    harness.at(2000).set_guidance(GuidanceKey::CallConcurrencyLimit, Some(f64::NAN));
    harness.set_guidance(GuidanceKey::CallConcurrencyLimit, Some(-1.0));
    let after_invalid_guidance = started_calls(&mut harness, 20);
    expect!["3 1 3"].assert_eq(&format!("{before} {after_lower_limit} {after_invalid_guidance}"));
}

/// Guards against a minimum of one concurrent call per server, by which 209 servers overloaded a dependency
/// that tolerates 134 concurrent calls.
#[test]
fn a_call_limit_under_one_bounds_the_time_in_calls() {
    let mut harness =
        Harness::new("server.calls_bound=0.4 server.calls_over_us=5000000 server.lingers_us=200000");
    for i in 0..4 {
        let name = format!("a{i}");
        harness.at(i * 1000).receive(&name, RequestSpec::default()).decide();
        harness.at(i * 1000 + 100).call_requested(&name).decide();
        harness.at(i * 1000 + 600).call_finished(&name, Outcome::TimedOut).decide();
    }
    let mut zero_limit = Harness::new("server.calls_bound=0");
    zero_limit.receive("b", RequestSpec::default()).decide();
    zero_limit.call_requested("b").decide();
    let trace = format!("{}none:\n{}", harness.take_trace(&[]), zero_limit.take_trace(&[]));
    expect![[r#"
        0     Run(a0)
        100   StartCall { request: a0, timeout: Duration(241463) }
        1000  Fail(a0)
        1000  Reject { request: a1, retry_after: Duration(123909), do_not_retry_elsewhere: false }
        2000  Reject { request: a2, retry_after: Duration(95495), do_not_retry_elsewhere: false }
        3000  Reject { request: a3, retry_after: Duration(119368), do_not_retry_elsewhere: false }
        none:
        0     Run(b)
    "#]]
    .assert_eq(&trace);
}
