//! Keys kept for a while, the try that holds each, and the results that repeats are served from.

use hazelspur::{Moment, OpId, OpTypeId, Outcome, Span, UserKey};
use std::collections::BTreeMap;

/// Results kept for repeats; past this number a new one is not kept, and its repeats fail.
const MOST_RESULTS: usize = 1024;

type Key = (OpTypeId, UserKey);

struct Try {
    key: Key,
    /// A keyed op keeps its key however it ends; a read shares only a good result, and only while it is fresh.
    keyed: bool,
    until: Option<Moment>,
    end: Option<(Outcome, Vec<u8>)>,
    waiting: Vec<OpId>,
}

#[derive(Default)]
pub struct Repeats {
    /// How long the result of a read may serve others.
    pub share: Span,
    holders: BTreeMap<Key, OpId>,
    tries: BTreeMap<OpId, Try>,
}

impl Repeats {
    /// Notes a try that is read; says which kept one it repeats.
    pub fn read(&mut self, now: Moment, op: OpId, key: Key, keyed: bool) -> Option<OpId> {
        if !keyed && self.share == Span::ZERO {
            return None;
        }
        let Self { holders, tries, .. } = self;
        let live = |first: &Try| first.until.is_some_and(|until| until > now);
        holders.retain(|_, holder| tries.get(holder).is_some_and(live));
        tries.retain(|op, first| {
            first.end.is_none() || !first.waiting.is_empty() || holders.get(&first.key) == Some(op)
        });
        tries.insert(op, Try { key, keyed, until: None, end: None, waiting: Vec::new() });
        holders.get(&key).copied()
    }

    pub fn keep(&mut self, op: OpId, until: Moment) {
        if let Some(kept) = self.tries.get_mut(&op) {
            kept.until = Some(until);
            self.holders.insert(kept.key, op);
        }
    }

    pub fn release(&mut self, op: OpId) {
        self.holders.retain(|_, holder| *holder != op);
    }

    /// How the first try ended, if it has; else `op` is told later.
    pub fn wait_for(&mut self, first: OpId, op: OpId) -> Option<(Outcome, Vec<u8>)> {
        let Some(first) = self.tries.get_mut(&first) else { return Some((Outcome::Error, Vec::new())) };
        if first.end.is_none() {
            first.waiting.push(op);
        }
        first.end.clone()
    }

    /// A try is over for good; returns who waits to hear of it. Only the first end counts.
    pub fn ended(&mut self, now: Moment, op: OpId, outcome: Outcome, result: &[u8]) -> Vec<OpId> {
        let results = self.tries.values().filter(|t| t.end.is_some()).count();
        let Some(this) = self.tries.get_mut(&op).filter(|this| this.end.is_none()) else { return Vec::new() };
        let waiting = std::mem::take(&mut this.waiting);
        if !this.keyed {
            let fresh = if outcome == Outcome::Ok { now + self.share } else { now };
            this.until = this.until.map(|until| until.min(fresh));
        }
        if self.holders.get(&this.key) != Some(&op) {
            self.tries.remove(&op);
        } else {
            let kept = (outcome, result.to_vec());
            this.end = Some(if results < MOST_RESULTS { kept } else { (Outcome::Error, Vec::new()) });
        }
        waiting
    }
}
