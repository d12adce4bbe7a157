//! Decisions: the instructions of the controller to its host.

use crate::{ControllerEvent, Duration, RequestId, Timestamp};

/// An instruction of the controller to its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start of a queued request, or resumption of a paused one.
    Run(RequestId),
    /// Preemption: removal of a running request from the cores.
    Preempt(RequestId),
    /// Final response of a request that never ran: it is rejected.
    Reject {
        /// Request that is rejected.
        request: RequestId,
        /// Delay after which the client may retry here; zero where the response states none.
        retry_after: Duration,
        /// Whether the client should not retry at another server either.
        do_not_retry_elsewhere: bool,
    },
    /// Final response with an error that leaves open whether the request took effect.
    Fail(RequestId),
    /// Final response of a queued retry, with the result of the request that it retries.
    AnswerFromOriginal(RequestId),
    /// Start of the dependency call that a run waits for.
    StartCall {
        /// Request whose run waits for the call.
        request: RequestId,
        /// Longest time that the call may take.
        timeout: Duration,
    },
    /// Continuation of a run without its dependency call.
    SkipCall(RequestId),
    /// Storage of the idempotency key of a request.
    StoreKey {
        /// Request whose key is stored.
        request: RequestId,
        /// Time for which the key is stored (the deduplication window).
        window: Duration,
    },
    /// Removal of the stored idempotency key of a request that never ran.
    RemoveKey(RequestId),
    /// Capacity figure to send with every response from now on.
    AdvertiseCapacity(f64),
    /// Health of this server, for health checks.
    SetHealth {
        /// Whether the server accepts requests.
        active: bool,
        /// Whether health checks may be answered from the last report.
        cached: bool,
    },
    /// Idle time after which a connection is closed; zero stands for the longest time.
    SetIdleTimeout(Duration),
    /// Time of the next call of `timer_tick`.
    SetTimer(Timestamp),
    /// Event to write to the log.
    Log(ControllerEvent),
}
