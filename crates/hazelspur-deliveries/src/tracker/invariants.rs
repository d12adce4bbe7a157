//! Invariants of the tracker, which tests check after each event.

use super::DeliveryTracker;
use super::delivery::{Delivery, DeliveryState};
use crate::identifiers::DeliveryId;
use std::collections::BTreeSet;
use thiserror::Error;

/// Violated invariant, with the delivery that violates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvariantViolation {
    /// Two unsettled deliveries have the same tag.
    #[error("{0:?} has the same tag as another unsettled delivery")]
    SharedTag(DeliveryId),
    /// A delivery that was acknowledged before its run is unsettled.
    #[error("{0:?} awaits its fence but is unsettled")]
    UnsettledFence(DeliveryId),
    /// A delivery whose ack is unproven is not among those that await a redelivery, or the reverse.
    #[error("{0:?} has an unproven ack but awaits no redelivery, or the reverse")]
    UnprovenAckNotAwaited(DeliveryId),
    /// A delivery that waits to run or to be requeued can no longer be settled.
    #[error("{0:?} has not run but can no longer be settled")]
    KeptWithoutTag(DeliveryId),
    /// A duplicate refers to a delivery that has ended.
    #[error("{0:?} is a duplicate of a delivery that has ended")]
    OrphanedDuplicate(DeliveryId),
}

impl DeliveryTracker {
    /// Checks the invariants that hold after each event.
    ///
    /// # Errors
    /// Returns the violation of the delivery with the lowest id.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let mut tags = BTreeSet::new();
        for (id, delivery) in &self.deliveries {
            if delivery.unsettled && !tags.insert(delivery.tag) {
                return Err(InvariantViolation::SharedTag(*id));
            }
            if (delivery.state == DeliveryState::AckUnproven) != self.unproven_acks.contains(id) {
                return Err(InvariantViolation::UnprovenAckNotAwaited(*id));
            }
            self.check_state(*id, delivery)?;
        }
        Ok(())
    }

    fn check_state(&self, id: DeliveryId, delivery: &Delivery) -> Result<(), InvariantViolation> {
        match delivery.state {
            DeliveryState::AwaitingFence if delivery.unsettled => Err(InvariantViolation::UnsettledFence(id)),
            DeliveryState::Submitted | DeliveryState::Gated | DeliveryState::RequeueAt(_)
                if !delivery.unsettled =>
            {
                Err(InvariantViolation::KeptWithoutTag(id))
            }
            DeliveryState::DuplicateOf(first) if !self.deliveries.contains_key(&first) => {
                Err(InvariantViolation::OrphanedDuplicate(id))
            }
            _ => Ok(()),
        }
    }
}
