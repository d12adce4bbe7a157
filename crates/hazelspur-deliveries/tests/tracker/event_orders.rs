//! Explores all orders of events, up to a depth, for copies of one message on a broker that loses
//! connections and redelivers. Checks after each event that the invariants hold, that no copy is lost or
//! duplicated, that a request that must not run twice has not run twice, and that a message that wants a reply
//! is never gone from broker and tracker without a run or a reply.

use crate::helpers::{at, new_tracker, received, tag};
use hazelspur::{Duration, Idempotency, Timestamp};
use hazelspur_deliveries::{
    ConnectionNumber, DeliveryAction, DeliveryId, DeliveryOutcome, DeliveryTracker, QueueId,
    ReceivedDelivery, SettlementTable,
};
use std::collections::BTreeSet;

/// Tracker with a model of the broker and of the runtime that executes requests, reduced to one message.
#[derive(Clone)]
struct BrokerModel {
    tracker: DeliveryTracker,
    connection: u64,
    connected: bool,
    last_tag: u64,
    /// Copies of the message in the queue; true for a copy that was delivered before.
    queued_copies: Vec<bool>,
    unsettled_tags: BTreeSet<u64>,
    /// Methods that the client has sent and the broker has not read.
    unread: Vec<DeliveryAction>,
    submitted: BTreeSet<DeliveryId>,
    awaiting_run: BTreeSet<DeliveryId>,
    running: BTreeSet<DeliveryId>,
    pending_fences: Vec<DeliveryId>,
    pending_confirms: Vec<DeliveryId>,
    run_count: u32,
    removed_count: usize,
    /// Number of replies that the broker has read.
    reply_count: u32,
    ms: u64,
    events: Vec<String>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Deliver,
    /// The broker reads the oldest unread method.
    BrokerReads,
    ChooseRun,
    RejectRequest,
    FinishRun,
    AnswerFence,
    ConfirmPublish,
    ConnectionLost,
    Reconnect,
    TimePasses,
}

const EVENTS: [Event; 10] = [
    Event::Deliver,
    Event::BrokerReads,
    Event::ChooseRun,
    Event::RejectRequest,
    Event::FinishRun,
    Event::AnswerFence,
    Event::ConfirmPublish,
    Event::ConnectionLost,
    Event::Reconnect,
    Event::TimePasses,
];

/// Configuration of one exploration.
#[derive(Clone, Copy)]
struct Case {
    idempotency: Idempotency,
    settle_before_run: bool,
    wants_reply: bool,
    /// Number of copies of the message in the queue at the start.
    copies: usize,
    /// Whether the tracker is not notified of lost connections, a fault that makes it use a stale tag.
    stale_tag_fault: bool,
}

impl BrokerModel {
    fn new(case: Case) -> Self {
        Self {
            tracker: new_tracker(SettlementTable::default(), case.settle_before_run),
            connection: 1,
            connected: true,
            last_tag: 0,
            queued_copies: vec![false; case.copies],
            unsettled_tags: BTreeSet::new(),
            unread: Vec::new(),
            submitted: BTreeSet::new(),
            awaiting_run: BTreeSet::new(),
            running: BTreeSet::new(),
            pending_fences: Vec::new(),
            pending_confirms: Vec::new(),
            run_count: 0,
            removed_count: 0,
            reply_count: 0,
            ms: 0,
            events: Vec::new(),
        }
    }

