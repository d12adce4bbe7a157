//! Deduplication of keyed ops and coalescing of reads: which try holds a key, what came of it, and who waits
//! to hear. A key is held from the moment its op is read, so that of two tries read together one runs.

use hazelspur::{Moment, OpId, OpTypeId, Outcome, Span, TenantId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// What an entry takes beside its texts.
const ENTRY: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// A keyed op keeps its key however it ends: what may have run does not run again.
    Keyed,
    /// A read shares only a good result, and only while that is fresh.
    Read,
}

/// Whole texts are compared: a hash could hand out another op's result. Tenants share nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub tenant: TenantId,
    pub op_type: OpTypeId,
    pub scope: Scope,
    pub text: Rc<str>,
}

/// An op that is read, as far as its key goes.
pub struct Keyed {
    pub op: OpId,
    pub key: Key,
    pub arrived: Moment,
    pub body: Rc<[u8]>,
    /// The runtime has known an op of its connection. Anybody may name a subject: no other gets a shared
    /// result, nor do others wait for its run.
    pub vouched: bool,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Found {
    First,
    RepeatOf(OpId),
    /// The key is another op's: a repeat is the same in all that it asks for.
    NotTheSame,
}

type End = (Outcome, Rc<[u8]>);

struct Try {
    key: Key,
    /// What a repeat has to ask for too; not kept once its result could not be.
    body: Option<Rc<[u8]>>,
    until: Option<Moment>,
    end: Option<End>,
    waiting: Vec<OpId>,
}

impl Try {
    fn weight(&self) -> usize {
        let result = self.end.as_ref().map_or(0, |(_, result)| result.len());
        ENTRY + self.key.text.len() + self.body.as_ref().map_or(0, |body| body.len()) + result
    }
}

#[derive(Default)]
pub struct Deduplication {
    /// How long the result of a read may serve others.
    share: Span,
    /// So long after its window a repeat that came within it may still be read.
    read_late: Span,
    /// What results and bodies may take in all.
    most_bytes: usize,
    bytes: usize,
    holders: BTreeMap<Key, OpId>,
    tries: BTreeMap<OpId, Try>,
    /// When each try that has ended is forgotten.
    expiry: BTreeSet<(Moment, OpId)>,
}

impl Deduplication {
    pub fn new(share: Span, read_late: Span, most_bytes: usize) -> Self {
        Self { share, read_late, most_bytes, ..Self::default() }
    }

    /// Notes a try that is read; says whether it repeats one that holds its key.
    pub fn read(&mut self, now: Moment, new: Keyed) -> Found {
        self.expire(now);
        let Keyed { op, key, arrived, body, vouched } = new;
        if key.scope == Scope::Read && (self.share == Span::ZERO || !vouched) {
            return Found::First;
        }
        if let Some(first) = self.holders.get(&key).copied() {
            let held = &self.tries[&first];
            // A window that ends while its try still runs goes on until that has ended.
            let since = if key.scope == Scope::Keyed { arrived } else { now };
            if held.end.is_none() || held.until.is_some_and(|until| until > since) {
                let same = key.scope == Scope::Read || held.body.as_ref().is_none_or(|first| *first == body);
                return if same { Found::RepeatOf(first) } else { Found::NotTheSame };
            }
            self.forget(first);
        }
        self.holders.insert(key.clone(), op);
        let body = Some(body).filter(|_| key.scope == Scope::Keyed);
        let new = Try { key, body, until: None, end: None, waiting: Vec::new() };
        self.bytes += new.weight();
        self.tries.insert(op, new);
        Found::First
    }

    pub fn keep(&mut self, op: OpId, until: Moment) {
        if let Some(kept) = self.tries.get_mut(&op) {
            kept.until = Some(until);
        }
    }

    /// Its key is free for the next try; who waits for this one is still told of its end.
    pub fn release(&mut self, op: OpId) {
        if let Some(key) = self.tries.get(&op).map(|held| &held.key)
            && self.holders.get(key) == Some(&op)
        {
            self.holders.remove(&key.clone());
        }
    }

    /// How the first try ended, if it has; else `op` is told later.
    pub fn wait_for(&mut self, first: OpId, op: OpId) -> Option<End> {
        let Some(first) = self.tries.get_mut(&first) else { return Some((Outcome::Error, Rc::from([]))) };
        if first.end.is_none() {
            first.waiting.push(op);
        }
        first.end.clone()
    }

    /// A try is over for good; returns who waits to hear of it. Only the first end counts.
    pub fn ended(&mut self, now: Moment, op: OpId, outcome: Outcome, result: &Rc<[u8]>) -> Vec<OpId> {
        let Some(this) = self.tries.get_mut(&op).filter(|this| this.end.is_none()) else { return Vec::new() };
        let waiting = std::mem::take(&mut this.waiting);
        let forget_at = match (this.key.scope, outcome) {
            (Scope::Keyed, _) => this.until.map(|until| until + self.read_late),
            (Scope::Read, Outcome::Ok) => {
                this.until = this.until.map(|until| until.min(now + self.share));
                this.until
            }
            (Scope::Read, _) => None,
        };
        let Some(at) = forget_at.filter(|_| self.holders.get(&this.key) == Some(&op)) else {
            self.forget(op);
            return waiting;
        };
        if self.bytes + result.len() <= self.most_bytes {
            this.end = Some((outcome, result.clone()));
            self.bytes += result.len();
        } else {
            // That it ran must not be forgotten: its repeats fail.
            self.bytes -= this.body.take().map_or(0, |body| body.len());
            this.end = Some((Outcome::Error, Rc::from([])));
        }
        self.expiry.insert((at, op));
        waiting
    }

    /// A try is over that never ran: the next one may. Returns who waits to hear of it.
    pub fn never_ran(&mut self, op: OpId) -> Vec<OpId> {
        let open = self.tries.get_mut(&op).filter(|this| this.end.is_none());
        let waiting = open.map(|this| std::mem::take(&mut this.waiting));
        if waiting.is_some() {
            self.forget(op);
        }
        waiting.unwrap_or_default()
    }

    fn expire(&mut self, now: Moment) {
        while let Some((at, op)) = self.expiry.first().copied()
            && at <= now
        {
            self.expiry.remove(&(at, op));
            self.forget(op);
        }
    }

    fn forget(&mut self, op: OpId) {
        self.release(op);
        if let Some(gone) = self.tries.remove(&op) {
            self.bytes -= gone.weight();
            if let Some(until) = gone.until.filter(|_| gone.end.is_some()) {
                let late = if gone.key.scope == Scope::Keyed { self.read_late } else { Span::ZERO };
                self.expiry.remove(&(until + late, op));
            }
        }
    }
}
