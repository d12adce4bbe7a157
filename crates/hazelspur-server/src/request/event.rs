//! Events that the dispatcher, the worker link and the ingress deliver to the task of one request.

use hazelspur::{Decision, Outcome};
use std::rc::Rc;

/// How an attempt ended, with the result that its client gets on success.
#[derive(Clone, Debug)]
pub struct Completion {
    /// How it ended.
    pub outcome: Outcome,
    /// The result's bytes; empty unless the outcome is `Outcome::Ok`.
    pub result: Rc<[u8]>,
}

impl Completion {
    /// An attempt that failed, or that has no result to show.
    pub fn failed() -> Self {
        Self { outcome: Outcome::Error, result: Rc::from([]) }
    }

    /// An attempt that ended without a run.
    pub fn never_ran() -> Self {
        Self { outcome: Outcome::NeverStarted, result: Rc::from([]) }
    }
}

/// An input of one request's lifecycle.
pub enum RequestEvent {
    /// The controller decided something about the request.
    Decided(Decision),
    /// The request's run asks for a dependency call with this body.
    CallRequested(Vec<u8>),
    /// The run of this request, or the original whose response it awaits, finished.
    Finished(Completion),
    /// The worker process knows no such request.
    UnknownToWorker,
    /// Nobody waits for the response any more.
    ClientGone,
}
