//! Short traces of decisions, read by people. `UPDATE_EXPECT=1 cargo test` writes them anew.

mod helpers;

use expect_test::{Expect, expect};
use hazelspur::{Logic, Moment, Outcome, Span};
use helpers::{Play, Read, facts, id};

fn check(play: &mut Play, words: &[&str], expected: &Expect) {
    play.pull();
    expected.assert_eq(&play.seen(words));
}

#[test]
fn power_test_binds_cuts_and_lets_go() {
    // Bound by longer runs, cut while they last, raised and let go once they are short again.
    let mut play = Play::new("");
    play.load(8000, 9);
    play.run = Span::from_ms(300);
    play.load(12000, 20);
    play.run = Span::from_ms(200);
    play.load(12000, 8);
    check(
        &mut play,
        &["log"],
        &expect![[r#"
            12000 log: mode bound R=7.0/s ratio=0.27 resp=0.55 best=0.20
            21000 log: mode open R=5.8/s admitted=7.0/s ratio=0.38 resp=0.47 best=0.20
        "#]],
    );
}

#[test]
fn openings_held_back_by_the_rate_do_not_press_a_cycle() {
    // Once R counted them as held work it cut itself for ever.
    let mut play = Play::new("");
    play.load(2000, 9);
    play.run = Span::from_ms(300);
    play.load(4000, 60);
    play.run = Span::from_ms(100);
    play.load(8000, 60);
    check(
        &mut play,
        &["log"],
        &expect![[r#"
            11000 log: mode bound R=20.0/s ratio=0.86 resp=0.63 best=0.35
        "#]],
    );
}

#[test]
fn listed_users_pass_while_openings_meet_the_rate() {
    let mut play = Play::new("");
    play.load(2000, 9);
    play.read("first", Read { user: "regular", ..Read::default() });
    play.load(500, 0);
    play.run = Span::from_ms(400);
    play.load(4500, 30);
    play.run = Span::from_ms(100);
    play.load(900, 0);
    play.seen(&[]);
    for i in 0..4 {
        play.read(&format!("new{i}"), Read { user: &format!("stranger{i}"), ..Read::default() });
    }
    play.read("again", Read { user: "regular", ..Read::default() });
    play.load(600, 0);
    check(
        &mut play,
        &["new", "again", "log"],
        &expect![[r#"
            7910  Nack { op: new2, come_back: Span(115704), nowhere_else: false }
            7910  Nack { op: new3, come_back: Span(74630), nowhere_else: false }
            7910  Run(again)
            7910  Run(new0)
            8000  log: mode bound R=4.8/s ratio=0.35 resp=0.62 best=0.29
            8010  Run(new1)
            8500  log: mode open R=4.8/s admitted=2.0/s ratio=1.00 resp=0.14 best=0.14
        "#]],
    );
}

#[test]
fn listed_users_need_no_token() {
    // The listing was once lost on its way into the books, and only the rank still told of it.
    let mut play = Play::new("");
    play.read("first", Read { user: "regular", ..Read::default() });
    play.load(4000, 9);
    play.run = Span::from_ms(300);
    while play.seen(&["mode bound"]).is_empty() {
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
        8000  Run(known0)
        8000  Run(known1)
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
            0     Run(short4)
            100   Run(short5)
            101   Run(long0)
            102   Run(long1)
            103   Run(short6)
            104   Run(short7)
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
            500   Nack { op: late, come_back: Span(62877), nowhere_else: false }
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
    play.at(1210).ended("slow", Outcome::Stopped);
    check(
        &mut play,
        &[],
        &expect![[r#"
            0     Run(slow)
            970   Fail(slow)
            970   Stop(slow)
            1200  Stop(slow)
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
            0     Nack { op: e, come_back: Span(44912), nowhere_else: false }
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
    // Reads load the cores too; ops waiting for disk don't.
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
        reads 6 plain 7 disk 10
    "#]]
    .assert_eq(&seen);
}

#[test]
fn calls_stay_in_bounds_and_unsafe_ones_are_not_repeated() {
    let more = "server.calls_bound=1.2 op_types.1.target_latency_us=1000000 op_types.1.op_timeout_us=4000000 \
        op_types.1.repeats=non-retryable";
    let mut play = Play::new(more);
    play.read("a", Read::default()).read("b", Read { op_type: 1, ..Read::default() }).pull();
    for name in ["a", "b"] {
        play.logic.call_wanted(play.now, id(name));
    }
    play.pull();
    play.at(100).logic.call_ended(Moment::from_us(50_100_000), id("a"), Outcome::TimedOut);
    play.pull();
    play.at(160).logic.call_ended(Moment::from_us(50_160_000), id("b"), Outcome::Full);
    play.pull();
    play.at(250).logic.call_ended(Moment::from_us(50_250_000), id("a"), Outcome::Ok);
    play.pull();
    play.at(300).logic.call_ended(Moment::from_us(50_300_000), id("b"), Outcome::Broken);
    check(
        &mut play,
        &[],
        &expect![[r#"
            0     Run(a)
            0     Run(b)
            0     Call { op: a, patience: Span(4000000) }
            100   Call { op: b, patience: Span(3900000) }
            160   Call { op: a, patience: Span(3840000) }
            250   Call { op: b, patience: Span(3750000) }
        "#]],
    );
}

#[test]
fn a_drain_runs_nothing_late_and_answers_all() {
    let mut play = Play::new("");
    play.read("a", Read::default()).pull();
    play.at(100).logic.leave_notice(Moment::from_us(50_100_000), Moment::from_us(53_000_000));
    play.pull();
    play.at(2000).read("in-grace", Read::default()).pull();
    play.at(2200).read("past-grace", Read::default()).pull();
    play.at(2760).beat(1.0);
    check(
        &mut play,
        &[],
        &expect![[r#"
            0     Run(a)
            100   log: mode leaving in_hand=1
            100   Health { good: false, from_store: true }
            2000  Fail(a)
            2000  Stop(a)
            2000  Nack { op: in-grace, come_back: Span(40000), nowhere_else: false }
            2200  Nack { op: past-grace, come_back: Span(40000), nowhere_else: false }
            2760  Stop(a)
        "#]],
    );
}

#[test]
fn keyed_repeats_are_served_from_the_first_try() {
    let mut play = Play::new("op_types.0.repeats=keyed op_types.0.window_us=5000000");
    let repeat = |of| Read { repeat_of: Some(of), ..Read::default() };
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
            0     KeepKey { op: first, span: Span(5000000) }
            0     Run(first)
            50    AnswerFrom(second)
            60    AnswerFrom(long-gone)
            70    KeepKey { op: left, span: Span(5000000) }
            70    AnswerFrom(right)
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
fn refusals_ask_for_no_other_server_only_while_reads_press_a_strong_one() {
    let last = |reads: f64, then_ms: u64| {
        let mut play = Play::new("");
        play.reads = reads;
        play.load(6000, 60);
        play.run = Span::from_ms(then_ms);
        play.load(6000, 60);
        play.seen(&[]);
        play.load(2000, 60);
        play.seen(&["nowhere_else: true"]).lines().count() > 50
    };
    let seen = format!("few reads {} storm {} slow too {}\n", last(0.0, 200), last(1.0, 200), last(1.0, 600));
    expect![[r#"
        few reads false storm true slow too false
    "#]]
    .assert_eq(&seen);
}

#[test]
fn stray_events_do_no_harm_and_an_unknown_op_type_is_answered() {
    let mut play = Play::new("op_types.0.target_latency_us=4000000");
    for name in ["a", "b", "c"] {
        play.read(name, Read { cost_ms: Some(500), ..Read::default() });
    }
    play.read("odd", Read { op_type: 9, ..Read::default() }).pull();
    play.at(10).ended("c", Outcome::Stopped).ended("c", Outcome::Ok).ended("nobody", Outcome::Ok);
    play.logic.call_wanted(play.now, id("c"));
    play.logic.call_ended(play.now, id("a"), Outcome::Ok);
    play.at(500).ended("a", Outcome::Ok).ended("a", Outcome::Ok);
    check(
        &mut play,
        &[],
        &expect![[r#"
        0     Nack { op: odd, come_back: Span(0), nowhere_else: true }
        0     Run(a)
        0     Run(b)
        500   Run(c)
    "#]],
    );
}

#[test]
fn a_late_try_is_told_by_the_wait_left_to_its_caller() {
    let mut play = Play::new("");
    let wait = |ms| Read { wait_ms: ms, ..Read::default() };
    for i in 0..8 {
        let name = format!("first{i}");
        play.at(i * 500).read(&name, wait(2000)).pull();
        play.at(i * 500 + 200).ended(&name, Outcome::Ok).pull();
    }
    play.seen(&[]);
    play.at(4000).read("within", wait(1900)).read("too-late", wait(1100)).pull();
    play.at(4300).ended("within", Outcome::Ok).read("last-try", wait(3100)).read("fresh", wait(2000));
    check(
        &mut play,
        &[],
        &expect![[r#"
        4000  Nack { op: too-late, come_back: Span(40000), nowhere_else: false }
        4000  Run(within)
        4300  Nack { op: last-try, come_back: Span(40000), nowhere_else: false }
        4300  Run(fresh)
    "#]],
    );
}

#[test]
fn credit_leaves_less_room_where_reads_weigh() {
    let said = |reads: f64| {
        let mut play = Play::new("server.value=credit");
        play.reads = reads;
        play.load(3000, 30);
        play.seen(&["Say"]).lines().last().unwrap_or_default().to_string()
    };
    let seen = format!("cheap {}\ndear {}\n", said(0.0), said(0.6));
    expect![[r#"
        cheap 40    Say(10.0)
        dear 880   Say(5.0)
    "#]]
    .assert_eq(&seen);
}

#[test]
fn absurd_settings_are_named() {
    let told = |more: &str| Logic::new(facts(more), 1, Moment::default()).err().unwrap_or_default();
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
