//! What must be true after each input of the state machines; tests check it after each step.

use crate::membership::{FleetSize, MemberStatus};
use crate::names::MemberName;
use crate::quota::QuotaShare;
use thiserror::Error;

/// An invariant that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum InvariantViolation {
    /// The set of dead members and the member's status differ.
    #[error("{member}: {status:?}, not so among the lost")]
    DeadSetMismatch {
        /// The member.
        member: MemberName,
        /// Its status.
        status: MemberStatus,
    },
    /// The queue of suspicions and the member's status differ.
    #[error("{member}: {status:?}, among the suspects: {queued}")]
    SuspicionQueueMismatch {
        /// The member.
        member: MemberName,
        /// Its status.
        status: MemberStatus,
        /// Whether the queue contains it.
        queued: bool,
    },
    /// A member that announced its end does not count as left.
    #[error("{member}: has left, stands as {status:?}")]
    AnnouncedLeftMismatch {
        /// The member.
        member: MemberName,
        /// Its status.
        status: MemberStatus,
    },
    /// The member table passes its capacity, or its indexes differ from it.
    #[error("{members} members, room for {capacity}")]
    MemberTableMismatch {
        /// Members in the table.
        members: usize,
        /// Its capacity.
        capacity: usize,
    },
    /// The bounds of the fleet's size cross, or too many datagrams wait.
    #[error("{size:?}, {outgoing} datagrams wait")]
    SizeBoundsOrSendQueue {
        /// Bounds of the fleet's size.
        size: FleetSize,
        /// Datagrams that wait to be sent.
        outgoing: usize,
    },
    /// The leases of a limit exceed its pool.
    #[error("{granted} given of {pool}")]
    OverAllocated {
        /// Sum of outstanding leases.
        granted: f64,
        /// The shared pool.
        pool: f64,
    },
    /// A share is outside the range of its limit.
    #[error("{share:?} of {total}")]
    InvalidShare {
        /// The share.
        share: QuotaShare,
        /// The limit's total.
        total: f64,
    },
    /// The allocator's table passes its capacity.
    #[error("{lessees} holders, room for {capacity}")]
    TooManyLessees {
        /// Lessees in the table.
        lessees: usize,
        /// Its capacity.
        capacity: usize,
    },
}
