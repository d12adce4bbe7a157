//! Events that the dispatcher, the worker link and the ingress deliver to the task of one request.

use hazelspur::{Decision, Outcome};
use std::rc::Rc;

/// Outcome of an attempt, with the result that its client gets on success.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Result, empty unless the outcome is `Outcome::Ok`.
    pub result: Rc<[u8]>,
}

impl Completion {
    /// Returns the completion of an attempt that failed or whose result is not available.
    pub fn failed() -> Self {
        Self { outcome: Outcome::Error, result: Rc::from([]) }
    }

    /// Returns the completion of an attempt that ended without a run.
    pub fn never_ran() -> Self {
        Self { outcome: Outcome::NeverStarted, result: Rc::from([]) }
    }
}

/// Input of the lifecycle of one request.
pub enum RequestEvent {
    /// Decision of the controller about the request.
    Decided(Decision),
    /// Request of the run for a dependency call with this body.
    CallRequested(Vec<u8>),
    /// Completion of the run of this request, or of the original attempt whose response it awaits.
    Finished(Completion),
    /// Rejection of the start command by the worker: the request never ran.
    UnknownToWorker,
    /// Loss of the client: nothing awaits the response any more.
    ClientGone,
}
