//! The phases of the process from start to exit.

use std::cell::Cell;
use tokio::sync::Notify;

/// A phase of the process. `Waiting` is the first; the others follow in this order. A shutdown notice that
/// comes before the worker is up skips `Serving` and `Draining`.
#[derive(Clone, Copy, PartialEq)]
pub enum Phase {
    /// The server listens, but the worker is not up yet and no request can run.
    Waiting,
    /// Requests run.
    Serving,
    /// The shutdown notice has come; requests that arrive within the grace period still run.
    Draining,
    /// No new connections are accepted; goodbye messages are sent and received requests are answered.
    Closing,
    /// Every connection is closed as soon as its received requests are answered.
    Ending,
    /// All connections are closed or given up; the process exits.
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

/// Numbers of open requests and connections of gateways, logged when a phase is entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests without a final response.
    pub requests: usize,
    /// Connections of gateways.
    pub connections: usize,
}

/// The current phase, and a notification of its change.
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
    /// Returns the current phase.
    pub fn current(&self) -> Phase {
        self.phase.get()
    }

    /// Enters a phase, logs it with the counts, and wakes the tasks that wait for a change.
    pub fn enter(&self, phase: Phase, counts: OpenCounts) {
        let OpenCounts { requests, connections } = counts;
        log::info!(open = requests, connections; "phase {}", phase.name());
        self.phase.set(phase);
        self.changed.notify_waiters();
    }

    /// Waits until the phase fulfils a condition.
    pub async fn reached(&self, condition: impl Fn(Phase) -> bool) {
        // All tasks share one thread, so the phase can't change between the check and the wait.
        while !condition(self.phase.get()) {
            self.changed.notified().await;
        }
    }
}
