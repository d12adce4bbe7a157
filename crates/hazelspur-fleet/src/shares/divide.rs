//! The divider's table: who wants how much, what is given, and until when that may still be used.

use super::{Figures, Life, Terms};
use crate::shares::terms::{Limit, LimitId};
use hazelspur::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Leases of one holder and limit that have not ended; more are counted as one.
const MAX_CHARGES: usize = 6;
/// With more holders than this, levels and sums are worked out once in `EACH`; in between sums only grow.
const FEW: usize = 48;
const EACH: Duration = Duration::from_ms(100);

/// What one holder may still use of one limit: amounts with their ends. It uses one of them at a time.
#[derive(Clone, Debug, Default)]
struct Charges(Vec<(f64, Timestamp)>);

impl Charges {
    fn now(&self, now: Timestamp) -> f64 {
        self.0.iter().filter(|(_, end)| now < *end).map(|(amount, _)| *amount).fold(0.0, f64::max)
    }

    fn add(&mut self, now: Timestamp, amount: f64, end: Timestamp) {
        self.0.retain(|(_, end)| now < *end);
        // What is covered by another counts no more.
        self.0.retain(|(other, ends)| *other > amount || *ends > end);
        if !self.0.iter().any(|(other, ends)| *other >= amount && *ends >= end) {
            self.0.push((amount, end));
        }
        if self.0.len() > MAX_CHARGES {
            let most = self.0.iter().fold((0.0, end), |(a, e), (b, f)| (f64::max(a, *b), e.max(*f)));
            self.0 = vec![most];
        }
    }

