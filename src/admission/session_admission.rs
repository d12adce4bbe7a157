//! Which queued request passes admission next, and which one has waited for a token for too long.
//!
//! Active sessions pass first and always; new sessions pass in queue order while the admission rate allows
//! it. A new session that finds no token early is rejected early, so that its client can go elsewhere in
//! time.

use crate::admission::admission_rate::AdmissionRate;
use crate::rejection::{Rejection, RejectionReason};
use crate::request::Request;
use crate::request_table::RequestTable;
use crate::scheduling::{TIMER_TICK, late_rejection, queue_order};
use crate::{RequestId, Timestamp};

/// The request that is admitted next.
pub(crate) fn next_to_admit(requests: &RequestTable, rate: &AdmissionRate) -> Option<RequestId> {
    let admits_new_session = rate.admits_new_session();
    let passes =
        |request: &Request| !request.is_admitted && (request.has_active_session || admits_new_session);
    let passing = requests.queued().filter(|request| passes(request));
    let first = passing
        .min_by(|a, b| b.has_active_session.cmp(&a.has_active_session).then(queue_order::compare(a, b)));
    first.map(|request| request.id)
}

/// The first received request that found no token within the early part of its time.
pub(crate) fn first_without_token(requests: &RequestTable, now: Timestamp) -> Option<Rejection> {
    let wait_by_next_tick = |request: &Request| now + TIMER_TICK - request.sent_at;
    let request = requests.first_received(|request| {
        request.state.is_queued()
            && !request.is_admitted
            && wait_by_next_tick(request) >= late_rejection::early_period(request)
    })?;
    Some(Rejection { request, reason: RejectionReason::AdmissionRate })
}
