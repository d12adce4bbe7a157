//! The program's phases from start to exit, as named states of one object.

use std::cell::Cell;
use tokio::sync::Notify;

#[derive(Clone, Copy, PartialEq)]
pub enum Phase {
    /// Listening; the runtime is not up yet and no request can run.
    Waiting,
    Serving,
    /// The leave notice is read; what arrives within the grace still runs.
    Draining,
    /// The grace is over, or nothing could run: no new connections, farewells go out, what is read is
    /// answered.
    Closing,
    /// The stop is near: every connection is closed, with what is there by then answered.
    Ending,
    Over,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Closing => "closing",
            Self::Ending => "ending",
            Self::Over => "over",
        }
    }
}

pub struct Phases {
    phase: Cell<Phase>,
    changed: Notify,
}

impl Default for Phases {
    fn default() -> Self {
        Self { phase: Cell::new(Phase::Waiting), changed: Notify::new() }
    }
}

impl Phases {
    pub fn now(&self) -> Phase {
        self.phase.get()
    }

    /// One line for the change, with its figures.
    pub fn enter(&self, phase: Phase, (open, connections): (usize, usize)) {
        log::info!(open, connections; "phase {}", phase.name());
        self.phase.set(phase);
        self.changed.notify_waiters();
    }

    /// Comes back once `wanted` holds.
    pub async fn reached(&self, wanted: impl Fn(Phase) -> bool) {
        // One thread: nothing changes between the look and the wait.
        while !wanted(self.phase.get()) {
            self.changed.notified().await;
        }
    }
}
