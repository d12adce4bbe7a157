//! Idempotency: the key of a request is stored before the request runs, and a retry gets the result of its
//! original instead of running.
//!
//! This holds for classes with an idempotency key and, where read results are shared, for idempotent reads.
//! Invariant: a request of a class with a key never runs before its key is stored.

use crate::config::settings::ControllerSettings;
use crate::memory::MemoryUse;
use crate::request::{Request, RequestState};
use crate::request_table::RequestTable;
use crate::{Duration, RequestId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A stored idempotency key.
#[derive(Clone, Copy, Debug)]
struct StoredKey {
    expires_at: Timestamp,
    request: RequestId,
}

/// The keys in memory, in the order in which they were stored.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredKeys {
    keys: BTreeMap<u64, StoredKey>,
    /// Positions in `keys` of the keys of each request.
    positions: BTreeSet<KeyPosition>,
    last_position: u64,
}

/// Position of a stored key, ordered by its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KeyPosition {
    request: RequestId,
    position: u64,
}

impl StoredKeys {
    /// Returns the number of keys.
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Removes expired keys from the front, up to the first one that has not expired.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while let Some(first) = self.keys.first_entry().filter(|first| first.get().expires_at <= now) {
            let position = *first.key();
            let request = first.remove().request;
            self.positions.remove(&KeyPosition { request, position });
        }
    }

    /// Records that the key of a request is stored.
    pub(crate) fn store(&mut self, request: RequestId, expires_at: Timestamp) {
        self.last_position += 1;
        let position = self.last_position;
        self.keys.insert(position, StoredKey { expires_at, request });
        self.positions.insert(KeyPosition { request, position });
    }

    /// Removes the keys stored under the id of a request.
    pub(crate) fn remove(&mut self, request: RequestId) {
        let first = KeyPosition { request, position: 0 };
        while let Some(found) = self.positions.range(first..).next().copied() {
            if found.request != request {
                return;
            }
            self.positions.remove(&found);
            self.keys.remove(&found.position);
        }
    }
}

/// Next step for a queued request that is a retry or lacks a stored key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdempotencyStep {
    /// Request that runs although it is a retry: it and its original name each other, and it was received
    /// first.
    TreatAsOriginal(RequestId),
    /// Retry that is answered with the result of its original.
    AnswerFromOriginal(RequestId),
    /// Request that is rejected because no memory is left for its key.
    RejectForMemory(RequestId),
    /// Read that runs without sharing its result, because no memory is left for its key.
    SkipKey(RequestId),
    /// Request whose key is stored.
    StoreKey {
        /// Request whose key is stored.
        request: RequestId,
        /// Time for which the key is stored.
        window: Duration,
    },
}

/// Inputs of the rule besides the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdempotencyRule<'a> {
    /// Present time.
    pub(crate) now: Timestamp,
    /// Settings in force.
    pub(crate) settings: &'a ControllerSettings,
    /// Memory in use.
    pub(crate) memory: MemoryUse,
}

impl IdempotencyRule<'_> {
    /// Returns the requests that need a step, the first received first.
    pub(crate) fn all(&self, requests: &RequestTable) -> Vec<RequestId> {
        requests.matching_in_order_of_receipt(|request| self.needs_step(request))
    }

    /// Returns the next step for a request; `None` if it needs none.
    pub(crate) fn step(&self, requests: &RequestTable, id: RequestId) -> Option<IdempotencyStep> {
        let request = requests.get(id).filter(|request| self.needs_step(request))?;
        let Some(original) = request.retry_of else { return Some(self.store_key(id, request)) };
        Some(if is_original_of_pair(requests, id, request, original) {
            IdempotencyStep::TreatAsOriginal(id)
        } else {
            IdempotencyStep::AnswerFromOriginal(id)
        })
    }

    /// Returns whether the request is queued, has never run, and is a retry or lacks a stored key.
    fn needs_step(&self, request: &Request) -> bool {
        let is_retry = request.retry_of.is_some() && (request.is_keyed() || self.shares_result(request));
        let lacks_key = self.stores_key(request) && !request.is_key_handled;
        request.state == RequestState::Queued && !request.has_run && (is_retry || lacks_key)
    }

    /// Returns whether the request is a read whose result other requests may get.
    fn shares_result(&self, request: &Request) -> bool {
        let is_sharing_on = self.settings.read_sharing_window > Duration::ZERO;
        is_sharing_on && !request.is_write && request.is_idempotent()
    }

    /// Returns whether the key of the request must be stored before it runs.
    fn stores_key(&self, request: &Request) -> bool {
        request.is_keyed() || (self.shares_result(request) && request.session.is_some())
    }

    /// Returns the step that stores the key of the request; without memory for the key, the step that rejects
    /// the request or skips the key.
    fn store_key(&self, id: RequestId, request: &Request) -> IdempotencyStep {
        let window = if request.is_keyed() {
            request.class.deduplication_window
        } else {
            self.settings.read_sharing_window + (request.deadline - self.now)
        };
        if self.memory.fits(self.settings.key_memory_kb) {
            IdempotencyStep::StoreKey { request: id, window }
        } else if request.is_keyed() {
            IdempotencyStep::RejectForMemory(id)
        } else {
            IdempotencyStep::SkipKey(id)
        }
    }
}

/// Returns whether two requests name each other as original, as attempts received together may do, and this
/// one was received first.
fn is_original_of_pair(
    requests: &RequestTable,
    id: RequestId,
    request: &Request,
    original: RequestId,
) -> bool {
    requests.get(original).is_some_and(|other| {
        other.retry_of == Some(id) && request.sequence < other.sequence && !other.has_run
    })
}
