//! Gateways with habits: requests come by chance (a Poisson process), go to listed servers in turn or by what they
//! are about, and are tried again where they are refused.

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};

/// How a gateway treats rejected requests.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// Tries after the first.
    pub retries: u32,
    /// A refused request goes on to the next server; otherwise it is over.
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

/// A request as its client sees it.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub gateway: usize,
    pub request_class: usize,
    pub begun: Timestamp,
    pub due: Timestamp,
    pub work: f64,
    pub left: u32,
}

/// All gateways and their arrival process.
pub struct Gateways {
    pub count: usize,
    pub rate: f64,
    pub timeout: Duration,
    /// Mean seconds of work of each request class.
    pub work: Vec<f64>,
    /// Servers there may be.
    all: usize,
    turn: usize,
    /// The same among the first ones only.
    first_turn: usize,
}

impl Gateways {
    /// Gateways that send `rate` requests a second in all.
    pub fn new(count: usize, all: usize, rate: f64, timeout: Duration, work: Vec<f64>) -> Self {
        Self { count, rate, timeout, work, all, turn: 0, first_turn: 0 }
    }

    /// Draws the time until the next request.
    pub fn gap(&self, chance: &mut Pcg) -> Duration {
        Duration::from_secs(-(1.0 - chance.draw_fraction()).ln() / self.rate.max(1e-9))
    }

    /// Draws the next request.
    pub fn next(&mut self, now: Timestamp, chance: &mut Pcg) -> Asked {
        let gateway = chance.draw() as usize % self.count;
        let request_class = chance.draw() as usize % self.work.len();
        let work = self.work[request_class] * (0.5 + chance.draw_fraction());
        let due = now + self.timeout;
        Asked { gateway, request_class, begun: now, due, work, left: Habits::of(gateway).retries }
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
