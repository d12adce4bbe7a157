//! The phases of the process from start to exit.

use std::cell::Cell;
use tokio::sync::Notify;

/// A phase of the process. `Waiting` comes first; each next one is entered in this order.
#[derive(Clone, Copy, PartialEq)]
pub enum Phase {
    /// Listening; the worker is not up yet and no request can run.
    Waiting,
    /// Requests run.
    Serving,
    /// The shutdown notice came; requests that arrive within the grace period still run.
    Draining,
    /// No new connections; goodbye messages go out and received requests are answered.
    Closing,
    /// The end is near: every connection is closed once its received requests are answered.
    Ending,
    /// Nothing is open any more.
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

/// What is open on the gateways' side when a phase is entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests without a final response.
    pub requests: usize,
    /// Connections of gateways.
    pub connections: usize,
}

/// The phase in force, and a notification of its change.
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
    /// The phase in force.
    pub fn current(&self) -> Phase {
        self.phase.get()
    }

    /// Enters a phase and logs it with what is open.
    pub fn enter(&self, phase: Phase, counts: OpenCounts) {
        let OpenCounts { requests, connections } = counts;
        log::info!(open = requests, connections; "phase {}", phase.name());
        self.phase.set(phase);
        self.changed.notify_waiters();
    }

    /// Completes once the phase fulfils the condition.
    pub async fn reached(&self, condition: impl Fn(Phase) -> bool) {
        // Single-threaded: the phase can't change between the check and the wait.
        while !condition(self.phase.get()) {
            self.changed.notified().await;
        }
    }
}
