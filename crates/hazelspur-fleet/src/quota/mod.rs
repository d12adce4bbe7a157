//! Divides what all servers share and what is limited (slots of a dependency, a tenant's rate, exclusive
//! turns) by leases. The sum of all shares in force never exceeds the limit, whatever messages are lost, late
//! or repeated and whichever processes stop or are cut off.
//!
//! - **Guaranteed minimum.** A part of each limit is divided by the largest number of servers there may be.
//!   Each server may always use its part, without any message.
//! - **Shared pool.** One allocator at a time grants the rest as leases that expire (Gray and Cheriton 1989).
//! - **Election.** Named voters elect the allocator: each has one vote, given for a duration and kept in
//!   memory only. A candidate with a majority allocates until the earliest of those votes can expire. A voter
//!   that starts stays silent for one vote duration, because it cannot know what its predecessor promised.
//!   This is a lease without a disk, as in Trencseni, Gazso and Reinhardt, "PaxosLease" (2012), without its
//!   first phase: a vote names a candidate and no value, so there is no value to learn.
//! - **Durations only.** No message names a point in time. Who asks counts from sending, who grants counts
//!   from receiving, so the user of a promise always ends before its giver. Clocks may drift apart by
//!   `CLOCK_DRIFT` and show any time.
//! - **Division** by max-min fairness ("water filling"); exclusive turns go to who has waited longest.
//!
//! Inputs of `QuotaManager` (`set_demand`, `receive`, `tick`) only update; then drain `next_message` and
//! `next_event`, and call `tick` at `next_tick`. All times are of a monotonic clock.

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

/// Limits that one installation may share.
pub const MAX_LIMITS: usize = 16;
/// Voters that one installation may have.
pub const MAX_VOTERS: usize = 9;
/// Part by which monotonic clocks may drift apart.
const CLOCK_DRIFT: f64 = 0.02;
