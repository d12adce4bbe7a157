//! Deduplication of keyed requests and coalescing of reads: which try holds a key, what came of it, and who waits
//! to hear. A key is held from the moment its request is read, so that of two tries read together one runs.

use hazelspur::{
    Duration, Idempotency, Outcome, RequestClass, RequestClassId, RequestId, TenantId, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

/// What an entry takes beside its texts.
const ENTRY: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// A keyed request keeps its key however it ends: what may have run does not run again.
    IdempotentWithKey,
    /// A read shares only a good result, and only while that is fresh.
    Read,
}

/// Whole texts are compared: a hash could hand out another request's result. Tenants share nothing. By name, so that a
/// repeat is known though its request class or tenant went and came back meanwhile.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub tenant: Arc<str>,
    pub request_class: Arc<str>,
    pub scope: Scope,
    pub text: Rc<str>,
}

impl Key {
    /// What a repeat of this request would name: its request key, or as a read what it is about.
    pub fn of(
        terms: &RequestClass,
        tenant: &Arc<str>,
        op_key: Option<&str>,
        subject: Option<&str>,
    ) -> Option<Self> {
        let (scope, text) = match terms.idempotency {
            Idempotency::IdempotentWithKey => (Scope::IdempotentWithKey, op_key?),
            Idempotency::Idempotent => (Scope::Read, subject?),
            Idempotency::NonIdempotent => return None,
        };
        Some(Self { tenant: tenant.clone(), request_class: terms.name.clone(), scope, text: text.into() })
    }
}

/// Which tenant and request class a request is of: those that went and came back under their names are others.
pub type Of = (TenantId, RequestClassId);

/// A request that is read, as far as its key goes.
pub struct IdempotentWithKey {
    pub request: RequestId,
    pub key: Key,
    pub of: Of,
    pub arrived: Timestamp,
    pub body: Rc<[u8]>,
    /// The runtime has known a request of its connection. Anybody may name a subject: no other gets a shared
    /// result, nor do others wait for its run.
    pub vouched: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Found {
    First,
    RepeatOf(RequestId),
    /// The key is another request's: a repeat is the same in all that it asks for.
    NotTheSame,
}

type End = (Outcome, Rc<[u8]>);

/// What holds a key.
struct Entry {
    request: RequestId,
    of: Of,
    /// What a repeat has to ask for too; not kept once its result could not be.
    body: Option<Rc<[u8]>>,
    until: Option<Timestamp>,
    end: Option<End>,
}

fn weight(key: &Key, entry: &Entry) -> usize {
    let result = entry.end.as_ref().map_or(0, |(_, result)| result.len());
    ENTRY + key.text.len() + entry.body.as_ref().map_or(0, |body| body.len()) + result
}

/// A try that is not over. Only among these is a request's id its own: one that is over may come again.
struct Live {
    key: Key,
    waiting: Vec<RequestId>,
}

#[derive(Default)]
pub struct Deduplication {
    /// How long the result of a read may serve others.
    share: Duration,
    /// So long after its window a repeat that came within it may still be read.
    read_late: Duration,
    /// What results and bodies may take in all.
    most_bytes: usize,
    bytes: usize,
    entries: BTreeMap<Key, Entry>,
    live: BTreeMap<RequestId, Live>,
    /// When each entry whose try has ended is forgotten.
    expiry: BTreeSet<(Timestamp, Key)>,
}

impl Deduplication {
    pub fn new(share: Duration, read_late: Duration, most_bytes: usize) -> Self {
        Self { share, read_late, most_bytes, ..Self::default() }
    }

