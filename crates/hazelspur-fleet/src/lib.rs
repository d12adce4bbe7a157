//! Coordination among the servers of a fleet: membership, shared limits and the health of the shared
//! dependency. The crate performs no I/O and reads no clock. Its callers (the server, the simulator and the
//! tests) pass in received datagrams and the current time, and send the datagrams that it returns.
//!
//! - `membership`: the members of the fleet and their status (SWIM with the Lifeguard extensions);
//! - `datagram`: the datagrams between servers, authenticated with the installation's key;
//! - `quota`: the division of shared limits by leases, which an elected allocator grants;
//! - `load_reports`: reports of the servers about the shared dependency, and their aggregation;
//! - `circuit_breaker`: the circuit breaker of the shared dependency, and its probes;
//! - `subset`, `time_slots`: selection of members and of points in time, which each server computes on its
//!   own with the same result;
//! - `node`: the combination of these parts for one server;
//! - `guidance`: the resulting input of the server's admission controller;
//! - `names`, `node_config`, `anti_replay`, `invariant`: names and numbers of members, the configuration of
//!   one server, detection of replayed datagrams, and the invariants that tests check.

pub mod anti_replay;
pub mod circuit_breaker;
pub mod datagram;
pub mod guidance;
mod hash;
pub mod invariant;
pub mod load_reports;
pub mod membership;
pub mod names;
pub mod node;
pub mod node_config;
pub mod quota;
pub mod subset;
pub mod time_slots;

pub use datagram::{Body, Datagram, DatagramError, Key};
pub use membership::{
    FleetSize, LocalStatus, MemberState, MemberStatus, MemberUpdate, Membership, MembershipEvent,
};
pub use names::{Generation, Incarnation, Installation, LimitName, MemberName, ProcessIncarnation, SiteName};
pub use node::{Clocks, FleetNode};
pub use node_config::NodeConfig;
