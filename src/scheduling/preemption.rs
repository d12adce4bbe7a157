//! Selects the run to preempt: one whose response nobody awaits, where the runtime supports preemption.

use crate::config::settings::Preemption;
use crate::request::Request;
use crate::request_table::RequestTable;
use crate::{Duration, RequestId, Timestamp};

/// Time after which a preemption is ordered again if the run still goes on.
const PREEMPTION_RETRY_INTERVAL: Duration = Duration::from_ms(200);

/// Returns whether the runtime can take a request off the cores.
pub(crate) fn is_supported(preemption: Preemption) -> bool {
    preemption != Preemption::Unsupported
}

/// Returns the first received request whose run must be preempted now.
pub(crate) fn first_unawaited_run(
    requests: &RequestTable,
    now: Timestamp,
    preemption: Preemption,
) -> Option<RequestId> {
    if !is_supported(preemption) {
        return None;
    }
    let is_due = |request: &Request| {
        request.preempted_at.is_none_or(|ordered| now - ordered > PREEMPTION_RETRY_INTERVAL)
    };
    let unawaited = requests.running().filter(|request| !request.awaits_response && is_due(request));
    unawaited.min_by_key(|request| request.sequence).map(|request| request.id)
}
