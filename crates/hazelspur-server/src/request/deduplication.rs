//! Deduplication of requests with an idempotency key and coalescing of reads: which attempt holds a key, what
//! came of it, and which retries await its completion.
//!
//! An attempt holds its key from its receipt on, so that of two attempts received together only one runs.

use crate::request::event::Completion;
use hazelspur::{
    Duration, Idempotency, Outcome, RequestClass, RequestClassId, RequestId, TenantId, Timestamp,
};
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// What an entry takes beside its texts, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// What a key protects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum KeyKind {
    /// An idempotency key: what may have run does not run again, whatever its outcome.
    IdempotentWithKey,
    /// The subject of a read: only a successful result is shared, while it is fresh.
    Read,
}

/// What makes two requests attempts at the same thing. Texts are compared whole, since a hash collision would
/// return another request's result; names, so that a retry is recognized after its class was removed and added.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeduplicationKey {
    /// The tenant's name; tenants share nothing.
    pub tenant: Arc<str>,
    /// The request class's name.
    pub request_class: Arc<str>,
    /// What the key protects.
    pub kind: KeyKind,
    /// The idempotency key, or the subject of a read.
    pub text: Rc<str>,
}

impl DeduplicationKey {
    /// The key of a request of this class: its idempotency key, or for a read its subject.
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

/// The tenant and request class of a request. One that was removed and added again under its name has another
/// id, and gets no result of the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The tenant.
    pub tenant: TenantId,
    /// The request class.
    pub request_class: RequestClassId,
}

/// A received request, as far as its deduplication goes.
pub struct ReceivedAttempt {
    /// Its id.
    pub request: RequestId,
    /// Its key.
    pub key: DeduplicationKey,
    /// Its tenant and class.
    pub owner: Owner,
    /// When its client sent it.
    pub sent_at: Timestamp,
    /// Its body.
    pub body: Rc<[u8]>,
    /// Whether the worker has known a request of its connection. Only such clients share reads: anybody may
    /// name a subject.
    pub trusted: bool,
}

/// The earlier attempt that a request repeats.
#[derive(Clone)]
pub struct RetryOf {
    /// The key that both attempts have.
    pub key: DeduplicationKey,
    /// The attempt that held the key when this one was received.
    pub original: RequestId,
    /// How that attempt ended, if it was in progress then and has ended since.
    completion: Rc<OnceCell<Completion>>,
}

/// Whether a received attempt repeats another.
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It is the first with its key, or shares nothing.
    First,
    /// It repeats this one.
    RetryOf(RequestId),
    /// Its key belongs to a request that asks for something else.
    Conflict,
}

/// The attempt that holds a key.
struct Entry {
    request: RequestId,
    owner: Owner,
    /// What a retry must ask for too; dropped when its result could not be stored.
    body: Option<Rc<[u8]>>,
    expires_at: Option<Timestamp>,
    completion: Option<Completion>,
}

impl Entry {
    fn size_bytes(&self, key: &DeduplicationKey) -> usize {
        let body = self.body.as_ref().map_or(0, |body| body.len());
        let result = self.completion.as_ref().map_or(0, |completion| completion.result.len());
        ENTRY_OVERHEAD_BYTES + key.text.len() + body + result
    }

    /// Whether the entry still counts; the window of an attempt in progress lasts until that has finished.
    fn is_valid_at(&self, at: Timestamp) -> bool {
        self.completion.is_none() || self.expires_at.is_some_and(|expires_at| expires_at > at)
    }

    /// What a new attempt with the same key is; `None` where the entry does not concern it.
    fn compare(&self, attempt: &ReceivedAttempt) -> Option<Lookup> {
        let is_read = attempt.key.kind == KeyKind::Read;
        let same_request = is_read || self.body.as_ref().is_none_or(|body| *body == attempt.body);
        if self.owner == attempt.owner && same_request {
            return Some(Lookup::RetryOf(self.request));
        }
        // What may have run under a tenant or class of the same name must not run again; a read may.
        if self.owner != attempt.owner && is_read { None } else { Some(Lookup::Conflict) }
    }
}

