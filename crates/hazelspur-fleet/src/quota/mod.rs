//! Divides limits that all servers share (slots of a dependency, a tenant's request rate, exclusive turns) by
//! leases. The sum of all shares in force never exceeds the limit, whichever messages are lost, delayed or
//! duplicated and whichever processes stop or are partitioned.
//!
//! - **Guaranteed minimum.** A part of each limit is divided by the largest number of servers that may exist.
//!   Each server may always use its part, without any message.
//! - **Shared pool.** One allocator at a time grants the rest as leases that expire (Gray and Cheriton 1989).
//! - **Election.** The voters named in the configuration elect the allocator. Each has one vote, which it
//!   grants for the vote duration and keeps in memory only. A candidate with a majority allocates until the
//!   earliest of those votes can expire. A voter that starts grants no vote for one vote duration, because
//!   it cannot know to whom its previous incarnation granted one. This is a lease without a disk, as in
//!   Trencseni, Gazso and Reinhardt, "PaxosLease" (2012), without its first phase: a vote names a candidate
//!   and no value, so there is no earlier value to learn.
//! - **Durations only.** No message carries a point in time. The holder of a vote or lease counts its
//!   duration from sending the request, the granter from receiving it, so the holder always stops using it
//!   before the granter considers it expired. Clocks may show any time and may drift apart by
//!   `CLOCK_DRIFT`.
//! - **Division.** Amounts are divided by max-min fairness ("water filling"); exclusive turns go to the
//!   server that has waited longest.
//!
//! `QuotaManager` is one server's state machine. Its inputs (`set_demand`, `receive`, `tick`) only update
//! state; after each of them the caller drains `next_message` and `next_event`, and calls `tick` at
//! `next_tick`. All times are read from a monotonic clock.

mod allocator;
mod config;
mod election;
mod fair_share;
mod lessee;
mod manager;
mod message;
mod outstanding;

pub use config::{ConfigFingerprint, LimitId, QuotaConfig, QuotaConfigError, SharedLimit};
pub use fair_share::{fair_level, fair_shares};
pub use manager::{Allocation, OutgoingMessage, QuotaEvent, QuotaManager, QuotaShare};
pub use message::{LeaseGrant, LeaseRequest, QuotaMessage, VoteResponse};

/// Largest number of limits that one installation may share.
pub const MAX_LIMITS: usize = 16;
/// Largest number of voters that one installation may have.
pub const MAX_VOTERS: usize = 9;
/// Largest relative drift between the monotonic clocks of two servers.
const CLOCK_DRIFT: f64 = 0.02;
