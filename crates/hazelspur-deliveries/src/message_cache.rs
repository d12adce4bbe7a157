//! Cache of recent message-ids: which delivery processes each message, and how finished ones ended.
//!
//! Input: message-ids with their progress. Output: what is known of a message that is delivered again.
//! Invariant: entries that are not in progress are bounded in number, bytes and age; the oldest is evicted first.

use crate::identifiers::DeliveryId;
use crate::outcome::DeliveryOutcome;
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What is known of a message-id.
#[derive(Clone, Debug)]
pub enum MessageState {
    /// A delivery of this message is being processed.
    InProgress(DeliveryId),
    /// The request of this message ran, or may have run.
    Finished {
        /// How it ended.
        outcome: DeliveryOutcome,
        /// Its result, empty unless it succeeded.
        result: Rc<[u8]>,
    },
    /// The request failed this many times and may run again.
    FailedAttempts(u32),
}

/// Bounds of the cache.
#[derive(Clone, Copy, Debug)]
pub struct MessageCacheLimits {
    /// How long an entry is kept after it finished.
    pub retention: Duration,
    /// Maximum number of entries that are not in progress.
    pub max_entries: usize,
    /// Maximum size of the finished message-ids and results, in bytes.
    pub max_bytes: usize,
}

#[derive(Clone, Debug)]
struct AgedMessage {
    added_at: Timestamp,
    message_id: Rc<str>,
}

/// Message-ids seen lately, by message-id.
#[derive(Clone, Debug)]
pub struct MessageCache {
    limits: MessageCacheLimits,
    finished_bytes: usize,
    messages: BTreeMap<Rc<str>, MessageState>,
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

    /// Number of entries that were evicted before the end of their retention.
    pub fn evicted_count(&self) -> u64 {
        self.evicted_count
    }

    /// Returns what is known of a message, after removing the entries past their retention.
    pub fn lookup(&mut self, now: Timestamp, message_id: &str) -> Option<MessageState> {
        self.remove_expired(now);
        self.messages.get(message_id).cloned()
    }

    /// Records that this delivery processes the message.
    pub fn begin(&mut self, message_id: &Rc<str>, id: DeliveryId) {
        self.messages.insert(message_id.clone(), MessageState::InProgress(id));
    }

    /// Removes a message that this delivery processes and that never ran, so that another delivery may run it.
    pub fn release(&mut self, message_id: &str, id: DeliveryId) {
        if matches!(self.messages.get(message_id), Some(MessageState::InProgress(owner)) if *owner == id) {
            self.messages.remove(message_id);
        }
    }

    /// Records the number of failed attempts of a message that is requeued, which carries no attempt count.
    pub fn record_failed_attempts(&mut self, now: Timestamp, message_id: &Rc<str>, attempts: u32) {
        self.messages.insert(message_id.clone(), MessageState::FailedAttempts(attempts));
        self.by_age.push_back(AgedMessage { added_at: now, message_id: message_id.clone() });
        self.enforce_limits();
    }

    /// Records the outcome of a message whose request ran or may have run: duplicates are settled alike.
    pub fn record_finished(
        &mut self,
        now: Timestamp,
        message_id: &Rc<str>,
        outcome: DeliveryOutcome,
        result: Rc<[u8]>,
    ) {
        if matches!(self.messages.get(message_id), Some(MessageState::Finished { .. })) {
            return;
        }
        self.finished_bytes += message_id.len() + result.len();
        self.messages.insert(message_id.clone(), MessageState::Finished { outcome, result });
        self.by_age.push_back(AgedMessage { added_at: now, message_id: message_id.clone() });
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
        let Some(AgedMessage { message_id, .. }) = self.by_age.pop_front() else { return };
        match self.messages.get(&message_id) {
            Some(MessageState::Finished { result, .. }) => {
                self.finished_bytes -= message_id.len() + result.len();
                self.messages.remove(&message_id);
            }
            Some(MessageState::FailedAttempts(_)) => {
                self.messages.remove(&message_id);
            }
            // The message was delivered again and is being processed.
            Some(MessageState::InProgress(_)) | None => {}
        }
    }
}
