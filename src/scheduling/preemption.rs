//! Which run leaves the cores: one whose client does not wait any more, where the runtime can preempt.

use crate::config::settings::Preemption;
use crate::request::{Request, RequestState};
use crate::request_table::RequestTable;
use crate::{Duration, RequestId, Timestamp};

/// A preemption is ordered again if the run goes on for this long after the last order.
const PREEMPTION_RETRY_INTERVAL: Duration = Duration::from_ms(200);

/// Whether the runtime can take a request off the cores.
pub(crate) fn is_supported(preemption: Preemption) -> bool {
    preemption != Preemption::Unsupported
}

/// The first received request whose run is to be preempted now.
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
    requests.first_received(|request| {
        !request.awaits_response && request.state == RequestState::Running && is_due(request)
    })
}
