//! A membership update: what a server says about a member, and which of two updates replaces the other.

use crate::names::{Generation, Incarnation, MemberName, SiteName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state that an update states. No update says that a member is dead: each process concludes that by
/// itself, once its own time for a refutation is over. So a false update costs one refutation and no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member runs.
    Alive,
    /// The member did not answer this accuser.
    Suspected(MemberName),
    /// The member drains: it serves accepted requests and takes no new ones.
    Leaving,
    /// The member has ended in good order.
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

/// An update about one member. The order of fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub name: MemberName,
    /// The site in which the member runs.
    pub site: SiteName,
    /// Where the member receives datagrams.
    pub address: SocketAddr,
    /// The run of the member's process.
    pub generation: Generation,
    /// SWIM's incarnation number within that run.
    pub incarnation: Incarnation,
    /// The member's state.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Whether this update replaces `other` about the same member. A newer generation always does. Within a
    /// generation the higher incarnation does, then the higher precedence of the state; nothing replaces
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
