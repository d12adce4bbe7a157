//! The messages of the quota protocol. `postcard` encodes them by position: the order of variants and fields
//! is the wire format. Amounts are in the order of the limits in the configuration.

use super::MAX_LIMITS;
use crate::names::MemberName;
use serde::{Deserialize, Serialize};

/// A message between servers about quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// To a voter: asks for its vote, or for its renewal.
    VoteRequest {
        /// Number of the candidate's ballot.
        ballot: u32,
    },
    /// A voter's answer.
    VoteResponse(VoteResponse),
    /// To a voter: the ballot failed, its vote is free again.
    VoteRelease {
        /// Number of the candidate's ballot.
        ballot: u32,
    },
    /// To the allocator: asks for leases.
    LeaseRequest(LeaseRequest),
    /// The allocator's answer.
    LeaseGrant(LeaseGrant),
    /// The answer of a server that does not allocate.
    NotLeader {
        /// Number of the request.
        number: u32,
        /// The allocator, as far as the sender knows.
        allocator: Option<MemberName>,
    },
}

/// A voter's answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Number of the candidate's ballot.
    pub ballot: u32,
    /// Whether the vote is the candidate's, for a vote duration from when it asked.
    pub granted: bool,
    /// Who has the vote.
    pub allocator: Option<MemberName>,
}

/// What a lessee would use, and what it keeps using.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Number of the request; greater is newer.
    pub number: u32,
    /// Demand for each limit, guaranteed minimum included.
    pub demands: Vec<f32>,
    /// Upper bound of what the lessee uses of earlier leases from now on, for each limit.
    pub retained: Vec<f32>,
}

/// What a lessee may use of each shared pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Number of the request.
    pub number: u32,
    /// How long the lease lasts from when the request was sent, in milliseconds.
    pub duration_ms: u32,
    /// Amount of each shared pool.
    pub amounts: Vec<f32>,
}

impl QuotaMessage {
    /// Whether its lists are no longer than `MAX_LIMITS`.
    pub fn has_valid_length(&self) -> bool {
        match self {
            Self::LeaseRequest(request) => {
                request.demands.len() <= MAX_LIMITS && request.retained.len() <= MAX_LIMITS
            }
            Self::LeaseGrant(grant) => grant.amounts.len() <= MAX_LIMITS,
            _ => true,
        }
    }
}
