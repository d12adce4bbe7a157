//! Acks whose fence was not answered before the channel was lost: whether the broker has read them is not
//! known.
//!
//! If the broker has not read the ack, it delivers the message again, and that delivery gets the outcome. If
//! it has, no other delivery follows, and the outcome has to come from here. The tracker therefore waits for
//! the redelivery while the queue can be consumed again, and fails the message if none comes. A message
//! whose fence was not answered has never run here and never will.
//!
//! Invariant: a delivery that wants a reply ends in this state only by a redelivery of its message, or by the
//! publication of its reply. Limitation: a redelivery to another server is not seen here, so that its sender
//! may get both outcomes. AMQP 0-9-1 has no method that tells whether an ack was read.

use super::delivery::DeliveryState;
use super::{DeliveryAction, DeliveryTracker, EXPIRY_MARGIN};
use crate::identifiers::{DeliveryId, QueueId};
use crate::outcome::DeliveryOutcome;
use hazelspur::{Duration, Timestamp};
use std::collections::BTreeSet;

/// Time for which a redelivery is awaited once the queue is consumed again. The broker puts its
/// unacknowledged messages back before the others, so that they are delivered first.
const REDELIVERY_WAIT: Duration = Duration::from_ms(500);
/// Maximum time for which a redelivery is awaited once messages can be published, while the queue is not
/// consumed. Longer than the delay after which a lost channel is opened again.
const MAX_REDELIVERY_WAIT: Duration = Duration::from_ms(2000);

impl DeliveryTracker {
    /// Ends the wait for a fence that will not be answered: the request never runs. A duplicate that can
    /// still be settled carries the message on; otherwise the redelivery is awaited.
    pub(super) fn await_redelivery(&mut self, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        delivery.state = DeliveryState::AckUnproven;
        let has_duplicates = !delivery.duplicates.is_empty();
        self.set_timer(id, None);
        self.actions.push_back(DeliveryAction::ResolveRun { id, permitted: false });
        if has_duplicates {
            return self.leave_to_broker(id);
        }
        self.unproven_acks.insert(id);
    }

    /// Begins the wait for the redeliveries, or ends it where no redelivery is awaited; returns whether there
    /// was a delivery to handle.
    pub(super) fn advance_unproven_acks(&mut self, now: Timestamp) -> bool {
        let idle = self.unproven_acks.iter().copied().find(|id| {
            let delivery = &self.deliveries[id];
            let gives_up = self.shutting_down && !delivery.wants_reply;
            delivery.timer.is_none() && (self.publisher.channel_ready || gives_up)
        });
        let Some(id) = idle else { return false };
        let delivery = &self.deliveries[&id];
        if self.shutting_down && !delivery.wants_reply {
            self.give_up_redelivery(now, id);
            return true;
        }
        let is_short = self.shutting_down || self.consumed_queues.contains(&delivery.queue);
        let waits_until = now + if is_short { REDELIVERY_WAIT } else { MAX_REDELIVERY_WAIT };
        let expires_at = delivery.deadline.map(|deadline| deadline.saturating_sub(EXPIRY_MARGIN));
        self.set_timer(id, Some(expires_at.map_or(waits_until, |expires_at| expires_at.min(waits_until))));
        true
    }

    /// Records that a queue is consumed from now on: the waits for its redeliveries end soon. No wait is ever
    /// prolonged, or a channel that is lost again and again would prolong it without end.
    pub fn queue_consumed(&mut self, now: Timestamp, queue: QueueId) {
        self.consumed_queues.insert(queue);
        let ends_at = now + REDELIVERY_WAIT;
        let ends_later =
            |id: &DeliveryId| self.deliveries[id].queue == queue && self.deliveries[id].timer > Some(ends_at);
        let shortened: Vec<DeliveryId> = self.unproven_acks.iter().copied().filter(ends_later).collect();
        shortened.into_iter().for_each(|id| self.set_timer(id, Some(ends_at)));
    }

    /// Records that a queue is no longer consumed.
    pub fn queue_not_consumed(&mut self, queue: QueueId) {
        self.consumed_queues.remove(&queue);
    }

    /// Stops the timers of all waits; they begin anew with the next action.
    pub(super) fn restart_redelivery_waits(&mut self) {
        let waiting: Vec<DeliveryId> = self.unproven_acks.iter().copied().collect();
        waiting.into_iter().for_each(|id| self.set_timer(id, None));
    }

    /// Ends the wait for a redelivery: the broker has read the ack. The message fails, or is expired if its
    /// time is over; without a reply only the counter tells.
    pub(super) fn give_up_redelivery(&mut self, now: Timestamp, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        self.counters.acked_without_run += u64::from(!delivery.wants_reply);
        self.unproven_acks.remove(&id);
        let outcome =
            if self.is_expired(now, id) { DeliveryOutcome::Expired } else { DeliveryOutcome::Failed };
        self.finish(now, id, outcome, &[].into());
    }

    /// Ends the wait for the redelivery of a message that is delivered again; returns whether it was awaited.
    pub(super) fn end_wait_for_redelivery(&mut self, id: DeliveryId) -> bool {
        let is_awaited = self.unproven_acks.contains(&id);
        if is_awaited {
            self.leave_to_broker(id);
        }
        is_awaited
    }

    /// Returns the queues whose redeliveries decide about a reply. They are consumed during a shutdown too;
    /// what they deliver is requeued.
    pub fn queues_awaiting_redelivery(&self) -> BTreeSet<QueueId> {
        let awaited = self.unproven_acks.iter().map(|id| &self.deliveries[id]);
        awaited.filter(|delivery| delivery.wants_reply).map(|delivery| delivery.queue).collect()
    }

    /// Returns the time until which a delivery that is received during a shutdown is kept before its requeue,
    /// so that the broker does not deliver it again in place of an awaited one; `None` if none is awaited.
    pub(super) fn requeue_after_wait(&self, now: Timestamp, queue: QueueId) -> Option<Timestamp> {
        let awaited = self.unproven_acks.iter().map(|id| &self.deliveries[id]);
        let timers = awaited.filter(|delivery| delivery.queue == queue).map(|delivery| delivery.timer);
        timers.map(|timer| timer.unwrap_or(now + REDELIVERY_WAIT)).max()
    }
}