/// An attempt in progress. Request ids are unique only among these: a finished one's may be used again.
struct Attempt {
    key: DeduplicationKey,
    waiting_retries: Vec<RequestId>,
    /// Set when it ends, for the retries that were received before.
    completion: Rc<OnceCell<Completion>>,
}

/// When the entry of a finished attempt is removed; ordered by time.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Removal {
    at: Timestamp,
    key: DeduplicationKey,
}

/// All keys in force, within a bound of memory.
#[derive(Default)]
pub struct Deduplication {
    /// How long the result of a read is fresh.
    read_freshness: Duration,
    /// How long after its window a retry that was sent within it may still be received.
    receipt_delay: Duration,
    /// What results and bodies may take in all.
    max_bytes: usize,
    used_bytes: usize,
    entries: BTreeMap<DeduplicationKey, Entry>,
    attempts: BTreeMap<RequestId, Attempt>,
    /// The entries of finished attempts.
    removals: BTreeSet<Removal>,
}

impl Deduplication {
    /// Shares reads for `read_freshness`, stores keys for `receipt_delay` past their window, results and bodies
    /// up to `max_bytes`.
    pub fn new(read_freshness: Duration, receipt_delay: Duration, max_bytes: usize) -> Self {
        Self { read_freshness, receipt_delay, max_bytes, ..Self::default() }
    }

    /// Records a received attempt; says whether it repeats the one that holds its key.
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

    /// The key that an attempt in progress holds, and its entry.
    fn entry_in_progress(&mut self, request: RequestId) -> Option<KeyAndEntry<'_>> {
        let key = &self.attempts.get(&request)?.key;
        let entry = self.entries.get_mut(key)?;
        (entry.request == request && entry.completion.is_none()).then_some(KeyAndEntry { key, entry })
    }

    /// Stores the key of an attempt in progress until this time.
    pub fn store_until(&mut self, request: RequestId, expires_at: Timestamp) {
        if let Some(found) = self.entry_in_progress(request) {
            found.entry.expires_at = Some(expires_at);
        }
    }

    /// Frees an attempt's key for the next one; the retries that await this one are still notified.
    pub fn release(&mut self, request: RequestId) {
        if let Some(key) = self.entry_in_progress(request).map(|found| found.key.clone()) {
            self.remove(&key);
        }
    }

    /// The attempt that a request received now repeats.
    pub fn retry_of(&self, key: DeduplicationKey, original: RequestId) -> RetryOf {
        let attempt = self.attempts.get(&original).filter(|attempt| attempt.key == key);
        let completion = attempt.map(|attempt| attempt.completion.clone()).unwrap_or_default();
        RetryOf { key, original, completion }
    }

    /// The completion of the original attempt, if that has finished; else `request` is notified of it later.
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

    /// Ends an attempt; returns the retries to notify. Only the first call for an attempt counts.
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

    /// Stores a completion for later retries; `None` where nothing is stored.
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
            // That it ran must stay known: its retries fail.
            entry.body = None;
            entry.completion = Some(Completion::failed());
        }
        let size_after = entry.size_bytes(&key);
        self.used_bytes = self.used_bytes - size_before + size_after;
        Some(Removal { at: remove_at, key })
    }

    /// Ends an attempt that never ran, so that the next may; returns the retries to notify.
    pub fn never_ran(&mut self, request: RequestId) -> Vec<RequestId> {
        self.release(request);
        self.end_attempt(request, &Completion::never_ran())
    }

    fn end_attempt(&mut self, request: RequestId, completion: &Completion) -> Vec<RequestId> {
        let Some(attempt) = self.attempts.remove(&request) else { return Vec::new() };
        // It ends once.
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

/// The key that an attempt in progress holds, and its entry.
struct KeyAndEntry<'a> {
    key: &'a DeduplicationKey,
    entry: &'a mut Entry,
}
