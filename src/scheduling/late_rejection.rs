//! Late rejection: which queued request can't succeed any more, by the work ahead of it in queue order.
//!
//! A rejected request costs little and can go elsewhere; one that runs in vain takes the cores from others. A
//! new request needs slack beyond its wait, so that most rejections come early instead of when better
//! requests overtake it.

use crate::rejection::{Rejection, RejectionReason};
use crate::request::{Request, RequestState};
use crate::request_table::RequestTable;
use crate::scheduling::class_profile::ClassProfiles;
use crate::scheduling::{queue_order, slowdown};
use crate::shutdown::Shutdown;
use crate::{Duration, Timestamp};

/// The first part of the request timeout, in which a request counts as new.
const EARLY_SHARE_OF_TIMEOUT: f64 = 0.09;
/// The part of its slack that the estimated wait of a new request may take.
const MAX_WAIT_SHARE_IN_EARLY_PERIOD: f64 = 0.45;
/// The smallest number of runs at once that the estimate assumes.
const MIN_SLOTS: f64 = 1.0;

/// The time after its arrival in which a request counts as new.
pub(crate) fn early_period(request: &Request) -> Duration {
    request.class.request_timeout.scaled(EARLY_SHARE_OF_TIMEOUT)
}

/// What calls cost a queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallEstimate {
    /// Usual time of a call, in seconds.
    pub(crate) latency_s: f64,
    /// Call time that is available now, in seconds.
    pub(crate) available_s: f64,
    /// Calls at once that this server may have on average.
    pub(crate) concurrency: f64,
}

impl CallEstimate {
    /// Seconds until this many calls have found their time.
    fn wait_s(&self, calls_ahead: f64) -> f64 {
        (calls_ahead * self.latency_s - self.available_s) / self.concurrency
    }
}

/// The inputs of the rule besides the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LateRejectionRule<'a> {
    /// The time now.
    pub(crate) now: Timestamp,
    /// The slowdown factor.
    pub(crate) slowdown: f64,
    /// Requests that may run at once.
    pub(crate) concurrency_target: f64,
    /// What calls cost.
    pub(crate) calls: CallEstimate,
    /// The shutdown under way.
    pub(crate) shutdown: Option<Shutdown>,
    /// How long after the shutdown notice arriving requests are served.
    pub(crate) drain_grace_period: Duration,
    /// The profiles of the classes.
    pub(crate) profiles: &'a ClassProfiles,
}

/// The work ahead of a queued request.
#[derive(Clone, Copy, Debug)]
struct WorkAhead {
    run_s: f64,
    requests: f64,
}

impl LateRejectionRule<'_> {
    /// The first queued request, in queue order, that can't succeed.
    pub(crate) fn first(&self, requests: &RequestTable) -> Option<Rejection> {
        let awaiting_call = requests.count(RequestState::AwaitingCall);
        let mut ahead = WorkAhead {
            run_s: slowdown::remaining_run_s(self.now, requests, self.slowdown),
            requests: requests.count(RequestState::Running),
        };
        let mut queued: Vec<&Request> = requests.queued().collect();
        queued.sort_by(|a, b| queue_order::compare(a, b));
        for request in queued {
            let wait_s = self.wait_s(ahead, awaiting_call);
            if let Some(reason) = self.reason(request, wait_s) {
                return Some(Rejection { request: request.id, reason });
            }
            ahead.run_s += request.expected_run_s * self.slowdown;
            ahead.requests += 1.0;
        }
        None
    }

    /// Seconds until a request behind this work may start, by cores and by calls.
    fn wait_s(&self, ahead: WorkAhead, awaiting_call: f64) -> f64 {
        let slots = self.concurrency_target.max(MIN_SLOTS);
        let core_wait_s = if ahead.requests < slots { 0.0 } else { ahead.run_s / slots };
        core_wait_s.max(self.calls.wait_s(ahead.requests + awaiting_call))
    }

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

    fn estimated_finish(&self, request: &Request, wait_s: f64) -> Timestamp {
        let is_in_early_period = self.now - request.sent_at < early_period(request);
        let wait_factor = if is_in_early_period { 1.0 / MAX_WAIT_SHARE_IN_EARLY_PERIOD } else { 1.0 };
        let run_s = request.expected_run_s * self.slowdown;
        let call_time_s = self.profiles.expected_call_time_s(request.class_id).unwrap_or(0.0);
        self.now + Duration::from_secs(wait_s).scaled(wait_factor) + Duration::from_secs(run_s + call_time_s)
    }
}
