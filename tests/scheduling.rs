//! Traces of scheduling: queue order, concurrency, late rejection, expiry and preemption.
//!
//! `UPDATE_EXPECT=1 cargo test` rewrites the expected traces.

mod helpers;

use expect_test::expect;
use hazelspur::Outcome;
use helpers::{Harness, RequestSpec, check};

#[test]
fn short_and_long_runs_wait_in_two_queues() {
    let settings = "server.cores=4 counted_by=work op_types.0.target_latency_us=9000000 op_types.0.op_timeout_us=9000000";
    let mut harness = Harness::new(settings);
    let with_cost = |ms| RequestSpec { cost_ms: Some(ms), remaining_wait_ms: 9000, ..RequestSpec::default() };
    for i in 0..6 {
        harness.receive(&format!("short{i}"), with_cost(100));
    }
    for i in 0..4 {
        harness.receive(&format!("long{i}"), with_cost(1000));
    }
    for i in 6..9 {
        harness.receive(&format!("short{i}"), with_cost(100));
    }
    harness.decide();
    for i in 0..5 {
        harness.at(100 + i).finish_run(&format!("short{i}"), Outcome::Ok).decide();
    }
    check(
        &mut harness,
        &["Run"],
        &expect![[r#"
            0     Run(short0)
            0     Run(short1)
            0     Run(short2)
            0     Run(short3)
            100   Run(short4)
            101   Run(short5)
            102   Run(long0)
            103   Run(long1)
            104   Run(short6)
        "#]],
    );
}

#[test]
fn every_request_is_answered_before_its_deadline() {
    let mut harness = Harness::new("server.stop=none op_types.0.target_latency_us=4000000");
    for name in ["a", "b"] {
        harness.receive(name, RequestSpec { remaining_wait_ms: 900, ..RequestSpec::default() });
    }
    harness.decide();
    harness
        .at(500)
        .receive("late", RequestSpec { remaining_wait_ms: 300, ..RequestSpec::default() })
        .decide();
    harness.at(800).decide();
    harness.at(870).tick(2.0).decide();
    harness.at(2000).finish_run("a", Outcome::Ok);
    check(
        &mut harness,
        &[],
        &expect![[r#"
            0     Run(a)
            0     Run(b)
            500   Reject { request: late, retry_after: Duration(149707), do_not_retry_elsewhere: true }
            870   Fail(a)
            870   Fail(b)
        "#]],
    );
}

#[test]
fn runs_past_their_objective_are_failed_and_preempted() {
    let mut harness = Harness::new("");
    harness.receive("slow", RequestSpec::default()).decide();
    harness.at(970).tick(1.0).decide();
    harness.at(1000).tick(1.0).decide();
    harness.at(1200).tick(1.0).decide();
    harness.at(1210).finish_run("slow", Outcome::Preempted);
    check(
        &mut harness,
        &[],
        &expect![[r#"
            0     Run(slow)
            970   Fail(slow)
            970   Preempt(slow)
            1200  Preempt(slow)
        "#]],
    );
}

#[test]
fn a_cold_server_has_a_lower_concurrency_limit() {
    let started_runs = |settings: &str| {
        let mut harness = Harness::new(settings);
        for _ in 0..24 {
            harness.tick(-20.0);
        }
        for i in 0..12 {
            harness.receive(&format!("op{i:02}"), RequestSpec::default());
        }
        harness.decide().iter().filter(|decision| format!("{decision:?}").starts_with("Run")).count()
    };
    let trace = format!("warm {} cold {}\n", started_runs("server.cold=0"), started_runs("server.cold=1"));
    expect![[r#"
        warm 7 cold 2
    "#]]
    .assert_eq(&trace);
}

/// Reads of requests occupy cores in addition to runs; runs that wait for disk occupy none.
#[test]
fn the_concurrency_target_follows_the_core_gauge() {
    let started_runs = |on_cores: f64| {
        let mut harness = Harness::new("server.cores=6");
        for i in 0..6 {
            harness.receive(&format!("a{i}"), RequestSpec::default());
        }
        harness.decide();
        for _ in 0..24 {
            harness.tick(on_cores);
        }
        for i in 0..12 {
            harness.receive(&format!("b{i}"), RequestSpec::default());
        }
        harness.decide().iter().filter(|decision| format!("{decision:?}").starts_with("Run")).count() + 6
    };
    let trace =
        format!("reads {} plain {} disk {}\n", started_runs(8.0), started_runs(6.0), started_runs(3.0));
    expect![[r#"
        reads 6 plain 6 disk 9
    "#]]
    .assert_eq(&trace);
}

/// All runs take 300 ms, mostly for disk, whatever cost the client states: several times the cost does not
/// mean several times the run time.
#[test]
fn a_large_rough_cost_hint_does_not_reject_a_request_as_late() {
    let mut harness = Harness::new("counted_by=work");
    for i in 0..24 {
        let name = format!("op{i}");
        harness
            .at(i * 400)
            .receive(&name, RequestSpec { cost_ms: Some(100 + i * 5), ..RequestSpec::default() })
            .decide();
        harness.at(i * 400 + 300).finish_run(&name, Outcome::Ok).decide();
    }
    harness.take_trace(&[]);
    harness.receive("large", RequestSpec { cost_ms: Some(900), ..RequestSpec::default() });
    check(
        &mut harness,
        &["large"],
        &expect![[r#"
            9500  Run(large)
        "#]],
    );
}

#[test]
fn a_late_attempt_is_recognized_by_its_clients_remaining_wait() {
    let mut harness = Harness::new("");
    // Each client sends one request: which waits are common is judged over all clients of the class.
    let with_wait = |ms| RequestSpec { remaining_wait_ms: ms, client: ms, ..RequestSpec::default() };
    for i in 0..8 {
        let name = format!("first{i}");
        harness.at(i * 500).receive(&name, RequestSpec { client: i, ..with_wait(2000) }).decide();
        harness.at(i * 500 + 200).finish_run(&name, Outcome::Ok).decide();
    }
    harness.take_trace(&[]);
    harness.at(4000).receive("within", with_wait(1900)).receive("too-late", with_wait(1100)).decide();
    harness
        .at(4300)
        .finish_run("within", Outcome::Ok)
        .receive("last-try", with_wait(3100))
        .receive("fresh", with_wait(2000));
    check(
        &mut harness,
        &[],
        &expect![[r#"
            4000  Reject { request: too-late, retry_after: Duration(179649), do_not_retry_elsewhere: false }
            4000  Run(within)
            4300  Reject { request: last-try, retry_after: Duration(247817), do_not_retry_elsewhere: false }
            4300  Run(fresh)
        "#]],
    );
}

/// Guards against a slowdown factor that follows one costly run on a server of two cores, and so rejects all
/// arrivals.
#[test]
fn one_costly_run_is_not_taken_for_a_slow_server() {
    let mut harness = Harness::new("");
    for i in 0..8 {
        let name = format!("a{i}");
        harness.at(i * 300).receive(&name, RequestSpec::default()).decide();
        harness.at(i * 300 + 200).finish_run(&name, Outcome::Ok).decide();
    }
    harness.take_trace(&[]);
    harness.at(3000).receive("costly", RequestSpec::default()).decide();
    harness.at(3700).receive("next", RequestSpec::default()).decide();
    harness.at(3900).finish_run("next", Outcome::Ok).receive("after", RequestSpec::default()).decide();
    check(
        &mut harness,
        &[],
        &expect![[r#"
        3000  Run(costly)
        3700  Run(next)
        3900  Run(after)
    "#]],
    );
}
