//! Receipt of a delivery: decides whether its request is submitted, is a duplicate of a known message, or is
//! settled without a run.

use super::delivery::{Delivery, DeliveryState};
use super::{DeliveryAction, DeliveryTracker, EXPIRY_MARGIN};
use crate::identifiers::{DeliveryId, DeliveryTag, QueueId};
use crate::message_cache::MessageState;
use crate::message_identity::MessageIdentity;
use crate::outcome::DeliveryOutcome;
use hazelspur::{Idempotency, Timestamp};
use std::rc::Rc;

/// Delivery as received from the broker, as far as the tracker needs it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedDelivery {
    /// Tag of the delivery.
    pub tag: DeliveryTag,
    /// Queue of the delivery.
    pub queue: QueueId,
    /// Identity of the message; `None` if it has no message-id or is not a valid request.
    pub identity: Option<MessageIdentity>,
    /// Whether the broker has delivered the message before.
    pub redelivered: bool,
    /// Idempotency of the request class, or the outcome of a message that is not a valid request.
    pub idempotency: Result<Idempotency, DeliveryOutcome>,
    /// Deadline by which the request has to begin, if there is one.
    pub deadline: Option<Timestamp>,
    /// Whether the message asks for a reply.
    pub wants_reply: bool,
    /// Number of attempts before this one, according to the message's headers.
    pub previous_attempts: u32,
}

impl DeliveryTracker {
    /// Adds a delivery and returns its id. The caller keeps the message until the action `Release` names that
    /// id.
    pub fn delivery_received(&mut self, now: Timestamp, received: ReceivedDelivery) -> DeliveryId {
        self.last_id += 1;
        self.counters.received += 1;
        let id = DeliveryId(self.last_id);
        let delivery = Delivery::new(now, &received);
        self.deliveries.insert(id, delivery);
        if let Err(outcome) = received.idempotency {
            self.finish(now, id, outcome, &[].into());
            return id;
        }
        let known = received.identity.and_then(|message| self.message_cache.lookup(now, message));
        match known {
            Some(MessageState::InProgress(first)) if self.end_wait_for_redelivery(first) => {
                self.start_processing(now, id, received.redelivered);
            }
            Some(MessageState::InProgress(first)) if self.deliveries.contains_key(&first) => {
                self.attach_duplicate(first, id);
            }
            Some(MessageState::Finished { outcome, result }) => {
                self.repeat_outcome(now, id, outcome, &result)
            }
            Some(MessageState::FailedAttempts(attempts)) => {
                self.raise_previous_attempts(id, attempts);
                self.start_processing(now, id, received.redelivered);
            }
            Some(MessageState::InProgress(_)) | None => self.start_processing(now, id, received.redelivered),
        }
        id
    }

    /// Applies the cache's attempt count if it is higher, since a requeued message carries no attempt count.
    fn raise_previous_attempts(&mut self, id: DeliveryId, attempts: u32) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.previous_attempts = delivery.previous_attempts.max(attempts);
        }
    }

    /// Submits a delivery that is not a known duplicate. Requeues it during a shutdown, and settles it
    /// without a run if it has expired or may have run before.
    fn start_processing(&mut self, now: Timestamp, id: DeliveryId, redelivered: bool) {
        if self.shutting_down {
            return self.requeue_during_shutdown(now, id);
        }
        if self.is_expired(now, id) {
            return self.finish(now, id, DeliveryOutcome::Expired, &[].into());
        }
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let settles_before_run = self.queues[delivery.queue.0].settle_before_run;
        if redelivered && delivery.must_run_once() && !settles_before_run {
            self.counters.possible_duplicates += 1;
            return self.finish(now, id, DeliveryOutcome::PossibleDuplicate, &[].into());
        }
        let deadline = delivery.deadline;
        if let Some(message) = delivery.identity {
            self.message_cache.begin(message, id);
        }
        self.set_timer(id, deadline.map(|deadline| deadline.saturating_sub(EXPIRY_MARGIN)));
        self.submit_or_queue(now, id);
    }

    fn requeue_during_shutdown(&mut self, now: Timestamp, id: DeliveryId) {
        let queue = self.deliveries.get(&id).map(|delivery| delivery.queue);
        let Some(at) = queue.and_then(|queue| self.requeue_after_wait(now, queue)) else {
            return self.requeue(id);
        };
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.state = DeliveryState::RequeueAt(at);
        }
        self.set_timer(id, Some(at));
    }

    /// Handles a duplicate of a message that is being processed. A running delivery that lost its tag takes
    /// over the tag of the duplicate; otherwise two copies of the message are unsettled here, and the
    /// duplicate is settled like the first one.
    fn attach_duplicate(&mut self, first: DeliveryId, id: DeliveryId) {
        let settles_before_run = self.settles_before_run(first);
        let Some(original) = self.deliveries.get_mut(&first) else { return };
        if !original.unsettled && !settles_before_run && original.state == DeliveryState::Running {
            return self.take_over_tag(first, id);
        }
        original.duplicates.push(id);
        if let Some(duplicate) = self.deliveries.get_mut(&id) {
            duplicate.state = DeliveryState::DuplicateOf(first);
        }
    }

    /// Settles a duplicate of a finished message at once, or, if the reply to an earlier delivery is not
    /// confirmed yet, passes its tag to that delivery.
    fn repeat_outcome(
        &mut self,
        now: Timestamp,
        id: DeliveryId,
        outcome: DeliveryOutcome,
        result: &Rc<[u8]>,
    ) {
        self.counters.duplicates += 1;
        match self.reply_without_tag(id) {
            Some(first) => self.take_over_tag(first, id),
            None => self.finish(now, id, outcome, result),
        }
    }

    /// Returns a delivery of the same message that lost its tag and whose reply is not confirmed yet.
    fn reply_without_tag(&self, id: DeliveryId) -> Option<DeliveryId> {
        let duplicate = self.deliveries.get(&id)?;
        let same_message = |original: &Delivery| {
            !original.unsettled
                && original.state.is_publishing_reply()
                && original.identity == duplicate.identity
        };
        let first = self.deliveries.iter().find(|(_, original)| same_message(original));
        first.map(|(first, _)| *first).filter(|first| !self.settles_before_run(*first))
    }

    /// Passes the tag of a later delivery of a message to the first one, and ends the later one.
    fn take_over_tag(&mut self, first: DeliveryId, id: DeliveryId) {
        let tag = self.deliveries.remove(&id).map(|duplicate| duplicate.tag);
        if let (Some(original), Some(tag)) = (self.deliveries.get_mut(&first), tag) {
            (original.tag, original.unsettled) = (tag, true);
        }
        self.actions.push_back(DeliveryAction::Release { id, outcome: DeliveryOutcome::PossibleDuplicate });
    }
}
