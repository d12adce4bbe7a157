//! Membership of the fleet, as one process knows it: a failure detector with direct and indirect probes,
//! suspicions that members can refute, dissemination of updates by gossip, and repair of the member list by
//! repeated exchange.
//!
//! The protocol follows Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol" (2002), with the suspicion timeout and the local health of "Lifeguard" (2018).
//! It adds:
//!
//! - each process declares members dead only for itself;
//! - a datagram from a member outweighs the updates of others about that member;
//! - generations distinguish the runs of a process;
//! - the size of the fleet is given as a lower and an upper bound;
//! - dead members are probed further, so that the two sides of a healed partition find each other.
//!
//! The inputs of `Membership` (`receive`, `tick`, `leave`, `announce_left`) change its state and queue
//! output. After each input the caller drains `next_datagram` and `next_event`, and it calls `tick` at the
//! time of `next_tick`.

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
