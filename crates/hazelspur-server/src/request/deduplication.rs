//! Deduplication of requests with an idempotency key, and coalescing of reads of the same subject.
//!
//! Stores for each key the attempt that holds it, the completion of that attempt, and the retries that await
//! it. An attempt holds its key from its receipt on, so that only one of two attempts received together runs.

use crate::request::event::Completion;
use hazelspur::{
    Duration, Idempotency, Outcome, RequestClass, RequestClassId, RequestId, TenantId, Timestamp,
};
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// Memory of an entry without its key text, body and result, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// Kind of a deduplication key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum KeyKind {
    /// Idempotency key: a request that may have run does not run again, whatever its outcome.
    IdempotentWithKey,
    /// Subject of a read: only a successful result is shared, and only while it is fresh.
    Read,
}

/// Key that all attempts at the same request share.
///
/// Key texts are compared whole, since a hash collision would return the result of another request. The
/// tenant and the class are compared by name, so that a retry is recognized after its class was removed and
/// added again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeduplicationKey {
    /// Name of the tenant; attempts of different tenants never share a key.
    pub tenant: Arc<str>,
    /// Name of the request class.
    pub request_class: Arc<str>,
    /// Kind of the key.
    pub kind: KeyKind,
    /// Idempotency key, or subject of a read.
    pub text: Rc<str>,
}

impl DeduplicationKey {
    /// Returns the key of a request of this class; `None` if its class is not idempotent, or if it carries no
    /// idempotency key or, for a read, no subject.
    pub fn of(
        class: &RequestClass,
        tenant: &Arc<str>,
        idempotency_key: Option<&str>,
        subject: Option<&str>,
    ) -> Option<Self> {
        let (kind, text) = match class.idempotency {
            Idempotency::IdempotentWithKey => (KeyKind::IdempotentWithKey, idempotency_key?),
            Idempotency::Idempotent => (KeyKind::Read, subject?),
            Idempotency::NonIdempotent => return None,
        };
        Some(Self { tenant: tenant.clone(), request_class: class.name.clone(), kind, text: text.into() })
    }
}

/// Tenant and request class of a request, by id. A tenant or class that was removed and added again under its
/// name has a new id, and gets no results of the former one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Tenant of the request.
    pub tenant: TenantId,
    /// Class of the request.
    pub request_class: RequestClassId,
}

/// Properties of a received request that its deduplication needs.
pub struct ReceivedAttempt {
    /// Id of the request.
    pub request: RequestId,
    /// Deduplication key.
    pub key: DeduplicationKey,
    /// Tenant and class.
    pub owner: Owner,
    /// Time at which the client sent the request.
    pub sent_at: Timestamp,
    /// Body; a retry must have the same body as its original.
    pub body: Rc<[u8]>,
    /// Whether the sender is trusted: the worker has already accepted a request of the same connection, or
    /// the request came from a broker's queue. Only trusted senders share reads, since any client can name a
    /// subject.
    pub trusted: bool,
}

/// Reference of a retry to the original attempt that it repeats.
#[derive(Clone)]
pub struct RetryOf {
    /// Key of both attempts.
    pub key: DeduplicationKey,
    /// Attempt that held the key when the retry was received.
    pub original: RequestId,
    /// Completion of the original, set when it ends; stays empty if it had ended before the retry was
    /// received.
    completion: Rc<OnceCell<Completion>>,
}

/// Relation of a received attempt to the attempt that holds its key.
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup {
    /// First attempt with its key, or a read that must not be shared.
    First,
    /// Retry of this attempt.
    RetryOf(RequestId),
    /// Attempt whose key is held by a different request: its body, tenant or class differs.
    Conflict,
}

/// Attempt that holds a key.
struct Entry {
    request: RequestId,
    owner: Owner,
    /// Body that a retry must equal. `None` for reads, and if the result was too large to be stored.
    body: Option<Rc<[u8]>>,
    /// End of the deduplication window or of the freshness of a read; `None` until `store_until` sets it.
    expires_at: Option<Timestamp>,
    /// Completion; `None` while the attempt is in progress.
    completion: Option<Completion>,
}

impl Entry {
    fn size_bytes(&self, key: &DeduplicationKey) -> usize {
        let body = self.body.as_ref().map_or(0, |body| body.len());
        let result = self.completion.as_ref().map_or(0, |completion| completion.result.len());
        ENTRY_OVERHEAD_BYTES + key.text.len() + body + result
    }