    /// The holder uses no more than this from before `now` on; what it began may go on until `lingers`.
    fn given_back(&mut self, now: Timestamp, keeps: f64, lingers: Timestamp) {
        let old = std::mem::take(&mut self.0);
        for (amount, end) in old.into_iter().filter(|(_, end)| now < *end) {
            if amount > keeps {
                self.add(now, amount, end.min(lingers));
                self.add(now, keeps, end);
            } else {
                self.add(now, amount, end);
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Row {
    number: u32,
    heard: Timestamp,
    /// Of the pool: what it would use beyond its floor.
    wants: Vec<f64>,
    charges: Vec<Charges>,
    /// Turns: since when it waits, and since when it has one.
    waits: Vec<Option<Timestamp>>,
    has: Vec<Option<Timestamp>>,
}

#[derive(Clone, Debug)]
pub struct Divider {
    rows: BTreeMap<Life, Row>,
    levels: Vec<f64>,
    sums: Vec<f64>,
    looked: Timestamp,
    /// Until then others may use what a former divider gave, so that nobody gets more than it holds.
    inherits: Timestamp,
}

impl Divider {
    pub fn new(limits: usize, inherits: Timestamp) -> Self {
        Self {
            rows: BTreeMap::new(),
            levels: vec![0.0; limits],
            sums: vec![0.0; limits],
            looked: Timestamp::default(),
            inherits,
        }
    }

    pub fn holders(&self) -> usize {
        self.rows.len()
    }

    pub fn given(&self, now: Timestamp, limit: usize) -> f64 {
        self.rows.values().filter_map(|row| row.charges.get(limit)).map(|c| c.now(now)).sum()
    }

    /// What a holder gets of each pool, for `lasts` from when it asked; none where the question is
    /// older than one that came before, or can't be read.
    pub fn wanted(
        &mut self,
        now: Timestamp,
        terms: &Terms,
        from: Life,
        (number, wants, keeps): (u32, &[f32], &[f32]),
        lasts: Duration,
        figures: &mut Figures,
    ) -> Option<Vec<f32>> {
        let limits = terms.limits.len();
        if wants.len() != limits || keeps.len() != limits {
            figures.absurd += 1;
            return None;
        }
        if !self.rows.contains_key(&from) {
            self.forget_old(now, terms);
            if self.rows.len() >= terms.most * 2 {
                figures.no_room += 1;
                return None;
            }
        }
        let row = self.rows.entry(from).or_insert_with(|| Row {
            number: 0,
            heard: now,
            wants: vec![0.0; limits],
            charges: vec![Charges::default(); limits],
            waits: vec![None; limits],
            has: vec![None; limits],
        });
        if number <= row.number {
            return None;
        }
        (row.number, row.heard) = (number, now);
        for (at, limit) in terms.limits.iter().enumerate() {
            let want = f64::from(wants[at]);
            figures.absurd += u64::from(!want.is_finite() || want < 0.0 || want > limit.total * 1.001);
            let want = if want.is_finite() { want.clamp(0.0, limit.total) } else { 0.0 };
            row.wants[at] = (want - terms.floor(LimitId(at))).max(0.0);
            let keeps = f64::from(keeps[at]);
            // What is no number promises nothing.
            if keeps.is_finite() && keeps >= 0.0 {
                row.charges[at].given_back(now, keeps, now + limit.linger);
            }
            if limit.whole.is_some() {
                let waits = (row.wants[at] >= 1.0).then(|| row.waits[at].unwrap_or(now));
                row.waits[at] = waits;
                if row.charges[at].now(now) < 1.0 {
                    row.has[at] = None;
                }
            }
        }
        self.look(now, terms);
        let amounts = terms.limits.iter().enumerate().map(|(at, limit)| {
            let pool = terms.pool(LimitId(at));
            let row = &self.rows[&from];
            let own = row.charges[at].now(now);
            let free = (pool - self.sums[at]).max(0.0);
            // A holder that says what it keeps says what it holds; what can't be is nothing.
            let holds = f64::from(keeps[at]);
            let holds = if holds.is_finite() && (0.0..=pool * 1.001).contains(&holds) { holds } else { 0.0 };
            let inherits = now < self.inherits;
            let amount = match limit.whole {
                Some(_) if inherits => f64::from(u8::from(holds >= 1.0 && own + free >= 1.0)),
                Some(longest) => self.turn(now, from, at, longest, free),
                None if inherits => row.wants[at].min(self.levels[at]).min(own + free).min(holds),
                None => row.wants[at].min(self.levels[at]).min(own + free),
            };
            // Rounded down, so that what is said is never more than what is counted.
            let said = rounded_down(amount);
            self.give(now, from, at, f64::from(said), now + lasts + limit.linger);
            said
        });
        Some(amounts.collect())
    }

    fn give(&mut self, now: Timestamp, to: Life, at: usize, amount: f64, end: Timestamp) {
        let Some(row) = self.rows.get_mut(&to) else { return };
        let before = row.charges[at].now(now);
        row.charges[at].add(now, amount, end);
        self.sums[at] += row.charges[at].now(now) - before;
    }

    /// A turn: kept for so long at most; a free one goes to who has waited longest.
    fn turn(&mut self, now: Timestamp, from: Life, at: usize, longest: Duration, free: f64) -> f64 {
        let row = &self.rows[&from];
        let Some(waits) = row.waits[at] else { return 0.0 };
        if let Some(has) = row.has[at] {
            let over = now - has >= longest;
            if over && let Some(row) = self.rows.get_mut(&from) {
                // To the end of the line.
                (row.waits[at], row.has[at]) = (Some(now), None);
            }
            return if over { 0.0 } else { 1.0 };
        }
        // Who still has one of the last round, or lets it linger, does not get another meanwhile.
        if row.charges[at].now(now) >= 1.0 {
            return 0.0;
        }
        let before = |(life, other): &(&Life, &Row)| {
            **life != from
                && other.has[at].is_none()
                && other.waits[at].is_some_and(|since| (since, **life) < (waits, from))
        };
        let ahead = self.rows.iter().filter(before).count();
        if free < (ahead + 1) as f64 {
            return 0.0;
        }
        if let Some(row) = self.rows.get_mut(&from) {
            row.has[at] = Some(now);
        }
        1.0
    }

    /// Levels and sums, anew.
    fn look(&mut self, now: Timestamp, terms: &Terms) {
        if self.rows.len() > FEW && now - self.looked < EACH {
            return;
        }
        self.looked = now;
        self.forget_old(now, terms);
        for at in 0..terms.limits.len() {
            self.sums[at] = self.given(now, at);
            let heard = self.rows.values().filter(|row| now - row.heard < terms.span);
            self.levels[at] = level(terms.pool(LimitId(at)), heard.map(|row| row.wants[at]).collect());
        }
    }

    /// Those who ask no more and hold nothing; of turns, those who ask no more wait no more.
    fn forget_old(&mut self, now: Timestamp, terms: &Terms) {
        self.rows.retain(|_, row| {
            let silent = now - row.heard >= terms.span.scaled(0.75);
            if silent {
                row.waits.fill(None);
                row.has.fill(None);
            }
            !silent || row.charges.iter().any(|charges| charges.now(now) > 0.0)
        });
    }
}

fn rounded_down(amount: f64) -> f32 {
    let said = amount.max(0.0) as f32;
    if f64::from(said) > amount.max(0.0) { f32::from_bits(said.to_bits().saturating_sub(1)) } else { said }
}

/// The level at which demands, each up to it, fill a pool together; infinite where they all fit.
pub fn level(pool: f64, mut wants: Vec<f64>) -> f64 {
    wants.sort_by(f64::total_cmp);
    let (mut left, mut others) = (pool, wants.len());
    for want in wants {
        if want * others as f64 >= left {
            return left / others as f64;
        }
        left -= want;
        others -= 1;
    }
    f64::INFINITY
}

/// What each would get of a limit with floors, if all were known at once: for comparison.
pub fn level_of(limit: &Limit, most: usize, wants: &[f64]) -> Vec<f64> {
    let floor = limit.total * limit.floor / most.max(1) as f64;
    let beyond: Vec<f64> = wants.iter().map(|want| (want - floor).max(0.0)).collect();
    let level = level(limit.total * (1.0 - limit.floor), beyond.clone());
    beyond.into_iter().map(|want| floor + want.min(level)).collect()
}
