//! Publishing of replies and of copies of messages, which the broker has to confirm before the delivery ends.

use super::delivery::{DeliveryState, Publication};
use super::{CONFIRM_TIMEOUT, DeliveryAction, DeliveryTracker};
use crate::identifiers::DeliveryId;
use crate::outcome::DeliveryOutcome;
use crate::settlement::Settlement;
use hazelspur::{Duration, Timestamp};

impl DeliveryTracker {
    /// Queues a publication of the delivery.
    pub(super) fn begin_publishing(&mut self, now: Timestamp, id: DeliveryId, publication: Publication) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.state = DeliveryState::Publishing { publication, sent_at: None };
            self.publish_queue.push_back(id);
            self.set_timer(id, Some(now + CONFIRM_TIMEOUT));
        }
    }

    /// Publishes the next queued message if messages can be published; returns whether the queue advanced.
    pub(super) fn publish_next(&mut self, now: Timestamp) -> bool {
        if !self.publisher.channel_ready || self.publisher.blocked_by_broker {
            return false;
        }
        let Some(id) = self.publish_queue.pop_front() else { return false };
        let Some(delivery) = self.deliveries.get_mut(&id) else { return true };
        let DeliveryState::Publishing { publication, sent_at } = &mut delivery.state else { return true };
        *sent_at = Some(now);
        let action = match *publication {
            Publication::RetryCopy { delay } => {
                DeliveryAction::PublishRetry { id, delay, attempts: delivery.previous_attempts + 1 }
            }
            Publication::ExpiredCopy => DeliveryAction::PublishExpired { id },
            Publication::Reply => DeliveryAction::PublishReply {
                id,
                outcome: delivery.outcome,
                result: delivery.result.clone(),
            },
        };
        self.actions.push_back(action);
        self.set_timer(id, Some(now + CONFIRM_TIMEOUT));
        true
    }

    /// Records that the broker confirmed (`accepted`) or refused the message published for this delivery.
    pub fn publish_confirmed(&mut self, now: Timestamp, id: DeliveryId, accepted: bool) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let DeliveryState::Publishing { publication, .. } = delivery.state else { return };
        let routed = accepted && !delivery.returned;
        match publication {
            Publication::RetryCopy { delay } if !routed => self.requeue_unpublished_retry(now, id, delay),
            Publication::RetryCopy { .. } => {
                self.counters.retried += 1;
                self.settle_as(id, Settlement::Ack);
            }
            Publication::ExpiredCopy => {
                self.counters.expired += u64::from(routed);
                self.counters.acked_without_run += u64::from(!routed);
                self.settle(id);
            }
            Publication::Reply => {
                self.counters.replies_lost += u64::from(!routed);
                self.settle(id);
            }
        }
    }

    /// Requeues a delivery whose retry copy was not published. The copy would have carried the attempt count,
    /// so the cache keeps it; without a message-id the delivery is settled as exhausted.
    fn requeue_unpublished_retry(&mut self, now: Timestamp, id: DeliveryId, delay: Duration) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        if delivery.outcome == DeliveryOutcome::Failed {
            let Some(message) = delivery.identity else {
                let exhausted = self.queues[delivery.queue.0].settlements.exhausted;
                return self.settle_as(id, exhausted);
            };
            self.message_cache.record_failed_attempts(now, message, delivery.previous_attempts + 1);
        }
        self.schedule_requeue(now, id, delay);
    }

    /// Records that the broker returned the message published for this delivery as unroutable; its confirm
    /// follows.
    pub fn publish_returned(&mut self, id: DeliveryId) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.returned = true;
        }
    }

    /// Records that the publishing channel is ready, or lost. Messages that are unconfirmed when it is lost
    /// are published again, except for copies of expired messages, which must not be in the queue twice.
    pub fn set_publishing_ready(&mut self, ready: bool) {
        self.publisher.channel_ready = ready;
        self.publisher.blocked_by_broker = false;
        if ready {
            return;
        }
        self.restart_redelivery_waits();
        self.publish_queue.clear();
        self.give_up_unconfirmed_copies();
        for (id, delivery) in &mut self.deliveries {
            if let DeliveryState::Publishing { sent_at, .. } = &mut delivery.state {
                *sent_at = None;
                delivery.returned = false;
                self.publish_queue.push_back(*id);
            }
        }
    }

    /// Ends the deliveries whose copy of an expired message was sent and not confirmed: it may have been
    /// published, so it is not published again.
    fn give_up_unconfirmed_copies(&mut self) {
        let unconfirmed = self.select(|delivery| {
            let DeliveryState::Publishing { publication, sent_at } = delivery.state else { return false };
            publication == Publication::ExpiredCopy && sent_at.is_some()
        });
        for id in unconfirmed {
            self.counters.acked_without_run += 1;
            self.settle(id);
        }
    }

    /// Records that the broker closed the publishing channel. Any unconfirmed message may be the cause, so
    /// all count as refused.
    pub fn publishing_channel_closed(&mut self, now: Timestamp) {
        let publishing = self.select(|delivery| delivery.state.is_publishing());
        publishing.into_iter().for_each(|id| self.publish_confirmed(now, id, false));
        self.set_publishing_ready(false);
    }

    /// Records whether the broker blocks publishers (`connection.blocked`). Messages already sent still await
    /// their confirms.
    pub fn set_publishing_blocked(&mut self, blocked: bool) {
        self.publisher.blocked_by_broker = blocked;
    }
}
