//! Selects the requests that must get their final response now: at their deadline, before the server stops,
//! or when their run has no value any more.
//!
//! Invariant: every request is answered at least one timer tick before its deadline.

use crate::rejection::{Rejection, RejectionReason};
use crate::request::Request;
use crate::request_table::RequestTable;
use crate::scheduling::TIMER_TICK;
use crate::{RequestId, Timestamp};

/// Inputs of the rule besides the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpiryRule {
    /// Present time.
    pub(crate) now: Timestamp,
    /// Whether the server stops so soon that all requests must be answered now.
    pub(crate) is_stopping: bool,
    /// Whether the runtime can take a request off the cores.
    pub(crate) can_preempt: bool,
}

impl ExpiryRule {
    /// Returns the requests that must be answered now, the first received first.
    pub(crate) fn all(self, requests: &RequestTable) -> Vec<RequestId> {
        requests.matching_in_order_of_receipt(|request| self.reason(request).is_some())
    }

    /// Returns the rejection of a request if it must be answered now.
    pub(crate) fn rejection(self, requests: &RequestTable, request: RequestId) -> Option<Rejection> {
        let reason = self.reason(requests.get(request)?)?;
        Some(Rejection { request, reason })
    }

    /// Returns the reason for which the request must be answered now, if any.
    fn reason(self, request: &Request) -> Option<RejectionReason> {
        let before_next_tick = self.now + TIMER_TICK;
        let is_worthless = self.can_preempt
            && request.has_run
            && before_next_tick >= request.objective_at
            && !request.allows_late_response();
        if !request.awaits_response {
            None
        } else if before_next_tick >= request.deadline {
            Some(RejectionReason::DeadlineReached)
        } else if self.is_stopping {
            Some(RejectionReason::ServerStops)
        } else {
            is_worthless.then_some(RejectionReason::ObjectiveReached)
        }
    }
}
