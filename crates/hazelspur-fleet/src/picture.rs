//! What this process knows of the fleet, with its age and its doubt.

use crate::doubt::Condition;
use crate::names::{Generation, MemberName, SiteName};
use hazelspur::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How a member stands, as concluded here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    Alive,
    /// Did not answer; it has time yet to speak up.
    Suspected,
    Leaving,
    /// Said so itself.
    Left,
    /// Silent past its time: dead, stopped or out of reach, nobody can tell which.
    Lost,
}

impl Standing {
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
            Self::Left => "left",
            Self::Lost => "lost",
        }
    }

    /// Whether it may run requests now.
    pub fn may_serve(self) -> bool {
        self != Self::Left
    }
}

/// How many there are: surely no fewer than `least` but for deaths not noticed yet, and no more than `most`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    pub least: usize,
    pub most: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub name: MemberName,
    pub site: SiteName,
    pub at: SocketAddr,
    pub generation: Generation,
    pub standing: Standing,
    /// Since when it stands so.
    pub since: Duration,
    /// How long ago the last word on it came, and from whom.
    pub word: Duration,
    pub by: MemberName,
    /// How long ago it was heard itself; none if never.
    pub heard: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Picture {
    pub me: MemberName,
    pub generation: Generation,
    pub condition: Condition,
    /// All but this process itself.
    pub rows: Vec<Row>,
    pub fleet: Size,
    pub sites: BTreeMap<SiteName, Size>,
}

impl Picture {
    pub fn count(&self, standing: Standing) -> usize {
        self.rows.iter().filter(|row| row.standing == standing).count()
    }
}
