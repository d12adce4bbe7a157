//! Timestamps and durations in whole microseconds. Sums and differences saturate instead of overflowing.

use std::ops::{Add, Sub};

const US_PER_MS: u64 = 1000;
const US_PER_S: f64 = 1e6;

/// A point in time, in microseconds since the zero point of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(u64);

/// A length of time, in microseconds; never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Duration(u64);

impl Timestamp {
    /// Returns the timestamp this many microseconds after the clock's zero point.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Returns the microseconds since the clock's zero point.
    pub const fn us(self) -> u64 {
        self.0
    }

    /// Returns the timestamp earlier by this duration, zero at the earliest.
    pub const fn saturating_sub(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by.0))
    }
}

impl Duration {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// Returns a duration of this many microseconds.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Returns a duration of this many milliseconds.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * US_PER_MS)
    }

    /// Returns a duration of this many seconds, truncated to whole microseconds. Negative numbers give zero,
    /// infinity gives the longest duration.
    pub fn from_secs(secs: f64) -> Self {
        Self((secs * US_PER_S) as u64)
    }

    /// Returns the duration in microseconds.
    pub const fn us(self) -> u64 {
        self.0
    }

    /// Returns the duration in seconds.
    pub const fn secs(self) -> f64 {
        self.0 as f64 / US_PER_S
    }

    /// Returns the duration times a factor, truncated to whole microseconds.
    pub fn scaled(self, by: f64) -> Self {
        Self((self.0 as f64 * by) as u64)
    }
}

/// A monotonic timeline of Unix timestamps. It starts at the Unix time of its creation and advances evenly
/// even if the Unix clock is set. Timestamps from other machines are placed on it by their age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timeline {
    start: Timestamp,
}

impl Timeline {
    /// Creates a timeline that starts now, at this Unix time.
    pub fn new(unix_now: Timestamp) -> Self {
        Self { start: unix_now }
    }

    /// Returns the timestamp at which this time has elapsed since the start on a monotonic clock.
    pub fn at(self, elapsed: Duration) -> Timestamp {
        self.start + elapsed
    }

    /// Converts a timestamp of the Unix clock to the timeline by its age, where `unix_now` is the present
    /// time of the Unix clock and `now` that of the timeline.
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

/// Returns the time from `rhs` to `self`, zero if `rhs` is later.
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
