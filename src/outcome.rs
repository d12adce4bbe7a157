//! How a run or a dependency call ended, as the host reports it.

/// The end of a run or of a dependency call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It ended with an error.
    Error,
    /// The other side rejected it; it never ran.
    Rejected,
    /// Its timeout passed before a reply came.
    TimedOut,
    /// No connection could be made; it never ran.
    Unreachable,
    /// The connection broke before a reply came.
    ConnectionLost,
    /// It was taken off the cores.
    Preempted,
    /// It was given up before it started; it never ran.
    NeverStarted,
}

impl Outcome {
    /// Whether the outcome proves that nothing ran.
    pub(crate) fn proves_never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::Unreachable | Self::NeverStarted)
    }
}
