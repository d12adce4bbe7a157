//! Selects the dependency call that starts next, and sets its timeout.
//!
//! Guards against slow phases of the dependency, at the cost of giving up calls for which other servers may
//! have capacity left.

use crate::dependency::call_attempts;
use crate::dependency::call_budget::{CallBudget, CallLimits};
use crate::request::{Request, RequestState};
use crate::request_table::RequestTable;
use crate::scheduling::{TIMER_TICK, queue_order};
use crate::{Duration, RequestId, Timestamp};

/// Ratio of the maximum number of concurrent calls to the mean concurrency. All servers meet a slow phase at
/// the same time and must not spend all their saved call time at once.
const MAX_CONCURRENCY_FACTOR: f64 = 2.0;
/// Number of concurrent calls that every server may have, however small its share is.
const MIN_CONCURRENCY: f64 = 1.0;
/// Timeout of an attempt that may be retried, in usual call latencies: a lost reply must not block its run.
const RETRYABLE_TIMEOUT_LATENCIES: f64 = 8.0;

/// Returns the request whose call starts next; `None` if no call may start now.
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
    let ready = requests.started().filter(|request| call_attempts::is_ready(request, now));
    ready.min_by(|a, b| queue_order::compare(a, b)).map(|request| request.id)
}

/// Returns the timeout of an attempt that starts now. It ends at the deadline at the latest, is no longer
/// than the budget lasts and, for an attempt that may be retried, no longer than a few usual latencies; it is
/// one timer tick at least.
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
