//! Active sessions (the paper's section II): those with a run here within the last [`SESSION_IDLE_TIMEOUT`].

use crate::last_seen::LastSeen;
use crate::{Duration, SessionKey, Timestamp};

/// A session without a run for this long is not active any more.
const SESSION_IDLE_TIMEOUT: Duration = Duration::from_ms(20_000);

/// When each session last had a run start here.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveSessions {
    last_runs: LastSeen<SessionKey>,
}

impl ActiveSessions {
    /// Records that a run of the session starts.
    pub(crate) fn record_run(&mut self, now: Timestamp, session: SessionKey) {
        self.last_runs.record(session, now, SESSION_IDLE_TIMEOUT);
    }

    /// Whether the session is active.
    pub(crate) fn is_active(&self, now: Timestamp, session: SessionKey) -> bool {
        self.last_runs.get(&session).is_some_and(|last| now - last < SESSION_IDLE_TIMEOUT)
    }
}
