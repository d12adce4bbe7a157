//! Notices when the process did not run: it was suspended, starved, or one task kept the thread.
//!
//! Input: the times at which the event loop ran. Output: the length of each standstill, and the earliest time at
//! which a signal that is handled now can have been sent. A signal carries no time, and the platform counts from
//! its sending: whatever the loop handled before that time was handled without the signal.

use crate::clock::pause;
use hazelspur::{Duration, Timestamp};
use std::cell::Cell;
use std::rc::Rc;

/// The time between two observations.
const OBSERVATION_INTERVAL: Duration = Duration::from_ms(20);
/// Two observations this far apart have a standstill between them.
const MIN_STANDSTILL: Duration = Duration::from_ms(60);
/// A signal is handled within this time after a standstill in which it came.
const MAX_HANDLING_DELAY: Duration = Duration::from_ms(200);
/// A standstill of this length is logged.
const LOGGED_STANDSTILL: Duration = Duration::from_ms(1000);

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// When it ran last.
    pub began: Timestamp,
    /// When it ran again.
    pub ended: Timestamp,
}

/// The last observations of the event loop.
#[derive(Debug)]
pub struct StandstillDetector {
    /// The last observation, and the one before it.
    last: Cell<Timestamp>,
    previous: Cell<Timestamp>,
    /// The last standstill.
    standstill: Cell<Option<Standstill>>,
}

impl StandstillDetector {
    /// A detector of a process that runs now.
    pub fn new(now: Timestamp) -> Self {
        Self { last: Cell::new(now), previous: Cell::new(now), standstill: Cell::new(None) }
    }

    /// The process runs now; returns the standstill that has just ended, if there was one.
    pub fn observe(&self, now: Timestamp) -> Option<Standstill> {
        let began = self.last.replace(now);
        self.previous.set(began);
        let standstill = (now - began >= MIN_STANDSTILL).then_some(Standstill { began, ended: now });
        if standstill.is_some() {
            self.standstill.set(standstill);
        }
        standstill
    }

    /// The earliest time at which a signal that is handled now can have been sent.
    pub fn earliest_signal(&self, now: Timestamp) -> Timestamp {
        self.observe(now);
        let recent = self.standstill.get().filter(|standstill| now - standstill.ended <= MAX_HANDLING_DELAY);
        recent.map_or(self.previous.get(), |standstill| standstill.began.min(self.previous.get()))
    }

    /// Observes the event loop for ever.
    pub async fn run(self: Rc<Self>, now: impl Fn() -> Timestamp) {
        loop {
            if let Some(Standstill { began, ended }) = self.observe(now())
                && ended - began >= LOGGED_STANDSTILL
            {
                log::warn!(ms = (ended - began).us() / 1000; "process stood still");
            }
            pause(OBSERVATION_INTERVAL).await;
        }
    }
}
