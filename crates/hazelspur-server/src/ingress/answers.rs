//! What one connection is owed and what waits to be written on it.

use crate::clock::long;
use crate::request::dispatcher::Dispatcher;
use crate::request::owed::Front;
use hazelspur::{Duration, RequestId, Timestamp};
use hazelspur_parsers::rpc::{self, ErrorData, RpcId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::sync::Notify;

/// After so many errors nothing more on a connection is read, unless requests that the runtime knew came on it: a
/// gateway's other requests on it are to be answered.
const MAX_FAULTS: u32 = 4;
/// What a buffer keeps after a burst.
const KEPT_ROOM: usize = 16 * 1024;

/// How far a connection is on its way out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    Open,
    /// Farewell is said; what crosses it is still read and answered.
    Parting(Timestamp),
    /// What is there by the last look is answered; then the write side is shut.
    Closing,
    /// Nothing that comes is read as a request any more.
    Shut,
}

pub struct Answers {
    pub dispatcher: Rc<Dispatcher>,
    pub open: RefCell<BTreeMap<RpcId, RequestId>>,
    /// Since when nothing is open on it.
    pub quiet_since: Cell<Timestamp>,
    pub stage: Cell<Stage>,
    pub for_health: Cell<bool>,
    pub since: Timestamp,
    /// Whether it has carried something good: a request that could be read, or a health check.
    pub proven: Cell<bool>,
    /// Whether the runtime has known a request that came on it.
    pub known: Cell<bool>,
    /// Since when a line on it is not whole.
    pub partial_since: Cell<Option<Timestamp>>,
    /// Found late once, by a look that may only have been the first after the machine stood still.
    pub found_late: Cell<bool>,
    /// How often what came on it was no good, and why the last time.
    pub faults: Cell<(u32, &'static str)>,
    /// What follows on it can't be told apart any more.
    pub unreadable: Cell<bool>,
    /// Ends what the connection's task waits for: what may come while it is not shut, then the peer's end.
    pub close: Notify,
    out: RefCell<Vec<u8>>,
    more: Notify,
    being_written: Cell<bool>,
    settled: Notify,
    taken: Notify,
}

impl Answers {
    pub fn new(dispatcher: Rc<Dispatcher>) -> Self {
        let now = dispatcher.clock.now();
        Self {
            quiet_since: Cell::new(now),
            dispatcher,
            open: RefCell::default(),
            stage: Cell::new(Stage::Open),
            for_health: Cell::new(false),
            since: now,
            proven: Cell::new(false),
            known: Cell::new(false),
            partial_since: Cell::new(None),
            found_late: Cell::new(false),
            faults: Cell::default(),
            unreadable: Cell::new(false),
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

    /// Writes what there is to write, and comes back when that fails.
    pub async fn write_to(&self, write: &mut WriteHalf<'_>) {
        let mut out = Vec::new();
        loop {
            self.next_out(&mut out).await;
            if write.write_all(&out).await.is_err() {
                return;
            }
        }
    }

    /// What is to be written next; the one before it is out.
    async fn next_out(&self, out: &mut Vec<u8>) {
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

    /// Comes back once nothing is open any more and all is written, or has not been taken for this long.
    pub async fn all_out(&self, most: Duration) {
        while !self.open.borrow().is_empty() {
            self.settled.notified().await;
        }
        let written = async {
            while !self.out.borrow().is_empty() || self.being_written.get() {
                self.settled.notified().await;
            }
        };
        let _ = tokio::time::timeout(long(most), written).await;
    }

    /// Nothing more that comes on it is read as a request.
    pub fn shunned(&self) -> bool {
        self.unreadable.get() || self.faults.get().0 >= MAX_FAULTS && !self.known.get()
    }

    fn blame(&self, why: &'static str) {
        self.faults.set((self.faults.get().0 + 1, why));
    }

    /// An error answer to what was no good.
    pub fn fault(&self, id: Option<RpcId>, code: i32, why: &'static str) {
        self.blame(why);
        self.put(|out| rpc::error(out, id, code, why, ErrorData::default()));
    }

    /// Says why and ends the connection's task; what is open is answered first.
    pub fn dismiss(&self, why: &'static str) {
        if !matches!(self.stage.get(), Stage::Closing | Stage::Shut) {
            self.fault(None, rpc::NOT_VALID, why);
            self.end();
        }
    }

    /// Has the connection's task take its last look and shut it.
    pub fn end(&self) {
        if !matches!(self.stage.get(), Stage::Closing | Stage::Shut) {
            self.stage.set(Stage::Closing);
            self.close.notify_one();
        }
    }

    pub fn farewell(&self) {
        self.stage.set(Stage::Parting(self.dispatcher.clock.now()));
        self.put(rpc::farewell);
    }
}

/// The caller of a request on one of these connections.
pub struct Caller {
    answers: Rc<Answers>,
    id: RpcId,
    request: RequestId,
}

impl Caller {
    pub fn new(answers: Rc<Answers>, id: RpcId, request: RequestId) -> Self {
        answers.open.borrow_mut().insert(id, request);
        Self { answers, id, request }
    }

    fn answer(&mut self, write: impl FnOnce(RpcId, &mut Vec<u8>, Option<f64>)) {
        self.answers.put(|out| write(self.id, out, self.answers.dispatcher.signal.get()));
        self.gone();
    }
}

impl Front for Caller {
    fn acked(&mut self, data: &[u8]) {
        self.answer(|id, out, signal| rpc::result(out, id, data, signal));
    }

    fn nacked(&mut self, retry_after: Duration, do_not_retry_elsewhere: bool) {
        let holdoff = (retry_after > Duration::ZERO).then(|| retry_after.us().div_ceil(1000) as f64);
        self.answer(|id, out, signal| {
            let data = ErrorData { retry_after_ms: holdoff, do_not_retry_elsewhere, signal };
            rpc::error(out, Some(id), rpc::NACKED, "refused", data);
        });
    }

    fn failed(&mut self) {
        self.answer(|id, out, signal| {
            let data = ErrorData { signal, ..ErrorData::default() };
            rpc::error(out, Some(id), rpc::FAILED, "failed", data);
        });
    }

    /// What its connection brings is not to be relied on.
    fn unknown(&mut self) {
        self.answers.proven.set(false);
        self.answers.blame("the runtime does not know the op");
        self.failed();
    }

    fn known(&mut self) {
        self.answers.known.set(true);
    }

    fn gone(&mut self) {
        let answers = &self.answers;
        let mut open = answers.open.borrow_mut();
        if open.get(&self.id) == Some(&self.request) {
            open.remove(&self.id);
        }
        drop(open);
        answers.quiet_since.set(answers.dispatcher.clock.now());
        answers.settled.notify_one();
    }
}
