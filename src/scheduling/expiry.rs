//! Selects the request that must get its final response now: at its deadline, before the server stops, or
//! when its run has no value any more.
//!
//! Invariant: every request is answered at least one timer tick before its deadline.

use crate::Timestamp;
use crate::rejection::{Rejection, RejectionReason};
use crate::request::Request;
use crate::request_table::RequestTable;
use crate::scheduling::TIMER_TICK;

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
    /// Returns the first received request that must be answered now.
    pub(crate) fn first(self, requests: &RequestTable) -> Option<Rejection> {
        let request = requests.first_received(|request| self.reason(request).is_some())?;
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
