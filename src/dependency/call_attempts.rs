//! Attempts of a dependency call: their maximum number, their retries, and the calls that are not attempted
//! any more.

use crate::request::{Request, RequestState};
use crate::request_table::RequestTable;
use crate::{Duration, Outcome, RequestId, Timestamp};

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 3;
/// Delay of a retry after a rejection, for each attempt made so far.
const RETRY_DELAY_PER_ATTEMPT: Duration = Duration::from_ms(50);

/// Returns whether the request waits for a call that may be started or given up now.
pub(crate) fn is_ready(request: &Request, now: Timestamp) -> bool {
    request.state == RequestState::AwaitingCall && request.awaits_response && request.call.not_before <= now
}

/// Returns the first received request whose call is not attempted any more: its attempts are used up, or the
/// circuit breaker is open and a degraded response has value.
pub(crate) fn first_without_attempts(
    requests: &RequestTable,
    now: Timestamp,
    is_breaker_open: bool,
) -> Option<RequestId> {
    let is_without_attempts = |request: &&Request| {
        let skips_call = is_breaker_open && request.allows_degraded_response();
        is_ready(request, now) && (request.call.attempts >= MAX_ATTEMPTS || skips_call)
    };
    let without_attempts = requests.started().filter(is_without_attempts);
    without_attempts.min_by_key(|request| request.sequence).map(|request| request.id)
}

/// Returns whether no further attempt may follow the one in progress.
pub(crate) fn is_last_attempt(request: &Request) -> bool {
    request.call.attempts >= MAX_ATTEMPTS || !request.is_idempotent()
}

/// Schedules the next attempt after a failed one. Only a call that never ran is delayed, since only a
/// rejection says something about load. A call that may have run is repeated only if the request is
/// idempotent.
pub(crate) fn plan_retry(request: &mut Request, now: Timestamp, outcome: Outcome) {
    let never_ran = outcome.proves_never_ran();
    let delay_factor = if never_ran { request.call.attempts } else { 0 };
    request.state = RequestState::AwaitingCall;
    request.call.not_before = now + RETRY_DELAY_PER_ATTEMPT.scaled(f64::from(delay_factor));
    if !never_ran && !request.is_idempotent() {
        request.call.attempts = MAX_ATTEMPTS;
    }
}
