//! The one answer that an op's caller is owed, whichever front has read the op.

use crate::ops::dispatcher::Dispatcher;
use hazelspur::Span;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Whether an op whose run was decided may begin.
pub enum MayRun {
    Now,
    /// Something has to be shown first; `false`, or nobody there to say, means never.
    Once(oneshot::Receiver<bool>),
}

/// The front that has read an op, as the op's life sees it. Each op gets one call of these at most.
pub trait Front {
    fn acked(&mut self, result: &[u8]);
    /// It never ran: when to come back, and whether to try nowhere else.
    fn nacked(&mut self, come_back: Span, nowhere_else: bool);
    /// It promises nothing: it may have run.
    fn failed(&mut self);
    /// No worker knows this op; it never ran.
    fn unknown(&mut self);
    /// Its caller is gone: no answer.
    fn gone(&mut self);
    fn may_run(&mut self) -> MayRun {
        MayRun::Now
    }
    /// The runtime knows this op, so its caller is one of those that ops come from.
    fn known(&mut self) {}
}

/// Gives one answer and no second; dropped without one it fails the op.
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

    pub fn nacked(&mut self, come_back: Span, nowhere_else: bool) {
        if self.take() {
            self.dispatcher.count(false);
            self.front.nacked(come_back, nowhere_else);
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
