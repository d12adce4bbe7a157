//! What is said of a member, and which of two claims holds.

use crate::names::{Generation, Incarnation, MemberName, SiteName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a claim says. That somebody is dead is never said, only that somebody does not answer: each process
/// draws that conclusion for itself, once its own time for a refutation is over. So a lie costs a refutation
/// and no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Says {
    Alive,
    /// It did not answer this one.
    Suspected(MemberName),
    /// It serves what it has read and takes nothing more.
    Leaving,
    /// It has left in good order.
    Left,
}

impl Says {
    fn rank(self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Suspected(_) => 1,
            Self::Leaving => 2,
            Self::Left => 3,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    pub name: MemberName,
    pub site: SiteName,
    pub at: SocketAddr,
    pub generation: Generation,
    pub incarnation: Incarnation,
    pub says: Says,
}

impl Claim {
    /// Whether this one, heard later, takes the place of `other` about the same member. A newer life always
    /// does; within a life the member's own later word does, but for `Left`, after which that life says
    /// nothing more.
    pub fn beats(&self, other: &Self) -> bool {
        let left = other.says == Says::Left && self.says != Says::Left;
        let order = |claim: &Self| (claim.incarnation, claim.says.rank());
        self.generation > other.generation
            || self.generation == other.generation && !left && order(self) > order(other)
    }
}
