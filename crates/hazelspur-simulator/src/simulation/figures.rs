//! The counts of one simulation, over all its servers.

use crate::test_fleet::START;
use hazelspur::Timestamp;

/// Microseconds in a second.
const US_PER_SECOND: u64 = 1_000_000;

/// Counts over all servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests that clients began.
    pub requests: u64,
    /// Requests that succeeded before their deadline.
    pub succeeded: u64,
    /// Requests that were rejected and not attempted again.
    pub rejected: u64,
    /// Requests that failed, were lost with their server, or found no server.
    pub failed: u64,
    /// Requests that were answered after their deadline.
    pub late: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Calls that the ledger began.
    pub calls: u64,
    /// The greatest number of concurrent calls at the ledger.
    pub max_concurrent_calls: usize,
    /// Calls and probes that did not reach the ledger.
    pub unreachable_calls: u64,
    /// Datagrams between servers.
    pub datagrams: u64,
    /// Requests that succeeded in each second of the simulation.
    pub succeeded_by_second: Vec<u32>,
}

impl Figures {
    /// Fraction of all requests that succeeded.
    pub fn success_fraction(&self) -> f64 {
        self.succeeded as f64 / self.requests.max(1) as f64
    }

    pub(super) fn count_success(&mut self, now: Timestamp) {
        self.succeeded += 1;
        let second = ((now - START).us() / US_PER_SECOND) as usize;
        if self.succeeded_by_second.len() <= second {
            self.succeeded_by_second.resize(second + 1, 0);
        }
        self.succeeded_by_second[second] += 1;
    }
}
