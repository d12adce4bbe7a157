//! Which call starts next, and its timeout.
//!
//! Guards against slow spells of the dependency; gives up calls for which other servers may have left
//! capacity.

use crate::dependency::call_attempts;
use crate::dependency::call_budget::{CallBudget, CallLimits};
use crate::request::{Request, RequestState};
use crate::request_table::RequestTable;
use crate::scheduling::{TIMER_TICK, queue_order};
use crate::{Duration, RequestId, Timestamp};

/// Calls at once, over the mean concurrency: all servers meet a slow spell together and must not spend all
/// savings at once.
const MAX_CONCURRENCY_FACTOR: f64 = 2.0;
/// Calls at once that any server may have.
const MIN_CONCURRENCY: f64 = 1.0;
/// Timeout of an attempt that may be retried, in usual call latencies: a lost reply must not block its run.
const RETRYABLE_TIMEOUT_LATENCIES: f64 = 8.0;

/// The request whose call starts next.
pub(crate) fn next_call(
    requests: &RequestTable,
    now: Timestamp,
    budget: &CallBudget,
    limits: CallLimits,
) -> Option<RequestId> {
    let calls = requests.count(RequestState::Calling) + 1.0;
    let max_calls = (MAX_CONCURRENCY_FACTOR * limits.mean_concurrency).max(MIN_CONCURRENCY);
    if budget.is_insufficient(limits) || calls > max_calls {
        return None;
    }
    let ready = requests.iter().filter(|request| call_attempts::is_ready(request, now));
    ready.min_by(|a, b| queue_order::compare(a, b)).map(|request| request.id)
}

/// The timeout of an attempt that starts now: until the deadline, but not longer than the budget lasts, and
/// for an attempt that may be retried not longer than a few usual calls.
pub(crate) fn timeout(
    request: &Request,
    now: Timestamp,
    budget: &CallBudget,
    time_to_exhaustion: Duration,
) -> Duration {
    let usual_s = budget.usual_latency_s().unwrap_or(f64::INFINITY);
    let max_s = if call_attempts::is_last_attempt(request) {
        f64::INFINITY
    } else {
        usual_s * RETRYABLE_TIMEOUT_LATENCIES
    };
    (request.deadline - now).min(time_to_exhaustion).min(Duration::from_secs(max_s)).max(TIMER_TICK)
}
