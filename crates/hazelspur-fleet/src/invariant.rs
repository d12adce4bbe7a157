//! Invariants of the membership and quota state machines, which hold after each input. Tests check them after
//! each step.

use crate::membership::{FleetSize, MemberStatus};
use crate::names::MemberName;
use crate::quota::QuotaShare;
use thiserror::Error;

/// A violated invariant.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum InvariantViolation {
    /// The member's status is dead and the set of dead members lacks it, or the reverse.
    #[error("status of {member} is {status:?}, which does not match the set of dead members")]
    DeadSetMismatch {
        /// The member.
        member: MemberName,
        /// The member's status.
        status: MemberStatus,
    },
    /// The member's status is suspected and the suspicion queue lacks it, or the reverse.
    #[error(
        "status of {member} is {status:?}, which does not match the suspicion queue (member queued: {queued})"
    )]
    SuspicionQueueMismatch {
        /// The member.
        member: MemberName,
        /// The member's status.
        status: MemberStatus,
        /// Whether the queue contains the member.
        queued: bool,
    },
    /// A member announced that it has left, and its status is not left.
    #[error("{member} announced that it has left, but its status is {status:?}")]
    AnnouncedLeftMismatch {
        /// The member.
        member: MemberName,
        /// The member's status.
        status: MemberStatus,
    },
    /// The member table exceeds its capacity, or its indexes do not match its members.
    #[error(
        "member table of {members} members exceeds its capacity of {capacity} or does not match its indexes"
    )]
    MemberTableMismatch {
        /// Number of members in the table.
        members: usize,
        /// Capacity of the table.
        capacity: usize,
    },
    /// The lower bound of the fleet's size exceeds the upper bound, or too many datagrams wait to be sent.
    #[error("fleet size bounds {size:?} cross or the send queue of {outgoing} datagrams is too long")]
    SizeBoundsOrSendQueue {
        /// Bounds of the fleet's size.
        size: FleetSize,
        /// Number of datagrams that wait to be sent.
        outgoing: usize,
    },
    /// The leases of a limit exceed its shared pool.
    #[error("outstanding leases of {granted} exceed the shared pool of {pool}")]
    OverAllocated {
        /// Sum of outstanding leases.
        granted: f64,
        /// Size of the shared pool.
        pool: f64,
    },
    /// A share is outside the range of its limit.
    #[error("{share:?} is out of range for a limit of {total}")]
    InvalidShare {
        /// The share.
        share: QuotaShare,
        /// The limit's total.
        total: f64,
    },
    /// The allocator's table of lessees exceeds its capacity.
    #[error("allocator table of {lessees} lessees exceeds its capacity of {capacity}")]
    TooManyLessees {
        /// Number of lessees in the table.
        lessees: usize,
        /// Capacity of the table.
        capacity: usize,
    },
}
