//! Assigns each server a time slot for an action that all servers want to take while they cannot
//! communicate. The slots divide a common period of the wall clock. A server's slot is a hash of its name
//! and the number of the period, so no server is last every time.
//!
//! Slots spread load but give no mutual exclusion: two servers may get the same slot, and clock skew shifts
//! slots. Mutual exclusion needs a lease (`quota`).

use crate::hash::hash;
use crate::names::MemberName;
use hazelspur::{Duration, Timestamp};

/// Shortest period of a schedule.
const MIN_PERIOD: Duration = Duration::from_ms(1);
/// Lowest rate of a schedule, per second; lower requested rates are raised to it.
const MIN_RATE_PER_SECOND: f64 = 1e-6;

/// A schedule with one slot for each server that may exist, in a period in which all servers together act
/// at the requested rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotSchedule {
    /// Length of the period that all slots divide.
    pub period: Duration,
    /// Number of slots in a period.
    pub slots: u64,
}

impl SlotSchedule {
    /// Creates a schedule for up to `max_servers`, which together act `rate_per_second` times a second. The
    /// period is `max_period` at most, which may raise the rate.
    pub fn new(max_servers: usize, rate_per_second: f64, max_period: Duration) -> Self {
        let slots = max_servers.max(1);
        let period = Duration::from_secs(slots as f64 / rate_per_second.max(MIN_RATE_PER_SECOND));
        Self { period: period.min(max_period).max(MIN_PERIOD), slots: slots as u64 }
    }

    /// Returns the start of the next slot of `server` for `topic`, at or after `now` by the wall clock and
    /// within two periods. `topic` names the subject of the action, such as the shared dependency.
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
