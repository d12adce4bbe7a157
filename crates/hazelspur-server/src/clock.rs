//! Clocks of the process, and sleeps and timeouts that use them.
//!
//! `now` starts at the Unix time of the process's start and advances evenly, so that setting the system clock
//! changes no timeout, window or deadline. `wall` is the Unix time that is compared with other servers, and
//! never goes back. `monotonic` has no relation to the time of day.
//!
//! `input_watermark` is the time up to which all input has been read and reported; the event loop advances
//! it. Invariant: no timeout ends and no decision is made for a time later than the watermark. A result that
//! is in a socket when its deadline passes therefore meets the deadline, also if the process was suspended
//! meanwhile. Receipts and permissions to run use `now` instead, and leases `monotonic`, so that whatever
//! arrives late counts as late.

use hazelspur::{Duration, Timeline, Timestamp};
use std::cell::{Cell, OnceCell};
use std::time::{Duration as StdDuration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::sync::Notify;

/// Initial value of `Clock::monotonic`, above zero so that earlier times can be represented.
const MONOTONIC_START: Timestamp = Timestamp::from_us(1_000_000);
/// Number of microseconds in a millisecond.
const US_PER_MS: i64 = 1000;

/// Time at which a clock was first read.
struct Origin {
    instant: Instant,
    /// Timeline of `Clock::now`, which starts at the Unix time of that instant.
    timeline: Timeline,
}

impl Origin {
    fn elapsed(&self) -> Duration {
        Duration::from_us(self.instant.elapsed().as_micros() as u64)
    }
}

/// Error of a future that was not complete before its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("timeout expired before the operation completed")]
pub struct TimedOut;

/// Time up to which all input has been read and reported, and the tasks that wait for it.
#[derive(Default)]
struct InputWatermark {
    /// Time at which the current turn of the event loop began.
    turn_start: Cell<Timestamp>,
    /// Watermark: the start of the latest turn whose input has been reported.
    time: Cell<Timestamp>,
    /// Number of turns whose input has been reported; wraps around.
    completed_turns: Cell<u64>,
    /// Number of tasks that wait for the watermark.
    waiter_count: Cell<usize>,
    advance_notification: Notify,
}

/// Registration of a task that waits for the watermark, which ends when it is dropped.
struct WatermarkWaiter<'a>(&'a Cell<usize>);

impl<'a> WatermarkWaiter<'a> {
    fn register(waiter_count: &'a Cell<usize>) -> Self {
        waiter_count.set(waiter_count.get() + 1);
        Self(waiter_count)
    }
}

impl Drop for WatermarkWaiter<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Clocks of one process.
#[derive(Default)]
pub struct Clock {
    /// Last value of `wall`.
    last_wall: Cell<Timestamp>,
    /// Difference between this process's Unix clock and the system clock, in milliseconds.
    wall_offset_ms: i64,
    origin: OnceCell<Origin>,
    watermark: InputWatermark,
}

impl Clock {
    /// Creates clocks whose Unix clock is ahead of the system clock by `wall_offset_ms` milliseconds, which
    /// may be negative.
    pub fn with_wall_offset_ms(wall_offset_ms: i64) -> Self {
        Self { wall_offset_ms, ..Self::default() }
    }

    fn origin(&self) -> &Origin {
        self.origin.get_or_init(|| Origin { instant: Instant::now(), timeline: Timeline::new(self.unix()) })
    }

    /// Returns the current time, by which receipts, sendings and starts are timed.
    pub fn now(&self) -> Timestamp {
        let origin = self.origin();
        origin.timeline.at(origin.elapsed())
    }

    /// Converts a Unix timestamp of another machine to the timeline of `now`.
    pub fn local_time_of(&self, stamp: Timestamp) -> Timestamp {
        Timeline::convert_unix(self.now(), self.unix(), stamp)
    }

    /// Returns the Unix time, which is never earlier than at the last call.
    pub fn wall(&self) -> Timestamp {
        let wall = self.unix().max(self.last_wall.get());
        self.last_wall.set(wall);
        wall
    }

