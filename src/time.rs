//! Timestamps and durations in whole microseconds. Sums and differences saturate instead of overflowing.

use std::ops::{Add, Sub};

/// Microseconds of a millisecond.
const US_PER_MS: u64 = 1000;
/// Microseconds of a second.
const US_PER_S: f64 = 1e6;

/// A point in time, in microseconds of the clock that the host uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

/// A length of time, in microseconds; never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(u64);

impl Timestamp {
    /// The timestamp this many microseconds after zero.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Microseconds since zero.
    pub const fn us(self) -> u64 {
        self.0
    }

    /// The timestamp this much earlier; zero at the earliest.
    pub const fn saturating_sub(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by.0))
    }
}

impl Duration {
    /// No time at all.
    pub const ZERO: Self = Self(0);

    /// A duration of whole microseconds.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// A duration of whole milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * US_PER_MS)
    }

    /// A duration in seconds, cut to whole microseconds; zero for a negative number, the longest for
    /// infinity.
    pub fn from_secs(secs: f64) -> Self {
        Self((secs * US_PER_S) as u64)
    }

    /// Whole microseconds.
    pub const fn us(self) -> u64 {
        self.0
    }

    /// Seconds.
    pub const fn secs(self) -> f64 {
        self.0 as f64 / US_PER_S
    }

    /// This duration times a factor, cut to whole microseconds.
    pub fn scaled(self, by: f64) -> Self {
        Self((self.0 as f64 * by) as u64)
    }
}

/// A monotonic timeline of Unix timestamps. It starts at the Unix time of its creation and advances evenly,
/// whoever sets the Unix clock; timestamps of others are placed on it by their age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    start: Timestamp,
}

impl Timeline {
    /// A timeline that starts now, at this Unix time.
    pub fn new(unix_now: Timestamp) -> Self {
        Self { start: unix_now }
    }

    /// The timestamp after this time on a monotonic clock.
    pub fn at(self, elapsed: Duration) -> Timestamp {
        self.start + elapsed
    }

    /// Places a timestamp of the Unix clock on the timeline, when that clock shows `unix_now` and the timeline
    /// `now`.
    pub fn convert_unix(now: Timestamp, unix_now: Timestamp, timestamp: Timestamp) -> Timestamp {
        if timestamp > unix_now {
            now + (timestamp - unix_now)
        } else {
            now.saturating_sub(unix_now - timestamp)
        }
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, by: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(by.0))
    }
}

/// The time from `rhs` to `self`; zero when `rhs` is the later one.
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
