//! What is decided about deliveries, step by step.

mod helpers;

use hazelspur::Duration;
use hazelspur::Idempotency::{Idempotent, IdempotentWithKey, NonIdempotent};
use hazelspur_deliveries::*;
use helpers::{at, book, came, ends, steps, tag};

const NACKED: Ending = Ending::Nacked(Duration::from_ms(300));

#[test]
fn each_ending_is_settled_as_the_table_says() {
    let retry =
        Table { nacked: Settlement::Retry, failed: Settlement::Retry, most_tries: 3, ..Table::default() };
    let mut seen = String::new();
    for (name, table) in [("default", Table::default()), ("retry", retry)] {
        for repeats in [Idempotent, IdempotentWithKey, NonIdempotent] {
            for ending in [Ending::Acked, NACKED, Ending::Failed, Ending::Expired, Ending::Poison] {
                let row: Vec<String> =
                    (0..3).map(|tries| format!("{:?}", table.settle(ending, repeats, tries))).collect();
                seen += &format!("{name} {repeats:?} {}: {}\n", ending.name(), row.join(" "));
            }
        }
    }
    expect_test::expect![[r#"
        default Idempotent acked: Ack Ack Ack
        default Idempotent nacked: Later Later Later
        default Idempotent failed: Reject Reject Reject
        default Idempotent expired: Reject Reject Reject
        default Idempotent poison: Reject Reject Reject
        default IdempotentWithKey acked: Ack Ack Ack
        default IdempotentWithKey nacked: Later Later Later
        default IdempotentWithKey failed: Reject Reject Reject
        default IdempotentWithKey expired: Reject Reject Reject
        default IdempotentWithKey poison: Reject Reject Reject
        default NonIdempotent acked: Ack Ack Ack
        default NonIdempotent nacked: Later Later Later
        default NonIdempotent failed: Reject Reject Reject
        default NonIdempotent expired: Reject Reject Reject
        default NonIdempotent poison: Reject Reject Reject
        retry Idempotent acked: Ack Ack Ack
        retry Idempotent nacked: Retry Retry Retry
        retry Idempotent failed: Retry Retry Reject
        retry Idempotent expired: Reject Reject Reject
        retry Idempotent poison: Reject Reject Reject
        retry IdempotentWithKey acked: Ack Ack Ack
        retry IdempotentWithKey nacked: Later Later Later
        retry IdempotentWithKey failed: Reject Reject Reject
        retry IdempotentWithKey expired: Reject Reject Reject
        retry IdempotentWithKey poison: Reject Reject Reject
        retry NonIdempotent acked: Ack Ack Ack
        retry NonIdempotent nacked: Later Later Later
        retry NonIdempotent failed: Reject Reject Reject
        retry NonIdempotent expired: Reject Reject Reject
        retry NonIdempotent poison: Reject Reject Reject
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_table_that_sends_round_in_circles_is_refused() {
    let poison = Table { poison: Settlement::Later, ..Table::default() };
    let unnamed = Table { nacked: Settlement::Retry, ..Table::default() };
    let seen = format!("{:?}\n{:?}\n{:?}\n", poison.check(true), unnamed.check(false), unnamed.check(true));
    expect_test::expect![[r#"
        Err(("poison", "would come back for ever: only ack or reject"))
        Err(("nacked", "retry needs retry_queue"))
        Ok(())
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_nacked_delivery_stays_away_and_a_failed_one_is_buried() {
    let mut book = book(Table::default(), false);
    let nacked = book.arrived(at(0), came(tag(1, 1), "a", Idempotent));
    let failed = book.arrived(at(0), came(tag(1, 2), "b", Idempotent));
    let mut seen = steps(&mut book, 0);
    seen += &ends(&mut book, 5, nacked, NACKED);
    seen += &ends(&mut book, 6, failed, Ending::Failed);
    seen += &format!("next look at {:?}\n", book.next_time().map(|time| (time - at(0)).us() / 1000));
    seen += &steps(&mut book, 304);
    seen += &steps(&mut book, 305);
    expect_test::expect![[r#"
        0 Offer((1))
        0 Offer((2))
        6 Reject(Tag {(1), channel: 1, tag: 2 })
        6 Forget((2), Failed)
        next look at Some(305)
        305 Requeue(Tag {(1), channel: 1, tag: 1 })
        305 Forget((1), Nacked(Duration(300000)))
    "#]]
    .assert_eq(&seen);
}

#[test]
fn what_must_not_run_twice_is_acked_and_fenced_before_it_runs() {
    let mut book = book(Table::default(), true);
    let id = book.arrived(at(0), came(tag(1, 1), "a", NonIdempotent));
    let mut seen = steps(&mut book, 0);
    book.run_decided(at(1), id);
    seen += &steps(&mut book, 1);
    book.fenced(at(2), id);
    seen += &steps(&mut book, 2);
    seen += &ends(&mut book, 3, id, Ending::Acked);
    let again = Arrived { redelivered: true, ..came(tag(2, 1), "a", NonIdempotent) };
    book.arrived(at(4), again);
    seen += &format!("again\n{}", steps(&mut book, 4));
    expect_test::expect![[r#"
        0 Offer((1))
        1 Ack(Tag {(1), channel: 1, tag: 1 })
        1 Fence(Tag {(1), channel: 1, tag: 1 }, (1))
        2 Begin((1), true)
        3 Forget((1), Acked)
        again
        4 Ack(Tag {(2), channel: 1, tag: 1 })
        4 Forget((2), Acked)
    "#]]
    .assert_eq(&seen);
}

#[test]
fn settled_after_its_run_a_redelivered_one_that_nobody_remembers_is_doubtful() {
    let mut book = book(Table::default(), false);
    let again = Arrived { redelivered: true, ..came(tag(1, 1), "a", NonIdempotent) };
    book.arrived(at(0), again);
    book.arrived(at(0), Arrived { repeats: Ok(Idempotent), message: Some("b"), tag: tag(1, 2), ..again });
    expect_test::expect![[r#"
        0 Reject(Tag {(1), channel: 1, tag: 1 })
        0 Forget((1), Doubtful)
        0 Offer((2))
    "#]]
    .assert_eq(&steps(&mut book, 0));
}

#[test]
fn what_waited_too_long_never_runs_wherever_its_time_ran_out() {
    let mut book = book(Table::default(), true);
    let due = |ms, n, name| Arrived { due: Some(at(ms)), ..came(tag(1, n), name, NonIdempotent) };
    book.arrived(at(0), due(70, 1, "before reading"));
    book.arrived(at(0), due(500, 2, "while held"));
    let decided = book.arrived(at(0), due(600, 3, "before its run"));
    let fenced = book.arrived(at(0), due(700, 4, "at the fence"));
    let mut seen = steps(&mut book, 0);
    book.run_decided(at(300), fenced);
    seen += &steps(&mut book, 300);
    seen += &steps(&mut book, 420);
    book.run_decided(at(521), decided);
    seen += &steps(&mut book, 521);
    book.fenced(at(650), fenced);
    seen += &steps(&mut book, 650);
    seen += &format!("acked and never ran: {}\n", book.figures.unproven);
    expect_test::expect![[r#"
        0 Reject(Tag {(1), channel: 1, tag: 1 })
        0 Forget((1), Expired)
        0 Offer((2))
        0 Offer((3))
        0 Offer((4))
        300 Ack(Tag {(1), channel: 1, tag: 4 })
        300 Fence(Tag {(1), channel: 1, tag: 4 }, (4))
        420 Withdraw((2))
        420 Reject(Tag {(1), channel: 1, tag: 2 })
        420 Forget((2), Expired)
        521 Begin((3), false)
        521 Reject(Tag {(1), channel: 1, tag: 3 })
        521 Forget((3), Expired)
        650 Begin((4), false)
        650 Forget((4), Expired)
        acked and never ran: 1
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_lost_connection_leaves_what_has_not_run_and_its_tags_are_never_used() {
    let mut book = book(Table::default(), false);
    let held = book.arrived(at(0), came(tag(1, 1), "held", Idempotent));
    let runs = book.arrived(at(0), Arrived { reply: true, ..came(tag(1, 2), "runs", Idempotent) });
    let waits = book.arrived(at(0), came(tag(1, 3), "waits", Idempotent));
    let mut seen = steps(&mut book, 0);
    book.run_decided(at(1), runs);
    seen += &ends(&mut book, 1, waits, NACKED);
    // Decided on the old connection, not carried out before it broke.
    book.ended(at(2), held, Ending::Failed, &[].into());
    book.lost(Link(1), None);
    book.can_publish(false);
    seen += &format!("lost\n{}", steps(&mut book, 2));
    seen += &ends(&mut book, 3, runs, Ending::Acked);
    book.can_publish(true);
    seen += &format!("up\n{}", steps(&mut book, 4));
    let again = Arrived { redelivered: true, reply: true, ..came(tag(2, 1), "runs", Idempotent) };
    book.arrived(at(5), again);
    seen += &steps(&mut book, 5);
    book.confirmed(at(6), runs, true);
    seen += &format!("confirmed\n{}in hand {}\n", steps(&mut book, 6), book.in_hand());
    expect_test::expect![[r#"
        0 Offer((1))
        0 Offer((2))
        0 Offer((3))
        1 Begin((2), true)
        lost
        2 Forget((1), Failed)
        2 Forget((3), Nacked(Duration(300000)))
        up
        4 Reply((2), Acked, [100, 111, 110, 101])
        5 Forget((4), Doubtful)
        confirmed
        6 Ack(Tag {(2), channel: 1, tag: 1 })
        6 Forget((2), Acked)
        in hand 0
    "#]]
    .assert_eq(&seen);
}

#[test]
fn the_same_message_twice_runs_once_and_both_are_settled_alike() {
    let mut book = book(Table::default(), false);
    let first = book.arrived(at(0), came(tag(1, 1), "a", IdempotentWithKey));
    book.arrived(at(0), came(tag(1, 2), "a", IdempotentWithKey));
    let mut seen = steps(&mut book, 0);
    book.run_decided(at(1), first);
    seen += &ends(&mut book, 2, first, Ending::Acked);
    expect_test::expect![[r#"
        0 Offer((1))
        2 Begin((1), true)
        2 Ack(Tag {(1), channel: 1, tag: 1 })
        2 Forget((1), Acked)
        2 Ack(Tag {(1), channel: 1, tag: 2 })
        2 Forget((2), Acked)
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_copy_that_the_retry_queue_did_not_take_is_kept_here_instead() {
    let table = Table { nacked: Settlement::Retry, ..Table::default() };
    let mut book = book(table, false);
    book.can_publish(true);
    let mut seen = String::new();
    for (n, how) in ["refused", "returned", "never confirmed", "taken"].into_iter().enumerate() {
        let id = book.arrived(at(0), came(tag(1, n as u64 + 1), how, Idempotent));
        steps(&mut book, 0);
        seen += &format!("{how}\n{}", ends(&mut book, 1, id, NACKED));
        match how {
            "refused" => book.confirmed(at(2), id, false),
            "returned" => {
                book.returned(id);
                book.confirmed(at(2), id, true);
            }
            "taken" => book.confirmed(at(2), id, true),
            _ => {}
        }
        seen += &steps(&mut book, 2);
    }
    seen += &format!("later\n{}{}", steps(&mut book, 5001), steps(&mut book, 5301));
    expect_test::expect![[r#"
        refused
        1 Retry((1), Duration(300000), 1)
        returned
        1 Retry((2), Duration(300000), 1)
        never confirmed
        1 Retry((3), Duration(300000), 1)
        taken
        1 Retry((4), Duration(300000), 1)
        2 Ack(Tag {(1), channel: 1, tag: 4 })
        2 Forget((4), Nacked(Duration(300000)))
        later
        5001 Requeue(Tag {(1), channel: 1, tag: 1 })
        5001 Forget((1), Nacked(Duration(300000)))
        5001 Requeue(Tag {(1), channel: 1, tag: 2 })
        5001 Forget((2), Nacked(Duration(300000)))
        5301 Requeue(Tag {(1), channel: 1, tag: 3 })
        5301 Forget((3), Nacked(Duration(300000)))
    "#]]
    .assert_eq(&seen);
}

#[test]
fn a_full_memory_forgets_the_oldest_that_ended() {
    let mut memory = Memory::new(Duration::from_ms(1000), 3, 64);
    let named = |n: u64| -> std::rc::Rc<str> { format!("m{n}").into() };
    (0..5).for_each(|n| memory.ended(at(n), &named(n), Ending::Acked, (*b"ok").into()));
    memory.ended(at(6), &named(9), Ending::Acked, vec![0; 60].into());
    let known = |memory: &mut Memory, ms| -> Vec<bool> {
        (0..10).map(|n| !matches!(memory.known(at(ms), &named(n)), memory::Known::Not)).collect()
    };
    let seen =
        format!("{:?}\n{:?}\n{}\n", known(&mut memory, 7), known(&mut memory, 1006), memory.pressed_out);
    expect_test::expect![[r#"
        [false, false, false, false, false, false, false, false, false, true]
        [false, false, false, false, false, false, false, false, false, false]
        5
    "#]]
    .assert_eq(&seen);
}

#[test]
fn the_window_rises_by_steps_and_is_divided_by_the_share_nacked() {
    let mut window = Window::new(Rule::Step, 32, at(0));
    let mut seen = String::new();
    for (cycle, (acked, nacked, open)) in
        [(10, 0, 2), (10, 0, 4), (10, 0, 1), (10, 0, 4), (5, 5, 6), (0, 9, 2), (0, 0, 1), (9, 0, 1)]
            .into_iter()
            .enumerate()
    {
        window.outcomes(acked, nacked);
        window.open(open);
        let next = window.next(at(500 * (cycle as u64 + 1)), 0.0);
        seen += &format!("acked {acked} nacked {nacked} open {open}: {next:?}\n");
    }
    expect_test::expect![[r#"
        acked 10 nacked 0 open 2: None
        acked 10 nacked 0 open 4: Some(3)
        acked 10 nacked 0 open 1: None
        acked 10 nacked 0 open 4: None
        acked 5 nacked 5 open 6: Some(1)
        acked 0 nacked 9 open 2: None
        acked 0 nacked 0 open 1: None
        acked 9 nacked 0 open 1: None
    "#]]
    .assert_eq(&seen);
}

#[test]
fn brokers_are_given_up_in_turn_and_the_first_is_preferred_again() {
    let addresses = ["127.0.0.1:1", "127.0.0.1:2"].map(|a| a.parse().expect("an address"));
    let mut brokers = Brokers::new(&addresses, Duration::from_ms(1000), 7, at(0));
    let mut seen = String::new();
    for (ms, refused) in
        [(0, false), (1000, false), (2000, false), (3000, true), (4000, false), (20_000, false)]
    {
        let moved = brokers.lost(at(ms), refused);
        let wait = (brokers.next_try() - at(ms)).us() / 1000;
        seen += &format!("{ms} refused {refused}: {} moved {moved} wait {wait}\n", brokers.address().port());
    }
    expect_test::expect![[r#"
        0 refused false: 1 moved false wait 796
        1000 refused false: 1 moved false wait 1478
        2000 refused false: 2 moved true wait 909
        3000 refused true: 1 moved true wait 15387
        4000 refused false: 1 moved false wait 646
        20000 refused false: 1 moved false wait 1047
    "#]]
    .assert_eq(&seen);
}

/// 500 instances lose a broker that is away for a while; counted are tries in each second of its absence, and
/// connections in each second after.
#[test]
fn no_second_sees_more_than_a_fifth_of_a_fleet() {
    let address = ["127.0.0.1:1".parse().expect("an address")];
    let mut seen = String::new();
    for away_ms in [0, 3_000, 60_000] {
        let mut tries = std::collections::BTreeMap::<u64, u32>::new();
        for instance in 0..500 {
            let mut brokers = Brokers::new(&address, Duration::from_ms(8000), instance * 77 + 5, at(0));
            brokers.up(at(0));
            let mut now = at(10_000);
            brokers.lost(now, false);
            loop {
                now = brokers.next_try();
                *tries.entry((now - at(10_000)).us() / 1_000_000).or_default() += 1;
                if now >= at(10_000 + away_ms) {
                    break;
                }
                brokers.lost(now, false);
            }
        }
        let most = tries.values().max().copied().unwrap_or(0);
        let last = tries.keys().last().copied().unwrap_or(0);
        assert!(most <= 100, "{most} of 500 in a second");
        seen += &format!("away {away_ms} ms: at most {most} in a second, all back in second {last}\n");
    }
    expect_test::expect![[r#"
        away 0 ms: at most 68 in a second, all back in second 7
        away 3000 ms: at most 87 in a second, all back in second 14
        away 60000 ms: at most 88 in a second, all back in second 71
    "#]]
    .assert_eq(&seen);
}

#[test]
fn under_a_window_of_one_a_delivery_waits_for_its_part_of_the_time() {
    let mut book = book(Table::default(), false);
    book.duty(QueueId(0), 0.25);
    let ids: Vec<DeliveryId> = (1..=3)
        .map(|n| book.arrived(at(0), came(tag(1, n), ["a", "b", "c"][n as usize - 1], Idempotent)))
        .collect();
    let mut seen = steps(&mut book, 0);
    book.run_decided(at(0), ids[0]);
    seen += &ends(&mut book, 20, ids[0], Ending::Acked);
    seen += &format!("next look at {:?}\n", book.next_time().map(|time| (time - at(0)).us() / 1000));
    seen += &steps(&mut book, 79);
    seen += &steps(&mut book, 80);
    seen += &format!("next look at {:?}\n", book.next_time());
    book.duty(QueueId(0), 1.0);
    seen += &steps(&mut book, 81);
    book.duty(QueueId(0), 0.25);
    book.arrived(at(82), came(tag(1, 4), "d", Idempotent));
    book.lost(Link(1), None);
    seen += &format!("lost\n{}in hand {}\n", steps(&mut book, 83), book.in_hand());
    expect_test::expect![[r#"
        0 Offer((1))
        20 Begin((1), true)
        20 Ack(Tag {(1), channel: 1, tag: 1 })
        20 Forget((1), Acked)
        next look at Some(80)
        80 Offer((2))
        next look at None
        81 Offer((3))
        lost
        83 Withdraw((2))
        83 Forget((2), Expired)
        83 Withdraw((3))
        83 Forget((3), Expired)
        83 Forget((4), Expired)
        in hand 0
    "#]]
    .assert_eq(&seen);
}
