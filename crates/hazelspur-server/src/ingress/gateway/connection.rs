//! State of one gateway's connection: its stage, its open requests, its output and its client's reputation.

use super::error::ProtocolError;
use super::reputation::ClientReputation;
use super::response_queue::ResponseQueue;
use crate::request::dispatcher::Dispatcher;
use hazelspur::{Duration, RequestId, Timestamp};
use hazelspur_parsers::rpc::{self, RpcId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Stage of a connection. It only advances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Requests are accepted.
    Open,
    /// The goodbye message was sent then; requests that cross it are still accepted.
    GoodbyeSent(Timestamp),
    /// What the final reads find is answered, then the write side is shut down.
    Closing,
    /// The write side is shut down; input is discarded.
    ShutDown,
}

/// One gateway's connection.
pub(super) struct GatewayConnection {
    pub(super) dispatcher: Rc<Dispatcher>,
    /// Requests without a response, by their id on the connection.
    pub(super) open_requests: RefCell<BTreeMap<RpcId, RequestId>>,
    pub(super) connected_at: Timestamp,
    /// Since when no request is open.
    pub(super) idle_since: Cell<Timestamp>,
    /// Since when a line is incomplete.
    pub(super) partial_line_since: Cell<Option<Timestamp>>,
    /// Whether the previous maintenance round found the input overdue: one round alone may have followed a
    /// suspension of the process.
    pub(super) was_overdue: Cell<bool>,
    pub(super) stage: Cell<Stage>,
    /// Whether health checks came on it.
    pub(super) checks_health: Cell<bool>,
    pub(super) reputation: ClientReputation,
    pub(super) output: ResponseQueue,
    /// Ends what the connection's task waits for: input before the close, then the peer's end.
    pub(super) close_requested: Notify,
}

impl GatewayConnection {
    pub(super) fn new(dispatcher: Rc<Dispatcher>) -> Self {
        let now = dispatcher.clock.now();
        Self {
            dispatcher,
            open_requests: RefCell::default(),
            connected_at: now,
            idle_since: Cell::new(now),
            partial_line_since: Cell::new(None),
            was_overdue: Cell::new(false),
            stage: Cell::new(Stage::Open),
            checks_health: Cell::new(false),
            reputation: ClientReputation::default(),
            output: ResponseQueue::default(),
            close_requested: Notify::new(),
        }
    }

    pub(super) fn has_open_requests(&self) -> bool {
        !self.open_requests.borrow().is_empty()
    }

    pub(super) fn is_open(&self) -> bool {
        self.stage.get() == Stage::Open
    }

    pub(super) fn is_closing(&self) -> bool {
        matches!(self.stage.get(), Stage::Closing | Stage::ShutDown)
    }

    pub(super) fn mark_idle(&self) {
        self.idle_since.set(self.dispatcher.clock.now());
    }

    pub(super) fn request_opened(&self, id: RpcId, request: RequestId) {
        self.open_requests.borrow_mut().insert(id, request);
    }

    /// Removes a request that is answered or abandoned, unless its id belongs to another one by now.
    pub(super) fn request_closed(&self, id: RpcId, request: RequestId) {
        let mut open_requests = self.open_requests.borrow_mut();
        if open_requests.get(&id) == Some(&request) {
            open_requests.remove(&id);
        }
        drop(open_requests);
        self.mark_idle();
        self.output.notify_progress();
    }

    /// Completes once no request is open and everything is written, or cannot be written for this long.
    pub(super) async fn drained(&self, write_timeout: Duration) {
        while self.has_open_requests() {
            self.output.progressed().await;
        }
        // After the timeout the rest is given up.
        let _ = self.dispatcher.clock.timeout(write_timeout, self.output.flushed()).await;
    }

    /// Answers invalid input with an error and records it.
    pub(super) fn reject_input(&self, id: Option<RpcId>, error: ProtocolError) {
        self.reputation.record(error);
        let message = error.to_string();
        self.output
            .append(|out| rpc::write_error(out, id, error.code(), &message, rpc::ErrorData::default()));
    }

    /// Answers with an error and closes; open requests are answered first.
    pub(super) fn dismiss(&self, error: ProtocolError) {
        if !self.is_closing() {
            self.reject_input(None, error);
            self.close();
        }
    }

    /// Lets the connection's task read what is there, answer it and shut down.
    pub(super) fn close(&self) {
        if !self.is_closing() {
            self.stage.set(Stage::Closing);
            self.close_requested.notify_one();
        }
    }

    /// Asks the gateway to close the connection.
    pub(super) fn send_goodbye(&self) {
        self.stage.set(Stage::GoodbyeSent(self.dispatcher.clock.now()));
        self.output.append(rpc::write_goodbye);
    }
}
