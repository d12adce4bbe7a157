//! How long ago the client made its first attempt, worked out from how long it still waits for this one.
//!
//! Waits that are common in a class are those of first attempts. A request that waits less than a common value counts
//! as a retry, its age being the difference; one that waits longer than all common values counts as the last attempt of
//! a client that began a request timeout ago. Guards against late successes after retries. There is no estimate where
//! waits are random.

use crate::Duration;
use crate::statistics::SampleWindow;

/// Resolution of the waits.
const WAIT_STEP: Duration = Duration::from_ms(20);
/// Waits of a class that are remembered.
const WAIT_CAPACITY: usize = 32;
/// A wait is common if at least one in this many lies within a step of it.
const COMMON_WAIT_DIVISOR: usize = 8;

/// How long the clients of the last requests of a class still waited, in steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientWaits {
    steps: SampleWindow<u64, WAIT_CAPACITY>,
}

impl ClientWaits {
    /// Records how long a client still waits and estimates the time since its first attempt.
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
