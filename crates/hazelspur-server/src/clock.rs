//! The system's Unix clock, kept from going back, and waits by it.

use hazelspur::{Moment, Span};
use std::cell::Cell;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Clock(Cell<Moment>);

impl Clock {
    pub fn now(&self) -> Moment {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = Moment::from_us(since.as_micros() as u64).max(self.0.get());
        self.0.set(now);
        now
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
