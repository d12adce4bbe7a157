//! Cache of recent messages, by which duplicates are detected: the delivery that processes each message, and
//! the outcomes of finished messages.
//!
//! Input: identities of messages with their progress. Output: the state of a message that is delivered again. Invariant:
//! entries that are not in progress are bounded in number, bytes and age; the oldest is evicted first.

use crate::identifiers::DeliveryId;
use crate::message_identity::{MESSAGE_IDENTITY_BYTES, MessageIdentity};
use crate::outcome::DeliveryOutcome;
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// State of a message, as recorded under its identity.
#[derive(Clone, Debug)]
pub enum MessageState {
    /// The given delivery of this message is being processed.
    InProgress(DeliveryId),
    /// The request of this message ran, or may have run.
    Finished {
        /// Outcome with which duplicates are settled.
        outcome: DeliveryOutcome,
        /// Result of the request, empty unless it succeeded.
        result: Rc<[u8]>,
    },
    /// The request failed in the given number of attempts and may run again.
    FailedAttempts(u32),
}

/// Bounds of the cache.
#[derive(Clone, Copy, Debug)]
pub struct MessageCacheLimits {
    /// Time for which an entry is kept after its message finished or failed.
    pub retention: Duration,
    /// Maximum number of entries that are not in progress.
    pub max_entries: usize,
    /// Maximum total size of the identities and results of finished messages, in bytes.
    pub max_bytes: usize,
}

/// Entry of a message that is not in progress, with the time at which it was added.
#[derive(Clone, Copy, Debug)]
struct AgedMessage {
    added_at: Timestamp,
    message: MessageIdentity,
}

/// States of recent messages, by identity.
#[derive(Clone, Debug)]
pub struct MessageCache {
    limits: MessageCacheLimits,
    finished_bytes: usize,
    messages: BTreeMap<MessageIdentity, MessageState>,
    /// Entries that are not in progress, oldest first.
    by_age: VecDeque<AgedMessage>,
    evicted_count: u64,
}

impl MessageCache {
    /// Creates an empty cache.
    pub fn new(limits: MessageCacheLimits) -> Self {
        Self {
            limits,
            finished_bytes: 0,
            messages: BTreeMap::new(),
            by_age: VecDeque::new(),
            evicted_count: 0,
        }
    }

    /// Returns the number of entries that were evicted before the end of their retention.
    pub fn evicted_count(&self) -> u64 {
        self.evicted_count
    }

    /// Removes the entries past their retention, then returns the state of a message, or `None` if it is
    /// unknown.
    pub fn lookup(&mut self, now: Timestamp, message: MessageIdentity) -> Option<MessageState> {
        self.remove_expired(now);
        self.messages.get(&message).cloned()
    }

    /// Records that the given delivery processes the message.
    pub fn begin(&mut self, message: MessageIdentity, id: DeliveryId) {
        self.messages.insert(message, MessageState::InProgress(id));
    }

    /// Removes a message that is in progress with the given delivery, so that another delivery of it may run.
    /// Finished and failed messages stay.
    pub fn release(&mut self, message: MessageIdentity, id: DeliveryId) {
        if matches!(self.messages.get(&message), Some(MessageState::InProgress(owner)) if *owner == id) {
            self.messages.remove(&message);
        }
    }

    /// Records the number of failed attempts of a message that is requeued: the broker redelivers it
    /// unchanged, without an attempt count.
    pub fn record_failed_attempts(&mut self, now: Timestamp, message: MessageIdentity, attempts: u32) {
        self.messages.insert(message, MessageState::FailedAttempts(attempts));
        self.by_age.push_back(AgedMessage { added_at: now, message });
        self.enforce_limits();
    }

    /// Records the outcome of a message whose request ran or may have run, so that duplicates are settled
    /// alike. The first recorded outcome stays.
    pub fn record_finished(
        &mut self,
        now: Timestamp,
        message: MessageIdentity,
        outcome: DeliveryOutcome,
        result: Rc<[u8]>,
    ) {
        if matches!(self.messages.get(&message), Some(MessageState::Finished { .. })) {
            return;
        }
        self.finished_bytes += MESSAGE_IDENTITY_BYTES + result.len();
        self.messages.insert(message, MessageState::Finished { outcome, result });
        self.by_age.push_back(AgedMessage { added_at: now, message });
        self.enforce_limits();
    }

    fn enforce_limits(&mut self) {
        while self.by_age.len() > self.limits.max_entries || self.finished_bytes > self.limits.max_bytes {
            self.evicted_count += 1;
            self.remove_oldest();
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while self.by_age.front().is_some_and(|oldest| now - oldest.added_at >= self.limits.retention) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some(AgedMessage { message, .. }) = self.by_age.pop_front() else { return };
        match self.messages.get(&message) {
            Some(MessageState::Finished { result, .. }) => {
                self.finished_bytes -= MESSAGE_IDENTITY_BYTES + result.len();
                self.messages.remove(&message);
            }
            Some(MessageState::FailedAttempts(_)) => {
                self.messages.remove(&message);
            }
            // The message was delivered again and is being processed.
            Some(MessageState::InProgress(_)) | None => {}
        }
    }
}
