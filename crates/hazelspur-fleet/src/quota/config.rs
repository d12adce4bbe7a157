//! The quota configuration, which all servers of an installation must have alike, its checks and its
//! fingerprint.

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
/// Part of the vote duration after which lessees and the allocator renew.
const RENEWAL_FRACTION: f64 = 0.25;
/// Lease duration over the vote duration: a lease outlasts its allocator until all know the next one.
const LEASE_TO_VOTE_RATIO: f64 = 2.0;
/// Least vote duration over the residual duration of a limit.
const MIN_VOTE_TO_RESIDUAL_RATIO: f64 = 2.0;

/// A limit, by its position in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitId(pub usize);

/// Fingerprint of a configuration; servers with different fingerprints ignore each other's quota messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFingerprint(pub u64);

/// A limit that all servers share.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedLimit {
    /// The limit's name.
    pub name: LimitName,
    /// What all servers together may use.
    pub total: f64,
    /// The part of the total, 0 to 1, that is divided by the largest number of servers as guaranteed
    /// minimums.
    pub guaranteed_fraction: f64,
    /// How long work that began under a lease may go on after the lease, such as the longest call.
    pub residual_duration: Duration,
    /// Longest exclusive turn, for limits whose units are granted whole to who has waited longest.
    pub max_turn: Option<Duration>,
}

/// The quota configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Servers that vote on the allocator: an odd number, best in three sites.
    pub voters: Vec<MemberName>,
    /// Largest number of servers that exist at once.
    pub max_servers: usize,
    /// How long a vote lasts.
    pub vote_duration: Duration,
    /// The shared limits.
    pub limits: Vec<SharedLimit>,
}

/// Why a quota configuration is refused. The texts name fields as the operator's file does; its `lease_s`, the vote
/// duration, is their `span`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum QuotaConfigError {
    /// There are more than `MAX_VOTERS` voters.
    #[error("more than {MAX_VOTERS} keepers")]
    TooManyVoters,
    /// A voter is listed twice.
    #[error("a keeper is named twice: its vote would count twice")]
    DuplicateVoter,
    /// There are more than `MAX_LIMITS` limits.
    #[error("more than {MAX_LIMITS} limits")]
    TooManyLimits,
    /// Two limits have the same name.
    #[error("{0}: named twice")]
    DuplicateLimit(LimitName),
    /// A total is outside its range.
    #[error("{0}: total is no number from 0 to a billion")]
    InvalidTotal(LimitName),
    /// A guaranteed fraction is outside its range.
    #[error("{0}: floor is no part from 0 to 1")]
    InvalidGuaranteedFraction(LimitName),
    /// A limit of exclusive turns has a guaranteed fraction.
    #[error("{0}: turns have no floor")]
    GuaranteedTurns(LimitName),
    /// The residual duration is more than half of the vote duration.
    #[error("{0}: what lingers for over half of the span leaves no time for leases")]
    ResidualTooLong(LimitName),
    /// The vote duration or the number of servers is outside its range.
    #[error("span is not from 0.2 s to 600 s, or most is 0")]
    InvalidVoteDurationOrMaxServers,
}

impl QuotaConfig {
    /// Checks the configuration as a whole and each limit.
    ///
    /// # Errors
    /// Returns the first fault.
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

    /// How often a lessee renews its leases and an allocator its votes.
    pub fn renewal_interval(&self) -> Duration {
        self.vote_duration.scaled(RENEWAL_FRACTION)
    }

    /// How long a lease lasts.
    pub fn lease_duration(&self) -> Duration {
        self.vote_duration.scaled(LEASE_TO_VOTE_RATIO)
    }

    /// Votes that elect an allocator.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The longest residual duration of any limit.
    pub fn max_residual_duration(&self) -> Duration {
        self.limits.iter().map(|limit| limit.residual_duration).max().unwrap_or(Duration::ZERO)
    }

    /// What each server may always use of a limit.
    pub fn guaranteed_minimum(&self, limit: LimitId) -> f64 {
        self.limits.get(limit.0).map_or(0.0, |limit| limit.guaranteed_minimum(self.max_servers))
    }

    /// What the allocator grants of a limit; zero without voters.
    pub fn shared_pool(&self, limit: LimitId) -> f64 {
        let has_voters = !self.voters.is_empty();
        self.limits.get(limit.0).filter(|_| has_voters).map_or(0.0, SharedLimit::shared_pool)
    }

    /// The limit of this name.
    pub fn find(&self, name: &str) -> Option<LimitId> {
        self.limits.iter().position(|limit| limit.name.as_str() == name).map(LimitId)
    }

    /// The fingerprint that quota messages carry.
    pub fn fingerprint(&self) -> ConfigFingerprint {
        ConfigFingerprint(xxhash_rust::xxh3::xxh3_64(self.canonical_text().as_bytes()))
    }

    /// The text that the fingerprint covers. Servers of other versions hash the same text: it must never
    /// change.
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
    /// What each of `max_servers` servers may always use.
    pub fn guaranteed_minimum(&self, max_servers: usize) -> f64 {
        self.total * self.guaranteed_fraction / max_servers.max(1) as f64
    }

    /// What is granted by leases.
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
