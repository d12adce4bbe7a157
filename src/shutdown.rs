//! The shutdown of a server: draining after a notice, and the last responses before the stop.

use crate::{Duration, Timestamp};

/// Time before the stop of the server at which all requests are answered.
const RESPONSE_MARGIN: Duration = Duration::from_ms(250);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Time of the shutdown notice.
    pub(crate) notified_at: Timestamp,
    /// Time at which the server stops.
    pub(crate) stops_at: Timestamp,
}

impl Shutdown {
    /// Returns whether all requests must be answered now.
    pub(crate) fn is_stopping(self, now: Timestamp) -> bool {
        now >= self.stops_at.saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns whether a request received at this time comes after the grace period, whenever its client sent
    /// it.
    pub(crate) fn rejects_arrival(self, received_at: Timestamp, grace_period: Duration) -> bool {
        received_at > self.notified_at + grace_period
    }
}
