//! The reasons for which the controller rejects or fails a request, one for each rule, and the share of
//! recent requests that it rejected.
//!
//! Requests that never reach the controller have reasons of their own in the server: `ProtocolError` and
//! `EarlyRejection` for a line of a gateway, `DeliveryOutcome` for a delivery of a broker.

use crate::RequestId;
use crate::statistics::SampleWindow;
use std::collections::BTreeMap;
use std::fmt;

/// Number of recent requests kept for the rejected share and the statistics of arrivals.
pub(crate) const RECENT_REQUEST_CAPACITY: usize = 64;

/// The rule that ends a request without a successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// Request class without settings (`controller/inputs.rs`).
    UnknownClass,
    /// Deadline at most one timer tick away (`scheduling/expiry.rs`).
    DeadlineReached,
    /// Imminent stop of the server, before which all requests are answered (`scheduling/expiry.rs`).
    ServerStops,
    /// End of the latency objective at most one timer tick away, after which a run has no value
    /// (`scheduling/expiry.rs`).
    ObjectiveReached,
    /// Memory limit exceeded, for which the last request in queue order is rejected (`memory.rs`).
    MemoryLimit,
    /// No memory left for the idempotency key (`idempotency.rs`).
    KeyMemoryLimit,
    /// Dependency call that is not attempted any more (`dependency/call_attempts.rs`).
    CallAttemptsExhausted,
    /// No admission token in time for a request that opens a session (`admission/session_admission.rs`).
    AdmissionRate,
    /// Receipt after the grace period of a shutdown (`scheduling/late_rejection.rs`).
    ArrivedWhileDraining,
    /// Too much work ahead for a response in time (`scheduling/late_rejection.rs`).
    WouldBeLate,
    /// Preempted run whose work is lost (`scheduling/late_rejection.rs`).
    WorkLost,
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnknownClass => "unknown_class",
            Self::DeadlineReached => "deadline_reached",
            Self::ServerStops => "server_stops",
            Self::ObjectiveReached => "objective_reached",
            Self::MemoryLimit => "memory_limit",
            Self::KeyMemoryLimit => "key_memory_limit",
            Self::CallAttemptsExhausted => "call_attempts_exhausted",
            Self::AdmissionRate => "admission_rate",
            Self::ArrivedWhileDraining => "arrived_while_draining",
            Self::WouldBeLate => "would_be_late",
            Self::WorkLost => "work_lost",
        })
    }
}

/// A request to reject or fail, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// Request to reject or fail.
    pub(crate) request: RequestId,
    /// Rule that ends the request.
    pub(crate) reason: RejectionReason,
}

/// Outcomes of the last requests, and the number of rejections by reason.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectionHistory {
    /// 1 for a rejected or failed request, 0 for one that started to run.
    recent: SampleWindow<f64, RECENT_REQUEST_CAPACITY>,
    counts: BTreeMap<RejectionReason, u64>,
}

impl RejectionHistory {
    /// Records a request that is rejected or failed.
    pub(crate) fn record_rejected(&mut self, reason: RejectionReason) {
        self.recent.push(1.0);
        self.count(reason);
    }

    /// Counts a rejection that says nothing about load; the rejected share stays as it is.
    pub(crate) fn count(&mut self, reason: RejectionReason) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Records a request that starts to run.
    pub(crate) fn record_started(&mut self) {
        self.recent.push(0.0);
    }

    /// Returns the number of recent rejections over [`RECENT_REQUEST_CAPACITY`], from 0 to 1.
    pub(crate) fn rejected_share(&self) -> f64 {
        self.recent.iter().sum::<f64>() / RECENT_REQUEST_CAPACITY as f64
    }

    /// Returns the number of requests rejected or failed since the start, by rule. Rules without any are left
    /// out.
    pub(crate) fn counts(&self) -> &BTreeMap<RejectionReason, u64> {
        &self.counts
    }

    /// Returns the number of requests that a rule has rejected or failed since the start.
    pub(crate) fn count_of(&self, reason: RejectionReason) -> u64 {
        self.counts.get(&reason).copied().unwrap_or(0)
    }
}