    /// Returns whether the entry is valid at a time. The entry of an attempt in progress is always valid.
    fn is_valid_at(&self, at: Timestamp) -> bool {
        self.completion.is_none() || self.expires_at.is_some_and(|expires_at| expires_at > at)
    }

    /// Relates a new attempt with the same key to the holder; `None` if the new one may take over the key.
    fn compare(&self, attempt: &ReceivedAttempt) -> Option<Lookup> {
        let is_read = attempt.key.kind == KeyKind::Read;
        let same_request = is_read || self.body.as_ref().is_none_or(|body| *body == attempt.body);
        if self.owner == attempt.owner && same_request {
            return Some(Lookup::RetryOf(self.request));
        }
        // A request that may have run for a tenant or class of the same name must not run again; a read may.
        if self.owner != attempt.owner && is_read { None } else { Some(Lookup::Conflict) }
    }
}

/// Attempt in progress. Request ids are unique only among these; the id of a finished attempt may be reused.
struct Attempt {
    key: DeduplicationKey,
    waiting_retries: Vec<RequestId>,
    /// Completion, set when the attempt ends, for the retries that were received before.
    completion: Rc<OnceCell<Completion>>,
}

/// Scheduled removal of the entry of a finished attempt, ordered by time.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Removal {
    at: Timestamp,
    key: DeduplicationKey,
}

/// Table of all valid keys, with a bound on the memory of their results and bodies.
#[derive(Default)]
pub struct Deduplication {
    /// Time for which the result of a read is fresh; zero disables the sharing of reads.
    read_freshness: Duration,
    /// Maximum delay between the sending and the receipt of a retry. A key is kept for this long after its
    /// window, since a retry that was sent within the window counts whenever it is received.
    receipt_delay: Duration,
    /// Limit of the memory of all entries, in bytes. A result that would exceed it is not stored.
    max_bytes: usize,
    used_bytes: usize,
    entries: BTreeMap<DeduplicationKey, Entry>,
    attempts: BTreeMap<RequestId, Attempt>,
    /// Scheduled removals of the entries of finished attempts.
    removals: BTreeSet<Removal>,
}

impl Deduplication {
    /// Creates an empty table that shares reads for `read_freshness`, keeps keys for `receipt_delay` after
    /// their window, and stores results as long as all entries take at most `max_bytes`.
    pub fn new(read_freshness: Duration, receipt_delay: Duration, max_bytes: usize) -> Self {
        Self { read_freshness, receipt_delay, max_bytes, ..Self::default() }
    }

    /// Records a received attempt, which holds its key if the key is free. Returns its relation to the
    /// holder.
    pub fn received(&mut self, now: Timestamp, attempt: ReceivedAttempt) -> Lookup {
        self.remove_expired(now);
        let is_read = attempt.key.kind == KeyKind::Read;
        if is_read && (self.read_freshness == Duration::ZERO || !attempt.trusted) {
            return Lookup::First;
        }
        if let Some(entry) = self.entries.get(&attempt.key) {
            let at = if is_read { now } else { attempt.sent_at };
            if entry.is_valid_at(at)
                && let Some(found) = entry.compare(&attempt)
            {
                return found;
            }
            self.remove(&attempt.key);
        }
        self.insert(attempt);
        Lookup::First
    }

    fn insert(&mut self, attempt: ReceivedAttempt) {
        let ReceivedAttempt { request, key, owner, body, .. } = attempt;
        let body = (key.kind == KeyKind::IdempotentWithKey).then_some(body);
        let entry = Entry { request, owner, body, expires_at: None, completion: None };
        self.used_bytes += entry.size_bytes(&key);
        self.entries.insert(key.clone(), entry);
        let attempt = Attempt { key, waiting_retries: Vec::new(), completion: Rc::default() };
        self.attempts.insert(request, attempt);
    }

