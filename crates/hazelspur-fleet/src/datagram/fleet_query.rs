//! The content of the replies to operators' queries. The order of the fields is part of the wire format.

use crate::load_reports::{AggregatedLoad, FaultScope, PeerLoadReport};
use crate::membership::{FleetSize, MemberStatus, MemberUpdate};
use crate::names::{LimitName, MemberName, SiteName};
use serde::{Deserialize, Serialize};

/// One member, as the answering server knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The newest update about the member.
    pub update: MemberUpdate,
    /// The member's status.
    pub status: MemberStatus,
    /// Time since the status began, in milliseconds.
    pub status_age_ms: u64,
    /// Time since the newest update arrived, in milliseconds.
    pub update_age_ms: u64,
    /// The member that sent the newest update.
    pub reported_by: MemberName,
    /// Time since the last datagram from the member itself, in milliseconds; `None` if there was none.
    pub heard_ago_ms: Option<u64>,
}

/// The size of one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteSize {
    /// The site.
    pub site: SiteName,
    /// Bounds of the number of servers in the site.
    pub size: FleetSize,
}

/// The leases of the first limit that the answering server has granted as the allocator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AllocationSummary {
    /// Sum of the outstanding leases.
    pub granted: f32,
    /// Number of lessees.
    pub lessees: u32,
}

/// The answering server's share of one limit, in the unit of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareSummary {
    /// Name of the limit.
    pub limit: LimitName,
    /// Amount that the server may use now.
    pub amount: f32,
    /// Guaranteed minimum, which the server may use without a lease.
    pub guaranteed: f32,
    /// Time until the lease expires, in milliseconds; `None` without a lease.
    pub expires_in_ms: Option<u32>,
}

/// The state of the answering server's coordination with other servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CoordinationState {
    /// The allocator of quotas; `None` if the server knows none.
    pub allocator: Option<MemberName>,
    /// The leases that the server has granted; `None` if it is not the allocator.
    pub allocation: Option<AllocationSummary>,
    /// The server's shares, in the order of the limits in the configuration.
    pub shares: Vec<ShareSummary>,
    /// Whether the circuit breaker of the shared dependency is open.
    pub breaker_open: bool,
    /// The scope of the fault that the server observes.
    pub fault_scope: FaultScope,
    /// The server's own load report.
    pub load_report: PeerLoadReport,
    /// The aggregated load reports of all servers; `None` without recent reports.
    pub aggregated: Option<AggregatedLoad>,
}
