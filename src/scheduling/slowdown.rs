//! The slowdown factor: how much longer than expected runs take now.
//!
//! Guards against a slow or hung server, whose queue would be late before its first late response; and
//! against rejecting for long after it has recovered, since each class learns from its own runs only. Many
//! small requests in a row can pass for a fast server.

use crate::Timestamp;
use crate::request::Request;
use crate::request_table::RequestTable;
use crate::statistics::{SAMPLE_CAPACITY, SampleWindow, geometric_median};

/// The smallest part of a run that counts as remaining, however long it has run.
const MIN_REMAINING_SHARE: f64 = 0.2;
/// The factor of a server at its expected speed.
pub(crate) const NO_SLOWDOWN: f64 = 1.0;

/// The run-time ratios (actual over expected) of the last successful runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slowdown {
    ratios: SampleWindow<f64, SAMPLE_CAPACITY>,
}

impl Slowdown {
    /// Records a successful run, in seconds.
    pub(crate) fn record_run(&mut self, run_s: f64, expected_run_s: f64) {
        self.ratios.push(run_s / expected_run_s);
    }

    /// The factor now: above 1 by the median of the cores, free ones counting as on time, so that one costly
    /// run is no slow server; else below 1 by the last runs.
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

/// Seconds that the running requests still take at a slowdown factor.
pub(crate) fn remaining_run_s(now: Timestamp, requests: &RequestTable, slowdown: f64) -> f64 {
    let remaining = |request: &Request| {
        let total = request.expected_run_s * slowdown;
        (total - request.run_time_s(now)).max(total * MIN_REMAINING_SHARE)
    };
    requests.running().map(remaining).sum()
}
