//! Gateways with habits: ops come by chance (a Poisson process), go to listed servers in turn or by what they
//! are about, and are tried again where they are refused.

use hazelspur::pcg::Pcg;
use hazelspur::{Moment, Span};

#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// Tries after the first.
    pub retries: u32,
    /// A refused op goes on to the next server; otherwise it is over.
    pub walk_on: bool,
    /// It stays away as long as it is told to.
    pub heed: bool,
}

impl Habits {
    /// A mixture, by the gateway's number.
    pub fn of(gateway: usize) -> Self {
        Self {
            retries: [0, 1, 2, 4][gateway % 4],
            walk_on: !gateway.is_multiple_of(3),
            heed: gateway % 4 < 2,
        }
    }
}

/// An op as its client sees it.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub gateway: usize,
    pub op_type: usize,
    pub begun: Moment,
    pub due: Moment,
    pub work: f64,
    pub left: u32,
}

pub struct Gateways {
    pub count: usize,
    pub rate: f64,
    pub timeout: Span,
    /// Mean seconds of work of each op type.
    pub work: Vec<f64>,
    /// Servers there may be.
    all: usize,
    turn: usize,
    /// The same among the first ones only.
    first_turn: usize,
}

impl Gateways {
    pub fn new(count: usize, all: usize, rate: f64, timeout: Span, work: Vec<f64>) -> Self {
        Self { count, rate, timeout, work, all, turn: 0, first_turn: 0 }
    }

    pub fn gap(&self, chance: &mut Pcg) -> Span {
        Span::from_secs(-(1.0 - chance.unit()).ln() / self.rate.max(1e-9))
    }

    pub fn next(&mut self, now: Moment, chance: &mut Pcg) -> Asked {
        let gateway = chance.draw() as usize % self.count;
        let op_type = chance.draw() as usize % self.work.len();
        let work = self.work[op_type] * (0.5 + chance.unit());
        let due = now + self.timeout;
        Asked { gateway, op_type, begun: now, due, work, left: Habits::of(gateway).retries }
    }

    /// The next listed server in turn among the first `servers`, other than the one that was just tried.
    pub fn pick(
        &mut self,
        servers: usize,
        not: Option<usize>,
        shows: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let turn = if servers == self.all { &mut self.turn } else { &mut self.first_turn };
        for _ in 0..servers {
            *turn = (*turn + 1) % servers;
            if Some(*turn) != not && shows(*turn) {
                return Some(*turn);
            }
        }
        None
    }
}
