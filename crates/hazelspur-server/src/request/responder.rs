//! The final response of a request: one, whichever ingress received the request; none only where the client is known to
//! be gone or the ingress has withdrawn the request.

use crate::request::dispatcher::{Dispatcher, Response};
use hazelspur::Duration;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Whether a request whose run was decided may start.
pub enum RunPermission {
    /// It may start at once.
    Granted,
    /// It may start once the channel yields `true`; `false` or a closed channel denies it for good.
    Awaiting(oneshot::Receiver<bool>),
}

/// The ingress that received a request, as its lifecycle sees it. It gets at most one final response.
pub trait ResponseSink {
    /// The request succeeded with this result.
    fn success(&mut self, result: &[u8]);
    /// It never ran: when the client may retry, and whether it must not retry at another server.
    fn rejected(&mut self, retry_after: Duration, do_not_retry_elsewhere: bool);
    /// It failed and may have run.
    fn failed(&mut self);
    /// The worker does not know this request; it never ran.
    fn unknown_to_worker(&mut self);
    /// The client is gone: no response is sent.
    fn ended_without_response(&mut self);
    /// Whether the run may start now.
    fn run_permission(&mut self) -> RunPermission {
        RunPermission::Granted
    }
    /// The run starts at once if it still may; otherwise the ingress settles the request and it never runs.
    fn confirm_start(&mut self) -> bool {
        true
    }
    /// The worker knows this request, so its client sends genuine requests.
    fn known_to_worker(&mut self) {}
}

/// Sends one response and no second; dropped without one it fails the request.
pub struct Responder {
    sink: Box<dyn ResponseSink>,
    dispatcher: Rc<Dispatcher>,
    pending: bool,
}

impl Responder {
    /// A responder that sends to `sink` and counts responses at `dispatcher`.
    pub fn new(sink: impl ResponseSink + 'static, dispatcher: Rc<Dispatcher>) -> Self {
        Self { sink: Box::new(sink), dispatcher, pending: true }
    }

    /// Whether no response was sent yet.
    pub fn is_pending(&self) -> bool {
        self.pending
    }

    /// Asks the ingress whether the run may start.
    pub fn run_permission(&mut self) -> RunPermission {
        self.sink.run_permission()
    }

    /// Asks the ingress, just before the start, whether a permitted run may still start.
    pub fn confirm_start(&mut self) -> bool {
        self.sink.confirm_start()
    }

    /// Notifies the ingress that the worker knows the request.
    pub fn known_to_worker(&mut self) {
        self.sink.known_to_worker();
    }

    /// Responds with the result of a request that succeeded.
    pub fn success(&mut self, result: &[u8]) {
        if self.take_pending() {
            self.dispatcher.count_response(Response::Success);
            self.sink.success(result);
        }
    }

    /// Rejects a request that never ran.
    pub fn rejected(&mut self, retry_after: Duration, do_not_retry_elsewhere: bool) {
        if self.take_pending() {
            self.dispatcher.count_response(Response::Rejected);
            self.sink.rejected(retry_after, do_not_retry_elsewhere);
        }
    }

    /// Fails a request that may have run.
    pub fn failed(&mut self) {
        if self.take_pending() {
            self.sink.failed();
        }
    }

    /// Responds to a request that the worker does not know.
    pub fn unknown_to_worker(&mut self) {
        if self.take_pending() {
            self.sink.unknown_to_worker();
        }
    }

    /// Ends the request without a response: its client is gone, or its ingress has withdrawn it.
    pub fn end_without_response(&mut self) {
        if self.take_pending() {
            self.sink.ended_without_response();
        }
    }

    fn take_pending(&mut self) -> bool {
        std::mem::replace(&mut self.pending, false)
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.failed();
    }
}
