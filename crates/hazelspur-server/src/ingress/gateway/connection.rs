//! State of one gateway's connection: stage, open requests, queued output and reputation of the client.

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

/// Stage of a connection. Stages only advance, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Requests are accepted.
    Open,
    /// The goodbye message was sent at this time. Requests are still accepted, because the gateway may have
    /// sent them before it received the message.
    GoodbyeSent(Timestamp),
    /// Requests that have already arrived are read and answered, then the write side is shut down.
    Closing,
    /// The write side is shut down; input is discarded.
    ShutDown,
}

/// One gateway's connection.
pub(super) struct GatewayConnection {
    pub(super) dispatcher: Rc<Dispatcher>,
    /// Requests without a response, by JSON-RPC id.
    pub(super) open_requests: RefCell<BTreeMap<RpcId, RequestId>>,
    pub(super) connected_at: Timestamp,
    /// Time of the accept, of the last health check or of the last end of a request, whichever is latest. The
    /// idle time counts from here while no request is open.
    pub(super) idle_since: Cell<Timestamp>,
    /// Time since which the last line received is incomplete; `None` if it is complete.
    pub(super) partial_line_since: Cell<Option<Timestamp>>,
    /// Whether the previous maintenance round found the input overdue. Only the second such round in a row
    /// counts: the first may follow a suspension of the process.
    pub(super) was_overdue: Cell<bool>,
    pub(super) stage: Cell<Stage>,
    /// Whether a health check has been received.
    pub(super) checks_health: Cell<bool>,
    pub(super) reputation: ClientReputation,
    pub(super) output: ResponseQueue,
    /// Notified to make the connection's task stop waiting: for input, or after the shutdown for the peer's
    /// close.
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

    /// Restarts the idle time.
    pub(super) fn mark_idle(&self) {
        self.idle_since.set(self.dispatcher.clock.now());
    }

    pub(super) fn request_opened(&self, id: RpcId, request: RequestId) {
        self.open_requests.borrow_mut().insert(id, request);
    }

    /// Removes a request that was answered or abandoned, unless its JSON-RPC id belongs to another request by
    /// now.
    pub(super) fn request_closed(&self, id: RpcId, request: RequestId) {
        let mut open_requests = self.open_requests.borrow_mut();
        if open_requests.get(&id) == Some(&request) {
            open_requests.remove(&id);
        }
        drop(open_requests);
        self.mark_idle();
        self.output.notify_progress();
    }

    /// Completes once no request is open and all output is written. If writing takes longer than
    /// `write_timeout`, completes without the rest.
    pub(super) async fn drained(&self, write_timeout: Duration) {
        while self.has_open_requests() {
            self.output.progressed().await;
        }
        // A timeout is not an error: the unwritten rest is discarded.
        let _ = self.dispatcher.clock.timeout(write_timeout, self.output.flushed()).await;
    }

    /// Sends the error response to invalid input and records the error in the client's reputation.
    pub(super) fn reject_input(&self, id: Option<RpcId>, error: ProtocolError) {
        self.reputation.record(error);
        let message = error.to_string();
        self.output
            .append(|out| rpc::write_error(out, id, error.code(), &message, rpc::ErrorData::default()));
    }

    /// Sends an error response without an id and closes the connection; open requests are still answered.
    pub(super) fn dismiss(&self, error: ProtocolError) {
        if !self.is_closing() {
            self.reject_input(None, error);
            self.close();
        }
    }

    /// Starts the close: the connection's task reads the requests that have arrived, answers them and shuts
    /// down.
    pub(super) fn close(&self) {
        if !self.is_closing() {
            self.stage.set(Stage::Closing);
            self.close_requested.notify_one();
        }
    }

    /// Sends the goodbye message, which asks the gateway to close the connection.
    pub(super) fn send_goodbye(&self) {
        self.stage.set(Stage::GoodbyeSent(self.dispatcher.clock.now()));
        self.output.append(rpc::write_goodbye);
    }
}
