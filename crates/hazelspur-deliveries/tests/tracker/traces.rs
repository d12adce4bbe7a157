//! Traces of the tracker's actions, each line with its time in milliseconds.

use crate::helpers::{actions, at, finish, identity, new_tracker, received, tag};
use hazelspur::Duration;
use hazelspur::Idempotency::{Idempotent, IdempotentWithKey, NonIdempotent};
use hazelspur_deliveries::{
    ConnectionNumber, DeliveryId, DeliveryOutcome, DeliveryTag, DeliveryTracker, QueueId, ReceivedDelivery,
    Settlement, SettlementTable,
};

const REJECTED: DeliveryOutcome = DeliveryOutcome::Rejected(Duration::from_ms(300));

#[test]
fn rejected_is_requeued_later_and_failed_is_dead_lettered() {
    let mut tracker = new_tracker(SettlementTable::default(), false);
    let rejected = tracker.delivery_received(at(0), received(tag(1, 1), "a", Idempotent));
    let failed = tracker.delivery_received(at(0), received(tag(1, 2), "b", Idempotent));
    let mut seen = actions(&mut tracker, 0);
    seen += &finish(&mut tracker, 5, rejected, REJECTED);
    seen += &finish(&mut tracker, 6, failed, DeliveryOutcome::Failed);
    seen += &format!("next deadline {:?}\n", tracker.next_deadline().map(|time| (time - at(0)).us() / 1000));
    seen += &actions(&mut tracker, 304);
    seen += &actions(&mut tracker, 305);
    expect_test::expect![[r#"
        0 Submit((1))
        0 Submit((2))
        6 Reject(Tag {(1), channel: 1, tag: 2 })
        6 Release { id: (2), outcome: Failed }
        next deadline Some(305)
        305 Requeue(Tag {(1), channel: 1, tag: 1 })
        305 Release { id: (1), outcome: Rejected(Duration(300000)) }
    "#]]
    .assert_eq(&seen);
}

#[test]
fn non_idempotent_request_is_acked_and_fenced_before_its_run() {
    let mut tracker = new_tracker(SettlementTable::default(), true);
    let id = tracker.delivery_received(at(0), received(tag(1, 1), "a", NonIdempotent));
    let mut seen = actions(&mut tracker, 0);
    tracker.run_requested(at(1), id);
    seen += &actions(&mut tracker, 1);
    tracker.fence_answered(at(2), id);
    seen += &actions(&mut tracker, 2);
    seen += &finish(&mut tracker, 3, id, DeliveryOutcome::Succeeded);
    let redelivered = ReceivedDelivery { redelivered: true, ..received(tag(2, 1), "a", NonIdempotent) };
    tracker.delivery_received(at(4), redelivered);
    seen += &format!("redelivered\n{}", actions(&mut tracker, 4));
    expect_test::expect![[r#"
        0 Submit((1))
        1 Ack(Tag {(1), channel: 1, tag: 1 })
        1 Fence { tag: Tag {(1), channel: 1, tag: 1 }, id: (1) }
        2 ResolveRun { id: (1), permitted: true }
        3 Release { id: (1), outcome: Succeeded }
        redelivered
        4 Ack(Tag {(2), channel: 1, tag: 1 })
        4 Release { id: (2), outcome: Succeeded }
    "#]]
    .assert_eq(&seen);
}

#[test]
fn unknown_redelivery_is_rejected_if_settled_after_the_run() {
    let mut tracker = new_tracker(SettlementTable::default(), false);
    let redelivered = ReceivedDelivery { redelivered: true, ..received(tag(1, 1), "a", NonIdempotent) };
    tracker.delivery_received(at(0), redelivered);
    tracker.delivery_received(
        at(0),
        ReceivedDelivery {
            idempotency: Ok(Idempotent),
            identity: identity("b"),
            tag: tag(1, 2),
            ..redelivered
        },
    );
    expect_test::expect![[r#"
        0 Reject(Tag {(1), channel: 1, tag: 1 })
        0 Release { id: (1), outcome: PossibleDuplicate }
        0 Submit((2))
    "#]]
    .assert_eq(&actions(&mut tracker, 0));
}

/// Guards against the run of an expired message after the process was suspended between permission and start.
/// A delivery expires 80 ms before its deadline, so at 420 ms.
#[test]
fn message_expired_between_permission_and_start_never_runs() {
    let mut seen = String::new();
    for (name, idempotency, settles_before_run) in
        [("settled after the run", Idempotent, false), ("settled before the run", NonIdempotent, true)]
    {
        for start_at in [419, 420] {
            let mut tracker = new_tracker(SettlementTable::default(), settles_before_run);
            tracker.set_publishing_ready(true);
            let expiring =
                ReceivedDelivery { deadline: Some(at(500)), ..received(tag(1, 1), "a", idempotency) };
            let id = tracker.delivery_received(at(0), expiring);
            tracker.run_requested(at(300), id);
            actions(&mut tracker, 300);
            tracker.fence_answered(at(310), id);
            actions(&mut tracker, 310);
            let may_start = tracker.confirm_start(at(start_at), id);
            seen += &format!("{name}, start at {start_at}: {may_start}\n{}", actions(&mut tracker, start_at));
        }
    }
    expect_test::expect![[r#"
        settled after the run, start at 419: true
        settled after the run, start at 420: false
        420 Reject(Tag {(1), channel: 1, tag: 1 })
        420 Release { id: (1), outcome: Expired }
        settled before the run, start at 419: true
        settled before the run, start at 420: false
        420 PublishExpired { id: (1) }
    "#]]
    .assert_eq(&seen);
}

/// Guards against a message that is lost without being counted when it expires between its ack and its run,
/// and against a second copy of it in the queue.
#[test]
fn unconfirmed_expired_copy_is_counted_and_not_republished() {
    let fence_answered_late = |tracker: &mut DeliveryTracker| {
        let expiring =
            ReceivedDelivery { deadline: Some(at(500)), ..received(tag(1, 1), "a", NonIdempotent) };
        let id = tracker.delivery_received(at(0), expiring);
        tracker.run_requested(at(300), id);
        actions(tracker, 300);
        tracker.fence_answered(at(450), id);
        id
    };
    let mut seen = String::new();
    for (name, ending) in
        [("refused", 0), ("returned", 1), ("timed out", 2), ("connection lost", 3), ("unsent", 4)]
    {
        let mut tracker = new_tracker(SettlementTable::default(), true);
        tracker.set_publishing_ready(ending != 4);
        let id = fence_answered_late(&mut tracker);
        seen += &format!("{name}\n{}", actions(&mut tracker, 450));
        match ending {
            0 => tracker.publish_confirmed(at(460), id, false),
            1 => {
                tracker.publish_returned(id);
                tracker.publish_confirmed(at(460), id, true);
            }
            2 => seen += &actions(&mut tracker, 5450),
            _ => {
                tracker.connection_lost(ConnectionNumber(1));
                tracker.set_publishing_ready(false);
                tracker.set_publishing_ready(true);
            }
        }
        seen += &actions(&mut tracker, 5460);
        seen += &format!("acked without run: {}\n", tracker.counters().acked_without_run);
    }
    expect_test::expect![[r#"
        refused
        450 ResolveRun { id: (1), permitted: false }
        450 PublishExpired { id: (1) }
        5460 Release { id: (1), outcome: Expired }
        acked without run: 1
        returned
        450 ResolveRun { id: (1), permitted: false }
        450 PublishExpired { id: (1) }
        5460 Release { id: (1), outcome: Expired }
        acked without run: 1
        timed out
        450 ResolveRun { id: (1), permitted: false }
        450 PublishExpired { id: (1) }
        5450 Release { id: (1), outcome: Expired }
        acked without run: 1
        connection lost
        450 ResolveRun { id: (1), permitted: false }
        450 PublishExpired { id: (1) }
        5460 Release { id: (1), outcome: Expired }
        acked without run: 1
        unsent
        450 ResolveRun { id: (1), permitted: false }
        5460 PublishExpired { id: (1) }
        acked without run: 0
    "#]]
    .assert_eq(&seen);
}

#[test]
fn expired_message_is_not_copied_if_expired_means_ack() {
    let settlements = SettlementTable { expired: Settlement::Ack, ..SettlementTable::default() };
    let mut tracker = new_tracker(settlements, true);
    tracker.set_publishing_ready(true);
    let expiring = ReceivedDelivery { deadline: Some(at(500)), ..received(tag(1, 1), "a", NonIdempotent) };
    let id = tracker.delivery_received(at(0), expiring);
    tracker.run_requested(at(300), id);
    actions(&mut tracker, 300);
    tracker.fence_answered(at(450), id);
    expect_test::expect![[r#"
        450 ResolveRun { id: (1), permitted: false }
        450 Release { id: (1), outcome: Expired }
    "#]]
    .assert_eq(&actions(&mut tracker, 450));
}

#[test]
fn expired_delivery_never_runs_from_any_state() {
    let mut tracker = new_tracker(SettlementTable::default(), true);
    let expiring =
        |ms, n, name| ReceivedDelivery { deadline: Some(at(ms)), ..received(tag(1, n), name, NonIdempotent) };
    tracker.delivery_received(at(0), expiring(70, 1, "at receipt"));
    tracker.delivery_received(at(0), expiring(500, 2, "while submitted"));
    let chosen = tracker.delivery_received(at(0), expiring(600, 3, "before its run"));
    let fenced = tracker.delivery_received(at(0), expiring(700, 4, "at the fence"));
    let mut seen = actions(&mut tracker, 0);
    tracker.run_requested(at(300), fenced);
    seen += &actions(&mut tracker, 300);
    seen += &actions(&mut tracker, 420);
    tracker.run_requested(at(521), chosen);
    seen += &actions(&mut tracker, 521);
    tracker.fence_answered(at(650), fenced);
    seen += &actions(&mut tracker, 650);
    tracker.set_publishing_ready(true);
    seen += &actions(&mut tracker, 651);
    tracker.publish_confirmed(at(652), fenced, true);
    seen += &actions(&mut tracker, 652);
    seen += &format!("acked without run: {}\n", tracker.counters().acked_without_run);
    expect_test::expect![[r#"
        0 Reject(Tag {(1), channel: 1, tag: 1 })
        0 Release { id: (1), outcome: Expired }
        0 Submit((2))
        0 Submit((3))
        0 Submit((4))
        300 Ack(Tag {(1), channel: 1, tag: 4 })
        300 Fence { tag: Tag {(1), channel: 1, tag: 4 }, id: (4) }
        420 Abandon((2))
        420 Reject(Tag {(1), channel: 1, tag: 2 })
        420 Release { id: (2), outcome: Expired }
        521 ResolveRun { id: (3), permitted: false }
        521 Reject(Tag {(1), channel: 1, tag: 3 })
        521 Release { id: (3), outcome: Expired }
        650 ResolveRun { id: (4), permitted: false }
        651 PublishExpired { id: (4) }
        652 Release { id: (4), outcome: Expired }
        acked without run: 0
    "#]]
    .assert_eq(&seen);
}

#[test]
fn lost_connection_abandons_waiting_requests_and_its_tags() {
    let mut tracker = new_tracker(SettlementTable::default(), false);
    let submitted = tracker.delivery_received(at(0), received(tag(1, 1), "submitted", Idempotent));
    let running = tracker.delivery_received(
        at(0),
        ReceivedDelivery { wants_reply: true, ..received(tag(1, 2), "running", Idempotent) },
    );
    let requeued = tracker.delivery_received(at(0), received(tag(1, 3), "requeued", Idempotent));
    let mut seen = actions(&mut tracker, 0);
    tracker.run_requested(at(1), running);
    seen += &finish(&mut tracker, 1, requeued, REJECTED);
    // These actions were decided before the connection was lost and were not carried out.
    tracker.request_finished(at(2), submitted, DeliveryOutcome::Failed, &[].into());
    tracker.connection_lost(ConnectionNumber(1));
    tracker.set_publishing_ready(false);
    seen += &format!("lost\n{}", actions(&mut tracker, 2));
    seen += &finish(&mut tracker, 3, running, DeliveryOutcome::Succeeded);
    tracker.set_publishing_ready(true);
    seen += &format!("reconnected\n{}", actions(&mut tracker, 4));
    let redelivered = ReceivedDelivery {
        redelivered: true,
        wants_reply: true,
        ..received(tag(2, 1), "running", Idempotent)
    };
    tracker.delivery_received(at(5), redelivered);
    seen += &actions(&mut tracker, 5);
    tracker.publish_confirmed(at(6), running, true);
    seen += &format!("confirmed\n{}active {}\n", actions(&mut tracker, 6), tracker.active());
    expect_test::expect![[r#"
        0 Submit((1))
        0 Submit((2))
        0 Submit((3))
        1 ResolveRun { id: (2), permitted: true }
        lost
        2 Release { id: (1), outcome: Failed }
        2 Release { id: (3), outcome: Rejected(Duration(300000)) }
        reconnected
        4 PublishReply { id: (2), outcome: Succeeded, result: [100, 111, 110, 101] }
        5 Release { id: (4), outcome: PossibleDuplicate }
        confirmed
        6 Ack(Tag {(2), channel: 1, tag: 1 })
        6 Release { id: (2), outcome: Succeeded }
        active 0
    "#]]
    .assert_eq(&seen);
}

#[test]
fn duplicates_run_once_and_are_settled_alike() {
    let mut tracker = new_tracker(SettlementTable::default(), false);
    let first = tracker.delivery_received(at(0), received(tag(1, 1), "a", IdempotentWithKey));
    tracker.delivery_received(at(0), received(tag(1, 2), "a", IdempotentWithKey));
    let mut seen = actions(&mut tracker, 0);
    tracker.run_requested(at(1), first);
    seen += &finish(&mut tracker, 2, first, DeliveryOutcome::Succeeded);
    expect_test::expect![[r#"
        0 Submit((1))
        2 ResolveRun { id: (1), permitted: true }
        2 Ack(Tag {(1), channel: 1, tag: 1 })
        2 Release { id: (1), outcome: Succeeded }
        2 Ack(Tag {(1), channel: 1, tag: 2 })
        2 Release { id: (2), outcome: Succeeded }
    "#]]
    .assert_eq(&seen);
}

/// Guards against a requeue by a lost tag: it came about when a lost channel ended the original before its
/// duplicate, which the end of the original requeues.
#[test]
fn lost_channel_invalidates_the_tags_of_duplicates() {
    let mut tracker = new_tracker(SettlementTable::default(), false);
    for number in 1..=2 {
        tracker.delivery_received(at(0), received(tag(1, number), "a", IdempotentWithKey));
    }
    let other_channel = DeliveryTag { channel: 2, ..tag(1, 1) };
    tracker.delivery_received(at(0), received(other_channel, "a", IdempotentWithKey));
    actions(&mut tracker, 0);
    tracker.channel_lost(ConnectionNumber(1), 1);
    let mut seen = actions(&mut tracker, 1);
    let counters = tracker.counters();
    seen += &format!("requeued {}, left to the broker {}\n", counters.requeued, counters.left_to_broker);
    expect_test::expect![[r#"
        1 Release { id: (2), outcome: Expired }
        1 Abandon((1))
        1 Requeue(Tag {(1), channel: 2, tag: 1 })
        1 Release { id: (3), outcome: Expired }
        1 Release { id: (1), outcome: Expired }
        requeued 1, left to the broker 2
    "#]]
    .assert_eq(&seen);
}

#[test]
fn unconfirmed_retry_copy_is_requeued_later_instead() {
    let table = SettlementTable { rejected: Settlement::PublishRetry, ..SettlementTable::default() };
    let mut tracker = new_tracker(table, false);
    tracker.set_publishing_ready(true);
    let mut seen = String::new();
    for (n, confirm) in ["refused", "returned", "never confirmed", "accepted"].into_iter().enumerate() {
        let id = tracker.delivery_received(at(0), received(tag(1, n as u64 + 1), confirm, Idempotent));
        actions(&mut tracker, 0);
        seen += &format!("{confirm}\n{}", finish(&mut tracker, 1, id, REJECTED));
        match confirm {
            "refused" => tracker.publish_confirmed(at(2), id, false),
            "returned" => {
                tracker.publish_returned(id);
                tracker.publish_confirmed(at(2), id, true);
            }
            "accepted" => tracker.publish_confirmed(at(2), id, true),
            _ => {}
        }
        seen += &actions(&mut tracker, 2);
    }
    seen += &format!("later\n{}{}", actions(&mut tracker, 5001), actions(&mut tracker, 5301));
    expect_test::expect![[r#"
        refused
        1 PublishRetry { id: (1), delay: Duration(300000), attempts: 1 }
        returned
        1 PublishRetry { id: (2), delay: Duration(300000), attempts: 1 }
        never confirmed
        1 PublishRetry { id: (3), delay: Duration(300000), attempts: 1 }
        accepted
        1 PublishRetry { id: (4), delay: Duration(300000), attempts: 1 }
        2 Ack(Tag {(1), channel: 1, tag: 4 })
        2 Release { id: (4), outcome: Rejected(Duration(300000)) }
        later
        5001 Requeue(Tag {(1), channel: 1, tag: 1 })
        5001 Release { id: (1), outcome: Rejected(Duration(300000)) }
        5001 Requeue(Tag {(1), channel: 1, tag: 2 })
        5001 Release { id: (2), outcome: Rejected(Duration(300000)) }
        5301 Requeue(Tag {(1), channel: 1, tag: 3 })
        5301 Release { id: (3), outcome: Rejected(Duration(300000)) }
    "#]]
    .assert_eq(&seen);
}

#[test]
fn window_below_one_spaces_deliveries_by_the_duty_cycle() {
    let mut tracker = new_tracker(SettlementTable::default(), false);
    tracker.set_duty_cycle(QueueId(0), 0.25);
    let ids: Vec<DeliveryId> = (1..=3)
        .map(|n| {
            tracker.delivery_received(at(0), received(tag(1, n), ["a", "b", "c"][n as usize - 1], Idempotent))
        })
        .collect();
    let mut seen = actions(&mut tracker, 0);
    tracker.run_requested(at(0), ids[0]);
    seen += &finish(&mut tracker, 20, ids[0], DeliveryOutcome::Succeeded);
    seen += &format!("next deadline {:?}\n", tracker.next_deadline().map(|time| (time - at(0)).us() / 1000));
    seen += &actions(&mut tracker, 79);
    seen += &actions(&mut tracker, 80);
    seen += &format!("next deadline {:?}\n", tracker.next_deadline());
    tracker.set_duty_cycle(QueueId(0), 1.0);
    seen += &actions(&mut tracker, 81);
    tracker.set_duty_cycle(QueueId(0), 0.25);
    tracker.delivery_received(at(82), received(tag(1, 4), "d", Idempotent));
    tracker.connection_lost(ConnectionNumber(1));
    seen += &format!("lost\n{}active {}\n", actions(&mut tracker, 83), tracker.active());
    expect_test::expect![[r#"
        0 Submit((1))
        20 ResolveRun { id: (1), permitted: true }
        20 Ack(Tag {(1), channel: 1, tag: 1 })
        20 Release { id: (1), outcome: Succeeded }
        next deadline Some(80)
        80 Submit((2))
        next deadline None
        81 Submit((3))
        lost
        83 Abandon((2))
        83 Release { id: (2), outcome: Expired }
        83 Abandon((3))
        83 Release { id: (3), outcome: Expired }
        83 Release { id: (4), outcome: Expired }
        active 0
    "#]]
    .assert_eq(&seen);
}

/// Guards against the run of a copy of a message that may have run before and was settled without a run, with
/// which its sender got two outcomes.
#[test]
fn copy_of_a_possible_duplicate_does_not_run() {
    let mut tracker = new_tracker(SettlementTable::default(), false);
    let redelivered = ReceivedDelivery { redelivered: true, ..received(tag(1, 1), "a", IdempotentWithKey) };
    tracker.delivery_received(at(0), redelivered);
    tracker.delivery_received(at(1), received(tag(1, 2), "a", IdempotentWithKey));
    expect_test::expect![[r#"
        1 Reject(Tag {(1), channel: 1, tag: 1 })
        1 Release { id: (1), outcome: PossibleDuplicate }
        1 Reject(Tag {(1), channel: 1, tag: 2 })
        1 Release { id: (2), outcome: PossibleDuplicate }
    "#]]
    .assert_eq(&actions(&mut tracker, 1));
}

/// Returns a tracker whose message "a" was acknowledged at 1 ms and whose connection was lost at 2 ms, before
/// the fence was answered. At 10 ms messages can be published again.
fn tracker_with_unproven_ack(received: ReceivedDelivery) -> DeliveryTracker {
    let mut tracker = new_tracker(SettlementTable::default(), true);
    let id = tracker.delivery_received(at(0), received);
    actions(&mut tracker, 0);
    tracker.run_requested(at(1), id);
    actions(&mut tracker, 1);
    tracker.connection_lost(ConnectionNumber(1));
    tracker.set_publishing_ready(false);
    tracker
}

/// Guards against an acknowledged message that neither runs nor gets an outcome when the connection is lost
/// before the fence is answered. A redelivery proves that the broker had not read the ack.
#[test]
fn unproven_ack_is_answered_unless_redelivered() {
    let keyed = ReceivedDelivery { wants_reply: true, ..received(tag(1, 1), "a", IdempotentWithKey) };
    let redelivered = ReceivedDelivery { tag: tag(2, 1), redelivered: true, ..keyed };
    let other = ReceivedDelivery { identity: identity("b"), tag: tag(2, 2), ..keyed };
    let cases = [
        ("no redelivery", keyed, false, None),
        ("redelivered", keyed, false, Some(redelivered)),
        ("no reply wanted", ReceivedDelivery { wants_reply: false, ..keyed }, false, None),
        ("expired", ReceivedDelivery { deadline: Some(at(400)), ..keyed }, false, None),
        ("draining", keyed, true, None),
        ("draining, redelivered", keyed, true, Some(redelivered)),
        ("draining, another message", keyed, true, Some(other)),
        ("draining, no reply wanted", ReceivedDelivery { wants_reply: false, ..keyed }, true, None),
    ];
    let mut seen = String::new();
    for (name, received, drains, later) in cases {
        let mut tracker = tracker_with_unproven_ack(received);
        if drains {
            tracker.shutdown_notice();
        }
        seen += &format!("{name}\n{}", actions(&mut tracker, 2));
        tracker.set_publishing_ready(true);
        tracker.queue_consumed(at(10), QueueId(0));
        seen += &actions(&mut tracker, 10);
        if let Some(later) = later {
            tracker.delivery_received(at(20), later);
        }
        for ms in [20, 319, 320, 509, 510, 520] {
            seen += &actions(&mut tracker, ms);
        }
        seen +=
            &format!("    in hand {}, unproven {}\n", tracker.active(), tracker.counters().acked_without_run);
    }
    expect_test::expect![[r#"
        no redelivery
        2 ResolveRun { id: (1), permitted: false }
        510 PublishReply { id: (1), outcome: Failed, result: [] }
            in hand 1, unproven 0
        redelivered
        2 ResolveRun { id: (1), permitted: false }
        20 Release { id: (1), outcome: Expired }
        20 Submit((2))
            in hand 1, unproven 0
        no reply wanted
        2 ResolveRun { id: (1), permitted: false }
        510 Release { id: (1), outcome: Failed }
            in hand 0, unproven 1
        expired
        2 ResolveRun { id: (1), permitted: false }
        320 PublishReply { id: (1), outcome: Expired, result: [] }
            in hand 1, unproven 0
        draining
        2 ResolveRun { id: (1), permitted: false }
        510 PublishReply { id: (1), outcome: Failed, result: [] }
            in hand 1, unproven 0
        draining, redelivered
        2 ResolveRun { id: (1), permitted: false }
        20 Release { id: (1), outcome: Expired }
        20 Requeue(Tag {(2), channel: 1, tag: 1 })
        20 Release { id: (2), outcome: Expired }
            in hand 0, unproven 0
        draining, another message
        2 ResolveRun { id: (1), permitted: false }
        510 Requeue(Tag {(2), channel: 1, tag: 2 })
        510 Release { id: (2), outcome: Expired }
        510 PublishReply { id: (1), outcome: Failed, result: [] }
            in hand 1, unproven 0
        draining, no reply wanted
        2 ResolveRun { id: (1), permitted: false }
        2 Release { id: (1), outcome: Failed }
            in hand 0, unproven 1
    "#]]
    .assert_eq(&seen);
}

/// Guards against a wait for a redelivery that ends before the queue is consumed again, as after the loss of
/// one channel, which is opened again a second later.
#[test]
fn wait_for_a_redelivery_begins_anew_on_the_next_connection() {
    let keyed = ReceivedDelivery { wants_reply: true, ..received(tag(1, 1), "a", IdempotentWithKey) };
    let mut tracker = tracker_with_unproven_ack(keyed);
    let mut seen = actions(&mut tracker, 2);
    tracker.set_publishing_ready(true);
    seen += &actions(&mut tracker, 10);
    tracker.set_publishing_ready(false);
    seen += &actions(&mut tracker, 2100);
    tracker.set_publishing_ready(true);
    seen += &actions(&mut tracker, 3000);
    tracker.queue_consumed(at(4000), QueueId(0));
    for ms in [4000, 4499, 4500] {
        seen += &actions(&mut tracker, ms);
    }
    expect_test::expect![[r#"
        2 ResolveRun { id: (1), permitted: false }
        4500 PublishReply { id: (1), outcome: Failed, result: [] }
    "#]]
    .assert_eq(&seen);
}

/// Guards against an acknowledged message without an outcome when the connection has too many unanswered
/// fences to send another one.
#[test]
fn message_whose_fence_cannot_be_sent_is_answered() {
    let mut tracker = new_tracker(SettlementTable::default(), true);
    tracker.set_publishing_ready(true);
    tracker.queue_consumed(at(0), QueueId(0));
    let keyed = ReceivedDelivery { wants_reply: true, ..received(tag(1, 1), "a", IdempotentWithKey) };
    let id = tracker.delivery_received(at(0), keyed);
    tracker.run_requested(at(1), id);
    let mut seen = actions(&mut tracker, 1);
    tracker.fence_not_sent(id);
    for ms in [2, 501, 502] {
        seen += &actions(&mut tracker, ms);
    }
    expect_test::expect![[r#"
        1 Submit((1))
        1 Ack(Tag {(1), channel: 1, tag: 1 })
        1 Fence { tag: Tag {(1), channel: 1, tag: 1 }, id: (1) }
        2 ResolveRun { id: (1), permitted: false }
        502 PublishReply { id: (1), outcome: Failed, result: [] }
    "#]]
    .assert_eq(&seen);
}

/// Guards against a message that is never answered, since a channel that is lost and opened again each second
/// begins the wait anew each time, its own or that of another queue.
#[test]
fn flapping_channel_does_not_prolong_the_wait() {
    for flapping in [QueueId(0), QueueId(1)] {
        let keyed = ReceivedDelivery { wants_reply: true, ..received(tag(1, 1), "a", IdempotentWithKey) };
        let mut tracker = tracker_with_unproven_ack(keyed);
        tracker.set_publishing_ready(true);
        let mut seen = actions(&mut tracker, 10);
        for ms in (1000..9000).step_by(1000) {
            tracker.queue_consumed(at(ms), flapping);
            seen += &actions(&mut tracker, ms);
            tracker.queue_not_consumed(flapping);
            seen += &actions(&mut tracker, ms + 10);
        }
        assert!(seen.contains("PublishReply"), "{flapping:?}: {seen}");
    }
}
