//! Tells a fault of this server, its link or its cores from a fault of the shared dependency: compares this
//! server's report with the aggregated reports of all.

use super::{AggregatedLoad, PeerLoadReport};
use serde::{Deserialize, Serialize};

/// Latency ratio from which calls count as slow.
const SLOW_RATIO: f64 = 2.0;
/// Latency ratio below which calls count as normal.
const NORMAL_RATIO: f64 = 1.5;
/// Share of unreachable calls below which the others reach the dependency.
const LOW_UNREACHABLE_FRACTION: f64 = 0.2;

/// Who is affected by a fault that this server sees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultScope {
    /// This server sees no fault.
    #[default]
    None,
    /// Only this server.
    Local,
    /// Most servers.
    Shared,
    /// Too few reports, or reports that say neither.
    Unknown,
}

impl FaultScope {
    /// The scope of what `own` shows, given the aggregate of all recent reports.
    pub fn of(own: &PeerLoadReport, all: Option<&AggregatedLoad>) -> Self {
        if f64::from(own.latency_ratio) < SLOW_RATIO && !own.is_unreachable() {
            return Self::None;
        }
        let Some(all) = all else { return Self::Unknown };
        if all.is_unreachable() || all.latency_ratio.is_some_and(|ratio| ratio >= SLOW_RATIO) {
            return Self::Shared;
        }
        let most_are_normal = all.latency_ratio.is_none_or(|ratio| ratio < NORMAL_RATIO)
            && all.unreachable_fraction < LOW_UNREACHABLE_FRACTION;
        if most_are_normal { Self::Local } else { Self::Unknown }
    }

    /// The word that log lines and operators' commands show.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Local => "mine",
            Self::Shared => "shared",
            Self::Unknown => "unknown",
        }
    }
}
