//! Submission of a delivery's request to the admission controller, and its run from the permission to the
//! outcome.

use super::delivery::{DeliveryState, Publication};
use super::{DeliveryAction, DeliveryTracker};
use crate::identifiers::DeliveryId;
use crate::outcome::DeliveryOutcome;
use crate::settlement::Settlement;
use hazelspur::Timestamp;
use std::rc::Rc;

impl DeliveryTracker {
    /// Submits a delivery, or queues it in the gate if its queue has a duty cycle below one.
    pub(super) fn submit_or_queue(&mut self, now: Timestamp, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let gate = &mut self.gates[delivery.queue.0];
        if gate.is_limiting() {
            delivery.state = DeliveryState::Gated;
            return gate.enqueue(id);
        }
        self.submit(now, id);
    }

    fn submit(&mut self, now: Timestamp, id: DeliveryId) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            (delivery.state, delivery.submitted_at) = (DeliveryState::Submitted, now);
            self.actions.push_back(DeliveryAction::Submit(id));
        }
    }

    /// Returns whether the admission controller has a request of this queue.
    pub(super) fn is_busy(&self, queue: usize) -> bool {
        self.deliveries.values().any(|delivery| delivery.queue.0 == queue && delivery.state.is_submitted())
    }

    /// Submits the first queued delivery that may leave its gate; returns whether one left its gate.
    pub(super) fn open_gates(&mut self, now: Timestamp) -> bool {
        for queue in 0..self.gates.len() {
            if !self.gates[queue].has_queued() {
                continue;
            }
            let busy = self.gates[queue].is_limiting() && self.is_busy(queue);
            let Some(id) = self.gates[queue].pop_ready(now, busy) else { continue };
            if self.deliveries.get(&id).is_some_and(|delivery| delivery.state == DeliveryState::Gated) {
                self.submit(now, id);
            }
            return true;
        }
        false
    }

    /// Records that the admission controller has chosen the request to run. The action `ResolveRun` answers
    /// whether it may, at once or after the fence.
    pub fn run_requested(&mut self, now: Timestamp, id: DeliveryId) {
        let settles_before_run = self.settles_before_run(id);
        let expired = self.is_expired(now, id);
        let state = self.deliveries.get(&id).map(|delivery| delivery.state);
        match state {
            Some(DeliveryState::Submitted) if expired => self.expire_before_run(now, id),
            Some(DeliveryState::Submitted) if settles_before_run => self.ack_before_run(now, id),
            Some(DeliveryState::Submitted | DeliveryState::Running) => self.begin_run(id),
            _ => self.resolve_run(id, false),
        }
    }

    /// Acknowledges a delivery and sends the fence, after whose answer the request runs.
    fn ack_before_run(&mut self, now: Timestamp, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let Some(tag) = delivery.take_tag() else { return self.expire_before_run(now, id) };
        delivery.state = DeliveryState::AwaitingFence;
        self.counters.acked += 1;
        self.actions.extend([DeliveryAction::Ack(tag), DeliveryAction::Fence { tag, id }]);
    }

    fn begin_run(&mut self, id: DeliveryId) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.state = DeliveryState::Running;
        }
        self.resolve_run(id, true);
    }

    fn resolve_run(&mut self, id: DeliveryId, permitted: bool) {
        self.actions.push_back(DeliveryAction::ResolveRun { id, permitted });
    }

    fn expire_before_run(&mut self, now: Timestamp, id: DeliveryId) {
        self.resolve_run(id, false);
        self.finish(now, id, DeliveryOutcome::Expired, &[].into());
    }

    fn awaits_fence(&self, id: DeliveryId) -> bool {
        self.deliveries.get(&id).is_some_and(|delivery| delivery.state == DeliveryState::AwaitingFence)
    }

    /// Records that the broker answered the fence, so that it has read the ack, and permits the run unless
    /// the message has expired.
    pub fn fence_answered(&mut self, now: Timestamp, id: DeliveryId) {
        if !self.awaits_fence(id) {
            return;
        }
        if self.is_expired(now, id) {
            self.resolve_run(id, false);
            return self.expire_after_ack(now, id);
        }
        self.begin_run(id);
    }

    /// Returns whether the permitted run of a request may start, immediately before its first start. The host
    /// may have been suspended since the permission: a message that has expired meanwhile never runs, and is
    /// settled here.
    pub fn confirm_start(&mut self, now: Timestamp, id: DeliveryId) -> bool {
        let is_running =
            self.deliveries.get(&id).is_some_and(|delivery| delivery.state == DeliveryState::Running);
        if !is_running || !self.is_expired(now, id) {
            return true;
        }
        if self.settles_before_run(id) {
            self.expire_after_ack(now, id);
        } else {
            self.finish(now, id, DeliveryOutcome::Expired, &[].into());
        }
        false
    }

    /// Handles the expiry of a message that can no longer be rejected since the broker has read its ack.
    /// Publishes a copy, which is settled in its place, unless the queue acknowledges expired messages
    /// anyway.
    fn expire_after_ack(&mut self, now: Timestamp, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        if self.queues[delivery.queue.0].settlements.expired == Settlement::Ack {
            self.counters.acked_without_run += 1;
            return self.finish(now, id, DeliveryOutcome::Expired, &[].into());
        }
        delivery.outcome = DeliveryOutcome::Expired;
        self.gates[delivery.queue.0].delivery_finished(now, delivery.submitted_at);
        self.begin_publishing(now, id, Publication::ExpiredCopy);
    }

    /// Records that the fence could not be sent, though the ack before it may have been: the request never
    /// runs.
    pub fn fence_not_sent(&mut self, id: DeliveryId) {
        if self.awaits_fence(id) {
            self.await_redelivery(id);
        }
    }

    /// Records the final outcome of a request and begins the settlement of its delivery.
    pub fn request_finished(
        &mut self,
        now: Timestamp,
        id: DeliveryId,
        outcome: DeliveryOutcome,
        result: &Rc<[u8]>,
    ) {
        if self.deliveries.get(&id).is_some_and(|delivery| delivery.state.is_submitted()) {
            self.finish(now, id, outcome, result);
        }
    }
}
