//! Selects the queued requests that are admitted, and those that have waited for a token for too long.
//!
//! Requests of active sessions pass first and always; those of new sessions pass in queue order while the
//! admission rate allows it. A request without a token is rejected early, so that its client still has time
//! to try another server.

use crate::admission::admission_rate::AdmissionRate;
use crate::request::Request;
use crate::request_table::RequestTable;
use crate::scheduling::{TIMER_TICK, late_rejection, queue_order};
use crate::{RequestId, Timestamp};

/// Returns whether a request waits for admission.
pub(crate) fn awaits_admission(request: &Request) -> bool {
    request.state.is_queued() && !request.is_admitted
}

/// Returns the requests that wait for admission, in the order in which they are admitted.
pub(crate) fn all_awaiting_admission(requests: &RequestTable) -> Vec<RequestId> {
    let mut waiting: Vec<&Request> = requests.queued().filter(|request| awaits_admission(request)).collect();
    waiting.sort_by(|a, b| b.has_active_session.cmp(&a.has_active_session).then(queue_order::compare(a, b)));
    waiting.into_iter().map(|request| request.id).collect()
}

/// Returns whether a request that waits for admission may pass now.
pub(crate) fn may_pass(request: &Request, rate: &AdmissionRate) -> bool {
    request.has_active_session || rate.admits_new_session()
}

/// Returns the requests that have found no token within their early period
/// ([`late_rejection::early_period`]), the first received first.
pub(crate) fn all_without_token(requests: &RequestTable, now: Timestamp) -> Vec<RequestId> {
    let wait_by_next_tick = |request: &Request| now + TIMER_TICK - request.sent_at;
    requests.matching_in_order_of_receipt(|request| {
        awaits_admission(request) && wait_by_next_tick(request) >= late_rejection::early_period(request)
    })
}
