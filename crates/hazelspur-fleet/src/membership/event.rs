//! Events of the membership protocol, which the caller writes to the log.

use super::local_health::LocalStatus;
use crate::names::{Incarnation, MemberName};
use std::net::SocketAddr;

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// This process's own status changed.
    LocalStatusChanged {
        /// The status before.
        from: LocalStatus,
        /// The status from now on.
        to: LocalStatus,
    },
    /// A member was added to the table.
    Joined(MemberName),
    /// A member restarted: it runs in a newer generation.
    Restarted(MemberName),
    /// A member is suspected.
    Suspected {
        /// The member.
        member: MemberName,
        /// The member whose probe was not answered.
        accuser: MemberName,
    },
    /// A member that was suspected, dead or reported as left is alive.
    Recovered(MemberName),
    /// A suspected member did not refute the suspicion in time and now counts as dead.
    Died(MemberName),
    /// A member drains.
    Leaving(MemberName),
    /// A member announced its end, or stopped answering after it announced that it drains.
    Left(MemberName),
    /// This process refuted an update about itself. The value is its incarnation number from now on.
    Refuted(Incarnation),
    /// Another process uses this server's name. The value is that process's address.
    DuplicateName(SocketAddr),
}
