//! Load reports, in which servers tell each other about their calls to the shared dependency and about the
//! requests they reject, and the aggregation of many reports. Each server reports on itself only, so a false
//! report counts as one reporter.
//!
//! - `LoadReportTable` keeps the last report of each server and aggregates the recent ones.
//! - `FaultScope` distinguishes a fault of this server from a fault of the dependency.
//! - `LatencyRatioTracker` compares the latency of this server's calls with the best latency remembered.

mod fault_scope;
mod latency_ratio;
mod table;

pub use fault_scope::FaultScope;
pub use latency_ratio::LatencyRatioTracker;
pub use table::{AggregatedLoad, LoadReportTable, median};

use serde::{Deserialize, Serialize};

/// Lowest latency ratio of a valid report.
const MIN_LATENCY_RATIO: f32 = 0.001;
/// Highest latency ratio of a valid report. Real ratios stay below it, because calls time out long before.
const MAX_LATENCY_RATIO: f32 = 1000.0;
/// Smallest share of unreachable calls at which the dependency counts as unreachable.
const UNREACHABLE_FRACTION: f64 = 0.5;

/// One server's report on itself, which its datagrams carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerLoadReport {
    /// Latency of calls to the shared dependency divided by the best latency remembered; zero if unknown.
    pub latency_ratio: f32,
    /// Share of recent calls that did not reach the dependency, 0 to 1; none without recent calls.
    pub unreachable_fraction: Option<f32>,
    /// Share of recent requests that the server rejected, 0 to 1.
    pub rejected_fraction: f32,
}

impl PeerLoadReport {
    /// Returns whether every value is within its range.
    pub fn is_valid(&self) -> bool {
        let is_fraction = |value| (0.0f32..=1.0).contains(&value);
        let ratio_is_valid = self.latency_ratio == 0.0
            || (MIN_LATENCY_RATIO..=MAX_LATENCY_RATIO).contains(&self.latency_ratio);
        ratio_is_valid
            && self.unreachable_fraction.is_none_or(is_fraction)
            && is_fraction(self.rejected_fraction)
    }

    /// Returns whether this server made calls recently and most of them reached the dependency.
    pub fn is_reachable(&self) -> bool {
        self.unreachable_fraction.is_some_and(|fraction| f64::from(fraction) < UNREACHABLE_FRACTION)
    }

    /// Returns whether this server made calls recently and most of them did not reach the dependency.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable_fraction.is_some_and(|fraction| f64::from(fraction) >= UNREACHABLE_FRACTION)
    }
}