    /// Returns the key that an attempt in progress holds, and its entry; `None` if it holds none.
    fn entry_in_progress(&mut self, request: RequestId) -> Option<KeyAndEntry<'_>> {
        let key = &self.attempts.get(&request)?.key;
        let entry = self.entries.get_mut(key)?;
        (entry.request == request && entry.completion.is_none()).then_some(KeyAndEntry { key, entry })
    }

    /// Sets the time at which the key of an attempt in progress expires.
    pub fn store_until(&mut self, request: RequestId, expires_at: Timestamp) {
        if let Some(found) = self.entry_in_progress(request) {
            found.entry.expires_at = Some(expires_at);
        }
    }

    /// Frees the key of an attempt in progress for the next attempt. The retries that await this one are
    /// still notified when it ends.
    pub fn release(&mut self, request: RequestId) {
        if let Some(key) = self.entry_in_progress(request).map(|found| found.key.clone()) {
            self.remove(&key);
        }
    }

    /// Returns the reference of a request that is received now to the original attempt that it repeats.
    pub fn retry_of(&self, key: DeduplicationKey, original: RequestId) -> RetryOf {
        let attempt = self.attempts.get(&original).filter(|attempt| attempt.key == key);
        let completion = attempt.map(|attempt| attempt.completion.clone()).unwrap_or_default();
        RetryOf { key, original, completion }
    }

    /// Returns the completion of the original attempt if it has finished. Otherwise registers `request` among
    /// the retries that are notified when it does. An original that is no longer known counts as failed.
    pub fn subscribe(&mut self, retry: &RetryOf, request: RequestId) -> Option<Completion> {
        let RetryOf { key, original, completion } = retry;
        let entry = self.entries.get(key).filter(|entry| entry.request == *original);
        if let Some(completion) = entry.and_then(|entry| entry.completion.clone()) {
            return Some(completion);
        }
        if let Some(completion) = completion.get() {
            return Some(completion.clone());
        }
        match self.attempts.get_mut(original).filter(|attempt| attempt.key == *key) {
            Some(attempt) => {
                attempt.waiting_retries.push(request);
                None
            }
            None => Some(Completion::failed()),
        }
    }

    /// Ends an attempt and returns the retries to notify. Only the first call for an attempt has an effect.
    pub fn finished(
        &mut self,
        now: Timestamp,
        request: RequestId,
        completion: &Completion,
    ) -> Vec<RequestId> {
        match self.store_completion(now, request, completion) {
            Some(removal) => _ = self.removals.insert(removal),
            None => self.release(request),
        }
        self.end_attempt(request, completion)
    }

    /// Stores a completion for later retries. Returns the removal to schedule; `None` if nothing is stored.
    fn store_completion(
        &mut self,
        now: Timestamp,
        request: RequestId,
        completion: &Completion,
    ) -> Option<Removal> {
        let fresh_until = now + self.read_freshness;
        let receipt_delay = self.receipt_delay;
        let spare_bytes = self.max_bytes.saturating_sub(self.used_bytes);
        let KeyAndEntry { key, entry } = self.entry_in_progress(request)?;
        let remove_at = match (key.kind, completion.outcome) {
            (KeyKind::IdempotentWithKey, _) => entry.expires_at? + receipt_delay,
            (KeyKind::Read, Outcome::Ok) => entry.expires_at?.min(fresh_until),
            (KeyKind::Read, _) => return None,
        };
        if key.kind == KeyKind::Read {
            entry.expires_at = Some(remove_at);
        }
        let key = key.clone();
        let size_before = entry.size_bytes(&key);
        if completion.result.len() <= spare_bytes {
            entry.completion = Some(completion.clone());
        } else {
            // The key stays held, since the request ran: retries fail instead of running it again.
            entry.body = None;
            entry.completion = Some(Completion::failed());
        }
        let size_after = entry.size_bytes(&key);
        self.used_bytes = self.used_bytes - size_before + size_after;
        Some(Removal { at: remove_at, key })
    }

    /// Ends an attempt that never ran and frees its key. Returns the retries to notify.
    pub fn never_ran(&mut self, request: RequestId) -> Vec<RequestId> {
        self.release(request);
        self.end_attempt(request, &Completion::never_ran())
    }

    fn end_attempt(&mut self, request: RequestId, completion: &Completion) -> Vec<RequestId> {
        let Some(attempt) = self.attempts.remove(&request) else { return Vec::new() };
        // Cannot fail: the attempt was just removed, so its completion is set only here.
        let _ = attempt.completion.set(completion.clone());
        attempt.waiting_retries
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while self.removals.first().is_some_and(|removal| removal.at <= now) {
            let Some(removal) = self.removals.pop_first() else { return };
            self.remove(&removal.key);
        }
    }

    fn remove(&mut self, key: &DeduplicationKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        self.used_bytes -= entry.size_bytes(key);
        if let Some(expires_at) = entry.expires_at.filter(|_| entry.completion.is_some()) {
            let delay = match key.kind {
                KeyKind::IdempotentWithKey => self.receipt_delay,
                KeyKind::Read => Duration::ZERO,
            };
            self.removals.remove(&Removal { at: expires_at + delay, key: key.clone() });
        }
    }
}

/// Key that an attempt in progress holds, and its entry.
struct KeyAndEntry<'a> {
    key: &'a DeduplicationKey,
    entry: &'a mut Entry,
}
