//! What one connection is owed and what waits to be written on it.

use crate::desk::Desk;
use hazelspur::{Moment, OpId, Span};
use hazelspur_parsers::rpc::{self, RpcId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// What a buffer keeps after a burst.
const KEPT_ROOM: usize = 16 * 1024;

pub struct Answers {
    pub desk: Rc<Desk>,
    pub open: RefCell<BTreeMap<RpcId, OpId>>,
    /// Since when nothing is open on it.
    pub quiet_since: Cell<Moment>,
    pub said_farewell: Cell<Option<Moment>>,
    pub for_health: Cell<bool>,
    /// Ends the connection's task.
    pub close: Notify,
    out: RefCell<Vec<u8>>,
    more: Notify,
    being_written: Cell<bool>,
    settled: Notify,
    taken: Notify,
}

impl Answers {
    pub fn new(desk: Rc<Desk>) -> Self {
        Self {
            quiet_since: Cell::new(desk.clock.now()),
            desk,
            open: RefCell::default(),
            said_farewell: Cell::new(None),
            for_health: Cell::new(false),
            close: Notify::new(),
            out: RefCell::default(),
            more: Notify::new(),
            being_written: Cell::new(false),
            settled: Notify::new(),
            taken: Notify::new(),
        }
    }

    pub fn put(&self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.out.borrow_mut());
        self.more.notify_one();
    }

    /// Comes back once less than this waits to be written.
    pub async fn written_below(&self, most: usize) {
        while self.out.borrow().len() >= most {
            self.taken.notified().await;
        }
    }

    /// What is to be written next; the one before it is out.
    pub async fn next_out(&self, out: &mut Vec<u8>) {
        out.clear();
        out.shrink_to(KEPT_ROOM);
        self.being_written.set(false);
        self.settled.notify_one();
        while self.out.borrow().is_empty() {
            self.more.notified().await;
        }
        self.being_written.set(true);
        std::mem::swap(out, &mut *self.out.borrow_mut());
        self.taken.notify_one();
    }

    /// Comes back once nothing is open any more and all is written.
    pub async fn all_out(&self) {
        while !self.open.borrow().is_empty() || !self.out.borrow().is_empty() || self.being_written.get() {
            self.settled.notified().await;
        }
    }

    pub fn farewell(&self) {
        self.said_farewell.set(Some(self.desk.clock.now()));
        self.put(rpc::farewell);
    }
}

/// The one answer that is owed to an op's caller; if nobody gives it, dropping this fails the op.
pub struct Owed {
    answers: Rc<Answers>,
    id: RpcId,
    pending: bool,
}

impl Owed {
    pub fn new(answers: Rc<Answers>, id: RpcId, op: OpId) -> Self {
        answers.open.borrow_mut().insert(id, op);
        Self { answers, id, pending: true }
    }

    pub fn pending(&self) -> bool {
        self.pending
    }

    pub fn acked(&mut self, data: &[u8]) {
        self.answer(|id, out, signal| rpc::result(out, id, data, signal));
    }

    /// This try never ran.
    pub fn nacked(&mut self, come_back: Span, nowhere_else: bool) {
        let holdoff = (come_back > Span::ZERO).then(|| come_back.us().div_ceil(1000) as f64);
        self.answer(|id, out, signal| {
            rpc::error(out, Some(id), rpc::NACKED, "refused", holdoff, nowhere_else, signal);
        });
    }

    pub fn failed(&mut self) {
        self.answer(|id, out, signal| {
            rpc::error(out, Some(id), rpc::FAILED, "failed", None, false, signal);
        });
    }

    /// Its caller is gone: no answer.
    pub fn release(&mut self) {
        if std::mem::replace(&mut self.pending, false) {
            let answers = &self.answers;
            answers.open.borrow_mut().remove(&self.id);
            answers.quiet_since.set(answers.desk.clock.now());
            answers.settled.notify_one();
        }
    }

    fn answer(&mut self, write: impl FnOnce(RpcId, &mut Vec<u8>, Option<f64>)) {
        if self.pending {
            self.answers.put(|out| write(self.id, out, self.answers.desk.signal.get()));
            self.release();
        }
    }
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.failed();
    }
}
