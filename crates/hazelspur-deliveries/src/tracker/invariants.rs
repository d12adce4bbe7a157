//! Invariants of the tracker, checked by tests after each event.

use super::DeliveryTracker;
use super::delivery::{Delivery, DeliveryState};
use crate::identifiers::DeliveryId;
use std::collections::BTreeSet;
use thiserror::Error;

/// An invariant that does not hold, with the delivery that breaks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvariantViolation {
    /// Two unsettled deliveries have the same tag.
    #[error("{0:?}: two deliveries have one tag")]
    SharedTag(DeliveryId),
    /// A delivery that was acknowledged before its run is unsettled.
    #[error("{0:?}: awaits its fence with a tag")]
    UnsettledFence(DeliveryId),
    /// A delivery that has not run can no longer be settled.
    #[error("{0:?}: kept without a tag")]
    KeptWithoutTag(DeliveryId),
    /// A duplicate refers to a delivery that is over.
    #[error("{0:?}: duplicate of a delivery that is over")]
    OrphanedDuplicate(DeliveryId),
}

impl DeliveryTracker {
    /// Checks what has to hold after each event.
    ///
    /// # Errors
    /// Returns the first violation, by delivery.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let mut tags = BTreeSet::new();
        for (id, delivery) in &self.deliveries {
            if delivery.unsettled && !tags.insert(delivery.tag) {
                return Err(InvariantViolation::SharedTag(*id));
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
