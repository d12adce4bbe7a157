//! What an operator sets for one server of a fleet.

use crate::names::{Installation, MemberName, SiteName};
use hazelspur::Duration;
use std::net::SocketAddr;

/// The configuration of one server.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The installation, alike on all servers that belong together.
    pub installation: Installation,
    /// The server's name.
    pub name: MemberName,
    /// The site in which the server runs.
    pub site: SiteName,
    /// Where others reach this process.
    pub address: SocketAddr,
    /// Seed members, which the server contacts first; up to 16.
    pub seeds: Vec<SocketAddr>,
    /// Largest number of servers that exist at once, 1 to 4096: the upper bound of the size where nothing
    /// better is known.
    pub max_servers: usize,
    /// Time between two probes.
    pub probe_period: Duration,
    /// How long members that are dead or have left are remembered. Until then the dead count to the upper
    /// bound.
    pub retention: Duration,
}
