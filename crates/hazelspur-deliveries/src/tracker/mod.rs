//! Tracks each delivery from its receipt to its one settlement.
//!
//! Input: events of the broker's connection and of the requests, with the time. Output: actions, which the
//! caller takes from `next_action` until there are none and carries out in order.
//!
//! A delivery tag is valid on one channel of one connection. When the channel is lost, requests that have not
//! run are abandoned, since the broker redelivers their messages. A running request goes on; its outcome is
//! kept for the redelivery of its message or, if a reply is wanted, is published on the next connection.
//!
//! A request that must not run twice is settled before its run, in three steps: the ack; a fence, which is a
//! method whose answer shows that the broker has read the ack; the run. Therefore a redelivered message has
//! not run anywhere. The cost is that a process that dies between ack and run loses the message. A queue
//! may be configured to settle after the run instead; then a redelivered message that is not in the cache may
//! have run, and is settled as a possible duplicate.
//!
//! If the channel is lost between ack and fence, `unproven_ack` decides how the message ends.
//!
//! Invariants: those that `check_invariants` checks.

mod action;
mod connection_loss;
mod counters;
mod delivery;
mod invariants;
mod publishing;
mod receipt;
mod run;
mod settling;
mod timers;
mod unproven_ack;

pub use action::DeliveryAction;
pub use counters::DeliveryCounters;
pub use invariants::InvariantViolation;
pub use receipt::ReceivedDelivery;

use crate::duty_cycle_gate::DutyCycleGate;
use crate::identifiers::{DeliveryId, QueueId};
use crate::message_cache::MessageCache;
use crate::settlement::SettlementTable;
use delivery::{Delivery, DeliveryState};
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timers::Timers;

/// Time before its deadline at which a delivery expires. It is longer than the admission controller's timer
/// tick.
pub const EXPIRY_MARGIN: Duration = Duration::from_ms(80);
/// Maximum time that the broker may take to confirm a published message.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_ms(5000);
/// Maximum number of replies that wait for the next connection after theirs was lost; the oldest are dropped
/// first.
pub const MAX_PENDING_REPLIES: usize = 1024;

/// Settings for the deliveries of one queue.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Settlement of each outcome.
    pub settlements: SettlementTable,
    /// Whether a request that must not run twice is settled before its run (with a fence) instead of after
    /// it.
    pub settle_before_run: bool,
}

/// Conditions for publishing messages; they can be published while the channel is ready and not blocked.
#[derive(Clone, Copy, Debug, Default)]
struct PublisherState {
    channel_ready: bool,
    blocked_by_broker: bool,
}

/// Tracker of the deliveries of all queues.
#[derive(Clone, Debug)]
pub struct DeliveryTracker {
    queues: Vec<QueueSettings>,
    gates: Vec<DutyCycleGate>,
    message_cache: MessageCache,
    deliveries: BTreeMap<DeliveryId, Delivery>,
    last_id: u64,
    timers: Timers,
    actions: VecDeque<DeliveryAction>,
    publisher: PublisherState,
    publish_queue: VecDeque<DeliveryId>,
    /// Deliveries in the state `AckUnproven`.
    unproven_acks: BTreeSet<DeliveryId>,
    consumed_queues: BTreeSet<QueueId>,
    shutting_down: bool,
    counters: DeliveryCounters,
}

impl DeliveryTracker {
    /// Creates a tracker for the given queues; the `QueueId` of a queue is its index.
    pub fn new(queues: Vec<QueueSettings>, message_cache: MessageCache) -> Self {
        Self {
            gates: queues.iter().map(|_| DutyCycleGate::default()).collect(),
            queues,
            message_cache,
            deliveries: BTreeMap::new(),
            last_id: 0,
            timers: Timers::default(),
            actions: VecDeque::new(),
            publisher: PublisherState::default(),
            publish_queue: VecDeque::new(),
            unproven_acks: BTreeSet::new(),
            consumed_queues: BTreeSet::new(),
            shutting_down: false,
            counters: DeliveryCounters::default(),
        }
    }

    /// Sets the fraction of the time in which a delivery of this queue may be processed.
    pub fn set_duty_cycle(&mut self, queue: QueueId, duty_cycle: f64) {
        self.gates[queue.0].set_duty_cycle(duty_cycle);
    }

    /// Begins the shutdown: requeues the deliveries that wait in a gate or for a later requeue, and from now
    /// on every delivery that would be submitted.
    pub fn shutdown_notice(&mut self) {
        self.shutting_down = true;
        self.restart_redelivery_waits();
        let waits = |d: &Delivery| matches!(d.state, DeliveryState::RequeueAt(_) | DeliveryState::Gated);
        self.select(waits).into_iter().for_each(|id| self.requeue(id));
    }

    /// Returns the next action, or `None` until the next event or `next_deadline`.
    pub fn next_action(&mut self, now: Timestamp) -> Option<DeliveryAction> {
        loop {
            if let Some(action) = self.actions.pop_front() {
                return Some(action);
            }
            let progressed = self.run_next_timer(now)
                || self.advance_unproven_acks(now)
                || self.open_gates(now)
                || self.publish_next(now);
            if !progressed {
                return None;
            }
        }
    }

    /// Returns the time at which `next_action` may return an action without a further event, `None` if it
    /// never does.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let gates = self.gates.iter().enumerate();
        let waiting = gates.filter(|(queue, gate)| gate.has_queued() && !self.is_busy(*queue));
        let gate_opens_at = waiting.map(|(_, gate)| gate.opens_at()).min();
        [gate_opens_at, self.timers.next()].into_iter().flatten().min()
    }

    /// Returns the counters since the start of the process. Messages that still await their fence's answer or
    /// their redelivery count as acknowledged without a run.
    pub fn counters(&self) -> DeliveryCounters {
        let acked_without_run = self.counters.acked_without_run + self.unproven_acks.len() as u64;
        DeliveryCounters { acked_without_run, ..self.counters }
    }

    /// Returns the number of unsettled deliveries of a queue.
    pub fn unsettled_in(&self, queue: QueueId) -> usize {
        let unsettled = |delivery: &&Delivery| delivery.unsettled && delivery.queue == queue;
        self.deliveries.values().filter(unsettled).count()
    }

    /// Returns the number of deliveries that have not ended, settled or not.
    pub fn active(&self) -> usize {
        self.deliveries.len()
    }

    /// Returns whether a reply or a copy of an expired message is still to be published or confirmed, or a
    /// running request or an unproven ack may still produce one.
    pub fn has_pending_replies(&self) -> bool {
        let pending =
            |state: DeliveryState| state.is_publishing_without_tag() || state == DeliveryState::Running;
        !self.queues_awaiting_redelivery().is_empty()
            || self.deliveries.values().any(|delivery| pending(delivery.state))
    }

    fn select(&self, condition: impl Fn(&Delivery) -> bool) -> Vec<DeliveryId> {
        self.deliveries.iter().filter(|(_, delivery)| condition(delivery)).map(|(id, _)| *id).collect()
    }

    fn settles_before_run(&self, id: DeliveryId) -> bool {
        self.deliveries.get(&id).is_some_and(|delivery| {
            delivery.must_run_once() && self.queues[delivery.queue.0].settle_before_run
        })
    }

    fn is_expired(&self, now: Timestamp, id: DeliveryId) -> bool {
        let deadline = self.deliveries.get(&id).and_then(|delivery| delivery.deadline);
        deadline.is_some_and(|deadline| now + EXPIRY_MARGIN >= deadline)
    }
}
