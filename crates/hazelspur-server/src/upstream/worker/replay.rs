//! Detection of the end of a replay. The worker replays to each new connection the notices that this server
//! has not received, then answers a gauge query with a tag that names the connection.

use std::cell::Cell;
use tokio::sync::Notify;

/// Prefix of the tag of the gauge query that ends a replay, before the number of the connection.
const TAG_PREFIX: &str = "link";

/// State of the replay of the latest connection. Answers for earlier connections do not end it.
#[derive(Default)]
pub(super) struct Replay {
    /// Number of the latest connection; zero before the first.
    latest_connection: Cell<u64>,
    /// Number of the connection whose replay ended last.
    last_ended: Cell<u64>,
    end_notification: Notify,
}

impl Replay {
    /// Starts to wait for the replay of a new connection, and returns the number of the connection.
    pub(super) fn begin(&self) -> u64 {
        self.latest_connection.set(self.latest_connection.get() + 1);
        self.latest_connection.get()
    }

    /// Returns the tag of the gauge query that ends the replay of a connection.
    pub(super) fn tag(connection: u64) -> String {
        format!("{TAG_PREFIX}{connection}")
    }

    /// Records the answer to a gauge query with this tag. Returns whether it ended a replay.
    pub(super) fn answered(&self, tag: &str) -> bool {
        let Some(connection) = tag.strip_prefix(TAG_PREFIX).and_then(|number| number.parse().ok()) else {
            return false;
        };
        self.last_ended.set(connection);
        self.end_notification.notify_one();
        true
    }

    /// Waits until the replay of this connection, or of a later one, has ended.
    pub(super) async fn ended(&self, connection: u64) {
        while self.last_ended.get() < connection {
            self.end_notification.notified().await;
        }
    }
}
