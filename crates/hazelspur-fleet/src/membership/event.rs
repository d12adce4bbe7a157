//! Changes of the membership, for the log.

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
    /// A member was met for the first time.
    Joined(MemberName),
    /// A member runs in a newer generation.
    Restarted(MemberName),
    /// A member is suspected.
    Suspected {
        /// The member.
        member: MemberName,
        /// Whom it did not answer.
        accuser: MemberName,
    },
    /// A suspected or dead member is alive.
    Recovered(MemberName),
    /// The time for a refutation is over.
    Died(MemberName),
    /// A member drains.
    Leaving(MemberName),
    /// A member has ended in good order.
    Left(MemberName),
    /// Others thought this process gone; it refuted that with this incarnation number.
    Refuted(Incarnation),
    /// Another process uses this server's name, from this address.
    DuplicateName(SocketAddr),
}
