//! What is done to the server and its peers at each moment of a run: the steps of a plan, each with its own end.
//!
//! Invariant: an operation's time depends on its step alone, so that a step ends at its drawn moment whatever other
//! step lasts longer.

use super::plan::{Action, FileChange, Plan};

/// What is done at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// The first SIGTERM.
    Notice,
    /// SIGTERM once more.
    Term,
    /// SIGHUP.
    Hup(FileChange),
    /// A suspension begins.
    BeginSuspension,
    /// A suspension ends.
    EndSuspension,
    /// The worker link breaks and is refused from now on.
    BeginRefusal,
    /// A refusal of the worker link ends.
    EndRefusal,
    /// All connections to the broker break.
    CutBroker,
}

/// An operation and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOperation {
    /// When it is done, in milliseconds from the first SIGTERM.
    pub at_ms: i64,
    /// What is done.
    pub operation: Operation,
}

/// Overlapping spans of one kind: all of them together last from the first beginning to the last end.
#[derive(Debug, Default)]
pub struct OverlappingSpans {
    open_count: u32,
}

impl OverlappingSpans {
    /// One begins; whether it is the only one.
    pub fn begin(&mut self) -> bool {
        self.open_count += 1;
        self.open_count == 1
    }

    /// One ends; whether it was the last one.
    pub fn end(&mut self) -> bool {
        self.open_count = self.open_count.saturating_sub(1);
        self.open_count == 0
    }
}

/// All operations of a plan, in order of time; of those at one moment a beginning comes first. None is later than
/// the kill, which waits for no step.
pub fn timeline(plan: &Plan) -> Vec<TimedOperation> {
    let mut operations = Vec::new();
    let mut add = |at_ms, operation| operations.push(TimedOperation { at_ms, operation });
    add(0, Operation::Notice);
    for step in &plan.steps {
        let at_ms = step.at_ms;
        match step.action {
            Action::Term => add(at_ms, Operation::Term),
            Action::Hup(change) => add(at_ms, Operation::Hup(change)),
            Action::Suspend(duration_ms) => {
                add(at_ms, Operation::BeginSuspension);
                add(at_ms + duration_ms, Operation::EndSuspension);
            }
            Action::RefuseWorker(duration_ms) => {
                add(at_ms, Operation::BeginRefusal);
                add((at_ms + duration_ms).min(plan.stop_ms), Operation::EndRefusal);
            }
            Action::CutBroker => add(at_ms, Operation::CutBroker),
        }
    }
    let is_end = |operation| matches!(operation, Operation::EndSuspension | Operation::EndRefusal);
    operations.sort_by_key(|timed| (timed.at_ms, is_end(timed.operation)));
    operations
}
