//! The clocks of the process.
//!
//! `now` is the one to wait and to calculate by: it starts at the Unix time of the process's start and advances
//! evenly, so that setting the system clock changes no timeout, window or deadline. `wall` is the Unix clock as
//! other servers see it, never going back. `monotonic` has no relation to the time of day.

use hazelspur::{Duration, Timeline, Timestamp};
use std::cell::{Cell, OnceCell};
use std::time::{Duration as StdDuration, Instant, SystemTime, UNIX_EPOCH};

/// What `Clock::monotonic` shows at first: above zero, so that earlier times exist.
const MONOTONIC_START: Timestamp = Timestamp::from_us(1_000_000);
/// Microseconds in a millisecond.
const US_PER_MS: i64 = 1000;

/// When a clock was first read.
struct Origin {
    instant: Instant,
    /// Starts at the Unix time of that instant.
    timeline: Timeline,
}

impl Origin {
    fn elapsed(&self) -> Duration {
        Duration::from_us(self.instant.elapsed().as_micros() as u64)
    }
}

/// The clocks of one process.
#[derive(Default)]
pub struct Clock {
    last_wall: Cell<Timestamp>,
    wall_offset_ms: Cell<i64>,
    origin: OnceCell<Origin>,
}

impl Clock {
    fn origin(&self) -> &Origin {
        self.origin.get_or_init(|| Origin { instant: Instant::now(), timeline: Timeline::new(self.unix()) })
    }

    /// The time to wait and to calculate by.
    pub fn now(&self) -> Timestamp {
        let origin = self.origin();
        origin.timeline.at(origin.elapsed())
    }

    /// The time by `now` of something that another machine stamped with its Unix clock.
    pub fn local_time_of(&self, stamp: Timestamp) -> Timestamp {
        Timeline::stamped(self.now(), self.unix(), stamp)
    }

    /// The Unix time; never earlier than at the last call.
    pub fn wall(&self) -> Timestamp {
        let wall = self.unix().max(self.last_wall.get());
        self.last_wall.set(wall);
        wall
    }

    fn unix(&self) -> Timestamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_us = self.wall_offset_ms.get().saturating_mul(US_PER_MS);
        let now_us = (since.as_micros() as i64).saturating_add(offset_us);
        Timestamp::from_us(now_us.max(0) as u64)
    }

    /// The time since the clock was first read.
    pub fn monotonic(&self) -> Timestamp {
        MONOTONIC_START + self.origin().elapsed()
    }

    /// Sets the Unix clock apart from the system's, before it is first read.
    pub fn set_wall_offset_ms(&self, ms: i64) {
        self.wall_offset_ms.set(ms);
    }

    /// Sleeps until a time by `now`.
    pub async fn sleep_until(&self, at: Timestamp) {
        // Timers may be a little early by this clock.
        while self.now() < at {
            sleep(at - self.now()).await;
        }
    }
}

/// Sleeps for this long.
pub async fn sleep(duration: Duration) {
    tokio::time::sleep(to_std(duration)).await;
}

/// The standard library's form of a duration.
pub fn to_std(duration: Duration) -> StdDuration {
    StdDuration::from_micros(duration.us())
}
