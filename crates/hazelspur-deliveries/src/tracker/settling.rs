//! Settlement of a delivery: from the outcome of its request to the end of the delivery.

use super::delivery::{Delivery, DeliveryState, Publication};
use super::{DeliveryAction, DeliveryTracker};
use crate::identifiers::DeliveryId;
use crate::outcome::DeliveryOutcome;
use crate::settlement::{Settlement, SettlementTable};
use hazelspur::{Duration, Timestamp};
use std::rc::Rc;

/// Returns the settlement by the queue's table. A failed message without a message-id is settled as exhausted
/// instead of requeued: its attempts cannot be counted, so it would be redelivered without end.
fn settlement_of(table: &SettlementTable, delivery: &Delivery, outcome: DeliveryOutcome) -> Settlement {
    let settlement = table.settle(outcome, delivery.idempotency, delivery.previous_attempts);
    let requeues_failed = outcome == DeliveryOutcome::Failed && settlement == Settlement::RequeueLater;
    if requeues_failed && delivery.identity.is_none() { table.exhausted } else { settlement }
}

impl DeliveryTracker {
    /// Records the outcome of a delivery and begins its settlement by the queue's table.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        id: DeliveryId,
        outcome: DeliveryOutcome,
        result: &Rc<[u8]>,
    ) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let table = &self.queues[delivery.queue.0].settlements;
        let delay = table.redelivery_delay(outcome);
        let prevents_rerun = delivery.prevents_rerun(outcome);
        let duplicates = std::mem::take(&mut delivery.duplicates);
        (delivery.outcome, delivery.result) = (outcome, result.clone());
        delivery.settlement = settlement_of(table, delivery, outcome);
        if delivery.state.is_submitted() {
            self.gates[delivery.queue.0].delivery_finished(now, delivery.submitted_at);
        }
        self.update_message_cache(now, id);
        self.counters.expired += u64::from(outcome == DeliveryOutcome::Expired);
        self.begin_settlement(now, id, delay);
        for duplicate in duplicates {
            if prevents_rerun {
                self.counters.duplicates += 1;
                self.finish(now, duplicate, outcome, result);
            } else {
                self.schedule_requeue(now, duplicate, delay);
            }
        }
    }

    /// Records the outcome in the message cache if duplicates must not run, and the attempt count if the
    /// message is requeued after a failure.
    fn update_message_cache(&mut self, now: Timestamp, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let Some(message) = delivery.identity else { return };
        let failed = delivery.outcome == DeliveryOutcome::Failed;
        if delivery.prevents_rerun(delivery.outcome) {
            let result = delivery.result.clone();
            self.message_cache.record_finished(now, message, delivery.outcome, result);
        } else if failed && delivery.settlement == Settlement::RequeueLater {
            self.message_cache.record_failed_attempts(now, message, delivery.previous_attempts + 1);
        } else {
            self.message_cache.release(message, id);
        }
    }

    fn begin_settlement(&mut self, now: Timestamp, id: DeliveryId, delay: Duration) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let settled_before_run = !delivery.unsettled;
        match delivery.settlement {
            Settlement::RequeueLater | Settlement::PublishRetry if settled_before_run => self.settle(id),
            Settlement::RequeueLater => self.schedule_requeue(now, id, delay),
            Settlement::PublishRetry => self.begin_publishing(now, id, Publication::RetryCopy { delay }),
            Settlement::Ack | Settlement::Reject if delivery.wants_reply => {
                self.begin_publishing(now, id, Publication::Reply);
            }
            Settlement::Ack | Settlement::Reject => self.settle(id),
        }
    }

    /// Requeues a delivery after the delay, or at once during a shutdown. Ends it if it can no longer be
    /// settled.
    pub(super) fn schedule_requeue(&mut self, now: Timestamp, id: DeliveryId, delay: Duration) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        if !delivery.unsettled || self.shutting_down {
            return self.requeue(id);
        }
        let at = now + delay;
        delivery.state = DeliveryState::RequeueAt(at);
        self.set_timer(id, Some(at));
    }

    /// Requeues the message if it can still be settled, and ends the delivery.
    pub(super) fn requeue(&mut self, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        if let Some(tag) = delivery.take_tag() {
            self.counters.requeued += 1;
            self.actions.push_back(DeliveryAction::Requeue(tag));
        }
        self.release(id);
    }

    /// Settles the delivery by the settlement chosen for its outcome, and ends it.
    pub(super) fn settle(&mut self, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let settlement = delivery.settlement;
        self.settle_as(id, settlement);
    }

    /// Settles the delivery unless it was acknowledged before the run or its tag is lost, and ends it.
    pub(super) fn settle_as(&mut self, id: DeliveryId, settlement: Settlement) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        match (delivery.take_tag(), settlement) {
            (Some(tag), Settlement::Reject) => {
                self.counters.rejected += 1;
                self.actions.push_back(DeliveryAction::Reject(tag));
            }
            (Some(tag), _) => {
                self.counters.acked += 1;
                self.actions.push_back(DeliveryAction::Ack(tag));
            }
            (None, _) => {}
        }
        self.release(id);
    }

    /// Ends a delivery without a settlement, since its tag is lost. The broker redelivers its message if that
    /// was not acknowledged.
    pub(super) fn leave_to_broker(&mut self, id: DeliveryId) {
        self.counters.left_to_broker += u64::from(self.deliveries.contains_key(&id));
        self.release(id);
    }

    /// Removes a delivery that has ended. Duplicates that still wait for its outcome have not run and are
    /// requeued.
    fn release(&mut self, id: DeliveryId) {
        let Some(mut delivery) = self.deliveries.remove(&id) else { return };
        self.unproven_acks.remove(&id);
        self.timers.cancel(id, &mut delivery);
        if let Some(message) = delivery.identity {
            self.message_cache.release(message, id);
        }
        for duplicate in delivery.duplicates {
            self.requeue(duplicate);
        }
        self.actions.push_back(DeliveryAction::Release { id, outcome: delivery.outcome });
    }
}
