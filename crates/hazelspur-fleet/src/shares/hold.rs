//! A server's own part: what it would use, what it holds, and until when.

use super::terms::{LimitId, Terms};
use super::{DRIFT, Share, Word};
use crate::names::MemberName;
use hazelspur::{Duration, Timestamp};

#[derive(Clone, Debug)]
pub struct Holder {
    number: u32,
    pub sent: Timestamp,
    /// Whom it was last asked of, and whether that one answered.
    asked: Option<MemberName>,
    pub answered: bool,
    /// It was sent on already in this round.
    sent_on: bool,
    wants: Vec<f64>,
    /// Of the pool.
    have: Vec<f64>,
    until: Timestamp,
    holds: bool,
    pub divider: Option<MemberName>,
    pub next: Timestamp,
}

impl Holder {
    pub fn new(limits: usize, next: Timestamp) -> Self {
        Self {
            number: 0,
            sent: Timestamp::default(),
            asked: None,
            answered: false,
            sent_on: false,
            wants: vec![0.0; limits],
            have: vec![0.0; limits],
            until: Timestamp::default(),
            holds: false,
            divider: None,
            next,
        }
    }

    pub fn want(&mut self, terms: &Terms, limit: LimitId, amount: f64) {
        if let Some(want) = self.wants.get_mut(limit.0) {
            let total = terms.limits[limit.0].total;
            *want = if amount.is_finite() { amount.clamp(0.0, total) } else { 0.0 };
        }
    }

    pub fn share(&self, now: Timestamp, terms: &Terms, limit: LimitId) -> Share {
        let floor = terms.floor(limit);
        let held = now < self.until;
        let of_pool = if held { self.have.get(limit.0).copied().unwrap_or(0.0) } else { 0.0 };
        Share { amount: floor + of_pool, floor, until: held.then_some(self.until) }
    }

    pub fn holds(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// When the lease in force ends.
    pub fn ends(&self) -> Option<Timestamp> {
        self.holds.then_some(self.until)
    }

    /// Whether the pool is held, where that has changed.
    pub fn changed(&mut self, now: Timestamp) -> Option<bool> {
        let holds = now < self.until;
        (std::mem::replace(&mut self.holds, holds) != holds).then_some(holds)
    }

    /// The next question. From here on no more is used of what is held than is wanted: that is what lets the
    /// divider give it to others.
    pub fn ask(
        &mut self,
        now: Timestamp,
        terms: &Terms,
        to: MemberName,
        again: Duration,
        sent_on: bool,
    ) -> Word {
        if now >= self.until {
            self.have.fill(0.0);
        }
        for (at, have) in self.have.iter_mut().enumerate() {
            *have = have.min((self.wants[at] - terms.floor(LimitId(at))).max(0.0));
            if terms.limits[at].whole.is_some() && *have < 1.0 {
                *have = 0.0;
            }
        }
        self.sent_on = sent_on;
        self.number += 1;
        (self.sent, self.asked, self.answered, self.next) = (now, Some(to), false, now + again);
        let said = |all: &[f64]| all.iter().map(|n| *n as f32).collect();
        // Rounded up: what is kept must not be more than was said to be.
        let keeps = self.have.iter().map(|n| f32::from_bits((*n as f32).to_bits() + 1));
        Word::Want { number: self.number, wants: said(&self.wants), keeps: keeps.collect() }
    }

    /// An answer counts to the last question only, and once.
    pub fn had(
        &mut self,
        now: Timestamp,
        terms: &Terms,
        by: MemberName,
        (number, span, amounts): (u32, Duration, &[f32]),
    ) -> bool {
        let fits = amounts.len() == self.have.len() && amounts.iter().all(|n| n.is_finite() && *n >= 0.0);
        if number != self.number || self.answered || self.asked != Some(by) || !fits {
            return false;
        }
        self.answered = true;
        self.divider = Some(by);
        for (at, have) in self.have.iter_mut().enumerate() {
            *have = f64::from(amounts[at]).min(terms.pool(LimitId(at)));
        }
        self.until = self.sent + span.scaled(1.0 - DRIFT);
        now < self.until
    }

    /// Whom to ask at once instead, if that is known and was not tried just now.
    pub fn elsewhere(
        &mut self,
        by: MemberName,
        number: u32,
        divider: Option<MemberName>,
    ) -> Option<MemberName> {
        if number != self.number || self.answered || self.asked != Some(by) {
            return None;
        }
        self.divider = divider;
        divider.filter(|to| *to != by && !self.sent_on)
    }
}
