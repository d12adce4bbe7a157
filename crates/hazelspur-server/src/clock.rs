//! The clocks of the process, and the waits that go by them.
//!
//! `now` starts at the Unix time of the process's start and advances evenly, so that setting the system clock
//! changes no timeout, window or deadline. `wall` is the Unix clock as other servers see it, never going back.
//! `monotonic` has no relation to the time of day.
//!
//! `input_watermark` is the time up to which all input has been read and reported; the event loop advances it.
//! Invariant: no timeout ends, and no decision is made, by a time later than the watermark. So a result that
//! lies in a socket when its deadline passes counts before the deadline, also if the process was suspended
//! meanwhile. What arrives late is late: receipts, leases and permissions to run go by `now`.

use hazelspur::{Duration, Timeline, Timestamp};
use std::cell::{Cell, OnceCell};
use std::time::{Duration as StdDuration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::sync::Notify;

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

/// What was awaited did not come before the timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("timed out")]
pub struct TimedOut;

/// The time up to which all input has been read and reported, and the tasks that wait for it.
#[derive(Default)]
struct InputWatermark {
    /// When the present turn of the event loop began.
    turn_start: Cell<Timestamp>,
    /// The beginning of the last turn whose input is reported.
    time: Cell<Timestamp>,
    /// Turns whose input is reported, which is how often the watermark was set.
    completed_turns: Cell<u64>,
    waiter_count: Cell<usize>,
    advance_notification: Notify,
}

/// Counts a task that waits for the watermark, for as long as it waits.
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

/// The clocks of one process.
#[derive(Default)]
pub struct Clock {
    last_wall: Cell<Timestamp>,
    wall_offset_ms: i64,
    origin: OnceCell<Origin>,
    watermark: InputWatermark,
}

impl Clock {
    /// Clocks whose Unix clock is set apart from the system's by so many milliseconds.
    pub fn with_wall_offset_ms(wall_offset_ms: i64) -> Self {
        Self { wall_offset_ms, ..Self::default() }
    }

    fn origin(&self) -> &Origin {
        self.origin.get_or_init(|| Origin { instant: Instant::now(), timeline: Timeline::new(self.unix()) })
    }

    /// The time at which something is received, sent or started.
    pub fn now(&self) -> Timestamp {
        let origin = self.origin();
        origin.timeline.at(origin.elapsed())
    }

    /// The time by `now` of something that another machine stamped with its Unix clock.
    pub fn local_time_of(&self, stamp: Timestamp) -> Timestamp {
        Timeline::convert_unix(self.now(), self.unix(), stamp)
    }

    /// The Unix time; never earlier than at the last call.
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

    /// The time since the clock was first read.
    pub fn monotonic(&self) -> Timestamp {
        MONOTONIC_START + self.origin().elapsed()
    }

    /// The time up to which all input has been read and reported.
    pub fn input_watermark(&self) -> Timestamp {
        self.watermark.time.get()
    }

    /// The Unix time at the input watermark.
    pub fn wall_at_watermark(&self) -> Timestamp {
        let wall = self.wall();
        wall.saturating_sub(self.now() - self.input_watermark())
    }

    /// When the present turn of the event loop began. What the turn's tasks read may have arrived later.
    pub fn turn_start(&self) -> Timestamp {
        self.watermark.turn_start.get()
    }

    /// Turns of the event loop whose input is reported.
    pub fn completed_turns(&self) -> u64 {
        self.watermark.completed_turns.get()
    }

    /// A turn begins: the look at input that follows finds all that has arrived by now.
    pub(crate) fn begin_turn(&self) {
        self.watermark.turn_start.set(self.now());
    }

    /// Advances the watermark: what had arrived before the present turn has been read and reported.
    pub(crate) fn advance_watermark(&self) {
        self.watermark.time.set(self.turn_start());
        self.watermark.completed_turns.set(self.watermark.completed_turns.get().wrapping_add(1));
        self.watermark.advance_notification.notify_waiters();
    }

    /// Whether a task can't go on before the watermark advances.
    pub(crate) fn watermark_is_awaited(&self) -> bool {
        self.watermark.waiter_count.get() > 0
    }

    /// Completes once what a turn of the event loop found is reported, within that turn.
    pub async fn input_reported(&self) {
        let _waiter = WatermarkWaiter::register(&self.watermark.waiter_count);
        self.watermark.advance_notification.notified().await;
        // What was notified may run only after the next turn has begun.
        while self.input_watermark() < self.turn_start() {
            self.watermark.advance_notification.notified().await;
        }
    }

    /// Sleeps until a time by `now`, and until all input that had arrived by then is reported.
    pub async fn sleep_until(&self, at: Timestamp) {
        // Timers may be a little early by this clock.
        while self.now() < at {
            pause(at - self.now()).await;
        }
        let _waiter = WatermarkWaiter::register(&self.watermark.waiter_count);
        while self.input_watermark() < at {
            self.watermark.advance_notification.notified().await;
        }
    }

    /// Sleeps for this long, and until all input that had arrived by then is reported.
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(self.now() + duration).await;
    }

    /// Awaits a future for this long. What had arrived by then counts, however late this task runs.
    ///
    /// # Errors
    /// `TimedOut` where the future is not complete although all input up to the end of the time is reported.
    pub async fn timeout<F: Future>(&self, limit: Duration, future: F) -> Result<F::Output, TimedOut> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep(limit) => Err(TimedOut),
        }
    }
}

/// Pauses for this long whatever input has arrived: nothing may be decided by the time that has passed.
#[expect(clippy::disallowed_methods, reason = "the one place that sleeps without the watermark")]
pub async fn pause(duration: Duration) {
    tokio::time::sleep(to_std(duration)).await;
}

/// The standard library's form of a duration.
pub fn to_std(duration: Duration) -> StdDuration {
    StdDuration::from_micros(duration.us())
}
