//! What the servers of a fleet know of each other and decide together. Without I/O and without a clock: the
//! server, the simulator and the tests hand in datagrams and points in time, and send what comes out.
//!
//! - `membership`: who belongs to the fleet (SWIM with Lifeguard);
//! - `datagram`: datagrams, sealed with the installation's key;
//! - `quota`: shared limits, divided by leases of an elected allocator;
//! - `load_reports`: what servers report about the shared dependency, aggregated;
//! - `circuit_breaker`: whether calls to the shared dependency leave this server, and who probes it;
//! - `subset`, `time_slots`: who of many, and when, decided alike by each server on its own;
//! - `node`: all of it for one server; `guidance`: what follows for its admission controller.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::too_many_lines, clippy::too_many_arguments, clippy::type_complexity)]

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
