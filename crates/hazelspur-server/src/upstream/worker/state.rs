//! What is known of the worker process, its runs and its notices, whichever connection brought it.

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

/// What the worker last stated about itself.
#[derive(Clone, Copy, Debug)]
pub struct WorkerStatus {
    /// Whether it started warm.
    pub is_warm: bool,
    /// How long it was up then.
    pub uptime: Duration,
}

/// The state of the link that outlasts its connections.
pub(super) struct LinkState {
    /// Host of the controller; gets what notices say of requests.
    pub(super) dispatcher: Rc<Dispatcher>,
    /// Runs that have not ended.
    pub(super) runs: RefCell<RunTable>,
    /// The latest gauge query.
    pub(super) gauge_query: GaugeQuery,
    /// The replay of the latest connection.
    pub(super) replay: Replay,
    last_notice: Cell<u64>,
    /// When something last came over a synchronized connection: a worker that started later is another one.
    last_received: Cell<Option<Timestamp>>,
    status: Cell<Option<WorkerStatus>>,
    status_notification: Notify,
}

impl LinkState {
    /// The state before the first connection.
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

    /// The worker's status, once it is up.
    pub(super) async fn ready(&self) -> WorkerStatus {
        loop {
            if let Some(status) = self.status.get() {
                return status;
            }
            self.status_notification.notified().await;
        }
    }

    /// The number of the last notice that was received.
    pub(super) fn last_notice(&self) -> u64 {
        self.last_notice.get()
    }

    /// Whether a notice is new; one that a replay repeats is not.
    pub(super) fn is_new_notice(&self, number: u64) -> bool {
        let is_new = number > self.last_notice.get();
        self.last_notice.set(number.max(self.last_notice.get()));
        is_new
    }

    /// Records that something came over a synchronized connection.
    pub(super) fn record_received(&self) {
        self.last_received.set(Some(self.dispatcher.clock.monotonic()));
    }

    /// Takes the worker's status; one that started after the last notice is another process.
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

    /// The new process numbers its notices from 1, and what the former one was sent may have run.
    fn worker_restarted(&self) {
        self.last_notice.set(0);
        let failed_requests = self.runs.borrow_mut().remove_sent();
        log::warn!(runs = failed_requests.len(); "worker restarted");
        for request in failed_requests {
            self.dispatcher.deliver(request, RequestEvent::Finished(Completion::failed()));
        }
    }
}