    fn unix(&self) -> Timestamp {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset_us = self.wall_offset_ms.saturating_mul(US_PER_MS);
        let now_us = (since_epoch.as_micros() as i64).saturating_add(offset_us);
        Timestamp::from_us(now_us.max(0) as u64)
    }

    /// Returns the time since the clock was first read, plus `MONOTONIC_START`.
    pub fn monotonic(&self) -> Timestamp {
        MONOTONIC_START + self.origin().elapsed()
    }

    /// Returns the time up to which all input has been read and reported.
    pub fn input_watermark(&self) -> Timestamp {
        self.watermark.time.get()
    }

    /// Returns the Unix time at the input watermark.
    pub fn wall_at_watermark(&self) -> Timestamp {
        let wall = self.wall();
        wall.saturating_sub(self.now() - self.input_watermark())
    }

    /// Returns the time at which the current turn of the event loop began. Input that the tasks read in the
    /// turn may have arrived later.
    pub fn turn_start(&self) -> Timestamp {
        self.watermark.turn_start.get()
    }

    /// Returns the number of turns of the event loop whose input has been reported; it wraps around.
    pub fn completed_turns(&self) -> u64 {
        self.watermark.completed_turns.get()
    }

    /// Begins a turn. The poll of the driver that follows must find all input that has arrived before this
    /// call.
    pub(crate) fn begin_turn(&self) {
        self.watermark.turn_start.set(self.now());
    }

    /// Advances the watermark to the start of the current turn, once all input that had arrived by then is
    /// reported.
    pub(crate) fn advance_watermark(&self) {
        self.watermark.time.set(self.turn_start());
        self.watermark.completed_turns.set(self.watermark.completed_turns.get().wrapping_add(1));
        self.watermark.advance_notification.notify_waiters();
    }

    /// Returns whether any task waits for the watermark to advance.
    pub(crate) fn watermark_is_awaited(&self) -> bool {
        self.watermark.waiter_count.get() > 0
    }

    /// Waits until all input that a turn of the event loop has found is reported. Completes within that turn.
    pub async fn input_reported(&self) {
        let _waiter = WatermarkWaiter::register(&self.watermark.waiter_count);
        self.watermark.advance_notification.notified().await;
        // If this task is polled only after the next turn has begun, it waits for that turn too.
        while self.input_watermark() < self.turn_start() {
            self.watermark.advance_notification.notified().await;
        }
    }

    /// Sleeps until `now` reaches a time, and until all input that had arrived by then is reported.
    pub async fn sleep_until(&self, at: Timestamp) {
        // Timers of the runtime may fire slightly too early by this clock.
        while self.now() < at {
            pause(at - self.now()).await;
        }
        let _waiter = WatermarkWaiter::register(&self.watermark.waiter_count);
        while self.input_watermark() < at {
            self.watermark.advance_notification.notified().await;
        }
    }

    /// Sleeps for a duration, and until all input that had arrived by its end is reported.
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(self.now() + duration).await;
    }

    /// Awaits a future for at most `limit`. Input that had arrived by the end of the limit counts, however
    /// late this task runs.
    ///
    /// # Errors
    /// Returns `TimedOut` if the future is not complete once all input up to the end of the limit is
    /// reported.
    pub async fn timeout<F: Future>(&self, limit: Duration, future: F) -> Result<F::Output, TimedOut> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep(limit) => Err(TimedOut),
        }
    }
}

/// Sleeps for a duration without regard to the watermark. No decision may depend on the time that has passed.
#[expect(clippy::disallowed_methods, reason = "the one place that sleeps without the watermark")]
pub async fn pause(duration: Duration) {
    tokio::time::sleep(to_std(duration)).await;
}

/// Converts a duration to that of the standard library.
pub fn to_std(duration: Duration) -> StdDuration {
    StdDuration::from_micros(duration.us())
}
