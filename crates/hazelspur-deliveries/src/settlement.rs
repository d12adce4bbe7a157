//! What is done with a delivery once its ending is known: a table, set for each queue.

use hazelspur::Duration;
use hazelspur::Idempotency;

/// How a delivery ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Acked,
    /// Turned away, never ran; may come back after this.
    Nacked(Duration),
    /// It ran, or may have, and brought no result.
    Failed,
    /// Its waiting time ran out before it could run.
    Expired,
    /// Its request class is not in the settings.
    Unknown,
    /// Its bytes can't be read as a request.
    Poison,
    /// It may have run before, and may not run twice.
    Doubtful,
}

impl Ending {
    pub fn name(self) -> &'static str {
        match self {
            Self::Acked => "acked",
            Self::Nacked(_) => "nacked",
            Self::Failed => "failed",
            Self::Expired => "expired",
            Self::Unknown => "unknown",
            Self::Poison => "poison",
            Self::Doubtful => "doubtful",
        }
    }
}

/// What the broker is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    Ack,
    /// Rejected: to the queue's dead letters where it has such, else dropped by the broker.
    Reject,
    /// Kept unsettled here until its come-back time, then back to the queue.
    Later,
    /// Published to the retry queue with the come-back time as its expiration, then acked.
    Retry,
}

/// A queue's settlements by ending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Table {
    pub nacked: Settlement,
    pub failed: Settlement,
    pub expired: Settlement,
    pub unknown: Settlement,
    pub poison: Settlement,
    pub doubtful: Settlement,
    /// Tried as often as allowed.
    pub exhausted: Settlement,
    pub most_tries: u32,
    /// How long a failed delivery stays away before its next try, where it gets one.
    pub failed_pause: Duration,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            nacked: Settlement::Later,
            failed: Settlement::Reject,
            expired: Settlement::Reject,
            unknown: Settlement::Reject,
            poison: Settlement::Reject,
            doubtful: Settlement::Reject,
            exhausted: Settlement::Reject,
            most_tries: 8,
            failed_pause: Duration::from_ms(1000),
        }
    }
}

impl Table {
    /// The row that can't stand and why: what would come back for ever, or goes to a queue that is not named.
    pub fn check(&self, has_retry_queue: bool) -> Result<(), (&'static str, &'static str)> {
        use Settlement::{Later, Retry};
        let rows = [
            ("nacked", self.nacked),
            ("failed", self.failed),
            ("expired", self.expired),
            ("unknown", self.unknown),
            ("poison", self.poison),
            ("doubtful", self.doubtful),
            ("exhausted", self.exhausted),
        ];
        for (row, settlement) in rows {
            let comes_back = matches!(settlement, Later | Retry);
            if comes_back && !matches!(row, "nacked" | "failed") {
                return Err((row, "would come back for ever: only ack or reject"));
            }
            if settlement == Retry && !has_retry_queue {
                return Err((row, "retry needs retry_queue"));
            }
        }
        Ok(())
    }

    /// What follows for a delivery that was tried `tries` times before. A copy in the retry queue and the
    /// original may for a while both be there, should the connection break in between: what must not run twice
    /// is never copied, and once it may have run it does not come back.
    pub fn settle(&self, ending: Ending, repeats: Idempotency, tries: u32) -> Settlement {
        let once = repeats != Idempotency::Idempotent;
        let row = match ending {
            Ending::Acked => Settlement::Ack,
            Ending::Nacked(_) => self.nacked,
            Ending::Failed if once && matches!(self.failed, Settlement::Later | Settlement::Retry) => {
                Settlement::Reject
            }
            Ending::Failed => self.failed,
            Ending::Expired => self.expired,
            Ending::Unknown => self.unknown,
            Ending::Poison => self.poison,
            Ending::Doubtful => self.doubtful,
        };
        match row {
            Settlement::Later | Settlement::Retry
                if tries + 1 >= self.most_tries && ending == Ending::Failed =>
            {
                self.exhausted
            }
            Settlement::Retry if once => Settlement::Later,
            row => row,
        }
    }

    pub fn pause(&self, ending: Ending) -> Duration {
        match ending {
            Ending::Nacked(retry_after) => retry_after,
            _ => self.failed_pause,
        }
    }
}
