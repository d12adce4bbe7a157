//! Gauge queries: the worker's figures, asked for when the controller's timer is due.

use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// The latest gauge query and its answer. Queries are numbered from 1.
#[derive(Default)]
pub(super) struct GaugeQuery {
    latest_number: Cell<u64>,
    /// The last query that was answered: whatever was sent before it has been read.
    last_answered_number: Cell<u64>,
    values: RefCell<Option<Vec<f64>>>,
    answer_notification: Notify,
}

impl GaugeQuery {
    /// The number of the latest query.
    pub(super) fn latest(&self) -> u64 {
        self.latest_number.get()
    }

    /// The number of the last query that was answered in time.
    pub(super) fn last_answered(&self) -> u64 {
        self.last_answered_number.get()
    }

    /// Begins a query; returns its number, which is its tag too.
    pub(super) fn begin(&self) -> u64 {
        self.latest_number.set(self.latest_number.get() + 1);
        self.values.take();
        self.latest_number.get()
    }

    /// Takes an answer; one to another query than the latest is ignored.
    pub(super) fn answer(&self, tag: &str, values: &[f64]) {
        if tag.parse() != Ok(self.latest_number.get()) {
            return;
        }
        self.last_answered_number.set(self.latest_number.get());
        self.values.replace(Some(values.to_vec()));
        self.answer_notification.notify_one();
    }

    /// The values of the latest query, once they are there.
    pub(super) async fn values(&self) -> Vec<f64> {
        loop {
            if let Some(values) = self.values.take() {
                return values;
            }
            self.answer_notification.notified().await;
        }
    }
}
