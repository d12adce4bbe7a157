//! One delivery: what is known of it and its state.

use crate::identifiers::{DeliveryId, DeliveryTag, QueueId};
use crate::outcome::DeliveryOutcome;
use crate::settlement::Settlement;
use crate::tracker::ReceivedDelivery;
use hazelspur::{Duration, Idempotency, Timestamp};
use std::rc::Rc;

/// What is published for a delivery before it is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Publication {
    /// The reply that the message asked for.
    Reply,
    /// A copy to the retry queue.
    RetryCopy { delay: Duration },
    /// A copy to its own queue, of a message whose time ended between its ack and its run. The broker has read the
    /// ack and nothing ran, so the copy is the only one; whoever gets it settles it as expired.
    ExpiredCopy,
}

/// State of a delivery between its receipt and its settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeliveryState {
    /// Waits for the queue's duty cycle gate.
    Gated,
    /// Submitted to the admission controller, which has not run it yet.
    Submitted,
    /// A duplicate that ends as the given delivery does.
    DuplicateOf(DeliveryId),
    /// Acknowledged before its run, which waits for the fence.
    AwaitingFence,
    Running,
    /// A reply or a retry copy waits for its publishing or its confirm.
    Publishing {
        publication: Publication,
        sent_at: Option<Timestamp>,
    },
    /// Waits for its requeue at this time.
    RequeueAt(Timestamp),
}

impl DeliveryState {
    /// Whether the admission controller knows its request.
    pub(super) fn is_submitted(self) -> bool {
        matches!(self, Self::Submitted | Self::AwaitingFence | Self::Running)
    }

    pub(super) fn is_publishing(self) -> bool {
        matches!(self, Self::Publishing { .. })
    }

    pub(super) fn is_publishing_reply(self) -> bool {
        matches!(self, Self::Publishing { publication: Publication::Reply, .. })
    }
}

impl DeliveryState {
    /// Whether it waits for nothing but a connection on which it can be published.
    pub(super) fn is_publishing_without_tag(self) -> bool {
        let published = |publication| matches!(publication, Publication::Reply | Publication::ExpiredCopy);
        matches!(self, Self::Publishing { publication, .. } if published(publication))
    }
}

#[derive(Clone, Debug)]
pub(super) struct Delivery {
    pub(super) queue: QueueId,
    pub(super) tag: DeliveryTag,
    /// Whether the tag can still be settled: its channel is open and it has not been settled.
    pub(super) unsettled: bool,
    pub(super) message_id: Option<Rc<str>>,
    pub(super) idempotency: Idempotency,
    pub(super) deadline: Option<Timestamp>,
    pub(super) wants_reply: bool,
    /// Attempts before this delivery.
    pub(super) previous_attempts: u32,
    pub(super) state: DeliveryState,
    pub(super) duplicates: Vec<DeliveryId>,
    pub(super) outcome: DeliveryOutcome,
    pub(super) settlement: Settlement,
    pub(super) result: Rc<[u8]>,
    /// Whether the broker returned what was published for it.
    pub(super) returned: bool,
    /// Its entry in the tracker's timers.
    pub(super) timer: Option<Timestamp>,
    pub(super) submitted_at: Timestamp,
}

impl Delivery {
    pub(super) fn new(now: Timestamp, received: &ReceivedDelivery<'_>) -> Self {
        Self {
            queue: received.queue,
            tag: received.tag,
            unsettled: true,
            message_id: received.message_id.filter(|id| !id.is_empty()).map(Rc::from),
            idempotency: received.idempotency.unwrap_or(Idempotency::NonIdempotent),
            deadline: received.deadline,
            wants_reply: received.wants_reply,
            previous_attempts: received.previous_attempts,
            state: DeliveryState::Submitted,
            duplicates: Vec::new(),
            outcome: DeliveryOutcome::Expired,
            settlement: Settlement::Reject,
            result: [].into(),
            returned: false,
            timer: None,
            submitted_at: now,
        }
    }

    /// Takes the tag for its one settlement.
    pub(super) fn take_tag(&mut self) -> Option<DeliveryTag> {
        std::mem::replace(&mut self.unsettled, false).then_some(self.tag)
    }

    pub(super) fn must_run_once(&self) -> bool {
        self.idempotency != Idempotency::Idempotent
    }

    /// Whether a duplicate must not run after this outcome. A failed idempotent request may run again.
    pub(super) fn prevents_rerun(&self, outcome: DeliveryOutcome) -> bool {
        match outcome {
            DeliveryOutcome::Succeeded => true,
            DeliveryOutcome::Failed => self.must_run_once(),
            _ => false,
        }
    }
}
