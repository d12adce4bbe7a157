//! Estimates the time since a client's first attempt from the time that the client still waits for the
//! current one.
//!
//! Remaining waits that are common in a class are those of first attempts. A request whose client waits less
//! than a common value counts as a retry, and the difference is its age. A request whose client waits longer
//! than every common value counts as the last attempt of a client that gives up one request timeout after its
//! first. The estimate guards against late successes after retries. There is no estimate where the waits are
//! random.

use crate::Duration;
use crate::statistics::SampleWindow;

/// Resolution of remaining waits.
const WAIT_STEP: Duration = Duration::from_ms(20);
/// Number of recent waits kept for each class.
const WAIT_CAPACITY: usize = 32;
/// A wait is common if at least one in this many recent waits lies within one step of it.
const COMMON_WAIT_DIVISOR: usize = 8;

/// Remaining waits of the clients of the last requests of a class, in steps of [`WAIT_STEP`].
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientWaits {
    steps: SampleWindow<u64, WAIT_CAPACITY>,
}

impl ClientWaits {
    /// Records how long a client still waits, and returns the estimated time since its first attempt.
    pub(crate) fn record(&mut self, remaining: Duration, request_timeout: Duration) -> Duration {
        let step = remaining.us() / WAIT_STEP.us();
        self.steps.push(step);
        let count_nearby = |step: u64| self.steps.iter().filter(|other| other.abs_diff(step) <= 1).count();
        let is_common = |step: &u64| count_nearby(*step) * COMMON_WAIT_DIVISOR >= self.steps.len();
        let common_steps: Vec<u64> = self.steps.iter().filter(is_common).collect();
        match common_steps.iter().copied().filter(|common| *common + 1 >= step).min() {
            Some(common) => Duration::from_us(common.saturating_sub(step + 1) * WAIT_STEP.us()),
            None if !common_steps.is_empty() => request_timeout - remaining,
            None => Duration::ZERO,
        }
    }
}
