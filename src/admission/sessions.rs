//! Active sessions (Wu, Tantawi and Yu, section II): those for which a run has started on this server within
//! the last [`SESSION_IDLE_TIMEOUT`].

use crate::last_seen::LastSeen;
use crate::{Duration, SessionKey, Timestamp};

/// Time without the start of a run after which a session is no longer active.
const SESSION_IDLE_TIMEOUT: Duration = Duration::from_ms(20_000);

/// Time of the last start of a run on this server, by session.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveSessions {
    last_runs: LastSeen<SessionKey>,
}

impl ActiveSessions {
    /// Records that a run of the session starts.
    pub(crate) fn record_run(&mut self, now: Timestamp, session: SessionKey) {
        self.last_runs.record(session, now, SESSION_IDLE_TIMEOUT);
    }

    /// Returns whether the session is active.
    pub(crate) fn is_active(&self, now: Timestamp, session: SessionKey) -> bool {
        self.last_runs.get(&session).is_some_and(|last| now - last < SESSION_IDLE_TIMEOUT)
    }
}
