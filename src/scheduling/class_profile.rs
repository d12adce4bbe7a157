//! Profiles of the request classes, from their last requests: run time by cost, time in calls, and remaining
//! waits of the clients.

use crate::recently_seen::{RECENTLY_SEEN_CAPACITY, RecentlySeen};
use crate::scheduling::attempt_age::ClientWaits;
use crate::statistics::{SAMPLE_CAPACITY, SampleWindow, mean, mean_without_top};
use crate::{Duration, RequestClassId};

/// Share of the largest samples that a mean leaves out: a few very costly requests do not make a slow server.
const IGNORED_TOP_SHARE: f64 = 0.125;
/// Expected run time as a share of the latency objective, for a request without stated cost in a class
/// without samples.
const DEFAULT_RUN_SHARE_OF_OBJECTIVE: f64 = 0.2;
/// Cost of a request that states none, in seconds.
pub(crate) const DEFAULT_COST_S: f64 = 1.0;
/// Variance of the costs below which they count as equal, in square seconds.
const MIN_COST_VARIANCE: f64 = 1e-12;

/// Cost and run time of a successful run.
#[derive(Clone, Copy, Debug)]
struct RunSample {
    cost_s: f64,
    run_s: f64,
}

/// Samples from the last requests of a class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassProfile {
    runs: SampleWindow<RunSample, SAMPLE_CAPACITY>,
    call_times_s: SampleWindow<f64, SAMPLE_CAPACITY>,
    client_waits: ClientWaits,
}

impl ClassProfile {
    /// Returns the run time expected for a cost, in seconds, by linear regression; `None` without samples.
    /// The slope is at least zero and at most proportional to cost: waits for disk do not grow with cost, and
    /// rough cost hints differ more than the run times do.
    fn expected_run_s(&self, cost_s: f64) -> Option<f64> {
        let count = self.runs.len().max(1) as f64;
        let average =
            |value_of: &dyn Fn(RunSample) -> f64| self.runs.iter().map(value_of).sum::<f64>() / count;
        let mean_cost = average(&|sample| sample.cost_s);
        let mean_run = average(&|sample| sample.run_s);
        let variance = average(&|sample| (sample.cost_s - mean_cost).powi(2));
        if variance < MIN_COST_VARIANCE {
            return mean_without_top(self.runs.iter().map(|sample| sample.run_s), IGNORED_TOP_SHARE);
        }
        let covariance = average(&|sample| (sample.cost_s - mean_cost) * (sample.run_s - mean_run));
        let slope = (covariance / variance).clamp(0.0, mean_run / mean_cost);
        Some(mean_run + slope * (cost_s - mean_cost))
    }
}

/// Profiles of the classes that were requested recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassProfiles {
    profiles: RecentlySeen<RequestClassId, ClassProfile, RECENTLY_SEEN_CAPACITY>,
}

impl ClassProfiles {
    /// Records the run time of a successful run and the time that it spent in calls, in seconds.
    pub(crate) fn record_run(&mut self, class: RequestClassId, cost_s: f64, run_s: f64, call_time_s: f64) {
        let profile = self.profiles.touch(class);
        profile.runs.push(RunSample { cost_s, run_s });
        profile.call_times_s.push(call_time_s);
    }

    /// Records how long a client still waits, and returns the estimated time since its first attempt.
    pub(crate) fn record_client_wait(
        &mut self,
        class: RequestClassId,
        remaining: Duration,
        request_timeout: Duration,
    ) -> Duration {
        self.profiles.touch(class).client_waits.record(remaining, request_timeout)
    }

    /// Returns the expected run time of a request, in seconds. Without samples it is the stated cost, or a
    /// share of the latency objective if no cost is stated.
    pub(crate) fn expected_run_s(
        &self,
        class: RequestClassId,
        latency_objective: Duration,
        cost_s: f64,
    ) -> f64 {
        let is_cost_stated = cost_s != DEFAULT_COST_S;
        let fallback_s =
            if is_cost_stated { cost_s } else { latency_objective.secs() * DEFAULT_RUN_SHARE_OF_OBJECTIVE };
        let profile = self.profiles.get(&class);
        profile.and_then(|profile| profile.expected_run_s(cost_s)).unwrap_or(fallback_s)
    }

    /// Returns the time that a request of the class is expected to spend in calls, in seconds; `None` without
    /// samples.
    pub(crate) fn expected_call_time_s(&self, class: RequestClassId) -> Option<f64> {
        let profile = self.profiles.get(&class)?;
        mean_without_top(profile.call_times_s.iter(), IGNORED_TOP_SHARE)
    }

    /// Returns the mean run time of the last runs of all classes, in seconds; `None` without samples.
    pub(crate) fn mean_run_s(&self) -> Option<f64> {
        mean(self.profiles.values().flat_map(|profile| profile.runs.iter().map(|sample| sample.run_s)))
    }

    /// Removes the profile of a class.
    pub(crate) fn remove(&mut self, class: RequestClassId) {
        self.profiles.remove(&class);
    }
}
