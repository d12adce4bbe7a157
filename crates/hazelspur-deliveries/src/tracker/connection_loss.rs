//! Loss of a channel or a connection: its tags can no longer be settled. Deliveries that have not run are
//! left to the broker, which redelivers them; runs and replies go on without a tag, and unproven acks wait
//! for the redelivery.

use super::delivery::{Delivery, DeliveryState, Publication};
use super::{DeliveryAction, DeliveryTracker, MAX_PENDING_REPLIES};
use crate::identifiers::{ConnectionNumber, DeliveryId, DeliveryTag};

impl DeliveryTracker {
    /// Records that the connection and all its channels are lost.
    pub fn connection_lost(&mut self, connection: ConnectionNumber) {
        self.consumed_queues.clear();
        self.handle_lost_tags(|tag| tag.connection == connection);
    }

    /// Records that one channel of a connection is lost.
    pub fn channel_lost(&mut self, connection: ConnectionNumber, channel: u16) {
        self.handle_lost_tags(|tag| tag.connection == connection && tag.channel == channel);
    }

    fn handle_lost_tags(&mut self, is_lost: impl Fn(&DeliveryTag) -> bool) {
        self.actions.retain(|action| !action.tag().is_some_and(|tag| is_lost(&tag)));
        let affected = self.select(|delivery| {
            let uses_tag = delivery.unsettled || delivery.state == DeliveryState::AwaitingFence;
            uses_tag && is_lost(&delivery.tag)
        });
        // Duplicates come first: an original that ends here requeues its remaining duplicates, and those must
        // be the ones whose tags are still valid.
        let (duplicates, others): (Vec<_>, Vec<_>) =
            affected.into_iter().partition(|id| self.is_duplicate(*id));
        duplicates.into_iter().chain(others).for_each(|id| self.handle_lost_tag(id));
        self.drop_excess_replies();
    }

    fn is_duplicate(&self, id: DeliveryId) -> bool {
        let state = self.deliveries.get(&id).map(|delivery| delivery.state);
        matches!(state, Some(DeliveryState::DuplicateOf(_)))
    }

    fn handle_lost_tag(&mut self, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        delivery.unsettled = false;
        match delivery.state {
            DeliveryState::Submitted => {
                self.actions.push_back(DeliveryAction::Abandon(id));
                self.leave_to_broker(id);
            }
            DeliveryState::AwaitingFence => self.await_redelivery(id),
            DeliveryState::Gated
            | DeliveryState::DuplicateOf(_)
            | DeliveryState::RequeueAt(_)
            | DeliveryState::Publishing { publication: Publication::RetryCopy { .. }, .. } => {
                self.leave_to_broker(id);
            }
            DeliveryState::AckUnproven
            | DeliveryState::Running
            | DeliveryState::Publishing {
                publication: Publication::Reply | Publication::ExpiredCopy, ..
            } => {}
        }
    }

    /// Drops the oldest publications without a tag in excess of `MAX_PENDING_REPLIES`.
    fn drop_excess_replies(&mut self) {
        let without_tag = |delivery: &Delivery| !delivery.unsettled && delivery.state.is_publishing();
        let waiting = self.select(without_tag);
        let excess = waiting.len().saturating_sub(MAX_PENDING_REPLIES);
        for id in waiting.into_iter().take(excess) {
            self.counters.replies_lost += 1;
            self.settle(id);
        }
    }
}
