//! The quota configuration, its validation and its fingerprint. All servers of an installation must have
//! the same configuration.

use super::{MAX_LIMITS, MAX_VOTERS};
use crate::names::{LimitName, MemberName};
use hazelspur::Duration;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Largest total of a limit.
const MAX_TOTAL: f64 = 1e9;
/// Shortest vote duration.
const MIN_VOTE_DURATION: Duration = Duration::from_ms(200);
/// Longest vote duration.
const MAX_VOTE_DURATION: Duration = Duration::from_ms(600_000);
/// Interval at which lessees renew leases and the allocator renews votes, as a fraction of the vote duration.
const RENEWAL_FRACTION: f64 = 0.25;
/// Lease duration as a multiple of the vote duration. Leases outlast the election of their allocator, so
/// that they stay in force until all servers know the next one.
const LEASE_TO_VOTE_RATIO: f64 = 2.0;
/// Smallest vote duration as a multiple of the residual duration of any limit, so that time is left for
/// leases.
const MIN_VOTE_TO_RESIDUAL_RATIO: f64 = 2.0;

/// A limit, identified by its position in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitId(pub usize);

/// Fingerprint of a quota configuration. Servers with different fingerprints ignore each other's quota
/// messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFingerprint(pub u64);

/// A limit that all servers share.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedLimit {
    /// The limit's name.
    pub name: LimitName,
    /// Amount that all servers together may use.
    pub total: f64,
    /// Fraction of the total, 0 to 1, that is divided by the largest number of servers into guaranteed
    /// minimums.
    pub guaranteed_fraction: f64,
    /// Longest time for which work begun under a lease may go on after the lease has expired, such as the
    /// longest call.
    pub residual_duration: Duration,
    /// Longest exclusive turn. Set for limits whose units are granted only whole, each to the server that has
    /// waited longest; none for limits that are divided.
    pub max_turn: Option<Duration>,
}

/// The quota configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Servers that elect the allocator: an odd number, preferably spread over three sites.
    pub voters: Vec<MemberName>,
    /// Largest number of servers that exist at once.
    pub max_servers: usize,
    /// Duration of a vote, from which the durations of leases and of renewals follow.
    pub vote_duration: Duration,
    /// The shared limits.
    pub limits: Vec<SharedLimit>,
}

/// Reason to reject a quota configuration. The texts use the keys of the operator's file: `keepers` for
/// voters, `most` for the largest number of servers, `lease_s` for the vote duration, `floor` for the
/// guaranteed fraction, `linger_s` for the residual duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QuotaConfigError {
    /// There are more than `MAX_VOTERS` voters.
    #[error("more than {MAX_VOTERS} keepers")]
    TooManyVoters,
    /// A voter is listed twice.
    #[error("keepers: a server is listed twice, so its vote would count twice")]
    DuplicateVoter,
    /// There are more than `MAX_LIMITS` limits.
    #[error("more than {MAX_LIMITS} limits")]
    TooManyLimits,
    /// Two limits have the same name.
    #[error("{0}: limit is listed twice")]
    DuplicateLimit(LimitName),
    /// The total of a limit is not a number from 0 to `MAX_TOTAL`.
    #[error("{0}: total is not a number from 0 to {MAX_TOTAL}")]
    InvalidTotal(LimitName),
    /// The guaranteed fraction of a limit is not a number from 0 to 1.
    #[error("{0}: floor is not a number from 0 to 1")]
    InvalidGuaranteedFraction(LimitName),
    /// A limit of exclusive turns has a guaranteed fraction other than 0.
    #[error("{0}: floor of a limit of exclusive turns is not 0")]
    GuaranteedTurns(LimitName),
    /// The residual duration of a limit is more than half of the vote duration.
    #[error("{0}: linger_s is more than half of lease_s, which leaves no time for leases")]
    ResidualTooLong(LimitName),
    /// The vote duration is outside its bounds, or the largest number of servers is 0.
    #[error("lease_s is not from 0.2 to 600, or most is 0")]
    InvalidVoteDurationOrMaxServers,
}

