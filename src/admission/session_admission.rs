//! Selects the queued request that is admitted next, and the one that has waited for a token for too long.
//!
//! Requests of active sessions pass first and always; those of new sessions pass in queue order while the
//! admission rate allows it. A request without a token is rejected early, so that its client still has time
//! to try another server.

use crate::admission::admission_rate::AdmissionRate;
use crate::rejection::{Rejection, RejectionReason};
use crate::request::Request;
use crate::request_table::RequestTable;
use crate::scheduling::{TIMER_TICK, late_rejection, queue_order};
use crate::{RequestId, Timestamp};

/// Returns the request that is admitted next.
pub(crate) fn next_to_admit(requests: &RequestTable, rate: &AdmissionRate) -> Option<RequestId> {
    let admits_new_session = rate.admits_new_session();
    let passes =
        |request: &Request| !request.is_admitted && (request.has_active_session || admits_new_session);
    let passing = requests.queued().filter(|request| passes(request));
    let first = passing
        .min_by(|a, b| b.has_active_session.cmp(&a.has_active_session).then(queue_order::compare(a, b)));
    first.map(|request| request.id)
}

/// Returns the first received request that has found no token within its early period
/// ([`late_rejection::early_period`]).
pub(crate) fn first_without_token(requests: &RequestTable, now: Timestamp) -> Option<Rejection> {
    let wait_by_next_tick = |request: &Request| now + TIMER_TICK - request.sent_at;
    let request = requests.first_received(|request| {
        request.state.is_queued()
            && !request.is_admitted
            && wait_by_next_tick(request) >= late_rejection::early_period(request)
    })?;
    Some(Rejection { request, reason: RejectionReason::AdmissionRate })
}
