//! What all servers that share must be told alike.

use super::{MAX_KEEPERS, MAX_LIMITS};
use crate::names::{LimitName, MemberName};
use hazelspur::Duration;
use serde::{Deserialize, Serialize};

/// A limit by its place in the terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitId(pub usize);

/// Of the terms; servers whose prints differ give each other nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Print(pub u64);

#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    pub name: LimitName,
    /// What all together may use.
    pub total: f64,
    /// The part of it that is each server's for good, divided by the most servers there may be, 0 to 1.
    pub floor: f64,
    /// How long what was begun under a share may go on after it: the longest call, say.
    pub linger: Duration,
    /// Turns: given whole, to who has waited longest, for so long at most.
    pub whole: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Who votes: an odd number, best spread over three sites.
    pub keepers: Vec<MemberName>,
    /// No more servers than this exist at once.
    pub most: usize,
    /// How long a vote holds.
    pub span: Duration,
    pub limits: Vec<Limit>,
}

impl Terms {
    /// Errors name what is wrong.
    pub fn check(&self) -> Result<(), String> {
        if self.keepers.len() > MAX_KEEPERS {
            return Err(format!("more than {MAX_KEEPERS} keepers"));
        }
        let mut sorted = self.keepers.clone();
        sorted.sort();
        sorted.dedup();
        if sorted.len() != self.keepers.len() {
            return Err("a keeper is named twice: its vote would count twice".into());
        }
        if self.limits.len() > MAX_LIMITS {
            return Err(format!("more than {MAX_LIMITS} limits"));
        }
        for (at, limit) in self.limits.iter().enumerate() {
            let name = limit.name;
            if self.limits[..at].iter().any(|other| other.name == name) {
                return Err(format!("{name}: named twice"));
            }
            if !limit.total.is_finite() || !(0.0..=1e9).contains(&limit.total) {
                return Err(format!("{name}: total is no number from 0 to a billion"));
            }
            if !(0.0..=1.0).contains(&limit.floor) {
                return Err(format!("{name}: floor is no part from 0 to 1"));
            }
            if limit.whole.is_some() && limit.floor != 0.0 {
                return Err(format!("{name}: turns have no floor"));
            }
            if limit.linger.scaled(2.0) > self.span {
                return Err(format!(
                    "{name}: what lingers for over half of the span leaves no time for leases"
                ));
            }
        }
        if self.most == 0 || self.span < Duration::from_ms(200) || self.span > Duration::from_ms(600_000) {
            return Err("span is not from 0.2 s to 600 s, or most is 0".into());
        }
        Ok(())
    }

    /// How often a holder asks again, and a divider for its votes.
    pub fn renewal(&self) -> Duration {
        self.span.scaled(0.25)
    }

    /// How long what is given may be used: past the end of a divider, until the next one is known to all.
    pub fn lease(&self) -> Duration {
        self.span.scaled(2.0)
    }

    pub fn majority(&self) -> usize {
        self.keepers.len() / 2 + 1
    }

    pub fn linger(&self) -> Duration {
        self.limits.iter().map(|limit| limit.linger).max().unwrap_or(Duration::ZERO)
    }

    /// Each server's for good.
    pub fn floor(&self, limit: LimitId) -> f64 {
        self.limits.get(limit.0).map_or(0.0, |l| l.total * l.floor / self.most.max(1) as f64)
    }

    /// What is given out; nothing where nobody can vote.
    pub fn pool(&self, limit: LimitId) -> f64 {
        let votes = !self.keepers.is_empty();
        self.limits.get(limit.0).filter(|_| votes).map_or(0.0, |l| l.total * (1.0 - l.floor))
    }

    pub fn find(&self, name: &str) -> Option<LimitId> {
        self.limits.iter().position(|limit| limit.name.as_str() == name).map(LimitId)
    }

    pub fn print(&self) -> Print {
        Print(xxhash_rust::xxh3::xxh3_64(self.canonical_text().as_bytes()))
    }

    /// The text that the fingerprint covers. Servers of other versions hash the same text: it must never change.
    fn canonical_text(&self) -> String {
        let Self { keepers, most, span, limits } = self;
        let limits: Vec<String> = limits.iter().map(Limit::canonical_text).collect();
        let (span, limits) = (span.us(), limits.join(", "));
        format!("Terms {{ keepers: {keepers:?}, most: {most}, span: Span({span}), limits: [{limits}] }}")
    }
}

impl Limit {
    fn canonical_text(&self) -> String {
        let Self { name, total, floor, linger, whole } = self;
        let linger = linger.us();
        let whole = whole.map_or("None".into(), |whole| format!("Some(Span({}))", whole.us()));
        format!(
            "Limit {{ name: {name}, total: {total:?}, floor: {floor:?}, linger: Span({linger}), whole: {whole} }}"
        )
    }
}
