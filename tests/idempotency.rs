//! Traces of idempotency keys and of retries.
//!
//! `UPDATE_EXPECT=1 cargo test` rewrites the expected traces.

mod helpers;

use expect_test::expect;
use hazelspur::Outcome;
use helpers::{Harness, RequestSpec, check};

#[test]
fn retries_of_keyed_requests_are_answered_from_the_original() {
    let mut harness = Harness::new("op_types.0.repeats=keyed op_types.0.window_us=5000000");
    let retry_of = |original| RequestSpec { retry_of: Some(original), ..RequestSpec::default() };
    harness.receive("first", RequestSpec::default()).decide();
    harness.at(50).receive("second", retry_of("first")).decide();
    harness.at(60).receive("long-gone", retry_of("unknown")).decide();
    // Two attempts that are received together name each other as original.
    harness.at(70).receive("left", retry_of("right")).receive("right", retry_of("left")).decide();
    harness.at(200).finish_run("first", Outcome::Ok).finish_run("second", Outcome::Ok);
    check(
        &mut harness,
        &[],
        &expect![[r#"
            0     StoreKey { request: first, window: Duration(5000000) }
            0     Run(first)
            50    AnswerFromOriginal(second)
            60    AnswerFromOriginal(long-gone)
            70    StoreKey { request: left, window: Duration(5000000) }
            70    AnswerFromOriginal(right)
            70    Run(left)
        "#]],
    );
}

#[test]
fn non_idempotent_requests_of_a_session_share_no_result() {
    let mut harness = Harness::new("server.share_reads_us=500000 op_types.0.repeats=non-retryable");
    harness.receive("first", RequestSpec { session: "u", ..RequestSpec::default() });
    harness.decide();
    harness.receive("next", RequestSpec { session: "u", retry_of: Some("first"), ..RequestSpec::default() });
    check(
        &mut harness,
        &["StoreKey", "AnswerFromOriginal", "Run"],
        &expect![[r#"
        0     Run(first)
        0     Run(next)
    "#]],
    );
}
