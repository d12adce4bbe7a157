//! Delivery of the final response of a request to the ingress that received it.
//!
//! Invariant: each request gets exactly one final response, or none if its client is gone or its ingress has
//! withdrawn it.

use crate::request::dispatcher::{Dispatcher, Response};
use hazelspur::Duration;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Permission of the ingress to start a run that the controller has decided.
pub enum RunPermission {
    /// The run may start at once.
    Granted,
    /// The run may start once the channel yields `true`; `false` or a closed channel denies it for good.
    Awaiting(oneshot::Receiver<bool>),
}

/// Ingress that received a request, which gets at most one final response for it.
pub trait ResponseSink {
    /// Sends the result of a request that succeeded.
    fn success(&mut self, result: &[u8]);
    /// Rejects a request that never ran. The client may retry after `retry_after`; with
    /// `do_not_retry_elsewhere` set it must not retry at another server.
    fn rejected(&mut self, retry_after: Duration, do_not_retry_elsewhere: bool);
    /// Fails a request that may have run.
    fn failed(&mut self);
    /// Ends a request that the worker did not accept; it never ran.
    fn unknown_to_worker(&mut self);
    /// Ends a request without a response, since its client is gone or the ingress has withdrawn it.
    fn ended_without_response(&mut self);
    /// Returns whether the run may start now.
    fn run_permission(&mut self) -> RunPermission {
        RunPermission::Granted
    }
    /// Returns whether a permitted run may still start; if so, it starts at once. Otherwise the ingress
    /// settles the request, and it never runs.
    fn confirm_start(&mut self) -> bool {
        true
    }
    /// Records that the worker has accepted this request, so that its client is trusted.
    fn known_to_worker(&mut self) {}
}

/// Sender of the final response, which ignores any further response. If it is dropped before the request has
/// ended, it fails the request.
pub struct Responder {
    sink: Box<dyn ResponseSink>,
    dispatcher: Rc<Dispatcher>,
    pending: bool,
}

impl Responder {
    /// Creates a responder that sends to `sink` and counts responses in `dispatcher`.
    pub fn new(sink: impl ResponseSink + 'static, dispatcher: Rc<Dispatcher>) -> Self {
        Self { sink: Box::new(sink), dispatcher, pending: true }
    }

    /// Returns whether the request has not been ended yet, with a response or without one.
    pub fn is_pending(&self) -> bool {
        self.pending
    }

    /// Returns the ingress's permission to start the run.
    pub fn run_permission(&mut self) -> RunPermission {
        self.sink.run_permission()
    }

    /// Returns, just before the start, whether the ingress still permits the run.
    pub fn confirm_start(&mut self) -> bool {
        self.sink.confirm_start()
    }

    /// Notifies the ingress that the worker has accepted the request.
    pub fn known_to_worker(&mut self) {
        self.sink.known_to_worker();
    }

    /// Sends the result of a request that succeeded.
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

    /// Ends a request that the worker did not accept; it never ran.
    pub fn unknown_to_worker(&mut self) {
        if self.take_pending() {
            self.sink.unknown_to_worker();
        }
    }

    /// Ends a request without a response, since its client is gone or its ingress has withdrawn it.
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
