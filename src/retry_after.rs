//! When a rejected client may retry here, and whether it may retry elsewhere.

use crate::Duration;
use crate::scheduling::TIMER_TICK;

/// The smallest factor on the delay.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// The width of the factor's range.
const JITTER_RANGE: f64 = 0.5;
/// Above this rejected share, demand is the cause, and retries elsewhere cost more than they bring.
const MAX_REJECTED_SHARE_FOR_RETRY: f64 = 0.3;
/// The part of its run that must fit into a request's objective for a retry elsewhere to succeed.
const MIN_RUN_SHARE_FOR_RETRY: f64 = 0.5;

/// The inputs of the delay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryAfterInputs {
    /// Seconds of work in hand, running and queued.
    pub(crate) work_s: f64,
    /// Cores of the runtime.
    pub(crate) cores: f64,
    /// The client's mean time between two requests, in seconds.
    pub(crate) client_gap_s: f64,
    /// The longest delay that the settings allow.
    pub(crate) max: Duration,
}

impl RetryAfterInputs {
    /// The delay: until the work in hand is done, but not longer than the client's usual gap, so that a
    /// rejection keeps away about one request. The jitter, from 0 to 1, keeps clients from coming back
    /// together.
    pub(crate) fn delay(self, jitter: f64) -> Duration {
        let factor = MIN_JITTER_FACTOR + JITTER_RANGE * jitter;
        let work_done_s = self.work_s / self.cores;
        Duration::from_secs(work_done_s.min(self.client_gap_s)).scaled(factor).max(TIMER_TICK).min(self.max)
    }
}

/// Seconds of a run that must still fit into the objective for a retry at another server.
pub(crate) fn min_run_for_retry_s(expected_run_s: f64) -> f64 {
    expected_run_s * MIN_RUN_SHARE_FOR_RETRY
}

/// Whether so many requests are rejected that retries elsewhere would only add load. Guards against retry
/// storms; does harm where clients seek out only this server.
pub(crate) fn is_demand_too_high(rejected_share: f64) -> bool {
    rejected_share > MAX_REJECTED_SHARE_FOR_RETRY
}
