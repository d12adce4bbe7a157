//! Who belongs to the fleet, as far as this process can know: a failure detector with direct and indirect
//! probes, suspicions that members can refute, dissemination by gossip, and a member list that repairs
//! itself.
//!
//! After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol" (2002), with the suspicion timeout and the local health of "Lifeguard" (2018). Additions: no
//! process declares a member dead for others, a datagram of the member itself outweighs updates of others,
//! generations tell runs of a process apart, the size has two bounds, and dead members are probed again, so
//! that partitions that heal find each other.
//!
//! Inputs of `Membership` (`receive`, `tick`, `leave`, `announce_left`) only update; then drain
//! `next_datagram` and `next_event`, and call `tick` at `next_tick`.

mod dissemination;
mod event;
mod failure_detector;
mod gossip_queue;
mod list_sync;
mod local_health;
mod operator;
mod receive;
mod refutation;
mod rejoin;
mod state;
mod suspicion;
mod table;
mod update;
mod view;

pub use event::MembershipEvent;
pub use local_health::LocalStatus;
pub use state::{Membership, OutgoingDatagram};
pub use update::{MemberState, MemberUpdate};
pub use view::{FleetSize, GenerationStatus, MemberStatus};
