//! The configuration of one server of a fleet.

use crate::names::{Installation, MemberName, SiteName};
use hazelspur::Duration;
use std::net::SocketAddr;

/// The settings of one server that an operator chooses.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The installation, the same on all servers that belong together.
    pub installation: Installation,
    /// The server's name.
    pub name: MemberName,
    /// The site in which the server runs.
    pub site: SiteName,
    /// The address at which other members reach this process.
    pub address: SocketAddr,
    /// Addresses of the seed members, which the server contacts first; at most 16.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of servers that exist at once, 1 to 4096. It is the upper bound of the fleet's size
    /// while the server does not know the whole member list or is isolated.
    pub max_servers: usize,
    /// Time between two probes of the failure detector.
    pub probe_period: Duration,
    /// Time for which members that are dead or have left stay in the member table. During that time dead
    /// members count towards the upper bound of the fleet's size.
    pub retention: Duration,
}
