//! Points in time and spans, both in whole microseconds; only sums that make sense compile.

use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(u64);

impl Timestamp {
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }
    pub const fn us(self) -> u64 {
        self.0
    }
    pub const fn back(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by.0))
    }
}

impl Duration {
    pub const ZERO: Self = Self(0);
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * 1000)
    }
    pub fn from_secs(secs: f64) -> Self {
        Self((secs * 1e6) as u64)
    }
    pub const fn us(self) -> u64 {
        self.0
    }
    pub const fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    pub fn scaled(self, by: f64) -> Self {
        Self((self.0 as f64 * by) as u64)
    }
}

/// Moments of the Unix clock on a line that goes on evenly, whoever sets that clock: waits, windows and limits
/// go by the line, which begins at the Unix time of its making; what others stamp is laid on it by its age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    began: Timestamp,
}

impl Timeline {
    pub fn new(unix: Timestamp) -> Self {
        Self { began: unix }
    }

    /// So long after its making by a clock that nobody sets.
    pub fn at(self, since: Duration) -> Timestamp {
        self.began + since
    }

    /// Where a stamp of the Unix clock stands, when that clock says `unix` and the line `now`.
    pub fn stamped(now: Timestamp, unix: Timestamp, stamp: Timestamp) -> Timestamp {
        if stamp > unix { now + (stamp - unix) } else { now.back(unix - stamp) }
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, by: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(by.0))
    }
}

/// The span from `rhs` to `self`; zero when `rhs` is the later one.
impl Sub for Timestamp {
    type Output = Duration;
    fn sub(self, rhs: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(rhs.0))
    }
}

impl Add for Duration {
    type Output = Duration;
    fn add(self, by: Duration) -> Duration {
        Duration(self.0.saturating_add(by.0))
    }
}

impl Sub for Duration {
    type Output = Duration;
    fn sub(self, by: Duration) -> Duration {
        Duration(self.0.saturating_sub(by.0))
    }
}
