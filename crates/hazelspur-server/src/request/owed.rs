//! The one answer that a request's caller is owed, whichever front has read the request.

use crate::request::dispatcher::Dispatcher;
use hazelspur::Duration;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Whether a request whose run was decided may begin.
pub enum MayRun {
    Now,
    /// Something has to be shown first; `false`, or nobody there to say, means never.
    Once(oneshot::Receiver<bool>),
}

/// The front that has read a request, as the request's life sees it. Each request gets one call of these at most.
pub trait Front {
    fn acked(&mut self, result: &[u8]);
    /// It never ran: when to come back, and whether to try nowhere else.
    fn nacked(&mut self, retry_after: Duration, do_not_retry_elsewhere: bool);
    /// It promises nothing: it may have run.
    fn failed(&mut self);
    /// No worker knows this request; it never ran.
    fn unknown(&mut self);
    /// Its caller is gone: no answer.
    fn gone(&mut self);
    fn may_run(&mut self) -> MayRun {
        MayRun::Now
    }
    /// The runtime knows this request, so its caller is one of those that requests come from.
    fn known(&mut self) {}
}

/// Gives one answer and no second; dropped without one it fails the request.
pub struct Owed {
    front: Box<dyn Front>,
    dispatcher: Rc<Dispatcher>,
    pending: bool,
}

impl Owed {
    pub fn new(front: impl Front + 'static, dispatcher: Rc<Dispatcher>) -> Self {
        Self { front: Box::new(front), dispatcher, pending: true }
    }

    pub fn pending(&self) -> bool {
        self.pending
    }

    pub fn may_run(&mut self) -> MayRun {
        self.front.may_run()
    }

    pub fn known(&mut self) {
        self.front.known();
    }

    pub fn acked(&mut self, result: &[u8]) {
        if self.take() {
            self.dispatcher.count(true);
            self.front.acked(result);
        }
    }

    pub fn nacked(&mut self, retry_after: Duration, do_not_retry_elsewhere: bool) {
        if self.take() {
            self.dispatcher.count(false);
            self.front.nacked(retry_after, do_not_retry_elsewhere);
        }
    }

    pub fn failed(&mut self) {
        if self.take() {
            self.front.failed();
        }
    }

    pub fn unknown(&mut self) {
        if self.take() {
            self.front.unknown();
        }
    }

    pub fn release(&mut self) {
        if self.take() {
            self.front.gone();
        }
    }

    fn take(&mut self) -> bool {
        std::mem::replace(&mut self.pending, false)
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.failed();
    }
}