    /// Notes a try that is read; says whether it repeats one that holds its key.
    pub fn read(&mut self, now: Timestamp, new: IdempotentWithKey) -> Found {
        self.expire(now);
        let IdempotentWithKey { request, key, of, arrived, body, vouched } = new;
        if key.scope == Scope::Read && (self.share == Duration::ZERO || !vouched) {
            return Found::First;
        }
        if let Some(held) = self.entries.get(&key) {
            // A window that ends while its try still runs goes on until that has ended.
            let since = if key.scope == Scope::IdempotentWithKey { arrived } else { now };
            if held.end.is_none() || held.until.is_some_and(|until| until > since) {
                // A result never passes to another tenant or request class of the same name; what may have run under
                // the one before does not run again.
                let asks = key.scope == Scope::Read || held.body.as_ref().is_none_or(|first| *first == body);
                match (held.of == of, key.scope) {
                    (true, _) if asks => return Found::RepeatOf(held.request),
                    (false, Scope::Read) => {}
                    _ => return Found::NotTheSame,
                }
            }
            self.forget(&key);
        }
        let body = Some(body).filter(|_| key.scope == Scope::IdempotentWithKey);
        let entry = Entry { request, of, body, until: None, end: None };
        self.bytes += weight(&key, &entry);
        self.entries.insert(key.clone(), entry);
        self.live.insert(request, Live { key, waiting: Vec::new() });
        Found::First
    }

    /// What a live try holds.
    fn held_by(&mut self, request: RequestId) -> Option<(&Key, &mut Entry)> {
        let key = &self.live.get(&request)?.key;
        self.entries
            .get_mut(key)
            .filter(|held| held.request == request && held.end.is_none())
            .map(|held| (key, held))
    }

    pub fn keep(&mut self, request: RequestId, until: Timestamp) {
        if let Some((_, held)) = self.held_by(request) {
            held.until = Some(until);
        }
    }

    /// Its key is free for the next try; who waits for this one is still told of its end.
    pub fn release(&mut self, request: RequestId) {
        if let Some(key) = self.held_by(request).map(|(key, _)| key.clone()) {
            self.forget(&key);
        }
    }

    /// How the try that holds this key ended, if it has; else `op` is told later.
    pub fn wait_for(&mut self, key: &Key, first: RequestId, request: RequestId) -> Option<End> {
        let end =
            self.entries.get(key).filter(|held| held.request == first).and_then(|held| held.end.clone());
        match self.live.get_mut(&first).filter(|live| end.is_none() && live.key == *key) {
            Some(first) => {
                first.waiting.push(request);
                None
            }
            None => end.or_else(|| Some((Outcome::Error, Rc::from([])))),
        }
    }

    /// A try is over for good; returns who waits to hear of it. Only the first end counts.
    pub fn ended(
        &mut self,
        now: Timestamp,
        request: RequestId,
        outcome: Outcome,
        result: &Rc<[u8]>,
    ) -> Vec<RequestId> {
        let (share, read_late, room) =
            (self.share, self.read_late, self.most_bytes.saturating_sub(self.bytes));
        let mut bytes = self.bytes;
        let kept = self.held_by(request).and_then(|(key, held)| {
            let forget_at = match (key.scope, outcome) {
                (Scope::IdempotentWithKey, _) => held.until? + read_late,
                (Scope::Read, Outcome::Ok) => held.until?.min(now + share),
                (Scope::Read, _) => return None,
            };
            if key.scope == Scope::Read {
                held.until = Some(forget_at);
            }
            if result.len() <= room {
                held.end = Some((outcome, result.clone()));
                bytes += result.len();
            } else {
                // That it ran must not be forgotten: its repeats fail.
                bytes -= held.body.take().map_or(0, |body| body.len());
                held.end = Some((Outcome::Error, Rc::from([])));
            }
            Some((forget_at, key.clone()))
        });
        self.bytes = bytes;
        match kept {
            Some(kept) => drop(self.expiry.insert(kept)),
            None => self.release(request),
        }
        self.live.remove(&request).map(|live| live.waiting).unwrap_or_default()
    }

    /// A try is over that never ran: the next one may. Returns who waits to hear of it.
    pub fn never_ran(&mut self, request: RequestId) -> Vec<RequestId> {
        self.release(request);
        self.live.remove(&request).map(|live| live.waiting).unwrap_or_default()
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((at, key)) = self.expiry.first().cloned()
            && at <= now
        {
            self.forget(&key);
            self.expiry.remove(&(at, key));
        }
    }

    fn forget(&mut self, key: &Key) {
        if let Some(gone) = self.entries.remove(key) {
            self.bytes -= weight(key, &gone);
            if let Some(until) = gone.until.filter(|_| gone.end.is_some()) {
                let late =
                    if key.scope == Scope::IdempotentWithKey { self.read_late } else { Duration::ZERO };
                self.expiry.remove(&(until + late, key.clone()));
            }
        }
    }
}