    /// Applies an event and carries out the actions that follow; returns false if the event is not possible
    /// now.
    fn apply(&mut self, case: Case, event: Event) -> bool {
        let now = at(self.ms);
        match event {
            Event::Deliver if self.connected && !self.queued_copies.is_empty() => {
                self.deliver(case, now);
            }
            Event::BrokerReads if self.connected && !self.unread.is_empty() => {
                let action = self.unread.remove(0);
                self.broker_reads(action);
            }
            Event::ChooseRun => {
                let Some(id) = self.submitted.pop_first() else { return false };
                self.awaiting_run.insert(id);
                self.tracker.run_requested(now, id);
            }
            Event::RejectRequest => {
                let Some(id) = self.submitted.pop_first() else { return false };
                self.tracker.request_finished(
                    now,
                    id,
                    DeliveryOutcome::Rejected(Duration::from_ms(10)),
                    &[].into(),
                );
            }
            Event::FinishRun => {
                let Some(id) = self.running.pop_first() else { return false };
                self.tracker.request_finished(now, id, DeliveryOutcome::Succeeded, &(*b"ok").into());
            }
            Event::AnswerFence if self.connected && !self.pending_fences.is_empty() => {
                let id = self.pending_fences.remove(0);
                self.tracker.fence_answered(now, id);
            }
            Event::ConfirmPublish if self.connected && !self.pending_confirms.is_empty() => {
                let id = self.pending_confirms.remove(0);
                self.tracker.publish_confirmed(now, id, true);
            }
            Event::ConnectionLost if self.connected => {
                self.lose_connection(case);
            }
            Event::Reconnect if !self.connected => {
                self.connected = true;
                self.connection += 1;
                self.last_tag = 0;
            }
            Event::TimePasses if self.ms == 0 => self.ms = 20,
            Event::TimePasses if self.ms == 20 => self.ms = 1000,
            _ => return false,
        }
        if self.connected {
            self.tracker.set_publishing_ready(true);
            self.tracker.queue_consumed(at(self.ms), QueueId(0));
        }
        self.events.push(format!("{event:?}"));
        self.run_actions();
        true
    }

    fn deliver(&mut self, case: Case, now: Timestamp) {
        let redelivered = self.queued_copies.pop().expect("not empty");
        self.last_tag += 1;
        self.unsettled_tags.insert(self.last_tag);
        let delivery = received(tag(self.connection, self.last_tag), "m", case.idempotency);
        let delivery = ReceivedDelivery { redelivered, wants_reply: case.wants_reply, ..delivery };
        self.tracker.delivery_received(now, delivery);
    }

    fn lose_connection(&mut self, case: Case) {
        self.connected = false;
        self.unread.clear();
        self.pending_fences.clear();
        self.pending_confirms.clear();
        let requeued = std::mem::take(&mut self.unsettled_tags).len();
        self.queued_copies.extend(std::iter::repeat_n(true, requeued));
        if !case.stale_tag_fault {
            self.tracker.connection_lost(ConnectionNumber(self.connection));
        }
        self.tracker.set_publishing_ready(false);
    }

    fn run_actions(&mut self) {
        while let Some(action) = self.tracker.next_action(at(self.ms)) {
            match action {
                DeliveryAction::Submit(id) => drop(self.submitted.insert(id)),
                DeliveryAction::Abandon(id) => drop(self.submitted.remove(&id)),
                DeliveryAction::ResolveRun { id, permitted } => {
                    assert!(
                        self.awaiting_run.remove(&id),
                        "resolved a run that was not requested after the events {:?}",
                        self.events
                    );
                    if permitted {
                        self.run_count += 1;
                        self.running.insert(id);
                    }
                }
                DeliveryAction::Release { .. } => {}
                DeliveryAction::Ack(tag) | DeliveryAction::Reject(tag) | DeliveryAction::Requeue(tag)
                    if tag.connection.0 != self.connection || !self.connected =>
                {
                    panic!("a stale tag is used after the events {:?}", self.events)
                }
                action if self.connected => self.unread.push(action),
                _ => {}
            }
        }
        self.tracker
            .check_invariants()
            .unwrap_or_else(|violation| panic!("{violation} after the events {:?}", self.events));
    }

