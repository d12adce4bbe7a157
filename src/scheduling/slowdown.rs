//! The slowdown factor: the actual run time over the expected run time at present.
//!
//! Guards against a slow or hung server, whose whole queue would be late by the time of the first late
//! response, and against rejecting for long after it has recovered, since the profile of a class learns only
//! from runs of that class. Limitation: many small requests in a row can make a server appear fast.

use crate::Timestamp;
use crate::request::Request;
use crate::request_table::RequestTable;
use crate::statistics::{SAMPLE_CAPACITY, SampleWindow, geometric_median};

/// Lower bound of the remaining share of a run, however long it has run.
const MIN_REMAINING_SHARE: f64 = 0.2;
/// Slowdown factor of a server that runs at its expected speed.
pub(crate) const NO_SLOWDOWN: f64 = 1.0;

/// Ratios of actual to expected run time of the last successful runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowdown {
    ratios: SampleWindow<f64, SAMPLE_CAPACITY>,
}

impl Slowdown {
    /// Records the actual and the expected run time of a successful run, in seconds.
    pub(crate) fn record_run(&mut self, run_s: f64, expected_run_s: f64) {
        self.ratios.push(run_s / expected_run_s);
    }

    /// Returns the current factor. It is the median over all cores if that exceeds 1; free cores count as 1,
    /// so that one costly run does not make a slow server. Otherwise it is the mean ratio of the last runs,
    /// at most 1.
    pub(crate) fn factor(&self, now: Timestamp, cores: f64, requests: &RequestTable) -> f64 {
        let free_cores = (cores as usize).saturating_sub(requests.running().count());
        let ratios = requests
            .running()
            .map(|request| request.run_time_s(now) / request.expected_run_s)
            .chain(std::iter::repeat_n(NO_SLOWDOWN, free_cores));
        let running_ratio = geometric_median(ratios).unwrap_or(NO_SLOWDOWN);
        if running_ratio > NO_SLOWDOWN {
            return running_ratio;
        }
        self.ratios.mean().unwrap_or(NO_SLOWDOWN).min(NO_SLOWDOWN)
    }
}

/// Returns the remaining run time of all running requests at a slowdown factor, in seconds.
pub(crate) fn remaining_run_s(now: Timestamp, requests: &RequestTable, slowdown: f64) -> f64 {
    let remaining = |request: &Request| {
        let total = request.expected_run_s * slowdown;
        (total - request.run_time_s(now)).max(total * MIN_REMAINING_SHARE)
    };
    requests.running().map(remaining).sum()
}
