//! Queries of the worker's gauges, which are made whenever the controller's timer is due.

use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// Latest gauge query and its answer. Queries are numbered from 1.
#[derive(Default)]
pub(super) struct GaugeQuery {
    /// Number of the latest query; zero before the first.
    latest_number: Cell<u64>,
    /// Number of the last query that was answered. The worker has read all that was sent before that query.
    last_answered_number: Cell<u64>,
    /// Answer to the latest query; `None` until it arrives and after it was taken.
    values: RefCell<Option<Vec<f64>>>,
    answer_notification: Notify,
}

impl GaugeQuery {
    /// Returns the number of the latest query.
    pub(super) fn latest(&self) -> u64 {
        self.latest_number.get()
    }

    /// Returns the number of the last query that was answered before the next one began.
    pub(super) fn last_answered(&self) -> u64 {
        self.last_answered_number.get()
    }

    /// Begins a query and returns its number, which is also its tag.
    pub(super) fn begin(&self) -> u64 {
        self.latest_number.set(self.latest_number.get() + 1);
        self.values.take();
        self.latest_number.get()
    }

    /// Stores the answer to a query; answers to other queries than the latest are ignored.
    pub(super) fn answer(&self, tag: &str, values: &[f64]) {
        if tag.parse() != Ok(self.latest_number.get()) {
            return;
        }
        self.last_answered_number.set(self.latest_number.get());
        self.values.replace(Some(values.to_vec()));
        self.answer_notification.notify_one();
    }

    /// Waits for the answer to the latest query and returns its values.
    pub(super) async fn values(&self) -> Vec<f64> {
        loop {
            if let Some(values) = self.values.take() {
                return values;
            }
            self.answer_notification.notified().await;
        }
    }
}
