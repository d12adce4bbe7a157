//! What others learn about this server's load: the capacity advertised to clients and the load report for the
//! fleet.

use crate::arrivals::RecentArrivals;
use crate::dependency::call_budget::MEAN_USE_OF_SHARE;

/// The part of the spare capacity that is advertised: what clients send in vain costs more than the choice
/// among more requests brings.
const ADVERTISED_SHARE: f64 = 0.65;
/// The smallest number of requests in hand per running one.
const MIN_REQUESTS_PER_RUN: f64 = 1.0;
/// The largest number of requests in hand per running one.
const MAX_REQUESTS_PER_RUN: f64 = 20.0;
/// The smallest advertised weight, so that a server is never left without requests.
const MIN_WEIGHT: f64 = 0.1;
/// Advertised figures are rounded to this part of one.
const ADVERTISED_STEPS_PER_UNIT: f64 = 20.0;
/// The factor on the call concurrency that the last requests needed.
const CALL_CONCURRENCY_HEADROOM: f64 = 1.15;
/// The shortest time over which the rate of requests is taken, in seconds.
const MIN_RATE_PERIOD_S: f64 = 0.2;
/// The shortest mean run that counts in a report, in seconds.
const MIN_REPORTED_RUN_S: f64 = 1e-4;
/// The shortest mean run that counts for the spare capacity, in seconds.
const MIN_EXPECTED_RUN_S: f64 = 1e-3;

/// What a server reports to the fleet about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The concurrent calls that its last requests would need; none before the first call.
    pub needed_call_concurrency: Option<f64>,
    /// The usual latency of a call now, in seconds; none before the first call.
    pub call_latency_s: Option<f64>,
    /// The share of its last requests that it rejected, from 0 to 1.
    pub rejected_share: f64,
}

/// The call concurrency that requests need at this rate. The rate is bounded by what the cores can run, by
/// runs that were seen: a class that never got a call would otherwise report for ever that it needs none.
pub(crate) fn needed_call_concurrency(
    arrivals_per_s: f64,
    cores: f64,
    mean_run_s: Option<f64>,
    call_latency_s: f64,
) -> f64 {
    let max_per_s = mean_run_s.map_or(f64::INFINITY, |run_s| cores / run_s.max(MIN_REPORTED_RUN_S));
    arrivals_per_s.min(max_per_s) * call_latency_s / MEAN_USE_OF_SHARE * CALL_CONCURRENCY_HEADROOM
}

/// Requests a second, over the last requests.
pub(crate) fn arrivals_per_s(arrivals: &RecentArrivals, observed_s: f64) -> f64 {
    arrivals.len() as f64 / observed_s.max(MIN_RATE_PERIOD_S)
}

/// The requests in hand that could still succeed: the runs at once, times what the objectives leave after a
/// run.
pub(crate) fn spare_capacity(concurrency_target: f64, mean_objective_s: f64, mean_run_s: f64) -> f64 {
    let runs_per_objective = mean_objective_s / mean_run_s.max(MIN_EXPECTED_RUN_S);
    let requests_per_run = (runs_per_objective - 1.0) * ADVERTISED_SHARE;
    concurrency_target * requests_per_run.clamp(MIN_REQUESTS_PER_RUN, MAX_REQUESTS_PER_RUN)
}

/// The capacity advertised to clients, and the figure that was sent last.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdvertisedCapacity {
    last: Option<f64>,
}

impl AdvertisedCapacity {
    /// The figure to send from now on, if it changes; nothing is sent before the first request.
    pub(crate) fn update(&mut self, value: f64, has_requests: bool) -> Option<f64> {
        let value = (value * ADVERTISED_STEPS_PER_UNIT).round() / ADVERTISED_STEPS_PER_UNIT;
        if self.last == Some(value) || (self.last.is_none() && !has_requests) {
            return None;
        }
        self.last = Some(value);
        Some(value)
    }
}

/// The requests that one client may have outstanding here. A credit below one is at least the share not
/// rejected.
pub(crate) fn credit(spare_capacity: f64, effective_clients: f64, rejected_share: f64) -> f64 {
    (spare_capacity / effective_clients).max(1.0 - rejected_share)
}

/// The part of its requests that a client should send here.
pub(crate) fn weight(rejected_share: f64) -> f64 {
    (1.0 - rejected_share).max(MIN_WEIGHT)
}
