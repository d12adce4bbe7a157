//! `fleet(...)` of the operator's file: the installation that the server belongs to, the addresses of other
//! servers, and the limits that all servers share.
//!
//! A field's key in the file is its name or its `serde(rename)`. Checks across several keys produce the
//! `QuotaConfig` of `hazelspur_fleet`.

use garde::Validate;
use hazelspur::Duration;
use hazelspur_fleet::datagram::KeyError;
use hazelspur_fleet::quota::{QuotaConfig, QuotaConfigError, SharedLimit};
use hazelspur_fleet::{Installation, Key, LimitName, MemberName, NodeConfig, SiteName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use thiserror::Error;

/// The longest key file that is read, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 4096;
/// Default of `lease_s`, in seconds.
const DEFAULT_VOTE_SECS: f64 = 4.0;
/// Default of `floor`.
const DEFAULT_GUARANTEED_FRACTION: f64 = 0.2;
/// Default of `linger_s`, in seconds.
const DEFAULT_RESIDUAL_SECS: f64 = 1.0;
/// Default of `period_s`, in seconds.
const DEFAULT_PERIOD_SECS: f64 = 1.0;
/// Default of `remember_s`, in seconds.
const DEFAULT_RETENTION_SECS: f64 = 900.0;
/// Bounds of `linger_s`, in seconds.
const RESIDUAL_SECS: RangeInclusive<f64> = 0.0..=60.0;
/// Name of the shared limit of concurrent calls to the dependency.
pub const CALLS_LIMIT: &str = "calls";
/// Prefix of the names of tenants' shared limits; the rest is the tenant's name. Such a limit is in requests
/// per second.
pub const TENANT_LIMIT_PREFIX: &str = "tenant.";

/// The arguments of `fleet(...)`.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The installation's name, the same on all servers of the fleet.
    #[garde(skip)]
    pub installation: Installation,
    /// The failure domain in which this server runs.
    #[garde(skip)]
    pub site: SiteName,
    /// The UDP address at which other servers reach this one.
    #[serde(rename = "at")]
    #[garde(custom(check_reachable))]
    pub address: SocketAddr,
    /// The UDP address to bind; `address` if absent.
    #[garde(skip)]
    pub listen: Option<SocketAddr>,
    /// Addresses of seed members, which the server contacts first.
    #[serde(default)]
    #[garde(length(max = 16), inner(custom(check_reachable)))]
    pub contacts: Vec<SocketAddr>,
    /// Path of the file with the installation's key, which seals all datagrams.
    #[garde(length(min = 1, max = 4096))]
    pub key_file: String,
    /// Largest number of servers in the fleet at any time.
    #[garde(range(min = 1, max = 4096))]
    pub most: usize,
    /// Time between two probes, in seconds.
    #[serde(rename = "period_s", default = "default_probe_period_s")]
    #[garde(range(min = 0.1, max = 60.0))]
    pub probe_period_s: f64,
    /// Time for which members that died or left stay in the member list, in seconds.
    #[serde(rename = "remember_s", default = "default_retention_s")]
    #[garde(range(min = 30.0, max = 86_400.0))]
    pub retention_s: f64,
    /// Whether the load reports of other servers and the circuit breaker take effect: they decide which
    /// servers probe an unreachable dependency, and whether a rejected request may succeed on another server.
    #[serde(rename = "together", default)]
    #[garde(skip)]
    pub coordinated: bool,
    /// Servers that vote on the allocator of shared limits: none, or an odd number, ideally spread over three
    /// sites.
    #[serde(rename = "keepers", default)]
    #[garde(skip)]
    pub voters: Vec<MemberName>,
    /// Time for which a vote binds the voter, in seconds.
    #[serde(rename = "lease_s", default = "default_vote_duration_s")]
    #[garde(range(min = 1.0, max = 600.0))]
    pub vote_duration_s: f64,
    /// Limits that hold for all servers together.
    #[serde(rename = "shares", default)]
    #[garde(skip)]
    pub shared_limits: Vec<SharedLimitConfig>,
    /// The installation's key; `None` until `read_key` has read its file.
    #[serde(skip)]
    #[garde(skip)]
    pub key: Option<Key>,
}

/// One entry of the key `shares`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedLimitConfig {
    /// Name of the limit: `calls` for concurrent calls to the dependency, `tenant.NAME` for a tenant's
    /// requests per second.
    pub limit: LimitName,
    /// Amount that all servers together may use.
    pub total: f64,
    /// Fraction of `total` that is guaranteed. It is divided by `most`, and each server may always use one
    /// such part.
    #[serde(rename = "floor", default = "default_guaranteed_fraction")]
    pub guaranteed_fraction: f64,
    /// Time for which work started under a lease may continue after the lease has ended, in seconds.
    #[serde(rename = "linger_s", default = "default_residual_s")]
    pub residual_s: f64,
}

fn default_vote_duration_s() -> f64 {
    DEFAULT_VOTE_SECS
}

fn default_guaranteed_fraction() -> f64 {
    DEFAULT_GUARANTEED_FRACTION
}

fn default_residual_s() -> f64 {
    DEFAULT_RESIDUAL_SECS
}

fn default_probe_period_s() -> f64 {
    DEFAULT_PERIOD_SECS
}

fn default_retention_s() -> f64 {
    DEFAULT_RETENTION_SECS
}

