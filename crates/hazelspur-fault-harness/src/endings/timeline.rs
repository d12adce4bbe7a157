//! Turns the steps of a plan into the operations on the server and its peers, in order of time. A step that
//! lasts becomes two operations, its begin and its end.
//!
//! Invariant: the time of an operation depends only on its own step, so that a step ends at its planned time
//! even while another step lasts longer.

use super::plan::{Action, FileChange, Plan};

/// Operation on the server or its peers at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Sends the first SIGTERM, the shutdown notice.
    Notice,
    /// Sends a further SIGTERM.
    Term,
    /// Changes the configuration file and sends SIGHUP.
    Hup(FileChange),
    /// Begins a suspension of the server.
    BeginSuspension,
    /// Ends a suspension of the server.
    EndSuspension,
    /// Breaks the connection of the worker; the worker refuses new ones from now on.
    BeginRefusal,
    /// Ends a refusal of connections by the worker.
    EndRefusal,
    /// Breaks all connections to the broker.
    CutBroker,
}

/// Operation with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOperation {
    /// Time of the operation, in milliseconds from the first SIGTERM.
    pub at_ms: i64,
    /// The operation.
    pub operation: Operation,
}

/// Counter of the open spans of one kind. Overlapping spans act as a single one, from the first begin to the
/// last end.
#[derive(Debug, Default)]
pub struct OverlappingSpans {
    open_count: u32,
}

impl OverlappingSpans {
    /// Opens a span; returns whether no other one was open.
    pub fn begin(&mut self) -> bool {
        self.open_count += 1;
        self.open_count == 1
    }

    /// Closes a span; returns whether no other one is open.
    pub fn end(&mut self) -> bool {
        self.open_count = self.open_count.saturating_sub(1);
        self.open_count == 0
    }
}

/// Returns all operations of a plan in order of time; at equal times the end of a span comes last. None is
/// later than the kill, which does not wait for a step to end.
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
