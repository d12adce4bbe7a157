//! What this process concludes about the members and the size of the fleet.

use crate::names::Generation;
use serde::{Deserialize, Serialize};

/// A member's status, as this process concludes it. The order is that in which a full table forgets members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It did not answer, and may still refute the suspicion.
    Suspected,
    /// It drains.
    Leaving,
    /// It has ended in good order.
    Left,
    /// The time for a refutation is over: it crashed, is suspended or is unreachable.
    Dead,
}

impl MemberStatus {
    /// The word that log lines and operators' commands show.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
            Self::Left => "left",
            // The word of the operators' output.
            Self::Dead => "lost",
        }
    }

    /// Whether the member may be running requests.
    pub fn may_serve(self) -> bool {
        self != Self::Left
    }

    /// Whether the member has ended, as far as can be known.
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Left | Self::Dead)
    }
}

/// Bounds of a number of servers. `min` may still count members whose death was not detected yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// At least so many servers run.
    #[serde(rename = "least")]
    pub min: usize,
    /// At most so many servers run.
    #[serde(rename = "most")]
    pub max: usize,
}

/// The status of the newest known run of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationStatus {
    /// The run.
    pub generation: Generation,
    /// Its status.
    pub status: MemberStatus,
}
