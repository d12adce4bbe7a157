//! Shares of what all servers have in common and what has an end: slots of a ledger, a tenant's quota, turns
//! that only so many may have at once. The sum of all shares in force never passes the limit, whatever is
//! lost, late, doubled, stopped or cut off.
//!
//! - **Floors.** A part of each limit is divided by the greatest number of servers there may be. That share is
//!   each server's for good, without a word to anybody.
//! - **The pool.** The rest is given out by one divider at a time, as leases that end. Who divides is voted by
//!   named keepers: each has one vote, given for a span and kept in memory only; who has the votes of more
//!   than half of them divides until the earliest of those votes can end. A keeper that starts says nothing
//!   for a span, since it can't know what it promised before. Leases after Gray and Cheriton (1989); the vote
//!   is that of a lease without a disk, as in Trencseni, Gazso and Reinhardt, "PaxosLease" (2012), without
//!   its first phase: a vote is for a sender and no value, so there is none to be learned.
//! - **Spans only.** No message names a point in time. Who asks counts from when it sent the question, who
//!   gives from when that came; so the one who uses always ends before the one who promised. Clocks may run
//!   apart by a fiftieth; they may show anything.
//! - **Dividing**: to the level at which all demands together fill the pool (max-min fairness, "water
//!   filling"): nobody gets more by asking for more than that. Turns (`Limit::whole`) go to who waited
//!   longest.
//!
//! Inputs (`want`, `heard`, `tick`) only update; then pull `next_out` and `next_event` until `None`, and call
//! `tick` at `next_tick`. All points in time are those of a clock that nobody sets.

mod divide;
mod hold;
mod terms;
mod vote;

pub use divide::{level, level_of};
pub use terms::{Limit, LimitId, Print, Terms};

use crate::names::{Generation, MemberName};
use divide::Divider;
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hold::Holder;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use vote::{Candidate, Keeper};

pub const MAX_LIMITS: usize = 16;
pub const MAX_KEEPERS: usize = 9;
/// Clocks run apart by less than this part.
const DRIFT: f64 = 0.02;
/// Who holds nothing asks again after this part of a renewal.
const IMPATIENT: f64 = 0.25;
/// Messages and events that wait; more are dropped, as a network would.
const MAX_OUT: usize = 64;
const MAX_EVENTS: usize = 64;

/// One life of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life {
    pub name: MemberName,
    pub generation: Generation,
}

/// What goes between servers about shares. Amounts are in the order of the limits in the terms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// To a keeper: may I divide, or go on to?
    Ask { round: u32 },
    /// Yes, for a span from when you asked; or no, since this one may.
    Vote { round: u32, yes: bool, divider: Option<MemberName> },
    /// That round came to nothing: the vote is free again.
    Drop { round: u32 },
    /// To the divider: this much would be used; and of what was given before no more than this is used from
    /// now on.
    Want { number: u32, wants: Vec<f32>, keeps: Vec<f32> },
    /// This much of the pool, for so long from when that was sent.
    Have { number: u32, span_ms: u32, amounts: Vec<f32> },
    /// Somebody else divides, as far as is known here.
    Elsewhere { number: u32, divider: Option<MemberName> },
}

impl Word {
    /// Whether it is of a length that is read.
    pub fn fits(&self) -> bool {
        match self {
            Self::Want { wants, keeps, .. } => wants.len() <= MAX_LIMITS && keeps.len() <= MAX_LIMITS,
            Self::Have { amounts, .. } => amounts.len() <= MAX_LIMITS,
            _ => true,
        }
    }
}

/// What may be used now, and how long that holds: after `until` it is the floor again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    pub amount: f64,
    pub floor: f64,
    /// None where nothing of the pool is held.
    pub until: Option<Timestamp>,
}

/// A change that is worth a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This server divides from now on, or does not any more.
    Divides,
    DividesNoMore,
    /// A share of the pool is held again after there was none, by whom.
    Held(MemberName),
    /// The last lease ended and no other came: floors only.
    FloorOnly,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub asked: u64,
    pub had: u64,
    pub given: u64,
    /// Demands that can't be.
    pub absurd: u64,
    /// Servers for which the divider's table had no room.
    pub no_room: u64,
}

#[derive(Clone, Debug)]
pub struct Shares {
    me: Life,
    terms: Terms,
    chance: Pcg,
    keeper: Option<Keeper>,
    candidate: Option<Candidate>,
    divider: Option<Divider>,
    holder: Holder,
    out: VecDeque<(MemberName, Word)>,
    events: VecDeque<Event>,
    pub figures: Figures,
}