fn check_reachable(address: &SocketAddr, _: &()) -> garde::Result {
    let ip = address.ip();
    let is_reachable = address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
    if is_reachable { Ok(()) } else { Err(garde::Error::new("not an address that other servers can reach")) }
}

/// A fault of the key file.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("fleet.key_file: {path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is longer than the maximum.
    #[error("fleet.key_file: {path}: longer than {MAX_KEY_FILE_BYTES} bytes")]
    TooLong {
        /// The file's path.
        path: String,
    },
    /// The text is not a valid key.
    #[error("fleet.key_file: {path}: {source}")]
    Invalid {
        /// The file's path.
        path: String,
        /// The fault of the key.
        source: KeyError,
    },
}

/// A fault of the keys `keepers` and `shares`.
#[derive(Clone, Copy, Debug, Error)]
pub enum QuotaKeysError {
    /// There are voters but no shared limits.
    #[error("set without any shares")]
    NoShares,
    /// The name of a limit is neither `calls` nor starts with `tenant.`.
    #[error("unknown limit {0}, expected {CALLS_LIMIT} or {TENANT_LIMIT_PREFIX}NAME")]
    UnknownLimit(LimitName),
    /// The residual duration of a limit is outside its bounds.
    #[error("{0}: linger_s is not a number from {min} to {max}", min = RESIDUAL_SECS.start(), max = RESIDUAL_SECS.end())]
    ResidualOutOfRange(LimitName),
    /// The number of voters is even. One voter fewer tolerates the loss of just as many.
    #[error("{0} servers, but the number must be odd")]
    EvenVoters(usize),
    /// The quota configuration is refused.
    #[error(transparent)]
    Invalid(#[from] QuotaConfigError),
    /// There are no voters, and a limit is not guaranteed as a whole: nobody would allocate the rest of it.
    #[error("floor must be 1 for every limit if there are no keepers")]
    NoVoters,
}

impl QuotaKeysError {
    /// Returns the key of `fleet(...)` at fault.
    pub fn key(&self) -> &'static str {
        match self {
            Self::NoShares | Self::EvenVoters(_) => "keepers",
            Self::UnknownLimit(_) | Self::ResidualOutOfRange(_) | Self::Invalid(_) | Self::NoVoters => {
                "shares"
            }
        }
    }
}

impl Fleet {
    /// Reads the key file and stores its key.
    ///
    /// # Errors
    /// Returns a `KeyFileError` if the file cannot be read, is too long or contains no valid key.
    pub fn read_key(&mut self) -> Result<(), KeyFileError> {
        let path = self.key_file.clone();
        let text = read_key_file(&path)?;
        let key = Key::from_text(&text).map_err(|source| KeyFileError::Invalid { path, source })?;
        self.key = Some(key);
        Ok(())
    }

    /// Returns the configuration of quota leases, or `None` if there are no shared limits.
    ///
    /// # Errors
    /// Returns a `QuotaKeysError` if `keepers` and `shares` are invalid or do not fit together.
    pub fn quota_config(&self) -> Result<Option<QuotaConfig>, QuotaKeysError> {
        if self.shared_limits.is_empty() {
            return if self.voters.is_empty() { Ok(None) } else { Err(QuotaKeysError::NoShares) };
        }
        self.shared_limits.iter().try_for_each(SharedLimitConfig::check)?;
        let config = QuotaConfig {
            voters: self.voters.clone(),
            max_servers: self.most,
            vote_duration: Duration::from_secs(self.vote_duration_s),
            limits: self.shared_limits.iter().map(SharedLimitConfig::shared_limit).collect(),
        };
        let voters = config.voters.len();
        if voters.is_multiple_of(2) && voters > 0 {
            return Err(QuotaKeysError::EvenVoters(voters));
        }
        config.check()?;
        if voters == 0 && self.shared_limits.iter().any(|limit| limit.guaranteed_fraction < 1.0) {
            return Err(QuotaKeysError::NoVoters);
        }
        Ok(Some(config))
    }

    /// Returns the fleet configuration of the server with this name.
    pub fn node_config(&self, name: MemberName) -> NodeConfig {
        NodeConfig {
            installation: self.installation,
            name,
            site: self.site,
            address: self.address,
            seeds: self.contacts.clone(),
            max_servers: self.most,
            probe_period: Duration::from_secs(self.probe_period_s),
            retention: Duration::from_secs(self.retention_s),
        }
    }
}

impl SharedLimitConfig {
    fn check(&self) -> Result<(), QuotaKeysError> {
        let name = self.limit.as_str();
        if name != CALLS_LIMIT && !name.starts_with(TENANT_LIMIT_PREFIX) {
            return Err(QuotaKeysError::UnknownLimit(self.limit));
        }
        if !RESIDUAL_SECS.contains(&self.residual_s) {
            return Err(QuotaKeysError::ResidualOutOfRange(self.limit));
        }
        Ok(())
    }

    fn shared_limit(&self) -> SharedLimit {
        SharedLimit {
            name: self.limit,
            total: self.total,
            guaranteed_fraction: self.guaranteed_fraction,
            residual_duration: Duration::from_secs(self.residual_s),
            max_turn: None,
        }
    }
}

fn read_key_file(path: &str) -> Result<String, KeyFileError> {
    let unreadable = |source| KeyFileError::Unreadable { path: path.into(), source };
    let length = std::fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_KEY_FILE_BYTES {
        return Err(KeyFileError::TooLong { path: path.into() });
    }
    std::fs::read_to_string(path).map_err(unreadable)
}
