//! The system's Unix clock, kept from going back, and waits by it; and a steady one that nobody sets, for
//! leases.

use hazelspur::{Moment, Span};
use std::cell::{Cell, OnceCell};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Clock {
    last: Cell<Moment>,
    /// By how many milliseconds it is set apart from the system's.
    apart_ms: Cell<i64>,
    /// Where the steady clock began.
    began: OnceCell<Instant>,
}

impl Clock {
    pub fn now(&self) -> Moment {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = (since.as_micros() as i64).saturating_add(self.apart_ms.get().saturating_mul(1000));
        let now = Moment::from_us(now.max(0) as u64).max(self.last.get());
        self.last.set(now);
        now
    }

    /// Since this was first asked for, and a second more: it says nothing of the time of day.
    pub fn steady(&self) -> Moment {
        let began = self.began.get_or_init(Instant::now);
        Moment::from_us(1_000_000 + began.elapsed().as_micros() as u64)
    }

    pub fn set_apart(&self, ms: i64) {
        self.apart_ms.set(ms);
    }

    pub async fn sleep_until(&self, at: Moment) {
        // Timers go by another clock and may be a little early by this one.
        while self.now() < at {
            sleep(at - self.now()).await;
        }
    }
}

pub async fn sleep(span: Span) {
    tokio::time::sleep(long(span)).await;
}

pub fn long(span: Span) -> Duration {
    Duration::from_micros(span.us())
}
