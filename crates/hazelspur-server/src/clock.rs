//! Three clocks. `now` is the one to wait and to reckon by: it began at the Unix time of the program's start
//! and goes on evenly, so that a system clock that is set changes no wait, window or due time. `wall` is the
//! Unix clock as others see it, kept from going back. `steady` says nothing of the time of day.

use hazelspur::{Duration, Timeline, Timestamp};
use std::cell::{Cell, OnceCell};
use std::time::{Duration as StdDuration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Clock {
    last_wall: Cell<Timestamp>,
    /// By how many milliseconds the Unix clock is set apart from the system's.
    apart_ms: Cell<i64>,
    /// When this was first asked for, and what the Unix clock said then.
    began: OnceCell<(Instant, Timeline)>,
}

impl Clock {
    fn began(&self) -> &(Instant, Timeline) {
        self.began.get_or_init(|| (Instant::now(), Timeline::new(self.unix())))
    }

    pub fn now(&self) -> Timestamp {
        let (began, line) = self.began();
        line.at(Duration::from_us(began.elapsed().as_micros() as u64))
    }

    /// When something happened that is stamped by the Unix clock.
    pub fn stamped(&self, stamp: Timestamp) -> Timestamp {
        Timeline::stamped(self.now(), self.unix(), stamp)
    }

    pub fn wall(&self) -> Timestamp {
        let wall = self.unix().max(self.last_wall.get());
        self.last_wall.set(wall);
        wall
    }

    fn unix(&self) -> Timestamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = (since.as_micros() as i64).saturating_add(self.apart_ms.get().saturating_mul(1000));
        Timestamp::from_us(now.max(0) as u64)
    }

    /// Since this was first asked for, and a second more.
    pub fn steady(&self) -> Timestamp {
        Timestamp::from_us(1_000_000 + self.began().0.elapsed().as_micros() as u64)
    }

    /// Before anything is asked of it.
    pub fn set_apart(&self, ms: i64) {
        self.apart_ms.set(ms);
    }

    pub async fn sleep_until(&self, at: Timestamp) {
        // Timers may be a little early by this clock.
        while self.now() < at {
            sleep(at - self.now()).await;
        }
    }
}

pub async fn sleep(span: Duration) {
    tokio::time::sleep(long(span)).await;
}

pub fn long(span: Duration) -> StdDuration {
    StdDuration::from_micros(span.us())
}
