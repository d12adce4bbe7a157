//! Data and state of one delivery.

use crate::identifiers::{DeliveryId, DeliveryTag, QueueId};
use crate::message_identity::MessageIdentity;
use crate::outcome::DeliveryOutcome;
use crate::settlement::Settlement;
use crate::tracker::ReceivedDelivery;
use hazelspur::{Duration, Idempotency, Timestamp};
use std::rc::Rc;

/// Message that is published for a delivery before the delivery ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Publication {
    /// Reply that the message asked for.
    Reply,
    /// Copy to the retry queue, which delivers it again after the delay.
    RetryCopy { delay: Duration },
    /// Copy to the delivery's own queue, of a message that expired between its ack and its run. The broker
    /// has read the ack and the request has not run, so the copy is the only one; the consumer that receives
    /// it settles it as expired.
    ExpiredCopy,
}

/// State of a delivery between its receipt and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeliveryState {
    /// Waits in the queue's duty cycle gate.
    Gated,
    /// Submitted to the admission controller, which has not started its request yet.
    Submitted,
    /// Duplicate that is settled like the given delivery.
    DuplicateOf(DeliveryId),
    /// Acknowledged; the run starts when the broker answers the fence.
    AwaitingFence,
    /// Acknowledged, and the channel was lost before the fence was answered: the broker may have read the ack
    /// or may deliver the message again. The request never runs.
    AckUnproven,
    /// The run of the request was permitted and has not ended.
    Running,
    /// A message waits to be published (`sent_at` is `None`) or to be confirmed.
    Publishing { publication: Publication, sent_at: Option<Timestamp> },
    /// Waits, unsettled, for its requeue at the given time.
    RequeueAt(Timestamp),
}

impl DeliveryState {
    /// Returns whether the admission controller knows the request.
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
    /// Returns whether a message is being published that does not depend on the delivery's tag, so that it
    /// can also be published on another connection.
    pub(super) fn is_publishing_without_tag(self) -> bool {
        let published = |publication| matches!(publication, Publication::Reply | Publication::ExpiredCopy);
        matches!(self, Self::Publishing { publication, .. } if published(publication))
    }
}

/// Delivery between its receipt and its end.
#[derive(Clone, Debug)]
pub(super) struct Delivery {
    pub(super) queue: QueueId,
    pub(super) tag: DeliveryTag,
    /// Whether the tag can still be settled: its channel is open and it has not been settled.
    pub(super) unsettled: bool,
    /// Identity of the message; `None` if no other delivery can be recognized as the same message.
    pub(super) identity: Option<MessageIdentity>,
    pub(super) idempotency: Idempotency,
    pub(super) deadline: Option<Timestamp>,
    pub(super) wants_reply: bool,
    /// Number of attempts before this delivery.
    pub(super) previous_attempts: u32,
    pub(super) state: DeliveryState,
    /// Deliveries of the same message that are settled like this one.
    pub(super) duplicates: Vec<DeliveryId>,
    /// Outcome; `Expired` until the delivery has one.
    pub(super) outcome: DeliveryOutcome,
    pub(super) settlement: Settlement,
    pub(super) result: Rc<[u8]>,
    /// Whether the broker returned the published message as unroutable.
    pub(super) returned: bool,
    /// Time of its entry in the tracker's timers, if there is one.
    pub(super) timer: Option<Timestamp>,
    pub(super) submitted_at: Timestamp,
}

impl Delivery {
    pub(super) fn new(now: Timestamp, received: &ReceivedDelivery) -> Self {
        Self {
            queue: received.queue,
            tag: received.tag,
            unsettled: true,
            identity: received.identity,
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

    /// Marks the delivery as settled and returns its tag, `None` if it can no longer be settled.
    pub(super) fn take_tag(&mut self) -> Option<DeliveryTag> {
        std::mem::replace(&mut self.unsettled, false).then_some(self.tag)
    }

    pub(super) fn must_run_once(&self) -> bool {
        self.idempotency != Idempotency::Idempotent
    }

    /// Returns whether a duplicate must not run after this outcome. A failed idempotent request may run
    /// again; a possible duplicate may have run before.
    pub(super) fn prevents_rerun(&self, outcome: DeliveryOutcome) -> bool {
        match outcome {
            DeliveryOutcome::Succeeded | DeliveryOutcome::PossibleDuplicate => true,
            DeliveryOutcome::Failed => self.must_run_once(),
            _ => false,
        }
    }
}
