//! The Retry-After delay of a rejected client, and whether the client should retry at another server.

use crate::Duration;
use crate::scheduling::TIMER_TICK;

/// Smallest jitter factor on the delay.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Width of the range of the jitter factor.
const JITTER_RANGE: f64 = 0.5;
/// Rejected share above which high demand is the cause, and retries elsewhere cost more than they gain.
const MAX_REJECTED_SHARE_FOR_RETRY: f64 = 0.3;
/// Share of the expected run time that must be left of the latency objective for a retry elsewhere to
/// succeed.
const MIN_RUN_SHARE_FOR_RETRY: f64 = 0.5;

/// Inputs of the Retry-After delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryAfterInputs {
    /// Work of the running and queued requests, in seconds.
    pub(crate) work_s: f64,
    /// Cores of the worker process.
    pub(crate) cores: f64,
    /// Mean time between two requests of the client, in seconds.
    pub(crate) client_gap_s: f64,
    /// Longest delay that the settings allow.
    pub(crate) max: Duration,
}

impl RetryAfterInputs {
    /// Returns the delay: until the running and queued work is done, but no longer than the usual gap between
    /// requests of the client, so that a rejection keeps away about one request. The delay is one timer tick
    /// at least and `max` at most. `jitter`, from 0 to 1, keeps clients from coming back at the same time.
    pub(crate) fn delay(self, jitter: f64) -> Duration {
        let factor = MIN_JITTER_FACTOR + JITTER_RANGE * jitter;
        let work_done_s = self.work_s / self.cores;
        Duration::from_secs(work_done_s.min(self.client_gap_s)).scaled(factor).max(TIMER_TICK).min(self.max)
    }
}

/// Returns the time that must be left of the latency objective for a retry at another server, in seconds.
pub(crate) fn min_run_for_retry_s(expected_run_s: f64) -> f64 {
    expected_run_s * MIN_RUN_SHARE_FOR_RETRY
}

/// Returns whether so many requests are rejected that retries elsewhere would only add load. Guards against
/// retry storms; does harm where clients select this server only.
pub(crate) fn is_demand_too_high(rejected_share: f64) -> bool {
    rejected_share > MAX_REJECTED_SHARE_FOR_RETRY
}
