//! Decides when each server may do what all want to do while servers cannot talk: slots of a common period of
//! the wall clock. A server's slot follows from its name and the number of the period, so no server is last
//! every time.
//!
//! This spreads load and excludes nobody: two servers may draw the same slot, and clock skew shifts slots.
//! Mutual exclusion needs a lease (`quota`).

use crate::hash::hash;
use crate::names::MemberName;
use hazelspur::{Duration, Timestamp};

/// Shortest period of a schedule.
const MIN_PERIOD: Duration = Duration::from_ms(1);
/// Lowest rate that a schedule accepts, per second.
const MIN_RATE_PER_SECOND: f64 = 1e-6;

/// As many slots as there may be servers, in a period that gives all servers together the requested rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotSchedule {
    /// Length of the period that all slots divide.
    pub period: Duration,
    /// Number of slots in a period.
    pub slots: u64,
}

impl SlotSchedule {
    /// A schedule for up to `max_servers` with `rate_per_second` of all together, as far as `max_period`
    /// allows.
    pub fn new(max_servers: usize, rate_per_second: f64, max_period: Duration) -> Self {
        let slots = max_servers.max(1);
        let period = Duration::from_secs(slots as f64 / rate_per_second.max(MIN_RATE_PER_SECOND));
        Self { period: period.min(max_period).max(MIN_PERIOD), slots: slots as u64 }
    }

    /// When `server` has its next slot for `topic`, at or after `now` by the wall clock; within two periods.
    pub fn next_slot(&self, server: MemberName, topic: &str, now: Timestamp) -> Timestamp {
        let current = now.us() / self.period.us();
        let slot = self.slot_start(server, topic, current);
        if slot >= now { slot } else { self.slot_start(server, topic, current + 1) }
    }

    fn slot_start(&self, server: MemberName, topic: &str, period_number: u64) -> Timestamp {
        let slot = hash(topic, server.as_str(), period_number) % self.slots;
        let period = self.period.us();
        Timestamp::from_us(period_number * period + period * slot / self.slots)
    }
}
