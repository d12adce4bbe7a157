//! The call-time budget: the time that dependency calls of this server may still use, in seconds.
//!
//! The load that a dependency tolerates is a mean over time, summed over all servers, and the share of one
//! server can be less than one concurrent call. Therefore the time in calls is bounded, not their number. The
//! budget grows by the share of this server each second, and calls in progress use it up. At most
//! [`MAX_SAVED_SHARE`] of the time that the dependency tolerates can be saved up.

use crate::config::settings::ControllerSettings;
use crate::guidance::FleetGuidance;
use crate::statistics::{SAMPLE_CAPACITY, SampleWindow, geometric_median};
use crate::{Duration, Timestamp};

/// Fraction of this server's share that calls use on average; together with the saved time they stay within
/// the share.
pub(crate) const MEAN_USE_OF_SHARE: f64 = 0.45;
/// Fraction of the call time within the overload tolerance that may be saved up.
const MAX_SAVED_SHARE: f64 = 0.3;
/// Number of usual latencies that the budget must cover for a call to start.
const LATENCIES_PER_CALL: f64 = 2.0;
/// Share of the largest budget that suffices for a call to start, whatever its usual latency.
const SUFFICIENT_SHARE_OF_MAX_SAVED: f64 = 0.8;
/// Factor on the duration of a call that timed out, for its latency sample.
const TIMEOUT_LATENCY_FACTOR: f64 = 2.0;

/// Limits on the dependency calls of this server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    /// Mean number of concurrent calls.
    pub(crate) mean_concurrency: f64,
    /// Largest budget, in seconds.
    max_saved_s: f64,
}

impl CallLimits {
    /// Returns the limits by the guidance of the fleet, or by the settings where there is none.
    pub(crate) fn new(settings: &ControllerSettings, guidance: &FleetGuidance) -> Self {
        let share = guidance.call_concurrency_limit.unwrap_or(settings.call_concurrency_limit);
        let mean_concurrency = share * MEAN_USE_OF_SHARE;
        let max_saved_s = mean_concurrency * settings.call_overload_tolerance.secs() * MAX_SAVED_SHARE;
        Self { mean_concurrency, max_saved_s }
    }
}

/// The call-time budget and the latencies of the last calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallBudget {
    available_s: f64,
    refilled_at: Timestamp,
    latencies_s: SampleWindow<f64, SAMPLE_CAPACITY>,
}

impl CallBudget {
    /// Returns the budget at the start: the share of this server for one second.
    pub(crate) fn new(now: Timestamp, settings: &ControllerSettings) -> Self {
        let available_s = MEAN_USE_OF_SHARE * settings.call_concurrency_limit;
        Self { available_s, refilled_at: now, ..Self::default() }
    }

    /// Returns the time that calls may still use, in seconds; negative after calls that were given up.
    pub(crate) fn available_s(&self) -> f64 {
        self.available_s
    }

    /// Adds the share that accrued since the last refill, less the time that calls in progress used.
    pub(crate) fn refill(&mut self, now: Timestamp, limits: CallLimits, calls_in_progress: f64) {
        self.available_s += (limits.mean_concurrency - calls_in_progress) * (now - self.refilled_at).secs();
        self.available_s = self.available_s.min(limits.max_saved_s);
        self.refilled_at = now;
    }

    /// Charges the time for which a cancelled call goes on loading the dependency.
    pub(crate) fn charge_residual_load(&mut self, residual_load: Duration) {
        self.available_s -= residual_load.secs();
    }

    /// Records the latency of a successful call, in seconds.
    pub(crate) fn record_success(&mut self, latency_s: f64) {
        self.latencies_s.push(latency_s);
    }

    /// Records the duration of a call that timed out, in seconds.
    pub(crate) fn record_timeout(&mut self, latency_s: f64) {
        self.latencies_s.push(TIMEOUT_LATENCY_FACTOR * latency_s);
    }

    /// Returns the median latency of the last calls, in seconds; `None` before the first call.
    pub(crate) fn usual_latency_s(&self) -> Option<f64> {
        geometric_median(self.latencies_s.iter())
    }

    /// Returns whether the budget is too small to start another call.
    pub(crate) fn is_insufficient(&self, limits: CallLimits) -> bool {
        let needed_for_call_s = LATENCIES_PER_CALL * self.usual_latency_s().unwrap_or(0.0);
        self.available_s <= needed_for_call_s.min(SUFFICIENT_SHARE_OF_MAX_SAVED * limits.max_saved_s)
    }

    /// Returns how long the budget lasts with this many calls in progress.
    pub(crate) fn time_to_exhaustion(&self, limits: CallLimits, calls_in_progress: f64) -> Duration {
        /// Result for a budget that does not shrink, in seconds.
        const UNLIMITED_S: f64 = 1e6;
        let net_use_per_s = calls_in_progress - limits.mean_concurrency;
        Duration::from_secs(if net_use_per_s > 0.0 { self.available_s / net_use_per_s } else { UNLIMITED_S })
    }
}
