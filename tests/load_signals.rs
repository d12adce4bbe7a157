//! Traces of the signals to clients: retries elsewhere, Retry-After, advertised capacity and the idle timeout
//! of connections.
//!
//! `UPDATE_EXPECT=1 cargo test` rewrites the expected traces.

mod helpers;

use expect_test::expect;
use hazelspur::{Duration, GuidanceKey};
use helpers::{Harness, RequestSpec, check};

/// Guards against retry storms, in which each rejection by an overloaded server led to nine attempts at
/// others.
#[test]
fn a_high_rejected_share_forbids_retries_elsewhere() {
    let rejections_forbidding_retries = |settings: &str, per_s: u64| {
        let mut harness = Harness::new(settings);
        harness.offer_load(6000, per_s);
        harness.take_trace(&[]);
        harness.offer_load(2000, per_s);
        let trace = harness.take_trace(&["Reject"]);
        format!("{} of {}", trace.matches("do_not_retry_elsewhere: true").count(), trace.lines().count())
    };
    let trace = format!(
        "few {}\nmost {}\ncold {}\n",
        rejections_forbidding_retries("", 11),
        rejections_forbidding_retries("", 60),
        rejections_forbidding_retries("server.cold=1", 60)
    );
    expect![[r#"
        few 0 of 2
        most 100 of 100
        cold 0 of 100
    "#]]
    .assert_eq(&trace);
}

#[test]
fn retries_elsewhere_follow_the_fleets_rejected_share() {
    let rejections_forbidding_retries = |rejected_share: f64, per_s: u64| {
        let mut harness = Harness::new("");
        harness.set_guidance(GuidanceKey::RejectedShare, Some(rejected_share));
        harness.offer_load(6000, per_s);
        harness.take_trace(&[]);
        harness.offer_load(2000, per_s);
        let trace = harness.take_trace(&["Reject"]);
        format!("{} of {}", trace.matches("do_not_retry_elsewhere: true").count(), trace.lines().count())
    };
    let trace = format!(
        "only here {}\neverywhere {}\n",
        rejections_forbidding_retries(0.0, 60),
        rejections_forbidding_retries(0.9, 11)
    );
    expect![[r#"
        only here 0 of 100
        everywhere 2 of 2
    "#]]
    .assert_eq(&trace);
}

#[test]
fn credit_follows_the_objective_time_left_after_a_run() {
    let last_credit = |run_ms: u64| {
        let mut harness = Harness::new("server.value=credit");
        harness.run_time = Duration::from_ms(run_ms);
        harness.offer_load(3000, 30);
        harness.take_trace(&["AdvertiseCapacity"]).lines().last().unwrap_or_default().to_string()
    };
    expect![[r#"
        short 2240  AdvertiseCapacity(13.55)
        long 2470  AdvertiseCapacity(2.3)
    "#]]
    .assert_eq(&format!("short {}\nlong {}\n", last_credit(100), last_credit(400)));
}

/// Guards against a table full of clients that never return, which left 97 of 100 attempts without a
/// connection. While all cores are taken, a full table is kept: it turns attempts away unread.
#[test]
fn idle_timeout_is_short_for_free_cores_and_one_time_clients() {
    let last_timeout = |clients: u64, on_cores: f64| {
        let mut harness = Harness::new("server.caller_idle_us=30000000");
        for i in 0..100 {
            let name = format!("a{i}");
            harness
                .at(i * 40)
                .receive(&name, RequestSpec { client: i % clients, ..RequestSpec::default() })
                .tick(on_cores)
                .decide();
        }
        harness.take_trace(&["SetIdleTimeout"]).lines().last().unwrap_or_default().to_string()
    };
    let trace = format!(
        "many {}\nfew {}\nmany, busy {}\n",
        last_timeout(100, 1.0),
        last_timeout(4, 1.0),
        last_timeout(100, 3.0)
    );
    expect![[r#"
        many 920   SetIdleTimeout(Duration(4000000))
        few 2680  SetIdleTimeout(Duration(30000000))
        many, busy 920   SetIdleTimeout(Duration(30000000))
    "#]]
    .assert_eq(&trace);
}

/// Guards against a Retry-After of 1 s to each of three gateways, which together kept all requests away.
#[test]
fn retry_after_is_at_most_the_usual_gap_of_the_client() {
    let last_rejection = |clients: u64| {
        let mut harness = Harness::new("");
        for i in 0..60 {
            let name = format!("a{i}");
            harness
                .at(i * 20)
                .receive(&name, RequestSpec { client: i % clients, ..RequestSpec::default() })
                .decide();
        }
        harness.take_trace(&["Reject"]).lines().last().unwrap_or_default().to_string()
    };
    expect![[r#"
        three 1180  Reject { request: a59, retry_after: Duration(69309), do_not_retry_elsewhere: true }
        sixty 1180  Reject { request: a59, retry_after: Duration(164463), do_not_retry_elsewhere: true }
    "#]]
    .assert_eq(&format!("three {}\nsixty {}\n", last_rejection(3), last_rejection(60)));
}

/// A zero `client_idle_timeout` means unknown. Taken for a maximum, it would close connections at once.
#[test]
fn idle_timeout_is_not_zero_if_the_client_timeout_is_unknown() {
    let mut harness = Harness::new("");
    harness.offer_load(3000, 9);
    check(
        &mut harness,
        &["SetIdleTimeout"],
        &expect![[r#"
            2680  SetIdleTimeout(Duration(32000000))
        "#]],
    );
}
