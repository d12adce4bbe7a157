//! Short traces of decisions, read by people. `UPDATE_EXPECT=1 cargo test` writes them anew.

mod helpers;

use expect_test::{Expect, expect};
use hazelspur::{Catalog, Duration, GuidanceKey, Outcome, RuntimeGauges, Timestamp};
use helpers::{Play, Read, flat_settings};

fn check(play: &mut Play, words: &[&str], expected: &Expect) {
    play.pull();
    expected.assert_eq(&play.seen(words));
}

#[test]
fn power_test_binds_cuts_and_lets_go() {
    // Bound by longer runs, cut while they last, raised and let go once they are short again.
    let mut play = Play::new("");
    play.load(8000, 9);
    play.run = Duration::from_ms(300);
    play.load(12000, 20);
    play.run = Duration::from_ms(200);
    play.load(12000, 8);
    check(
        &mut play,
        &["log"],
        &expect![[r#"
            12820 log: mode rate_limited R=6.5/s ratio=0.21 resp=0.68 best=0.20
            20600 log: mode unlimited R=5.9/s admitted=6.1/s ratio=0.28 resp=0.51 best=0.20
        "#]],
    );
}

#[test]
fn openings_held_back_by_the_rate_do_not_press_a_cycle() {
    // Once R counted them as held work it cut itself for ever.
    let mut play = Play::new("");
    play.load(8000, 9);
    play.run = Duration::from_ms(300);
    play.load(4000, 20);
    play.run = Duration::from_ms(100);
    play.load(8000, 30);
    check(
        &mut play,
        &["log"],
        &expect![[r#"
            12820 log: mode rate_limited R=8.8/s ratio=0.38 resp=0.52 best=0.20
            13480 log: mode unlimited R=8.8/s admitted=12.1/s ratio=1.00 resp=0.20 best=0.20
            16480 log: mode rate_limited R=20.0/s ratio=0.66 resp=0.44 best=0.20
        "#]],
    );
}

#[test]
fn listed_users_pass_while_openings_meet_the_rate() {
    let mut play = Play::new("");
    play.load(2000, 9);
    play.read("first", Read { user: "regular", ..Read::default() });
    play.load(500, 0);
    play.run = Duration::from_ms(400);
    while play.seen(&["mode rate_limited"]).is_empty() {
        play.load(40, 30);
    }
    play.run = Duration::from_ms(100);
    for i in 0..4 {
        play.read(&format!("new{i}"), Read { user: &format!("stranger{i}"), ..Read::default() });
    }
    play.read("again", Read { user: "regular", ..Read::default() });
    play.load(600, 0);
    check(
        &mut play,
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

#[test]
fn listed_users_need_no_token() {
    // The listing was once lost on its way into the books, and only the rank still told of it.
    let mut play = Play::new("");
    play.read("first", Read { user: "regular", ..Read::default() });
    play.load(4000, 9);
    play.run = Duration::from_ms(300);
    while play.seen(&["mode rate_limited"]).is_empty() {
        play.load(40, 25);
    }
    // R has just been bound, with no token yet; let there be slots for all.
    for _ in 0..24 {
        play.beat(-20.0);
    }
    for i in 0..2 {
        play.read(&format!("known{i}"), Read { user: "regular", ..Read::default() });
        play.read(&format!("new{i}"), Read { user: &format!("stranger{i}"), ..Read::default() });
    }
    check(
        &mut play,
        &["known", "new"],
        &expect![[r#"
            8840  Run(known0)
            8840  Run(known1)
        "#]],
    );
}

#[test]
fn short_and_long_work_wait_in_two_lines() {
    let more = "server.cores=4 counted_by=work op_types.0.target_latency_us=9000000 op_types.0.op_timeout_us=9000000";
    let mut play = Play::new(more);
    let cost = |ms| Read { cost_ms: Some(ms), wait_ms: 9000, ..Read::default() };
    for i in 0..6 {
        play.read(&format!("short{i}"), cost(100));
    }
    for i in 0..4 {
        play.read(&format!("long{i}"), cost(1000));
    }
    for i in 6..9 {
        play.read(&format!("short{i}"), cost(100));
    }
    play.pull();
    for i in 0..5 {
        play.at(100 + i).ended(&format!("short{i}"), Outcome::Ok).pull();
    }
    check(
        &mut play,
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
fn every_op_is_answered_before_it_is_due() {
    let mut play = Play::new("server.stop=none op_types.0.target_latency_us=4000000");
    for name in ["a", "b"] {
        play.read(name, Read { wait_ms: 900, ..Read::default() });
    }
    play.pull();
    play.at(500).read("late", Read { wait_ms: 300, ..Read::default() }).pull();
    play.at(800).pull();
    play.at(870).beat(2.0).pull();
    play.at(2000).ended("a", Outcome::Ok);
    check(
        &mut play,
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
fn worthless_runs_are_failed_and_stopped() {
    let mut play = Play::new("");
    play.read("slow", Read::default()).pull();
    play.at(970).beat(1.0).pull();
    play.at(1000).beat(1.0).pull();
    play.at(1200).beat(1.0).pull();
    play.at(1210).ended("slow", Outcome::Preempted);
    check(
        &mut play,
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
fn memory_bounds_runs_and_the_hold() {
    let mut play = Play::new("server.memory_kb=1000");
    for name in ["a", "b", "c"] {
        play.read(name, Read { kb: 60.0, ..Read::default() });
    }
    play.pull();
    for name in ["d", "e"] {
        play.read(name, Read { kb: 200.0, ..Read::default() });
    }
    check(
        &mut play,
        &[],
        &expect![[r#"
            0     Run(a)
            0     Reject { request: e, retry_after: Duration(40000), do_not_retry_elsewhere: false }
        "#]],
    );
}

#[test]
fn a_cold_server_keeps_a_smaller_crowd() {
    let run = |more: &str| {
        let mut play = Play::new(more);
        for _ in 0..24 {
            play.beat(-20.0);
        }
        for i in 0..12 {
            play.read(&format!("op{i:02}"), Read::default());
        }
        play.pull().iter().filter(|d| format!("{d:?}").starts_with("Run")).count()
    };
    let seen = format!("warm {} cold {}\n", run("server.cold=0"), run("server.cold=1"));
    expect![[r#"
        warm 7 cold 2
    "#]]
    .assert_eq(&seen);
}

#[test]
fn the_run_bound_follows_the_gauge() {
    // Reads load the cores too; requests waiting for disk don't.
    let bound = |on_cores: f64| {
        let mut play = Play::new("server.cores=6");
        for i in 0..6 {
            play.read(&format!("a{i}"), Read::default());
        }
        play.pull();
        for _ in 0..24 {
            play.beat(on_cores);
        }
        for i in 0..12 {
            play.read(&format!("b{i}"), Read::default());
        }
        play.pull().iter().filter(|d| format!("{d:?}").starts_with("Run")).count() + 6
    };
    let seen = format!("reads {} plain {} disk {}\n", bound(8.0), bound(6.0), bound(3.0));
    expect![[r#"
        reads 6 plain 6 disk 9
    "#]]
    .assert_eq(&seen);
}

#[test]
fn calls_stay_in_bounds_and_unsafe_ones_are_not_repeated() {
    let more = "server.calls_bound=1.2 op_types.1.target_latency_us=1000000 op_types.1.op_timeout_us=4000000 \
        op_types.1.repeats=non-retryable";
    let mut play = Play::new(more);
    play.read("a", Read::default()).read("b", Read { request_class: 1, ..Read::default() }).pull();
    play.call_requested("a").call_requested("b").pull();
    play.at(100).call_finished("a", Outcome::TimedOut).pull();
    play.at(160).call_finished("a", Outcome::Rejected).pull();
    play.at(200).call_finished("b", Outcome::Rejected).pull();
    play.at(250).pull();
    play.at(300).call_finished("b", Outcome::ConnectionLost);
    check(
        &mut play,
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

#[test]
fn a_reply_that_never_comes_or_breaks_holds_its_run_for_a_few_usual_calls() {
    // Runs that waited for lost replies until they were due took up the calls of all the others.
    let mut play = Play::new("server.calls_bound=20 server.lingers_us=200000");
    play.read("a", Read::default()).pull();
    for i in 0..4 {
        play.at(i * 20).call_requested("a").pull();
        play.at(i * 20 + 10).call_finished("a", Outcome::Ok).pull();
    }
    play.at(100).call_requested("a").pull();
    play.at(101).call_finished("a", Outcome::ConnectionLost).pull();
    play.at(181).call_finished("a", Outcome::TimedOut).pull();
    let seen = play.seen(&[]);
    let calls: Vec<&str> = seen.lines().filter(|line| line.contains("Call")).collect();
    expect![[r#"
        60    StartCall { request: a, timeout: Duration(80000) }
        100   StartCall { request: a, timeout: Duration(80000) }
        101   StartCall { request: a, timeout: Duration(80000) }
        181   StartCall { request: a, timeout: Duration(3819000) }"#]]
    .assert_eq(&calls[3..].join("\n"));
}

#[test]
fn a_drain_runs_nothing_late_and_answers_all() {
    let mut play = Play::new("");
    play.read("a", Read::default()).pull();
    play.at(100).controller.shutdown_notice(Timestamp::from_us(50_100_000), Timestamp::from_us(53_000_000));
    play.pull();
    play.at(2000).read("in-grace", Read::default()).pull();
    play.at(2200).read("past-grace", Read::default()).pull();
    play.at(2760).beat(1.0);
    check(
        &mut play,
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
fn keyed_repeats_are_served_from_the_first_try() {
    let mut play = Play::new("op_types.0.repeats=keyed op_types.0.window_us=5000000");
    let repeat = |of| Read { retry_of: Some(of), ..Read::default() };
    play.read("first", Read::default()).pull();
    play.at(50).read("second", repeat("first")).pull();
    play.at(60).read("long-gone", repeat("unknown")).pull();
    // Two tries read together name each other.
    play.at(70).read("left", repeat("right")).read("right", repeat("left")).pull();
    play.at(200).ended("first", Outcome::Ok).ended("second", Outcome::Ok);
    check(
        &mut play,
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
fn a_large_op_with_a_rough_hint_is_not_taken_for_too_late() {
    // Runs of 300 ms, mostly disk, whatever the hint says: three times the hint is not three times the run.
    let mut play = Play::new("counted_by=work");
    for i in 0..24 {
        let name = format!("op{i}");
        play.at(i * 400).read(&name, Read { cost_ms: Some(100 + i * 5), ..Read::default() }).pull();
        play.at(i * 400 + 300).ended(&name, Outcome::Ok).pull();
    }
    play.seen(&[]);
    play.read("large", Read { cost_ms: Some(900), ..Read::default() });
    check(
        &mut play,
        &["large"],
        &expect![[r#"
            9500  Run(large)
        "#]],
    );
}

#[test]
fn nacks_ask_for_no_other_server_once_much_is_refused() {
    // Once a server under a storm of reads passed for a weak one, and each nack brought nine tries elsewhere.
    let last = |more: &str, per_s: u64| {
        let mut play = Play::new(more);
        play.load(6000, per_s);
        play.seen(&[]);
        play.load(2000, per_s);
        let seen = play.seen(&["Reject"]);
        format!("{} of {}", seen.matches("do_not_retry_elsewhere: true").count(), seen.lines().count())
    };
    let seen = format!("few {}\nmost {}\ncold {}\n", last("", 11), last("", 60), last("server.cold=1", 60));
    expect![[r#"
        few 0 of 2
        most 100 of 100
        cold 0 of 100
    "#]]
    .assert_eq(&seen);
}

#[test]
fn nacks_go_by_what_all_refuse_where_that_is_known() {
    let last = |refused: f64, per_s: u64| {
        let mut play = Play::new("");
        play.set_guidance(GuidanceKey::RejectedShare, Some(refused));
        play.load(6000, per_s);
        play.seen(&[]);
        play.load(2000, per_s);
        let seen = play.seen(&["Reject"]);
        format!("{} of {}", seen.matches("do_not_retry_elsewhere: true").count(), seen.lines().count())
    };
    let seen = format!("only here {}\neverywhere {}\n", last(0.0, 60), last(0.9, 11));
    expect![[r#"
        only here 0 of 100
        everywhere 2 of 2
    "#]]
    .assert_eq(&seen);
}

#[test]
fn while_calls_reach_nobody_what_calls_is_held_and_other_work_goes_on() {
    let more = "server.calls_bound=4 op_types.1.target_latency_us=1000000 op_types.1.op_timeout_us=4000000 \
        op_types.1.repeats=retryable";
    let mut play = Play::new(more);
    play.read("a", Read::default()).pull();
    play.at(50).call_requested("a").pull();
    play.at(100).call_finished("a", Outcome::Ok).pull();
    play.at(150).ended("a", Outcome::Ok).pull();
    play.at(200).read("b", Read::default()).pull();
    play.at(250).call_requested("b").set_guidance(GuidanceKey::BreakerOpen, Some(1.0)).pull();
    play.at(300).read("c", Read::default()).read("d", Read { request_class: 1, ..Read::default() }).pull();
    play.at(500).set_guidance(GuidanceKey::BreakerOpen, None).pull();
    play.at(600).call_finished("b", Outcome::Ok).set_guidance(GuidanceKey::BreakerOpen, Some(1.0)).pull();
    play.read("e", Read::default()).pull();
    for ms in (640..2000).step_by(40) {
        play.at(ms).beat(0.0).pull();
    }
    check(
        &mut play,
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
fn what_can_go_on_without_its_call_does_so_at_once_while_calls_reach_nobody() {
    let mut play = Play::new("server.calls_bound=4 server.skip_worth.0=0.5");
    play.read("a", Read::default()).pull();
    play.at(50).call_requested("a").pull();
    play.at(100).call_finished("a", Outcome::Ok).pull();
    play.at(150).ended("a", Outcome::Ok).set_guidance(GuidanceKey::BreakerOpen, Some(1.0)).pull();
    play.at(200).read("b", Read::default()).pull();
    play.at(250).call_requested("b").pull();
    check(
        &mut play,
        &["Run", "Call", "Skip", "Fail"],
        &expect![[r#"
            0     Run(a)
            50    StartCall { request: a, timeout: Duration(3950000) }
            200   Run(b)
            250   SkipCall(b)
        "#]],
    );
}

#[test]
fn a_share_of_calls_that_shrinks_holds_at_once_and_nonsense_changes_nothing() {
    let mut play = Play::new("server.calls_bound=4 server.cores=8");
    let wants = |play: &mut Play, from: usize| {
        for i in from..from + 4 {
            play.read(&format!("o{i}"), Read::default());
        }
        play.pull();
        for i in from..from + 4 {
            play.call_requested(&format!("o{i}"));
        }
        play.pull();
        play.seen(&["Call"]).lines().count()
    };
    let plenty = wants(&mut play, 0);
    for i in 0..4 {
        play.call_finished(&format!("o{i}"), Outcome::Ok).ended(&format!("o{i}"), Outcome::Ok);
    }
    play.at(1000)
        .set_guidance(GuidanceKey::CallConcurrencyLimit, Some(0.5))
        .set_guidance(GuidanceKey::CallConcurrencyLimit, Some(0.5));
    let few = wants(&mut play, 10);
    for i in 10..14 {
        play.call_finished(&format!("o{i}"), Outcome::Ok).ended(&format!("o{i}"), Outcome::Ok);
    }
    // What is no number, below zero or none of these facts is as if it had not been told.
    play.at(2000).set_guidance(GuidanceKey::CallConcurrencyLimit, Some(f64::NAN));
    play.set_guidance(GuidanceKey::CallConcurrencyLimit, Some(-1.0));
    let again = wants(&mut play, 20);
    expect!["3 1 3"].assert_eq(&format!("{plenty} {few} {again}"));
}

#[test]
fn stray_events_do_no_harm_and_an_unknown_op_type_is_answered() {
    let mut play = Play::new("op_types.0.target_latency_us=4000000");
    for name in ["a", "b", "c"] {
        play.read(name, Read { cost_ms: Some(500), ..Read::default() });
    }
    play.read("odd", Read { request_class: 9, ..Read::default() }).pull();
    play.at(10).ended("c", Outcome::Preempted).ended("c", Outcome::Ok).ended("nobody", Outcome::Ok);
    play.call_requested("c").call_finished("a", Outcome::Ok);
    play.at(500).ended("a", Outcome::Ok).ended("a", Outcome::Ok);
    check(
        &mut play,
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
fn a_late_try_is_told_by_the_wait_left_to_its_caller() {
    let mut play = Play::new("");
    // Each caller is seen once: what is common shows over all of them.
    let wait = |ms| Read { wait_ms: ms, caller: ms, ..Read::default() };
    for i in 0..8 {
        let name = format!("first{i}");
        play.at(i * 500).read(&name, Read { caller: i, ..wait(2000) }).pull();
        play.at(i * 500 + 200).ended(&name, Outcome::Ok).pull();
    }
    play.seen(&[]);
    play.at(4000).read("within", wait(1900)).read("too-late", wait(1100)).pull();
    play.at(4300).ended("within", Outcome::Ok).read("last-try", wait(3100)).read("fresh", wait(2000));
    check(
        &mut play,
        &[],
        &expect![[r#"
            4000  Reject { request: too-late, retry_after: Duration(179649), do_not_retry_elsewhere: false }
            4000  Run(within)
            4300  Reject { request: last-try, retry_after: Duration(247817), do_not_retry_elsewhere: false }
            4300  Run(fresh)
        "#]],
    );
}

#[test]
fn credit_follows_what_targets_leave_after_a_run() {
    let said = |run_ms: u64| {
        let mut play = Play::new("server.value=credit");
        play.run = Duration::from_ms(run_ms);
        play.load(3000, 30);
        play.seen(&["AdvertiseCapacity"]).lines().last().unwrap_or_default().to_string()
    };
    expect![[r#"
        short 2240  AdvertiseCapacity(13.55)
        long 2470  AdvertiseCapacity(2.3)
    "#]]
    .assert_eq(&format!("short {}\nlong {}\n", said(100), said(400)));
}

#[test]
fn idle_connections_close_where_cores_are_free_and_callers_do_not_come_back() {
    // A table full of callers that never came back left 97 in 100 attempts without a connection; where all
    // cores are taken it turns tries away unread.
    let kept = |callers: u64, on_cores: f64| {
        let mut play = Play::new("server.caller_idle_us=30000000");
        for i in 0..100 {
            let name = format!("a{i}");
            play.at(i * 40)
                .read(&name, Read { caller: i % callers, ..Read::default() })
                .beat(on_cores)
                .pull();
        }
        play.seen(&["SetIdleTimeout"]).lines().last().unwrap_or_default().to_string()
    };
    let seen = format!("many {}\nfew {}\nmany, busy {}\n", kept(100, 1.0), kept(4, 1.0), kept(100, 3.0));
    expect![[r#"
        many 920   SetIdleTimeout(Duration(4000000))
        few 2680  SetIdleTimeout(Duration(30000000))
        many, busy 920   SetIdleTimeout(Duration(30000000))
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_share_of_calls_under_one_bounds_the_time_at_calls() {
    // At least one call a server let 209 servers overturn a dependency that survives 134 calls.
    let mut play = Play::new("server.calls_bound=0.4 server.calls_over_us=5000000 server.lingers_us=200000");
    for i in 0..4 {
        let name = format!("a{i}");
        play.at(i * 1000).read(&name, Read::default()).pull();
        play.at(i * 1000 + 100).call_requested(&name).pull();
        play.at(i * 1000 + 600).call_finished(&name, Outcome::TimedOut).pull();
    }
    let mut none = Play::new("server.calls_bound=0");
    none.read("b", Read::default()).pull();
    none.call_requested("b").pull();
    let seen = format!("{}none:\n{}", play.seen(&[]), none.seen(&[]));
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
    .assert_eq(&seen);
}

#[test]
fn one_costly_run_does_not_pass_for_a_slow_server() {
    // On two cores the middle of the runs was the one costly run, and all that came was refused.
    let mut play = Play::new("");
    for i in 0..8 {
        let name = format!("a{i}");
        play.at(i * 300).read(&name, Read::default()).pull();
        play.at(i * 300 + 200).ended(&name, Outcome::Ok).pull();
    }
    play.seen(&[]);
    play.at(3000).read("costly", Read::default()).pull();
    play.at(3700).read("next", Read::default()).pull();
    play.at(3900).ended("next", Outcome::Ok).read("after", Read::default()).pull();
    check(
        &mut play,
        &[],
        &expect![[r#"
        3000  Run(costly)
        3700  Run(next)
        3900  Run(after)
    "#]],
    );
}

#[test]
fn a_nacked_caller_stays_away_no_longer_than_its_usual_gap() {
    // A second's advice to each of three gateways shut a server out, its best requests too.
    let away = |callers: u64| {
        let mut play = Play::new("");
        for i in 0..60 {
            let name = format!("a{i}");
            play.at(i * 20).read(&name, Read { caller: i % callers, ..Read::default() }).pull();
        }
        play.seen(&["Reject"]).lines().last().unwrap_or_default().to_string()
    };
    expect![[r#"
        three 1180  Reject { request: a59, retry_after: Duration(69309), do_not_retry_elsewhere: true }
        sixty 1180  Reject { request: a59, retry_after: Duration(164463), do_not_retry_elsewhere: true }
    "#]]
    .assert_eq(&format!("three {}\nsixty {}\n", away(3), away(60)));
}

#[test]
fn small_and_bare_servers_decide_all_the_same() {
    let seen = |more: &str, callers: u64, gauges: RuntimeGauges| {
        let mut play = Play::new(more);
        for i in 0..6000 {
            let name = format!("a{i}");
            play.at(i * 2).read(&name, Read { caller: i % callers, ..Read::default() });
            play.controller.timer_tick(play.now, gauges);
            play.pull();
            play.ended(&name, Outcome::Ok).pull();
        }
        let trace = play.seen(&[]);
        let count = |word: &str| trace.lines().filter(|line| line.contains(word)).count();
        format!(
            "run {} nack {} fail {} idle {}",
            count(" Run"),
            count(" Reject"),
            count(" Fail"),
            count("SetIdleTimeout")
        )
    };
    let idle = RuntimeGauges::with_requests_on_cores(0.0);
    let bare = seen("server.cores=1 servers=0", 1, RuntimeGauges::default());
    let many = seen("server.caller_idle_us=30000000", 5000, idle);
    let no_memory = seen("server.memory_kb=5", 3, idle);
    let no_calls = seen("server.calls_bound=0 server.calls_over_us=0", 3, idle);
    let seen = format!("bare {bare}\nmany {many}\nno memory {no_memory}\nno calls {no_calls}\n");
    expect![[r#"
        bare run 6000 nack 0 fail 0 idle 2
        many run 6000 nack 0 fail 0 idle 1
        no memory run 0 nack 6000 fail 0 idle 2
        no calls run 6000 nack 0 fail 0 idle 2
    "#]]
    .assert_eq(&seen);
}

#[test]
fn absurd_settings_are_named() {
    let told = |more: &str| {
        Catalog::from_flat(flat_settings(more)).err().map(|error| error.to_string()).unwrap_or_default()
    };
    let seen = format!(
        "{}\n{}\n{}\n",
        told("server.cores=0"),
        told("server.memory_kb=-1"),
        told("rules.cold_us=-5")
    );
    expect![[r#"
        setting server.cores is absurd: 0
        setting server.memory_kb is absurd: -1
        setting rules.cold_us is absurd: -5
    "#]]
    .assert_eq(&seen);
}

#[test]
fn non_retryable_ops_on_one_subject_share_nothing() {
    let mut play = Play::new("server.share_reads_us=500000 op_types.0.repeats=non-retryable");
    play.read("first", Read { user: "u", ..Read::default() });
    play.pull();
    play.read("next", Read { user: "u", retry_of: Some("first"), ..Read::default() });
    check(
        &mut play,
        &["StoreKey", "AnswerFromOriginal", "Run"],
        &expect![[r#"
        0     Run(first)
        0     Run(next)
    "#]],
    );
}

#[test]
fn connections_are_not_closed_at_once_where_nothing_says_when_callers_close_theirs() {
    let mut play = Play::new("");
    play.load(3000, 9);
    check(
        &mut play,
        &["SetIdleTimeout"],
        &expect![[r#"
            2680  SetIdleTimeout(Duration(32000000))
        "#]],
    );
}
