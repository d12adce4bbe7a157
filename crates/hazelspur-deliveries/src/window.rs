//! How many deliveries may be unsettled here. What is not taken waits in the queue at no cost, so a pull front
//! takes little when requests are turned away, on whichever front.

use hazelspur::{Duration, Timestamp};

/// A cycle is at least so long and holds an outcome.
const CYCLE: Duration = Duration::from_ms(500);
/// The window begins with this, and rises by such parts after a cycle without nacks in which it was used up: fast
/// until the first nack and once there were none for so many cycles, else slowly, since each rise is a question
/// that gateways' requests may have to answer.
const FIRST: f64 = 2.0;
const FAST: f64 = 1.25;
const SLOW: f64 = 1.05;
const CALM: u32 = 20;
/// A share nacked up to this is no sign of pressure.
const SOME: f64 = 0.005;
/// How hard the share nacked divides: all nacked leave a seventh.
const DIVIDES: f64 = 6.0;
/// The least part of the time in which a delivery is in hand.
const LEAST: f64 = 1.0 / 64.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Always the most.
    Fixed,
    /// What the module has room for beside what is in hand.
    Room,
    /// Rises step by step, is divided by the share nacked; under 1 it is the part of the time in which one
    /// delivery is in hand.
    Step,
}

#[derive(Clone, Debug)]
pub struct Window {
    rule: Rule,
    most: u16,
    size: f64,
    began: Timestamp,
    acked: u32,
    nacked: u32,
    used_up: bool,
    /// Cycles without nacks since the last with some; as good as calm before the first.
    calm: u32,
}

impl Window {
    pub fn new(rule: Rule, most: u16, now: Timestamp) -> Self {
        let size = if rule == Rule::Fixed { f64::from(most) } else { FIRST.min(f64::from(most)) };
        Self { rule, most, size, began: now, acked: 0, nacked: 0, used_up: false, calm: CALM }
    }

    /// A request of any front was answered.
    pub fn outcomes(&mut self, acked: u32, nacked: u32) {
        self.acked += acked;
        self.nacked += nacked;
    }

    /// So many deliveries are unsettled now.
    pub fn open(&mut self, count: usize) {
        self.used_up |= self.size < 1.0 || count as f64 >= self.size.floor();
    }

    /// The window, where it differs from before. `room` is how many more requests the module could take.
    pub fn next(&mut self, now: Timestamp, room: f64) -> Option<u16> {
        if now - self.began < CYCLE || (self.acked + self.nacked == 0 && self.rule == Rule::Step) {
            return None;
        }
        let before = self.size();
        let nacked = f64::from(self.nacked) / f64::from((self.acked + self.nacked).max(1));
        self.size = match self.rule {
            Rule::Fixed => self.size,
            Rule::Room => room.floor(),
            Rule::Step if nacked > SOME => {
                self.calm = 0;
                self.size / (1.0 + DIVIDES * nacked)
            }
            Rule::Step => {
                self.calm = self.calm.saturating_add(1);
                let rise = if self.calm > CALM { FAST } else { SLOW };
                if self.used_up { self.size * rise } else { self.size }
            }
        }
        .clamp(if self.rule == Rule::Step { LEAST } else { 1.0 }, f64::from(self.most));
        (self.began, self.acked, self.nacked, self.used_up) = (now, 0, 0, false);
        (self.size() != before).then(|| self.size())
    }

    pub fn size(&self) -> u16 {
        self.size.max(1.0) as u16
    }

    /// The part of the time in which a delivery may be in hand; 1 from a window of 1 on.
    pub fn duty(&self) -> f64 {
        self.size.min(1.0)
    }
}
