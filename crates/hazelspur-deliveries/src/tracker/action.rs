//! Actions that the owner of the broker's connection carries out for the tracker.

use crate::identifiers::{DeliveryId, DeliveryTag};
use crate::outcome::DeliveryOutcome;
use hazelspur::Duration;
use std::rc::Rc;

/// Action of the tracker, to be carried out in the order of `DeliveryTracker::next_action`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryAction {
    /// Submit the request to the admission controller.
    Submit(DeliveryId),
    /// Abandon the request in the admission controller: its delivery can no longer be settled, or has
    /// expired.
    Abandon(DeliveryId),
    /// Answer `run_requested`: permit the run of the request, or state that it never runs.
    ResolveRun {
        /// Delivery of the request.
        id: DeliveryId,
        /// Whether the request may run.
        permitted: bool,
    },
    /// Acknowledge the delivery.
    Ack(DeliveryTag),
    /// Reject the delivery without requeue.
    Reject(DeliveryTag),
    /// Reject the delivery with requeue.
    Requeue(DeliveryTag),
    /// Send a method on the tag's channel whose answer shows that the broker has read all methods before it.
    Fence {
        /// Tag that identifies the channel.
        tag: DeliveryTag,
        /// Delivery to pass to `fence_answered`.
        id: DeliveryId,
    },
    /// Publish the reply to a delivery.
    PublishReply {
        /// Delivery to reply to.
        id: DeliveryId,
        /// Outcome of the request.
        outcome: DeliveryOutcome,
        /// Body of the reply.
        result: Rc<[u8]>,
    },
    /// Publish a copy of the message to the retry queue.
    PublishRetry {
        /// Delivery whose message is copied.
        id: DeliveryId,
        /// Time until the copy is redelivered.
        delay: Duration,
        /// Attempts so far, this one included.
        attempts: u32,
    },
    /// Publish a copy of the message to the delivery's own queue, with the original's send time and maximum
    /// wait.
    PublishExpired {
        /// Delivery whose message is copied.
        id: DeliveryId,
    },
    /// Drop everything that is stored for a delivery that has ended.
    Release {
        /// Delivery that has ended.
        id: DeliveryId,
        /// Outcome of the delivery.
        outcome: DeliveryOutcome,
    },
}

impl DeliveryAction {
    /// Returns the tag that the action uses, `None` if it needs no tag.
    pub(super) fn tag(&self) -> Option<DeliveryTag> {
        match self {
            Self::Ack(tag) | Self::Reject(tag) | Self::Requeue(tag) | Self::Fence { tag, .. } => Some(*tag),
            _ => None,
        }
    }
}