impl Shares {
    /// A new life. The terms have passed `Terms::check`.
    pub fn new(terms: Terms, me: Life, seed: u64, now: Timestamp) -> Self {
        let mut chance = Pcg::new(seed ^ 0x5ba5);
        let keeps = terms.keepers.contains(&me.name);
        let first = now + terms.renewal().scaled(IMPATIENT * chance.unit());
        Self {
            keeper: keeps.then(|| Keeper::new(now, terms.span)),
            candidate: keeps
                .then(|| Candidate::new(now + terms.span + terms.renewal().scaled(chance.unit()))),
            divider: None,
            holder: Holder::new(terms.limits.len(), first),
            me,
            terms,
            chance,
            out: VecDeque::new(),
            events: VecDeque::new(),
            figures: Figures::default(),
        }
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    // ---- inputs ----

    /// What this server would use of a limit if it could; what is no number counts as nothing.
    pub fn want(&mut self, limit: LimitId, amount: f64) {
        self.holder.want(&self.terms, limit, amount);
    }

    /// What another server said; whoever hands it in vouches for the sender.
    pub fn heard(&mut self, now: Timestamp, from: Life, word: &Word) {
        match word {
            Word::Ask { round } => {
                if let Some(keeper) = &mut self.keeper
                    && let Some(vote) = keeper.asked(now, self.terms.span, from, *round)
                {
                    self.say(from.name, vote);
                }
            }
            Word::Vote { round, yes, divider } => self.voted(now, from.name, (*round, *yes), *divider),
            Word::Drop { round } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.dropped(from, *round);
                }
            }
            Word::Want { number, wants, keeps } => self.wanted(now, from, *number, (wants, keeps)),
            Word::Have { number, span_ms, amounts } => {
                let span = Duration::from_ms(u64::from(*span_ms)).min(self.terms.lease());
                if self.holder.had(now, &self.terms, from.name, (*number, span, amounts)) {
                    self.figures.had += 1;
                    if self.holder.changed(now) == Some(true) {
                        self.tell(Event::Held(from.name));
                    }
                }
            }
            Word::Elsewhere { number, divider } => {
                if let Some(to) = self.holder.elsewhere(from.name, *number, *divider) {
                    self.ask_for_shares(now, to, true);
                }
            }
        }
    }

    /// The time that `next_tick` named is there, or past.
    pub fn tick(&mut self, now: Timestamp) {
        self.run_for_it(now);
        if self.holder.changed(now) == Some(false) {
            self.tell(Event::FloorOnly);
        }
        if now >= self.holder.next {
            match self.whom_to_ask(now) {
                Some(to) => self.ask_for_shares(now, to, false),
                None => self.holder.next = now + self.terms.renewal(),
            }
        }
    }

    /// This life is about to end in good order: nothing of the pool is used from here on.
    pub fn leave(&mut self, now: Timestamp) {
        for at in 0..self.terms.limits.len() {
            self.want(LimitId(at), 0.0);
        }
        if let Some(to) = self.whom_to_ask(now) {
            self.ask_for_shares(now, to, false);
        }
    }

    // ---- what comes of it ----

    pub fn next_tick(&self) -> Timestamp {
        let candidate = self.candidate.as_ref().map(|candidate| candidate.next);
        let ends = self.candidate.as_ref().and_then(|candidate| candidate.until);
        [candidate, ends, self.holder.ends()].into_iter().flatten().fold(self.holder.next, Timestamp::min)
    }

    pub fn next_out(&mut self) -> Option<(MemberName, Word)> {
        self.out.pop_front()
    }

    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// What may be used at this moment: to be asked for at each use, since leases end by themselves.
    pub fn share(&self, now: Timestamp, limit: LimitId) -> Share {
        self.holder.share(now, &self.terms, limit)
    }

    /// Until when this server divides, by itself.
    pub fn divides(&self, now: Timestamp) -> Option<Timestamp> {
        self.candidate.as_ref().and_then(|candidate| candidate.until).filter(|until| now < *until)
    }

    /// Who divides, as far as is known here.
    pub fn divider(&self, now: Timestamp) -> Option<MemberName> {
        if self.divides(now).is_some() { Some(self.me.name) } else { self.holder.divider }
    }

    /// What the divider counts as given out of a limit's pool, by whom it was asked, and what the pool is.
    pub fn given(&self, now: Timestamp, limit: LimitId) -> Option<(f64, usize, f64)> {
        let divider = self.divider.as_ref().filter(|_| self.divides(now).is_some())?;
        Some((divider.given(now, limit.0), divider.holders(), self.terms.pool(limit)))
    }

    /// What must hold after each input; the text names what does not.
    pub fn check(&self, now: Timestamp) -> Result<(), String> {
        for at in 0..self.terms.limits.len() {
            let pool = self.terms.pool(LimitId(at));
            if let Some((given, ..)) = self.given(now, LimitId(at))
                && given > pool * (1.0 + 1e-6) + 1e-9
            {
                return Err(format!("{given} given of {pool}"));
            }
            let share = self.share(now, LimitId(at));
            if !share.amount.is_finite() || share.amount < 0.0 || share.amount > self.terms.limits[at].total {
                return Err(format!("{share:?} of {}", self.terms.limits[at].total));
            }
        }
        let room = self.terms.most * 2;
        match self.divider.as_ref().map(Divider::holders) {
            Some(holders) if holders > room => Err(format!("{holders} holders, room for {room}")),
            _ => Ok(()),
        }
    }

    // ---- inside ----

    fn voted(
        &mut self,
        now: Timestamp,
        by: MemberName,
        (round, yes): (u32, bool),
        divider: Option<MemberName>,
    ) {
        if !self.terms.keepers.contains(&by) {
            return;
        }
        let majority = self.terms.majority();
        let sure = self.terms.span.scaled(1.0 - DRIFT);
        let Some(candidate) = &mut self.candidate else { return };
        let had = candidate.holds(now);
        if candidate.voted(now, by, (round, yes), majority, sure) && !had {
            // What the one before gave may be in use for so long.
            let inherits = now + self.terms.lease() + self.terms.linger();
            self.divider = Some(Divider::new(self.terms.limits.len(), inherits));
            self.tell(Event::Divides);
        }
        if !yes {
            self.holder.divider = divider.or(self.holder.divider);
        }
    }

    /// A keeper's own part in the vote: asks where nobody divides, and again in time while it does.
    fn run_for_it(&mut self, now: Timestamp) {
        if self.candidate.as_mut().is_some_and(|candidate| candidate.ended(now)) {
            self.divider = None;
            self.tell(Event::DividesNoMore);
        }
        let (renewal, chance) = (self.terms.renewal(), self.chance.unit());
        let (Some(candidate), Some(keeper)) = (&mut self.candidate, &mut self.keeper) else { return };
        if now < candidate.next {
            return;
        }
        if !candidate.holds(now) {
            if let Some(round) = candidate.give_up() {
                keeper.dropped(self.me, round);
                candidate.next = now + renewal.scaled(0.3 + 0.7 * chance);
                let others = self.terms.keepers.clone();
                for other in others {
                    self.say(other, Word::Drop { round });
                }
                return;
            }
            if let Some(free) = keeper.promised_until(now, self.me) {
                candidate.next = free + renewal.scaled(chance);
                return;
            }
        }
        let round = candidate.ask(now, renewal);
        let own = keeper.asked(now, self.terms.span, self.me, round);
        let others = self.terms.keepers.clone();
        for other in others {
            self.say(other, Word::Ask { round });
        }
        if let Some(Word::Vote { round, yes, divider }) = own {
            self.voted(now, self.me.name, (round, yes), divider);
        }
    }

    fn wanted(&mut self, now: Timestamp, from: Life, number: u32, (wants, keeps): (&[f32], &[f32])) {
        if self.divides(now).is_none() {
            let divider = self.keeper.as_ref().and_then(|keeper| keeper.promised_to(now));
            let divider = divider.filter(|name| *name != self.me.name);
            return self.say(from.name, Word::Elsewhere { number, divider });
        }
        let lasts = self.terms.lease();
        let Some(divider) = &mut self.divider else { return };
        let answer = divider.wanted(now, &self.terms, from, (number, wants, keeps), lasts, &mut self.figures);
        if let Some(amounts) = answer {
            self.figures.given += 1;
            let span_ms = (lasts.us() / 1000) as u32;
            self.say(from.name, Word::Have { number, span_ms, amounts });
        }
    }

    fn whom_to_ask(&mut self, now: Timestamp) -> Option<MemberName> {
        if self.divides(now).is_some() {
            return Some(self.me.name);
        }
        let drawn = self.chance.draw() as usize;
        let promised = self.keeper.as_ref().and_then(|keeper| keeper.promised_to(now));
        let known = promised.or(self.holder.divider.filter(|_| self.holder.answered));
        let others: Vec<MemberName> =
            self.terms.keepers.iter().copied().filter(|other| *other != self.me.name).collect();
        known.filter(|name| *name != self.me.name).or(others.get(drawn % others.len().max(1)).copied())
    }

    fn ask_for_shares(&mut self, now: Timestamp, to: MemberName, sent_on: bool) {
        // Who holds nothing does not wait for a renewal.
        let part = if self.holder.holds(now) { 1.0 } else { IMPATIENT };
        let around = self.terms.renewal().scaled(part * (0.9 + 0.2 * self.chance.unit()));
        let word = self.holder.ask(now, &self.terms, to, around, sent_on);
        self.figures.asked += 1;
        if to == self.me.name {
            // The divider's own share, without a message.
            return self.heard(now, self.me, &word);
        }
        self.say(to, word);
    }

    fn say(&mut self, to: MemberName, word: Word) {
        if to == self.me.name {
            if matches!(word, Word::Have { .. }) {
                let now = self.holder.sent;
                self.heard(now, self.me, &word);
            }
            return;
        }
        if self.out.len() < MAX_OUT {
            self.out.push_back((to, word));
        }
    }

    fn tell(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }
}
