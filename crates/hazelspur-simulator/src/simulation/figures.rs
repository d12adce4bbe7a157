//! Counts of one simulation over all its servers.

use crate::test_fleet::START;
use hazelspur::Timestamp;

/// Microseconds in a second.
const US_PER_SECOND: u64 = 1_000_000;

/// Counts of one simulation over all its servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests that clients sent, without retries.
    pub requests: u64,
    /// Requests that succeeded before their deadline.
    pub succeeded: u64,
    /// Requests that ended as rejected, after all their retries.
    pub rejected: u64,
    /// Requests that failed, were lost when their server was killed, or found no listed server.
    pub failed: u64,
    /// Requests that were answered after their deadline.
    pub late: u64,
    /// Attempts of all requests, first attempts and retries.
    pub attempts: u64,
    /// Calls that reached the dependency.
    pub calls: u64,
    /// Highest number of concurrent calls at the dependency.
    pub max_concurrent_calls: usize,
    /// Calls and probes that did not reach the dependency.
    pub unreachable_calls: u64,
    /// Datagrams that servers sent each other, lost ones included.
    pub datagrams: u64,
    /// Number of requests that succeeded in each second since the start; it is not reset.
    pub succeeded_by_second: Vec<u32>,
}

impl Figures {
    /// Returns the fraction of all requests that succeeded.
    pub fn success_fraction(&self) -> f64 {
        self.succeeded as f64 / self.requests.max(1) as f64
    }

    /// Counts a response that arrived at this time, before its deadline.
    pub(super) fn count_success(&mut self, now: Timestamp) {
        self.succeeded += 1;
        let second = ((now - START).us() / US_PER_SECOND) as usize;
        if self.succeeded_by_second.len() <= second {
            self.succeeded_by_second.resize(second + 1, 0);
        }
        self.succeeded_by_second[second] += 1;
    }
}
