//! Selects the broker to connect to and the time of the connection attempt.
//!
//! Input: the results of connection attempts. Output: an address and the time of the next attempt. All
//! instances of a fleet lose a broker at the same moment, so every attempt is delayed at random; the spread
//! scales the delay.

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use std::net::SocketAddr;

/// Number of failures in a row after which a broker is avoided.
const MAX_FAILURES: u32 = 3;
/// Time for which a broker is avoided at first; it doubles with each further time.
const MIN_AVOIDED: Duration = Duration::from_ms(15_000);
/// Maximum time for which a broker is avoided.
const MAX_AVOIDED: Duration = Duration::from_ms(240_000);
/// Maximum delay of an attempt during shutdown, when replies are still to be published.
const MAX_SHUTDOWN_DELAY: Duration = Duration::from_ms(200);
/// Duration of a connection after which earlier failures of the broker no longer count.
const STABLE_CONNECTION: Duration = Duration::from_ms(5000);
/// Fraction of the spread that is added to the random delay of every attempt but the first one after a lost
/// connection.
const REPEATED_ATTEMPT_OFFSET: f64 = 0.5;

#[derive(Clone, Debug)]
struct Broker {
    address: SocketAddr,
    failures: u32,
    avoided_for: Duration,
    avoided_until: Timestamp,
}

impl Broker {
    fn new(address: SocketAddr) -> Self {
        Self { address, failures: 0, avoided_for: Duration::ZERO, avoided_until: Timestamp::default() }
    }

    fn record_failure(&mut self, now: Timestamp, refused: bool) {
        self.failures += 1;
        if refused || self.failures >= MAX_FAILURES {
            self.failures = 0;
            self.avoided_for = (self.avoided_for + self.avoided_for).clamp(MIN_AVOIDED, MAX_AVOIDED);
            self.avoided_until = now + self.avoided_for;
        }
    }

    fn reset(&mut self) {
        (self.failures, self.avoided_for) = (0, Duration::ZERO);
    }
}

/// Brokers in order of preference, with their recent failures and the time of the next attempt.
#[derive(Clone, Debug)]
pub struct BrokerSelector {
    brokers: Vec<Broker>,
    selected: usize,
    random: Pcg,
    spread: Duration,
    next_attempt: Timestamp,
    connected_since: Option<Timestamp>,
}

impl BrokerSelector {
    /// Creates a selector over at least one address, in order of preference. `spread` is the maximum delay
    /// after a lost connection and the mean delay between later attempts.
    pub fn new(addresses: &[SocketAddr], spread: Duration, seed: u64, now: Timestamp) -> Self {
        Self {
            brokers: addresses.iter().copied().map(Broker::new).collect(),
            selected: 0,
            random: Pcg::new(seed),
            spread,
            next_attempt: now,
            connected_since: None,
        }
    }

    /// Replaces the addresses and returns whether the selected one was removed. The failures of brokers that
    /// stay are kept.
    pub fn replace_addresses(&mut self, now: Timestamp, addresses: &[SocketAddr]) -> bool {
        let current = self.address();
        let known = std::mem::take(&mut self.brokers);
        let find = |address: SocketAddr| known.iter().find(|broker| broker.address == address).cloned();
        let broker = |address: &SocketAddr| find(*address).unwrap_or_else(|| Broker::new(*address));
        self.brokers = addresses.iter().map(broker).collect();
        self.selected = self.brokers.iter().position(|broker| broker.address == current).unwrap_or(0);
        let removed = self.address() != current;
        if removed {
            (self.connected_since, self.next_attempt) = (None, now);
        }
        removed
    }

    /// Returns the address of the selected broker.
    pub fn address(&self) -> SocketAddr {
        self.brokers[self.selected].address
    }

    /// Returns the time of the next attempt to connect to `address`.
    pub fn next_attempt(&self) -> Timestamp {
        self.next_attempt
    }

    /// Limits the delay of the next attempt to `MAX_SHUTDOWN_DELAY`, for a shutdown with replies still to be
    /// published.
    pub fn shorten_delay(&mut self, now: Timestamp) {
        let delay = MAX_SHUTDOWN_DELAY.scaled(self.random.draw_fraction());
        self.next_attempt = self.next_attempt.min(now + delay);
    }

    /// Records that the connection to the selected broker is open.
    pub fn connected(&mut self, now: Timestamp) {
        self.connected_since = Some(now);
    }

    /// Records that an attempt failed or a connection ended, schedules the next attempt, and returns whether
    /// another broker is selected now. `refused` tells that the broker rejected the login or the settings, so
    /// that an early retry cannot succeed.
    pub fn connection_failed(&mut self, now: Timestamp, refused: bool) -> bool {
        let connected_since = self.connected_since.take();
        let stable = connected_since.is_some_and(|since| now - since >= STABLE_CONNECTION);
        let broker = &mut self.brokers[self.selected];
        if stable && !refused {
            broker.reset();
        } else {
            broker.record_failure(now, refused);
        }
        let previous = self.selected;
        self.selected = self.most_preferred(now);
        self.schedule_attempt(now, connected_since.is_some(), refused);
        self.selected != previous
    }

    /// Returns the index of the first broker that is not avoided, else of the one that is avoided for the
    /// shortest time from now.
    fn most_preferred(&self, now: Timestamp) -> usize {
        let usable = self.brokers.iter().position(|broker| broker.avoided_until <= now);
        let soonest = || (0..self.brokers.len()).min_by_key(|index| self.brokers[*index].avoided_until);
        usable.or_else(soonest).unwrap_or(0)
    }

    /// Schedules the next attempt. The first one after a lost connection is delayed by zero to one spread.
    /// Later ones are delayed by half a spread to one and a half: if their delays also began at zero, the
    /// first and second attempts of a fleet would reach the broker in the same period.
    fn schedule_attempt(&mut self, now: Timestamp, was_connected: bool, refused: bool) {
        let offset = if was_connected { 0.0 } else { REPEATED_ATTEMPT_OFFSET };
        let delay = self.spread.scaled(self.random.draw_fraction() + offset);
        // After a refusal the selected broker is not tried while it is avoided, even if all brokers are
        // avoided.
        let from = if refused { now.max(self.brokers[self.selected].avoided_until) } else { now };
        self.next_attempt = from + delay;
    }
}