    /// Applies the effect of a method on the broker.
    fn broker_reads(&mut self, action: DeliveryAction) {
        match action {
            DeliveryAction::Ack(tag) | DeliveryAction::Reject(tag) => {
                assert!(
                    self.unsettled_tags.remove(&tag.tag),
                    "a tag is settled twice after the events {:?}",
                    self.events
                );
                self.removed_count += 1;
            }
            DeliveryAction::Requeue(tag) => {
                assert!(
                    self.unsettled_tags.remove(&tag.tag),
                    "a tag is settled twice after the events {:?}",
                    self.events
                );
                self.queued_copies.push(true);
            }
            DeliveryAction::Fence { id, .. } => self.pending_fences.push(id),
            DeliveryAction::PublishReply { id, .. } => {
                self.reply_count += 1;
                self.pending_confirms.push(id);
            }
            DeliveryAction::PublishRetry { id, .. } => self.pending_confirms.push(id),
            _ => {}
        }
    }
}

/// Returns the number of event orders of the given depth, all of which satisfy the checks.
fn explore(case: Case, depth: u32) -> u64 {
    fn count_orders(case: Case, model: &BrokerModel, depth: u32) -> u64 {
        if depth == 0 {
            return 1;
        }
        let mut orders = 0;
        for event in EVENTS {
            let mut next = model.clone();
            if !next.apply(case, event) {
                continue;
            }
            let copies = next.queued_copies.len() + next.unsettled_tags.len() + next.removed_count;
            assert_eq!(
                copies, case.copies,
                "a copy was lost or duplicated after the events {:?}",
                next.events
            );
            let is_gone = next.removed_count == case.copies && next.tracker.active() == 0;
            assert!(
                !case.wants_reply || !is_gone || next.run_count > 0 || next.reply_count > 0,
                "the message has no outcome after the events {:?}",
                next.events
            );
            // All copies are the same message, so only one of them may run.
            let must_run_once = case.idempotency != Idempotency::Idempotent;
            assert!(
                !must_run_once || next.run_count <= 1,
                "ran {} times after the events {:?}",
                next.run_count,
                next.events
            );
            orders += count_orders(case, &next, depth - 1);
        }
        orders
    }
    count_orders(case, &BrokerModel::new(case), depth)
}

/// Guards against a tag that is settled twice and a request that must not run twice but does, in any order of
/// events with a lost connection.
#[test]
fn no_event_order_settles_twice_or_reruns_non_idempotent() {
    let mut seen = String::new();
    for idempotency in [Idempotency::Idempotent, Idempotency::IdempotentWithKey, Idempotency::NonIdempotent] {
        for settle_before_run in [true, false] {
            for wants_reply in [true, false] {
                let case =
                    Case { idempotency, settle_before_run, wants_reply, copies: 2, stale_tag_fault: false };
                let orders = explore(case, 9);
                assert!(orders > 1000);
                seen += &format!(
                    "{idempotency:?} settle_before_run {settle_before_run} wants_reply {wants_reply}: {orders} orders\n"
                );
            }
        }
    }
    println!("{seen}");
}

/// Guards against a message that the broker has removed by its ack, and whose connection is lost before the
/// fence is answered: it never ran, and its sender never heard of it.
#[test]
fn every_acknowledged_message_gets_an_outcome() {
    for idempotency in [Idempotency::IdempotentWithKey, Idempotency::NonIdempotent] {
        let case = Case {
            idempotency,
            settle_before_run: true,
            wants_reply: true,
            copies: 1,
            stale_tag_fault: false,
        };
        assert!(explore(case, 12) > 1000);
    }
}

/// Shows that the checks detect a tracker that uses the tags of a lost connection.
#[test]
#[should_panic(expected = "a stale tag is used")]
fn exploration_detects_the_use_of_a_stale_tag() {
    explore(
        Case {
            idempotency: Idempotency::Idempotent,
            settle_before_run: false,
            wants_reply: false,
            copies: 2,
            stale_tag_fault: true,
        },
        6,
    );
}
