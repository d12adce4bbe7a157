//! Outcomes of runs and of attempts of dependency calls, as the host reports them.

/// The outcome of a run or of an attempt of a dependency call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success.
    Ok,
    /// End with an error.
    Error,
    /// Rejection by the other side; nothing ran.
    Rejected,
    /// No reply within the timeout.
    TimedOut,
    /// No connection; nothing ran.
    Unreachable,
    /// Loss of the connection before a reply came.
    ConnectionLost,
    /// Preemption: the run was taken off the cores.
    Preempted,
    /// Cancellation before the start; nothing ran.
    NeverStarted,
}

impl Outcome {
    /// Returns whether the outcome proves that nothing ran.
    pub(crate) fn proves_never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable | Self::NeverStarted)
    }
}
