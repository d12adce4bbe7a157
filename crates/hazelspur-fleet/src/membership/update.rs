//! Membership updates, which servers exchange about members, and the order in which one update replaces
//! another.

use crate::names::{Generation, Incarnation, MemberName, SiteName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of a member according to an update. There is no state for a dead member, because each process
/// concludes for itself that a member is dead, when the member did not refute a suspicion in time. A false
/// update therefore costs one refutation and nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member runs.
    Alive,
    /// The member did not answer a probe. The value is the accuser, the member that sent the probe.
    Suspected(MemberName),
    /// The member drains: it completes accepted requests and accepts no new ones.
    Leaving,
    /// The member has ended after an orderly shutdown.
    Left,
}

impl MemberState {
    fn precedence(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Suspected(_) => 1,
            Self::Leaving => 2,
            Self::Left => 3,
        }
    }
}

/// An update about one member. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub name: MemberName,
    /// The site in which the member runs.
    pub site: SiteName,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The generation of the member's process.
    pub generation: Generation,
    /// SWIM's incarnation number within that generation.
    pub incarnation: Incarnation,
    /// The member's state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Returns whether this update replaces `other`, which is about the same member. An update of a newer
    /// generation always does. Within a generation, the higher incarnation number decides, then the
    /// precedence of the state. No update of the same generation replaces the state `Left`, except another
    /// `Left`.
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.generation != other.generation {
            return self.generation > other.generation;
        }
        let other_is_final = other.state == MemberState::Left && self.state != MemberState::Left;
        let order = |update: &Self| (update.incarnation, update.state.precedence());
        !other_is_final && order(self) > order(other)
    }
}
