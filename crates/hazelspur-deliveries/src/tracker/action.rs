//! What the owner of the connection carries out for the tracker.

use crate::identifiers::{DeliveryId, DeliveryTag};
use crate::outcome::DeliveryOutcome;
use hazelspur::Duration;
use std::rc::Rc;

/// One action, to be carried out in the order of `DeliveryTracker::next_action`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryAction {
    /// Submit the request to the admission controller.
    Submit(DeliveryId),
    /// Abandon the request: its delivery is no longer here to be settled, or it has expired.
    Abandon(DeliveryId),
    /// Let a request that was chosen to run begin, or tell it that it never will.
    ResolveRun {
        /// The delivery of the request.
        id: DeliveryId,
        /// Whether it may run.
        permitted: bool,
    },
    /// Acknowledge.
    Ack(DeliveryTag),
    /// Reject without requeue.
    Reject(DeliveryTag),
    /// Reject with requeue.
    Requeue(DeliveryTag),
    /// Send a method on the tag's channel whose answer shows that the broker has read all methods before it.
    Fence {
        /// Names the channel.
        tag: DeliveryTag,
        /// Delivery to pass to `fence_answered`.
        id: DeliveryId,
    },
    /// Publish the reply.
    PublishReply {
        /// The delivery to reply to.
        id: DeliveryId,
        /// How its request ended.
        outcome: DeliveryOutcome,
        /// The reply's body.
        result: Rc<[u8]>,
    },
    /// Publish a copy to the retry queue.
    PublishRetry {
        /// The delivery to copy.
        id: DeliveryId,
        /// Time until the copy is redelivered.
        delay: Duration,
        /// Attempts so far, this one included.
        attempts: u32,
    },
    /// Publish a copy to the delivery's own queue, with the time of sending and the longest wait of the original.
    PublishExpired {
        /// The delivery to copy.
        id: DeliveryId,
    },
    /// Drop what is stored for the delivery.
    Release {
        /// The delivery that is over.
        id: DeliveryId,
        /// How it ended.
        outcome: DeliveryOutcome,
    },
}

impl DeliveryAction {
    /// The tag that the action uses.
    pub(super) fn tag(&self) -> Option<DeliveryTag> {
        match self {
            Self::Ack(tag) | Self::Reject(tag) | Self::Requeue(tag) | Self::Fence { tag, .. } => Some(*tag),
            _ => None,
        }
    }
}