impl QuotaConfig {
    /// Validates the configuration as a whole and each limit.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), QuotaConfigError> {
        self.check_voters()?;
        if self.limits.len() > MAX_LIMITS {
            return Err(QuotaConfigError::TooManyLimits);
        }
        for (index, limit) in self.limits.iter().enumerate() {
            if self.limits[..index].iter().any(|other| other.name == limit.name) {
                return Err(QuotaConfigError::DuplicateLimit(limit.name));
            }
            limit.check(self.vote_duration)?;
        }
        if self.max_servers == 0 || !(MIN_VOTE_DURATION..=MAX_VOTE_DURATION).contains(&self.vote_duration) {
            return Err(QuotaConfigError::InvalidVoteDurationOrMaxServers);
        }
        Ok(())
    }

    fn check_voters(&self) -> Result<(), QuotaConfigError> {
        if self.voters.len() > MAX_VOTERS {
            return Err(QuotaConfigError::TooManyVoters);
        }
        let mut distinct = self.voters.clone();
        distinct.sort();
        distinct.dedup();
        if distinct.len() == self.voters.len() { Ok(()) } else { Err(QuotaConfigError::DuplicateVoter) }
    }

    /// Returns the interval at which lessees renew leases and the allocator renews its votes.
    pub fn renewal_interval(&self) -> Duration {
        self.vote_duration.scaled(RENEWAL_FRACTION)
    }

    /// Returns the duration of a lease.
    pub fn lease_duration(&self) -> Duration {
        self.vote_duration.scaled(LEASE_TO_VOTE_RATIO)
    }

    /// Returns the number of votes that elects an allocator.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the longest residual duration of any limit; zero without limits.
    pub fn max_residual_duration(&self) -> Duration {
        self.limits.iter().map(|limit| limit.residual_duration).max().unwrap_or(Duration::ZERO)
    }

    /// Returns the amount of a limit that each server may always use; zero for an unknown limit.
    pub fn guaranteed_minimum(&self, limit: LimitId) -> f64 {
        self.limits.get(limit.0).map_or(0.0, |limit| limit.guaranteed_minimum(self.max_servers))
    }

    /// Returns the amount of a limit that the allocator grants by leases; zero without voters and for an
    /// unknown limit.
    pub fn shared_pool(&self, limit: LimitId) -> f64 {
        let has_voters = !self.voters.is_empty();
        self.limits.get(limit.0).filter(|_| has_voters).map_or(0.0, SharedLimit::shared_pool)
    }

    /// Returns the limit with this name.
    pub fn find(&self, name: &str) -> Option<LimitId> {
        self.limits.iter().position(|limit| limit.name.as_str() == name).map(LimitId)
    }

    /// Returns the fingerprint that quota messages carry.
    pub fn fingerprint(&self) -> ConfigFingerprint {
        ConfigFingerprint(xxhash_rust::xxh3::xxh3_64(self.canonical_text().as_bytes()))
    }

    /// Returns the text that the fingerprint covers. Servers of other versions hash the same text, so it
    /// must never change; it therefore keeps type and field names that the code no longer uses.
    fn canonical_text(&self) -> String {
        let (voters, max_servers) = (&self.voters, self.max_servers);
        let vote_us = self.vote_duration.us();
        let limits: Vec<String> = self.limits.iter().map(SharedLimit::canonical_text).collect();
        let limits = limits.join(", ");
        format!(
            "Terms {{ keepers: {voters:?}, most: {max_servers}, span: Span({vote_us}), limits: [{limits}] }}"
        )
    }
}

impl SharedLimit {
    /// Returns the amount that each of `max_servers` servers may always use.
    pub fn guaranteed_minimum(&self, max_servers: usize) -> f64 {
        self.total * self.guaranteed_fraction / max_servers.max(1) as f64
    }

    /// Returns the amount that is granted by leases.
    pub fn shared_pool(&self) -> f64 {
        self.total * (1.0 - self.guaranteed_fraction)
    }

    fn check(&self, vote_duration: Duration) -> Result<(), QuotaConfigError> {
        if !(0.0..=MAX_TOTAL).contains(&self.total) {
            return Err(QuotaConfigError::InvalidTotal(self.name));
        }
        if !(0.0..=1.0).contains(&self.guaranteed_fraction) {
            return Err(QuotaConfigError::InvalidGuaranteedFraction(self.name));
        }
        if self.max_turn.is_some() && self.guaranteed_fraction != 0.0 {
            return Err(QuotaConfigError::GuaranteedTurns(self.name));
        }
        if self.residual_duration.scaled(MIN_VOTE_TO_RESIDUAL_RATIO) > vote_duration {
            return Err(QuotaConfigError::ResidualTooLong(self.name));
        }
        Ok(())
    }

    fn canonical_text(&self) -> String {
        let Self { name, total, guaranteed_fraction: floor, .. } = self;
        let residual_us = self.residual_duration.us();
        let turn = self.max_turn.map_or("None".into(), |turn| format!("Some(Span({}))", turn.us()));
        format!(
            "Limit {{ name: {name}, total: {total:?}, floor: {floor:?}, linger: Span({residual_us}), whole: {turn} }}"
        )
    }
}
