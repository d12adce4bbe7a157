//! The status of members and the size of the fleet, as this process concludes them.

use crate::names::Generation;
use serde::{Deserialize, Serialize};

/// The status of a member, as this process concludes it. The order of the variants matters: a full table
/// forgets `Left` members before `Dead` ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member answers.
    Alive,
    /// The member did not answer a probe and may still refute the suspicion.
    Suspected,
    /// The member drains.
    Leaving,
    /// The member announced its end, or stopped answering after it announced that it drains.
    Left,
    /// The time for a refutation is over: the member crashed, is suspended or is unreachable.
    Dead,
}

impl MemberStatus {
    /// Returns the word for the status in log lines and in the output of operators' commands.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
            Self::Left => "left",
            // Scripts of operators read this word, so it differs from the variant's name.
            Self::Dead => "lost",
        }
    }

    /// Returns whether the member may be serving requests. A dead member may, because it may only be
    /// unreachable.
    pub fn may_serve(self) -> bool {
        self != Self::Left
    }

    /// Returns whether the member has ended, as far as this process can know.
    pub fn is_gone(self) -> bool {
        matches!(self, Self::Left | Self::Dead)
    }
}

/// Bounds of a number of running servers. `min` may include members whose end was not detected yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Lower bound.
    #[serde(rename = "least")]
    pub min: usize,
    /// Upper bound.
    #[serde(rename = "most")]
    pub max: usize,
}

/// The status of the newest known run of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationStatus {
    /// The number of the run.
    pub generation: Generation,
    /// The status of the member in that run.
    pub status: MemberStatus,
}
