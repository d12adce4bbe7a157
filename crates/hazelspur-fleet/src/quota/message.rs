//! The messages of the quota protocol. `postcard` encodes them by position, so the order of variants and
//! fields is the wire format. Lists have one entry for each limit, in the order of the configuration.

use super::MAX_LIMITS;
use crate::names::MemberName;
use serde::{Deserialize, Serialize};

/// A message of the quota protocol, sent from one server to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Request to a voter to grant its vote or to renew it.
    VoteRequest {
        /// Number of the candidate's ballot.
        ballot: u32,
    },
    /// Answer of a voter to a vote request.
    VoteResponse(VoteResponse),
    /// Notice to a voter that the ballot has failed and that its vote may go to another candidate.
    VoteRelease {
        /// Number of the candidate's ballot.
        ballot: u32,
    },
    /// Request to the allocator for leases.
    LeaseRequest(LeaseRequest),
    /// Answer of the allocator to a lease request.
    LeaseGrant(LeaseGrant),
    /// Answer to a lease request from a server that is not the allocator.
    NotLeader {
        /// Number of the lease request.
        number: u32,
        /// The allocator, as far as the sender knows; none if it knows of none.
        allocator: Option<MemberName>,
    },
}

/// A voter's answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Number of the candidate's ballot.
    pub ballot: u32,
    /// Whether the candidate has the vote, for one vote duration counted from sending the request.
    pub granted: bool,
    /// Candidate that has the vote; none while the voter, after its start, grants no votes.
    pub allocator: Option<MemberName>,
}

/// A lessee's demands and the amounts that it keeps using.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Number of the request, unique within a process incarnation; greater is newer.
    pub number: u32,
    /// Demand for each limit, guaranteed minimum included.
    pub demands: Vec<f32>,
    /// Upper bound of the amount of each shared pool that the lessee goes on using under earlier leases.
    pub retained: Vec<f32>,
}

/// A lease of an amount of each shared pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Number of the lease request that this answers.
    pub number: u32,
    /// Duration of the lease in milliseconds, counted from sending the request.
    pub duration_ms: u32,
    /// Amount granted of each shared pool.
    pub amounts: Vec<f32>,
}

impl QuotaMessage {
    /// Returns whether no list of the message is longer than `MAX_LIMITS`.
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
