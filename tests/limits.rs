//! Traces of the memory limit, draining, stray events, extreme settings and invalid settings.
//!
//! `UPDATE_EXPECT=1 cargo test` rewrites the expected traces.

mod helpers;

use expect_test::expect;
use hazelspur::{Catalog, Outcome, RuntimeGauges, Timestamp};
use helpers::{Harness, RequestSpec, check, flat_settings};

#[test]
fn memory_limits_running_and_queued_requests() {
    let mut harness = Harness::new("server.memory_kb=1000");
    for name in ["a", "b", "c"] {
        harness.receive(name, RequestSpec { size_kb: 60.0, ..RequestSpec::default() });
    }
    harness.decide();
    for name in ["d", "e"] {
        harness.receive(name, RequestSpec { size_kb: 200.0, ..RequestSpec::default() });
    }
    check(
        &mut harness,
        &[],
        &expect![[r#"
            0     Run(a)
            0     Reject { request: e, retry_after: Duration(40000), do_not_retry_elsewhere: false }
        "#]],
    );
}

#[test]
fn draining_rejects_late_arrivals_and_answers_all_requests() {
    let mut harness = Harness::new("");
    harness.receive("a", RequestSpec::default()).decide();
    harness
        .at(100)
        .controller
        .shutdown_notice(Timestamp::from_us(50_100_000), Timestamp::from_us(53_000_000));
    harness.decide();
    harness.at(2000).receive("in-grace", RequestSpec::default()).decide();
    harness.at(2200).receive("past-grace", RequestSpec::default()).decide();
    harness.at(2760).tick(1.0);
    check(
        &mut harness,
        &[],
        &expect![[r#"
            0     Run(a)
            100   log: mode draining in_hand=1
            100   SetHealth { active: false, cached: true }
            2000  Fail(a)
            2000  Preempt(a)
            2000  Run(in-grace)
            2200  Reject { request: past-grace, retry_after: Duration(173473), do_not_retry_elsewhere: false }
            2760  Fail(in-grace)
            2760  Preempt(a)
            2760  Preempt(in-grace)
        "#]],
    );
}

#[test]
fn stray_events_are_ignored_and_an_unknown_class_is_rejected() {
    let mut harness = Harness::new("op_types.0.target_latency_us=4000000");
    for name in ["a", "b", "c"] {
        harness.receive(name, RequestSpec { cost_ms: Some(500), ..RequestSpec::default() });
    }
    harness.receive("odd", RequestSpec { request_class: 9, ..RequestSpec::default() }).decide();
    harness
        .at(10)
        .finish_run("c", Outcome::Preempted)
        .finish_run("c", Outcome::Ok)
        .finish_run("nobody", Outcome::Ok);
    harness.call_requested("c").call_finished("a", Outcome::Ok);
    harness.at(500).finish_run("a", Outcome::Ok).finish_run("a", Outcome::Ok);
    check(
        &mut harness,
        &[],
        &expect![[r#"
            0     Reject { request: odd, retry_after: Duration(0), do_not_retry_elsewhere: true }
            0     Run(a)
            0     Run(b)
            500   Run(c)
        "#]],
    );
}

#[test]
fn extreme_settings_still_give_decisions() {
    let decision_counts = |settings: &str, clients: u64, gauges: RuntimeGauges| {
        let mut harness = Harness::new(settings);
        for i in 0..6000 {
            let name = format!("a{i}");
            harness.at(i * 2).receive(&name, RequestSpec { client: i % clients, ..RequestSpec::default() });
            harness.controller.timer_tick(harness.now, gauges);
            harness.decide();
            harness.finish_run(&name, Outcome::Ok).decide();
        }
        let lines = harness.take_trace(&[]);
        let count = |word: &str| lines.lines().filter(|line| line.contains(word)).count();
        format!(
            "run {} reject {} fail {} idle {}",
            count(" Run"),
            count(" Reject"),
            count(" Fail"),
            count("SetIdleTimeout")
        )
    };
    let idle = RuntimeGauges::with_requests_on_cores(0.0);
    let bare = decision_counts("server.cores=1 servers=0", 1, RuntimeGauges::default());
    let many = decision_counts("server.caller_idle_us=30000000", 5000, idle);
    let no_memory = decision_counts("server.memory_kb=5", 3, idle);
    let no_calls = decision_counts("server.calls_bound=0 server.calls_over_us=0", 3, idle);
    let counts = format!("bare {bare}\nmany {many}\nno memory {no_memory}\nno calls {no_calls}\n");
    expect![[r#"
        bare run 6000 reject 0 fail 0 idle 2
        many run 6000 reject 0 fail 0 idle 1
        no memory run 0 reject 6000 fail 0 idle 2
        no calls run 6000 reject 0 fail 0 idle 2
    "#]]
    .assert_eq(&counts);
}

#[test]
fn an_error_names_the_setting_that_is_out_of_range() {
    let error_text = |settings: &str| {
        Catalog::from_flat(flat_settings(settings)).err().map(|error| error.to_string()).unwrap_or_default()
    };
    let errors = format!(
        "{}\n{}\n{}\n",
        error_text("server.cores=0"),
        error_text("server.memory_kb=-1"),
        error_text("rules.cold_us=-5")
    );
    expect![[r#"
        setting server.cores is out of range: 0
        setting server.memory_kb is out of range: -1
        setting rules.cold_us is out of range: -5
    "#]]
    .assert_eq(&errors);
}
