//! What a server answers to an operator's command.

use crate::load_reports::{AggregatedLoad, FaultScope, PeerLoadReport};
use crate::membership::{FleetSize, MemberStatus, MemberUpdate};
use crate::names::{LimitName, MemberName, SiteName};
use serde::{Deserialize, Serialize};

/// One member, as the answering server sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The last update about the member.
    pub update: MemberUpdate,
    /// The member's status.
    pub status: MemberStatus,
    /// Age of the status, in milliseconds.
    pub status_age_ms: u64,
    /// Age of the last update, in milliseconds.
    pub update_age_ms: u64,
    /// Who sent the last update.
    pub reported_by: MemberName,
    /// Time since the member itself was last heard, in milliseconds; none if never.
    pub heard_ago_ms: Option<u64>,
}

/// The size of one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteSize {
    /// The site.
    pub site: SiteName,
    /// Bounds of its number of servers.
    pub size: FleetSize,
}

/// What the answering server allocates of the first limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllocationSummary {
    /// Sum of the outstanding leases.
    pub granted: f32,
    /// Number of lessees.
    pub lessees: u32,
}

/// The answering server's share of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareSummary {
    /// The limit.
    pub limit: LimitName,
    /// What the server may use now.
    pub amount: f32,
    /// What it may use without a lease.
    pub guaranteed: f32,
    /// How long the lease still lasts, in milliseconds; none without a lease.
    pub expires_in_ms: Option<u32>,
}

/// What the answering server decided together with others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinationState {
    /// The allocator of quotas, as far as the server knows.
    pub allocator: Option<MemberName>,
    /// What the server allocates, if it is the allocator.
    pub allocation: Option<AllocationSummary>,
    /// Its shares, in the order of the configuration.
    pub shares: Vec<ShareSummary>,
    /// Whether its circuit breaker is open.
    pub breaker_open: bool,
    /// Who is affected by the fault that it sees.
    pub fault_scope: FaultScope,
    /// Its own load report.
    pub load_report: PeerLoadReport,
    /// The aggregated load reports.
    pub aggregated: Option<AggregatedLoad>,
}
