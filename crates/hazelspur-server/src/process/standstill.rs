//! Detects standstills, in which the event loop did not run: the process was suspended, it got no processor
//! time, or one task blocked the thread.
//!
//! Input: the times at which the event loop ran. Output: the length of each standstill, and the earliest time
//! at which a signal that is handled now can have been sent. That time is needed because a signal carries no
//! time and the platform counts from its sending. Everything that the loop handled before that time was
//! handled without the signal.

use crate::clock::pause;
use hazelspur::{Duration, Timestamp};
use std::cell::Cell;
use std::rc::Rc;

/// Time between two observations of the event loop.
const OBSERVATION_INTERVAL: Duration = Duration::from_ms(20);
/// Shortest time between two observations that counts as a standstill.
const MIN_STANDSTILL: Duration = Duration::from_ms(60);
/// Longest time between the end of a standstill and the handling of a signal that was sent during it.
const MAX_HANDLING_DELAY: Duration = Duration::from_ms(200);
/// Shortest standstill that is logged.
const LOGGED_STANDSTILL: Duration = Duration::from_ms(1000);

/// A period in which the event loop did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// Time of the last observation before the standstill.
    pub began: Timestamp,
    /// Time of the first observation after the standstill.
    pub ended: Timestamp,
}

/// The last observations of the event loop.
#[derive(Debug)]
pub struct StandstillDetector {
    /// The last observation.
    last: Cell<Timestamp>,
    /// The observation before the last one.
    previous: Cell<Timestamp>,
    /// The most recent standstill, if there was one.
    standstill: Cell<Option<Standstill>>,
}

impl StandstillDetector {
    /// Creates a detector whose first observation is `now`.
    pub fn new(now: Timestamp) -> Self {
        Self { last: Cell::new(now), previous: Cell::new(now), standstill: Cell::new(None) }
    }

    /// Records that the event loop runs now; returns the standstill that this ends, if there was one.
    pub fn observe(&self, now: Timestamp) -> Option<Standstill> {
        let began = self.last.replace(now);
        self.previous.set(began);
        let standstill = (now - began >= MIN_STANDSTILL).then_some(Standstill { began, ended: now });
        if standstill.is_some() {
            self.standstill.set(standstill);
        }
        standstill
    }

    /// Returns the earliest time at which a signal that is handled now can have been sent: the start of a
    /// recent standstill, or the previous observation.
    pub fn earliest_signal(&self, now: Timestamp) -> Timestamp {
        self.observe(now);
        let recent = self.standstill.get().filter(|standstill| now - standstill.ended <= MAX_HANDLING_DELAY);
        recent.map_or(self.previous.get(), |standstill| standstill.began.min(self.previous.get()))
    }

    /// Observes the event loop for as long as the process runs, and logs long standstills.
    pub async fn run(self: Rc<Self>, now: impl Fn() -> Timestamp) {
        loop {
            if let Some(Standstill { began, ended }) = self.observe(now())
                && ended - began >= LOGGED_STANDSTILL
            {
                log::warn!(ms = (ended - began).us() / 1000; "process stalled");
            }
            pause(OBSERVATION_INTERVAL).await;
        }
    }
}
