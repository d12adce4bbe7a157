//! Decisions: what the host does next.

use crate::{ControllerEvent, Duration, RequestId, Timestamp};

/// One instruction of the controller to its host.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start a queued request, or resume a paused one.
    Run(RequestId),
    /// Take a running request off the cores.
    Preempt(RequestId),
    /// Final response: rejected, never ran.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// When the client may retry here; zero says nothing about it.
        retry_after: Duration,
        /// Whether the client should not retry at another server either.
        do_not_retry_elsewhere: bool,
    },
    /// Final response: an error that says nothing about whether the request took effect.
    Fail(RequestId),
    /// Answer a queued retry with the result of the request that it retries.
    AnswerFromOriginal(RequestId),
    /// Make the dependency call that a running request waits for.
    StartCall {
        /// The waiting request.
        request: RequestId,
        /// The longest time that the call may take.
        timeout: Duration,
    },
    /// Continue the request without its dependency call.
    SkipCall(RequestId),
    /// Store the idempotency key of a request.
    StoreKey {
        /// The request whose key is stored.
        request: RequestId,
        /// How long the key is stored.
        window: Duration,
    },
    /// Remove the stored idempotency key of a request that never ran.
    RemoveKey(RequestId),
    /// Send this capacity figure with every response.
    AdvertiseCapacity(f64),
    /// Report this server's health.
    SetHealth {
        /// Whether the server takes requests.
        active: bool,
        /// Whether health checks may be answered from the last report.
        cached: bool,
    },
    /// Close connections that were idle for this long; zero stands for the longest time.
    SetIdleTimeout(Duration),
    /// Call `timer_tick` at this time.
    SetTimer(Timestamp),
    /// Write this event to the log.
    Log(ControllerEvent),
}
