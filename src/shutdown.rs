//! Draining after a shutdown notice.

use crate::{Duration, Timestamp};

/// All requests are answered this long before the server stops.
const RESPONSE_MARGIN: Duration = Duration::from_ms(250);

/// A shutdown under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// When the notice came.
    pub(crate) notified_at: Timestamp,
    /// When the server stops.
    pub(crate) stops_at: Timestamp,
}

impl Shutdown {
    /// Whether all requests must be answered now.
    pub(crate) fn is_stopping(self, now: Timestamp) -> bool {
        now >= self.stops_at.saturating_sub(RESPONSE_MARGIN)
    }

    /// Whether a request is too late to be served that was received at this time, whenever its client sent it.
    pub(crate) fn rejects_arrival(self, received: Timestamp, grace_period: Duration) -> bool {
        received > self.notified_at + grace_period
    }
}
