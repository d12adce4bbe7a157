//! The call-time budget: seconds that calls may still take.
//!
//! What a dependency tolerates is a mean over time, summed over all servers, and a server's share can be under
//! one call. So the time in calls is bounded, not their number. The budget grows by this server's share each
//! second, and calls in progress use it up; at most [`MAX_SAVED_SHARE`] of what the dependency tolerates can
//! be saved up.

use crate::config::settings::ControllerSettings;
use crate::guidance::FleetGuidance;
use crate::statistics::{SAMPLE_CAPACITY, SampleWindow, geometric_median};
use crate::{Duration, Timestamp};

/// The part of this server's share that calls use on average; with what is saved up they stay within the
/// share.
pub(crate) const MEAN_USE_OF_SHARE: f64 = 0.45;
/// The part of the call time of the overload tolerance that may be saved up.
const MAX_SAVED_SHARE: f64 = 0.3;
/// A call starts if the budget covers it this many times.
const LATENCIES_PER_CALL: f64 = 2.0;
/// A call starts in any case with this part of the largest budget.
const SUFFICIENT_SHARE_OF_MAX_SAVED: f64 = 0.8;
/// A call that timed out counts as one that took this many times as long.
const TIMEOUT_LATENCY_FACTOR: f64 = 2.0;

/// This server's bounds on calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    /// Calls at once, on average.
    pub(crate) mean_concurrency: f64,
    /// The largest budget, in seconds.
    max_saved_s: f64,
}

impl CallLimits {
    /// The bounds by the fleet's guidance, or by the settings where there is none.
    pub(crate) fn new(settings: &ControllerSettings, guidance: &FleetGuidance) -> Self {
        let share = guidance.call_concurrency_limit.unwrap_or(settings.call_concurrency_limit);
        let mean_concurrency = share * MEAN_USE_OF_SHARE;
        let max_saved_s = mean_concurrency * settings.call_overload_tolerance.secs() * MAX_SAVED_SHARE;
        Self { mean_concurrency, max_saved_s }
    }
}

/// The budget and the latencies of the last calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallBudget {
    available_s: f64,
    refilled_at: Timestamp,
    latencies_s: SampleWindow<f64, SAMPLE_CAPACITY>,
}

impl CallBudget {
    /// The budget at the start: one second of this server's share.
    pub(crate) fn new(now: Timestamp, settings: &ControllerSettings) -> Self {
        let available_s = MEAN_USE_OF_SHARE * settings.call_concurrency_limit;
        Self { available_s, refilled_at: now, ..Self::default() }
    }

    /// Seconds that calls may still take; below zero after calls that were given up.
    pub(crate) fn available_s(&self) -> f64 {
        self.available_s
    }

    /// Adds the share of the time since the last refill, less what the calls in progress took.
    pub(crate) fn refill(&mut self, now: Timestamp, limits: CallLimits, calls_in_progress: f64) {
        self.available_s += (limits.mean_concurrency - calls_in_progress) * (now - self.refilled_at).secs();
        self.available_s = self.available_s.min(limits.max_saved_s);
        self.refilled_at = now;
    }

    /// Pays for the time that a cancelled call goes on loading the dependency.
    pub(crate) fn charge_residual_load(&mut self, residual_load: Duration) {
        self.available_s -= residual_load.secs();
    }

    /// Records a successful call, in seconds.
    pub(crate) fn record_success(&mut self, latency_s: f64) {
        self.latencies_s.push(latency_s);
    }

    /// Records a call that timed out, in seconds.
    pub(crate) fn record_timeout(&mut self, latency_s: f64) {
        self.latencies_s.push(TIMEOUT_LATENCY_FACTOR * latency_s);
    }

    /// The usual latency of a call, in seconds.
    pub(crate) fn usual_latency_s(&self) -> Option<f64> {
        geometric_median(self.latencies_s.iter())
    }

    /// Whether the budget is too small for another call.
    pub(crate) fn is_insufficient(&self, limits: CallLimits) -> bool {
        let needed_for_call_s = LATENCIES_PER_CALL * self.usual_latency_s().unwrap_or(0.0);
        self.available_s <= needed_for_call_s.min(SUFFICIENT_SHARE_OF_MAX_SAVED * limits.max_saved_s)
    }

    /// How long the budget lasts with this many calls in progress.
    pub(crate) fn time_to_exhaustion(&self, limits: CallLimits, calls_in_progress: f64) -> Duration {
        /// Seconds that stand for a budget that does not shrink.
        const UNLIMITED_S: f64 = 1e6;
        let net_use_per_s = calls_in_progress - limits.mean_concurrency;
        Duration::from_secs(if net_use_per_s > 0.0 { self.available_s / net_use_per_s } else { UNLIMITED_S })
    }
}
