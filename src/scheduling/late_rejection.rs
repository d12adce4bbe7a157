//! Late rejection: rejects the queued requests that cannot succeed any more, judged by the work ahead of them
//! in queue order.
//!
//! A rejected request costs little and can go to another server; one that runs in vain takes the cores from
//! others. In its early period, the first [`EARLY_SHARE_OF_TIMEOUT`] of its request timeout, a request needs
//! slack beyond its estimated wait. Most rejections therefore come early, not later when requests of higher
//! rank overtake it.

use crate::rejection::{Rejection, RejectionReason};
use crate::request::{Request, RequestState};
use crate::request_table::RequestTable;
use crate::scheduling::class_profile::ClassProfiles;
use crate::scheduling::{queue_order, slowdown};
use crate::shutdown::Shutdown;
use crate::{Duration, Timestamp};

/// Length of the early period of a request as a share of the request timeout.
const EARLY_SHARE_OF_TIMEOUT: f64 = 0.09;
/// Share of its slack that the estimated wait of a request may take in its early period.
const MAX_WAIT_SHARE_IN_EARLY_PERIOD: f64 = 0.45;
/// Lower bound of the number of concurrent runs that the estimate assumes.
const MIN_SLOTS: f64 = 1.0;

/// Returns the length of the early period of a request, which starts when the client sends it.
pub(crate) fn early_period(request: &Request) -> Duration {
    request.class.request_timeout.scaled(EARLY_SHARE_OF_TIMEOUT)
}

/// Availability of dependency calls for queued requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallEstimate {
    /// Usual latency of a call, in seconds.
    pub(crate) latency_s: f64,
    /// Call time that is available now, in seconds.
    pub(crate) available_s: f64,
    /// Mean number of concurrent calls that this server may have.
    pub(crate) concurrency: f64,
}

impl CallEstimate {
    /// Returns the time until the call-time budget covers this many calls, in seconds.
    fn wait_s(&self, calls_ahead: f64) -> f64 {
        (calls_ahead * self.latency_s - self.available_s) / self.concurrency
    }
}

/// Inputs of the rule besides the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateRejectionRule<'a> {
    /// Present time.
    pub(crate) now: Timestamp,
    /// Slowdown factor.
    pub(crate) slowdown: f64,
    /// Number of requests that may run at once.
    pub(crate) concurrency_target: f64,
    /// Availability of dependency calls.
    pub(crate) calls: CallEstimate,
    /// Shutdown in progress; `None` before a shutdown notice.
    pub(crate) shutdown: Option<Shutdown>,
    /// Time after the shutdown notice in which received requests are still served.
    pub(crate) drain_grace_period: Duration,
    /// Profiles of the request classes.
    pub(crate) profiles: &'a ClassProfiles,
}

/// Work ahead of a queued request: the running requests and those before it in queue order.
#[derive(Clone, Copy, Debug)]
struct WorkAhead {
    /// Remaining run time, in seconds.
    run_s: f64,
    requests: f64,
}

impl LateRejectionRule<'_> {
    /// Returns the queued requests that cannot succeed or must not be served, in queue order. The work ahead of
    /// a request does not include that of requests returned before it.
    pub(crate) fn all(&self, requests: &RequestTable) -> Vec<Rejection> {
        let awaiting_call = requests.count(RequestState::AwaitingCall);
        let mut ahead = WorkAhead {
            run_s: slowdown::remaining_run_s(self.now, requests, self.slowdown),
            requests: requests.count(RequestState::Running),
        };
        let mut queued: Vec<&Request> = requests.queued().collect();
        queued.sort_by(|a, b| queue_order::compare(a, b));
        let mut rejections = Vec::new();
        for request in queued {
            let wait_s = self.wait_s(ahead, awaiting_call);
            if let Some(reason) = self.reason(request, wait_s) {
                rejections.push(Rejection { request: request.id, reason });
                continue;
            }
            ahead.run_s += request.expected_run_s * self.slowdown;
            ahead.requests += 1.0;
        }
        rejections
    }

    /// Returns the wait of a request behind this work, in seconds: the longer one of the waits for cores and
    /// for calls.
    fn wait_s(&self, ahead: WorkAhead, awaiting_call: f64) -> f64 {
        let slots = self.concurrency_target.max(MIN_SLOTS);
        let core_wait_s = if ahead.requests < slots { 0.0 } else { ahead.run_s / slots };
        core_wait_s.max(self.calls.wait_s(ahead.requests + awaiting_call))
    }

    /// Returns the reason for which a request with this estimated wait is rejected, if any.
    fn reason(&self, request: &Request, wait_s: f64) -> Option<RejectionReason> {
        let grace = self.drain_grace_period;
        if self.shutdown.is_some_and(|shutdown| shutdown.rejects_arrival(request.received_at, grace)) {
            return Some(RejectionReason::ArrivedWhileDraining);
        }
        let latest_finish =
            if request.allows_late_response() { request.deadline } else { request.objective_at };
        if self.estimated_finish(request, wait_s) > latest_finish {
            return Some(RejectionReason::WouldBeLate);
        }
        (request.has_run && !request.is_paused()).then_some(RejectionReason::WorkLost)
    }

    /// Returns the time at which the run of a request with this estimated wait is expected to end.
    fn estimated_finish(&self, request: &Request, wait_s: f64) -> Timestamp {
        let is_in_early_period = self.now - request.sent_at < early_period(request);
        let wait_factor = if is_in_early_period { 1.0 / MAX_WAIT_SHARE_IN_EARLY_PERIOD } else { 1.0 };
        let run_s = request.expected_run_s * self.slowdown;
        let call_time_s = self.profiles.expected_call_time_s(request.class_id).unwrap_or(0.0);
        self.now + Duration::from_secs(wait_s).scaled(wait_factor) + Duration::from_secs(run_s + call_time_s)
    }
}
