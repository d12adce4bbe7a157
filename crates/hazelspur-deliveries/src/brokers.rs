//! Which broker to go to and when. All instances of a fleet lose a broker in the same moment, so even the first
//! try waits by chance; the spread is what keeps any second from seeing more than its share of them.

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use std::net::SocketAddr;

/// Tries without success before a broker is given up for a while.
const TRIES: u32 = 3;
/// How long a broker that was given up is passed over, doubled each time up to a bound.
const SHUN: Duration = Duration::from_ms(15_000);
const LONGEST_SHUN: Duration = Duration::from_ms(240_000);
/// The longest wait of one that is leaving and has results to bring.
const HURRY: Duration = Duration::from_ms(200);
/// A connection that lasted so long counts as good: what was held against its broker is forgotten.
const GOOD: Duration = Duration::from_ms(5000);

#[derive(Clone, Debug)]
struct Broker {
    address: SocketAddr,
    failures: u32,
    shun: Duration,
    shunned_until: Timestamp,
}

#[derive(Clone, Debug)]
pub struct Brokers {
    brokers: Vec<Broker>,
    at: usize,
    chance: Pcg,
    spread: Duration,
    next_try: Timestamp,
    up_since: Option<Timestamp>,
}

impl Brokers {
    /// In the order of preference. `spread` is the longest wait after a loss, and the usual one between tries: in
    /// each second about its inverse of all instances come.
    pub fn new(addresses: &[SocketAddr], spread: Duration, seed: u64, now: Timestamp) -> Self {
        let mut this = Self {
            brokers: Vec::new(),
            at: 0,
            chance: Pcg::new(seed),
            spread,
            next_try: now,
            up_since: None,
        };
        this.set(addresses);
        this
    }

    fn set(&mut self, addresses: &[SocketAddr]) {
        let fresh = |address: &SocketAddr| Broker {
            address: *address,
            failures: 0,
            shun: Duration::ZERO,
            shunned_until: Timestamp::default(),
        };
        let known = std::mem::take(&mut self.brokers);
        let kept = |address: &SocketAddr| known.iter().find(|b| b.address == *address).cloned();
        self.brokers =
            addresses.iter().map(|address| kept(address).unwrap_or_else(|| fresh(address))).collect();
    }

    /// Other addresses hold from now on; true where the present one is no longer among them.
    pub fn move_to(&mut self, now: Timestamp, addresses: &[SocketAddr]) -> bool {
        let present = self.address();
        self.set(addresses);
        self.at = self.brokers.iter().position(|b| b.address == present).unwrap_or(0);
        let left = self.address() != present;
        if left {
            (self.up_since, self.next_try) = (None, now);
        }
        left
    }

    pub fn address(&self) -> SocketAddr {
        self.brokers[self.at].address
    }

    /// When `address` is to be tried.
    pub fn next_try(&self) -> Timestamp {
        self.next_try
    }

    /// There is little time left: the next try is at once, or nearly.
    pub fn hurry(&mut self, now: Timestamp) {
        self.next_try = self.next_try.min(now + HURRY.scaled(self.chance.unit()));
    }

    pub fn up(&mut self, now: Timestamp) {
        self.up_since = Some(now);
    }

    /// A try failed, or a connection ended. `refused`: the broker said that it won't have us, so that more tries
    /// are no use for now. Says whether another broker's turn has come.
    pub fn lost(&mut self, now: Timestamp, refused: bool) -> bool {
        let was_up = self.up_since.is_some();
        let lasted = self.up_since.take().is_some_and(|since| now - since >= GOOD);
        let broker = &mut self.brokers[self.at];
        if lasted && !refused {
            (broker.failures, broker.shun) = (0, Duration::ZERO);
        } else {
            broker.failures += 1;
        }
        if refused || broker.failures >= TRIES {
            broker.failures = 0;
            broker.shun = (broker.shun + broker.shun).clamp(SHUN, LONGEST_SHUN);
            broker.shunned_until = now + broker.shun;
        }
        let before = self.at;
        let open = self.brokers.iter().position(|b| b.shunned_until <= now);
        let soonest = || (0..self.brokers.len()).min_by_key(|i| self.brokers[*i].shunned_until);
        self.at = open.or_else(soonest).unwrap_or(0);
        // The first try after a loss is spread from now on; those that follow are a spread apart on average, since
        // waits from nothing on would make two waves of one.
        let wait = self.spread.scaled(self.chance.unit() + if was_up { 0.0 } else { 0.5 });
        // Where all are given up the one longest ago is tried all the same, but for one that won't have us.
        let from = if refused { now.max(self.brokers[self.at].shunned_until) } else { now };
        self.next_try = from + wait;
        self.at != before
    }
}
