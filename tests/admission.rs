//! Traces of admission control: the power test, the admission rate and active sessions.
//!
//! `UPDATE_EXPECT=1 cargo test` rewrites the expected traces.

mod helpers;

use expect_test::expect;
use hazelspur::Duration;
use helpers::{Harness, RequestSpec, check};

/// Longer runs make the admission rate limit and fall. Once the runs are short again it rises and stops
/// limiting.
#[test]
fn the_power_test_starts_and_stops_the_admission_rate() {
    let mut harness = Harness::new("");
    harness.offer_load(8000, 9);
    harness.run_time = Duration::from_ms(300);
    harness.offer_load(12000, 20);
    harness.run_time = Duration::from_ms(200);
    harness.offer_load(12000, 8);
    check(
        &mut harness,
        &["log"],
        &expect![[r#"
            12820 log: mode rate_limited R=6.5/s ratio=0.21 resp=0.68 best=0.20
            20600 log: mode unlimited R=5.9/s admitted=6.1/s ratio=0.28 resp=0.51 best=0.20
        "#]],
    );
}

/// Guards against an admission rate that counts the sessions that it holds back as load, and so falls for
/// ever.
#[test]
fn new_sessions_that_wait_for_tokens_do_not_count_as_queued() {
    let mut harness = Harness::new("");
    harness.offer_load(8000, 9);
    harness.run_time = Duration::from_ms(300);
    harness.offer_load(4000, 20);
    harness.run_time = Duration::from_ms(100);
    harness.offer_load(8000, 30);
    check(
        &mut harness,
        &["log"],
        &expect![[r#"
            12820 log: mode rate_limited R=8.8/s ratio=0.38 resp=0.52 best=0.20
            13480 log: mode unlimited R=8.8/s admitted=12.1/s ratio=1.00 resp=0.20 best=0.20
            16480 log: mode rate_limited R=20.0/s ratio=0.66 resp=0.44 best=0.20
        "#]],
    );
}

#[test]
fn active_sessions_pass_while_new_sessions_need_tokens() {
    let mut harness = Harness::new("");
    harness.offer_load(2000, 9);
    harness.receive("first", RequestSpec { session: "regular", ..RequestSpec::default() });
    harness.offer_load(500, 0);
    harness.run_time = Duration::from_ms(400);
    while harness.take_trace(&["mode rate_limited"]).is_empty() {
        harness.offer_load(40, 30);
    }
    harness.run_time = Duration::from_ms(100);
    for i in 0..4 {
        harness.receive(
            &format!("new{i}"),
            RequestSpec { session: &format!("stranger{i}"), ..RequestSpec::default() },
        );
    }
    harness.receive("again", RequestSpec { session: "regular", ..RequestSpec::default() });
    harness.offer_load(600, 0);
    check(
        &mut harness,
        &["new", "again", "log"],
        &expect![[r#"
            8830  Reject { request: new0, retry_after: Duration(40000), do_not_retry_elsewhere: true }
            8830  Reject { request: new1, retry_after: Duration(40000), do_not_retry_elsewhere: true }
            8830  Reject { request: new2, retry_after: Duration(40000), do_not_retry_elsewhere: true }
            8830  Reject { request: new3, retry_after: Duration(44747), do_not_retry_elsewhere: true }
            8940  Run(again)
        "#]],
    );
}

/// Guards against the loss of the active-session flag, after which only their rank favoured requests of
/// active sessions.
#[test]
fn active_sessions_need_no_token() {
    let mut harness = Harness::new("");
    harness.receive("first", RequestSpec { session: "regular", ..RequestSpec::default() });
    harness.offer_load(4000, 9);
    harness.run_time = Duration::from_ms(300);
    while harness.take_trace(&["mode rate_limited"]).is_empty() {
        harness.offer_load(40, 25);
    }
    // The admission rate limits from now on, and its bucket is empty. Gauges far below the number of running
    // requests raise the concurrency target, so that concurrency delays no request.
    for _ in 0..24 {
        harness.tick(-20.0);
    }
    for i in 0..2 {
        harness.receive(&format!("known{i}"), RequestSpec { session: "regular", ..RequestSpec::default() });
        harness.receive(
            &format!("new{i}"),
            RequestSpec { session: &format!("stranger{i}"), ..RequestSpec::default() },
        );
    }
    check(
        &mut harness,
        &["known", "new"],
        &expect![[r#"
            8840  Run(known0)
            8840  Run(known1)
        "#]],
    );
}
