//! The end of a connection's replay: the worker answers a marked gauge query behind the replayed notices.

use std::cell::Cell;
use tokio::sync::Notify;

/// Starts the tag of the gauge query that ends a replay; the connection's number follows.
const TAG_PREFIX: &str = "link";

/// The replay of the latest connection; the answers of earlier connections do not count.
#[derive(Default)]
pub(super) struct Replay {
    latest_connection: Cell<u64>,
    last_ended: Cell<u64>,
    end_notification: Notify,
}

impl Replay {
    /// Begins the replay of a new connection; returns the connection's number.
    pub(super) fn begin(&self) -> u64 {
        self.latest_connection.set(self.latest_connection.get() + 1);
        self.latest_connection.get()
    }

    /// The tag of the gauge query that ends this connection's replay.
    pub(super) fn tag(connection: u64) -> String {
        format!("{TAG_PREFIX}{connection}")
    }

    /// Takes the answer to a gauge query; says whether that ended a replay.
    pub(super) fn answered(&self, tag: &str) -> bool {
        let Some(connection) = tag.strip_prefix(TAG_PREFIX).and_then(|number| number.parse().ok()) else {
            return false;
        };
        self.last_ended.set(connection);
        self.end_notification.notify_one();
        true
    }

    /// Completes once the replay of this connection, or of a later one, has ended.
    pub(super) async fn ended(&self, connection: u64) {
        while self.last_ended.get() < connection {
            self.end_notification.notified().await;
        }
    }
}
