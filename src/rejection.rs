//! Why the controller rejects or fails a request, by rule, and the share of recent requests that it rejected.
//!
//! Requests that never reach the controller have reasons of their own in the server: `ProtocolError` and
//! `EarlyRejection` of a gateway's line, `DeliveryOutcome` of a delivery.

use crate::RequestId;
use crate::statistics::SampleWindow;
use std::collections::BTreeMap;
use std::fmt;

/// Requests whose outcome is remembered for the rejected share.
pub(crate) const RECENT_REQUEST_CAPACITY: usize = 64;

/// The rule that ends a request without a successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// No settings exist for its class (`controller/inputs.rs`).
    UnknownClass,
    /// Its deadline is one timer tick away (`scheduling/expiry.rs`).
    DeadlineReached,
    /// The server is about to stop (`scheduling/expiry.rs`).
    ServerStops,
    /// Its run has no value any more: its objective is one timer tick away (`scheduling/expiry.rs`).
    ObjectiveReached,
    /// Memory is short and it ranks last (`memory.rs`).
    MemoryLimit,
    /// No memory is left for its idempotency key (`idempotency.rs`).
    KeyMemoryLimit,
    /// Its dependency call failed as often as it may be attempted (`dependency/call_attempts.rs`).
    CallAttemptsExhausted,
    /// It opens a session and found no admission token in time (`admission/session_admission.rs`).
    AdmissionRate,
    /// It arrived after the grace period of the shutdown (`scheduling/late_rejection.rs`).
    ArrivedWhileDraining,
    /// The work ahead of it would make it late (`scheduling/late_rejection.rs`).
    WouldBeLate,
    /// Its run was preempted and the work is lost (`scheduling/late_rejection.rs`).
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

/// A request to reject or fail, and the rule that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// The request.
    pub(crate) request: RequestId,
    /// The rule.
    pub(crate) reason: RejectionReason,
}

/// The outcome of the last requests, and how often each rule rejected one.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectionHistory {
    /// 1 for a rejected or failed request, 0 for one that ran.
    recent: SampleWindow<f64, RECENT_REQUEST_CAPACITY>,
    counts: BTreeMap<RejectionReason, u64>,
}

impl RejectionHistory {
    /// Records a request that is rejected or failed.
    pub(crate) fn record_rejected(&mut self, reason: RejectionReason) {
        self.recent.push(1.0);
        self.count(reason);
    }

    /// Counts a rejection that says nothing about load.
    pub(crate) fn count(&mut self, reason: RejectionReason) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Records a request that starts to run.
    pub(crate) fn record_started(&mut self) {
        self.recent.push(0.0);
    }

    /// The rejected requests over [`RECENT_REQUEST_CAPACITY`], from 0 to 1.
    pub(crate) fn rejected_share(&self) -> f64 {
        self.recent.iter().sum::<f64>() / RECENT_REQUEST_CAPACITY as f64
    }

    /// How many requests each rule has rejected since the start; rules that rejected none are left out.
    pub(crate) fn counts(&self) -> &BTreeMap<RejectionReason, u64> {
        &self.counts
    }

    /// How many requests a rule has rejected since the start.
    pub(crate) fn count_of(&self, reason: RejectionReason) -> u64 {
        self.counts.get(&reason).copied().unwrap_or(0)
    }
}
