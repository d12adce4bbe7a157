//! Load signals to others: the capacity that is advertised to clients, and the load report to the fleet.

use crate::arrivals::RecentArrivals;
use crate::dependency::call_budget::MEAN_USE_OF_SHARE;

/// Share of the spare capacity that is advertised: a request that is sent in vain costs more than a wider
/// choice of requests gains.
const ADVERTISED_SHARE: f64 = 0.65;
/// Lower bound of the in-flight requests per concurrent run.
const MIN_REQUESTS_PER_RUN: f64 = 1.0;
/// Upper bound of the in-flight requests per concurrent run.
const MAX_REQUESTS_PER_RUN: f64 = 20.0;
/// Lower bound of the advertised weight, so that no server is left without requests.
const MIN_WEIGHT: f64 = 0.1;
/// Number of steps per unit to which advertised figures are rounded.
const ADVERTISED_STEPS_PER_UNIT: f64 = 20.0;
/// Factor on the call concurrency that the last requests needed.
const CALL_CONCURRENCY_HEADROOM: f64 = 1.15;
/// Lower bound of the time over which the rate of requests is computed, in seconds.
const MIN_RATE_PERIOD_S: f64 = 0.2;
/// Lower bound of the mean run time in a load report, in seconds.
const MIN_REPORTED_RUN_S: f64 = 1e-4;
/// Lower bound of the mean expected run time for the spare capacity, in seconds.
const MIN_EXPECTED_RUN_S: f64 = 1e-3;

/// The report of a server to its fleet about its own load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Concurrent calls that the last requests would need; `None` before the first call.
    pub needed_call_concurrency: Option<f64>,
    /// Usual latency of a call now, in seconds; `None` before the first call.
    pub call_latency_s: Option<f64>,
    /// Share of the last requests that the server rejected or failed, from 0 to 1.
    pub rejected_share: f64,
}

/// Returns the call concurrency that requests need at this rate. The rate is bounded by what the cores can
/// run, judged by runs that took place: a class that never got a call would otherwise report for ever that it
/// needs none.
pub(crate) fn needed_call_concurrency(
    arrivals_per_s: f64,
    cores: f64,
    mean_run_s: Option<f64>,
    call_latency_s: f64,
) -> f64 {
    let max_per_s = mean_run_s.map_or(f64::INFINITY, |run_s| cores / run_s.max(MIN_REPORTED_RUN_S));
    arrivals_per_s.min(max_per_s) * call_latency_s / MEAN_USE_OF_SHARE * CALL_CONCURRENCY_HEADROOM
}

/// Returns the rate of the last received requests, in requests per second.
pub(crate) fn arrivals_per_s(arrivals: &RecentArrivals, observed_s: f64) -> f64 {
    arrivals.len() as f64 / observed_s.max(MIN_RATE_PERIOD_S)
}

/// Returns how many requests the server could hold, queued and running, and still answer within their latency
/// objectives: the concurrent runs, times the runs that fit into what an objective leaves after a run.
pub(crate) fn spare_capacity(concurrency_target: f64, mean_objective_s: f64, mean_run_s: f64) -> f64 {
    let runs_per_objective = mean_objective_s / mean_run_s.max(MIN_EXPECTED_RUN_S);
    let requests_per_run = (runs_per_objective - 1.0) * ADVERTISED_SHARE;
    concurrency_target * requests_per_run.clamp(MIN_REQUESTS_PER_RUN, MAX_REQUESTS_PER_RUN)
}

/// The capacity figure that was advertised last; `None` before the first one.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdvertisedCapacity {
    last: Option<f64>,
}

impl AdvertisedCapacity {
    /// Returns the rounded figure if it differs from the one advertised last. The first figure is held back
    /// until there is a request.
    pub(crate) fn update(&mut self, value: f64, has_requests: bool) -> Option<f64> {
        let value = (value * ADVERTISED_STEPS_PER_UNIT).round() / ADVERTISED_STEPS_PER_UNIT;
        if self.last == Some(value) || (self.last.is_none() && !has_requests) {
            return None;
        }
        self.last = Some(value);
        Some(value)
    }
}

/// Returns the number of requests that one client may have outstanding here. A credit below one is at least
/// the share of requests that are not rejected.
pub(crate) fn credit(spare_capacity: f64, effective_clients: f64, rejected_share: f64) -> f64 {
    (spare_capacity / effective_clients).max(1.0 - rejected_share)
}

/// Returns the share of its requests that a client should send here.
pub(crate) fn weight(rejected_share: f64) -> f64 {
    (1.0 - rejected_share).max(MIN_WEIGHT)
}
