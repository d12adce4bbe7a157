//! Distinguishes a fault of this server, its link or its cores from a fault of the shared dependency, by
//! comparing this server's load report with the aggregated reports of all servers.

use super::{AggregatedLoad, PeerLoadReport};
use serde::{Deserialize, Serialize};

/// Latency ratio from which calls count as slow.
const SLOW_RATIO: f64 = 2.0;
/// Latency ratio below which calls count as normal.
const NORMAL_RATIO: f64 = 1.5;
/// Aggregated share of unreachable calls below which the other servers count as reaching the dependency.
const LOW_UNREACHABLE_FRACTION: f64 = 0.2;

/// The part of the fleet that is affected by a fault that this server observes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FaultScope {
    /// This server observes no fault.
    #[default]
    None,
    /// Only this server.
    Local,
    /// Most servers.
    Shared,
    /// There are too few reports, or they show neither a local nor a shared fault clearly.
    Unknown,
}

impl FaultScope {
    /// Returns the scope of the fault that `own` shows, given the aggregate of all recent reports; `None`
    /// for `all` means too few reports.
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

    /// Returns the word that log lines and operators' commands show.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Local => "mine",
            Self::Shared => "shared",
            Self::Unknown => "unknown",
        }
    }
}
