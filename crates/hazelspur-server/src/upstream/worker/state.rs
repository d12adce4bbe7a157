//! State of the worker process, its runs and its notices, which outlasts the single connections of the link.

use super::gauges::GaugeQuery;
use super::replay::Replay;
use super::runs::RunTable;
use crate::clock::to_std;
use crate::request::dispatcher::Dispatcher;
use crate::request::event::{Completion, RequestEvent};
use hazelspur::{Duration, Timestamp};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// Status that the worker last sent.
#[derive(Clone, Copy, Debug)]
pub struct WorkerStatus {
    /// Whether the worker has warmed up.
    pub is_warm: bool,
    /// Time since the start of the worker when it sent the status.
    pub uptime: Duration,
}

/// State of the link that outlasts its connections.
pub(super) struct LinkState {
    /// Dispatcher, to which events of requests are delivered.
    pub(super) dispatcher: Rc<Dispatcher>,
    /// Table of the runs that have not ended.
    pub(super) runs: RefCell<RunTable>,
    /// Latest gauge query.
    pub(super) gauge_query: GaugeQuery,
    /// Replay of the latest connection.
    pub(super) replay: Replay,
    /// Number of the last notice that was received; zero before the first.
    last_notice: Cell<u64>,
    /// Time of the last receipt of data over a synchronized connection; `None` before the first. A worker
    /// that was started later is a new process.
    last_received: Cell<Option<Timestamp>>,
    /// Last status of the worker; `None` until it is ready for the first time.
    status: Cell<Option<WorkerStatus>>,
    status_notification: Notify,
}

impl LinkState {
    /// Creates the state before the first connection.
    pub(super) fn new(dispatcher: Rc<Dispatcher>) -> Self {
        Self {
            dispatcher,
            runs: RefCell::default(),
            gauge_query: GaugeQuery::default(),
            replay: Replay::default(),
            last_notice: Cell::new(0),
            last_received: Cell::new(None),
            status: Cell::new(None),
            status_notification: Notify::new(),
        }
    }

    /// Waits until the worker is ready and returns its status.
    pub(super) async fn ready(&self) -> WorkerStatus {
        loop {
            if let Some(status) = self.status.get() {
                return status;
            }
            self.status_notification.notified().await;
        }
    }

    /// Returns the number of the last notice that was received.
    pub(super) fn last_notice(&self) -> u64 {
        self.last_notice.get()
    }

    /// Returns whether a notice is new, and records it as received. Notices that a replay repeats are not
    /// new.
    pub(super) fn is_new_notice(&self, number: u64) -> bool {
        let is_new = number > self.last_notice.get();
        self.last_notice.set(number.max(self.last_notice.get()));
        is_new
    }

    /// Records the receipt of data over a synchronized connection.
    pub(super) fn record_received(&self) {
        self.last_received.set(Some(self.dispatcher.clock.monotonic()));
    }

    /// Stores the status of the worker. If the worker was started after the last receipt of data, it is a new
    /// process and the runs of the former one fail.
    pub(super) fn worker_ready(&self, status: WorkerStatus) {
        let started = self.dispatcher.clock.monotonic().saturating_sub(status.uptime);
        if self.last_received.get().is_some_and(|last_received| started > last_received) {
            self.worker_restarted();
        }
        if self.status.replace(Some(status)).is_none() {
            log::info!(hot = status.is_warm, up_ms = to_std(status.uptime).as_millis() as u64; "worker ready");
        }
        self.status_notification.notify_waiters();
    }

    /// Expects notices of a new process, which numbers them from 1, and fails the runs that were sent to the
    /// former process, since they may have run.
    fn worker_restarted(&self) {
        self.last_notice.set(0);
        let failed_requests = self.runs.borrow_mut().remove_sent();
        log::warn!(runs = failed_requests.len(); "worker restarted");
        for request in failed_requests {
            self.dispatcher.deliver(request, RequestEvent::Finished(Completion::failed()));
        }
    }
}
