//! When a server may do what all want to do, where servers can't talk: slots of a common period of the wall
//! clock. Which slot is a server's own follows from its name and the number of the period, so that nobody is
//! last every time. It is a spread and no exclusion: two may draw one slot, and clocks that are apart shift
//! theirs. Who must be alone takes a token (`shares`).

use crate::hash::hash;
use crate::names::MemberName;
use hazelspur::{Duration, Timestamp};

/// As many slots as there may be servers, in a period that is long enough for all at the rate that is wanted,
/// and no longer than anybody may have to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round {
    pub period: Duration,
    pub slots: u64,
}

impl Round {
    /// For up to `most` servers, `per_second` of all together as far as a period of at most `longest` allows.
    pub fn new(most: usize, per_second: f64, longest: Duration) -> Self {
        let most = most.max(1);
        let wanted = Duration::from_secs(most as f64 / per_second.max(1e-6));
        Self { period: wanted.min(longest).max(Duration::from_ms(1)), slots: most as u64 }
    }

    /// When `me` has its next turn at `what`, at or after `now` by the wall clock; after less than two
    /// periods.
    pub fn next(&self, me: MemberName, what: &str, now: Timestamp) -> Timestamp {
        let number = now.us() / self.period.us();
        let turn = |number: u64| {
            let slot = hash(what, me.as_str(), number) % self.slots;
            Timestamp::from_us(number * self.period.us() + self.period.us() * slot / self.slots)
        };
        let this = turn(number);
        if this >= now { this } else { turn(number + 1) }
    }
}
