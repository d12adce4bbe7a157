//! `fleet(...)` of the operator's file: who belongs together, and where others are found.

use garde::Validate;
use hazelspur::Duration;
use hazelspur_fleet::quota::{QuotaConfig, SharedLimit};
use hazelspur_fleet::{Installation, Key, LimitName, MemberName, SiteName, Terms};
use serde::Deserialize;
use std::net::SocketAddr;

/// The longest key file that is read, in bytes.
const LONGEST_KEY: u64 = 4096;

#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The same on all servers that belong together.
    #[garde(skip)]
    pub installation: Installation,
    /// Where this server stands.
    #[garde(skip)]
    pub site: SiteName,
    /// Where others reach it, by UDP.
    #[garde(custom(reachable))]
    pub at: SocketAddr,
    /// Where it listens, if that differs.
    #[garde(skip)]
    pub listen: Option<SocketAddr>,
    /// Servers that are tried first.
    #[serde(default)]
    #[garde(length(max = 16), inner(custom(reachable)))]
    pub contacts: Vec<SocketAddr>,
    /// Its text is the installation's key.
    #[garde(length(min = 1, max = 4096))]
    pub key_file: String,
    /// No more servers than this exist at once.
    #[garde(range(min = 1, max = 4096))]
    pub most: usize,
    /// How often one other is probed.
    #[serde(default = "period")]
    #[garde(range(min = 0.1, max = 60.0))]
    pub period_s: f64,
    /// How long those who are gone are remembered.
    #[serde(default = "remember")]
    #[garde(range(min = 30.0, max = 86_400.0))]
    pub remember_s: f64,
    /// Whether servers go by what they hear of each other: who tries a ledger that nobody reaches, whether
    /// a refused request has better luck elsewhere.
    #[serde(default)]
    #[garde(skip)]
    pub together: bool,
    /// Who votes on the one that gives out shares: an odd number, over three sites.
    #[serde(default)]
    #[garde(skip)]
    pub keepers: Vec<MemberName>,
    /// How long a vote holds.
    #[serde(default = "lease")]
    #[garde(range(min = 1.0, max = 600.0))]
    pub lease_s: f64,
    /// What all servers together may use.
    #[serde(default)]
    #[garde(skip)]
    pub shares: Vec<ShareKey>,
    #[serde(skip)]
    #[garde(skip)]
    pub key: Option<Key>,
}

/// One entry of `shares`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShareKey {
    /// `calls`: at once at the ledger; `tenant.NAME`: requests a second of a tenant of the settings.
    pub limit: LimitName,
    pub total: f64,
    /// The part that is divided by `most` for good.
    #[serde(default = "floor")]
    pub floor: f64,
    /// How long what was begun under a share may go on.
    #[serde(default = "linger")]
    pub linger_s: f64,
}

pub const CALLS: &str = "calls";
pub const TENANT: &str = "tenant.";

fn lease() -> f64 {
    4.0
}

fn floor() -> f64 {
    0.2
}

fn linger() -> f64 {
    1.0
}

fn period() -> f64 {
    1.0
}

fn remember() -> f64 {
    900.0
}

fn reachable(at: &SocketAddr, _: &()) -> garde::Result {
    let fine = at.port() != 0 && !at.ip().is_unspecified() && !at.ip().is_multicast();
    if fine { Ok(()) } else { Err(garde::Error::new("no address that others can reach")) }
}

impl Fleet {
    pub fn read_key(&mut self) -> Result<(), String> {
        let told = |why: String| format!("fleet.key_file: {}: {why}", self.key_file);
        let length = std::fs::metadata(&self.key_file).map_err(|e| told(e.to_string()))?.len();
        if length > LONGEST_KEY {
            return Err(told(format!("longer than {LONGEST_KEY} bytes")));
        }
        let text = std::fs::read_to_string(&self.key_file).map_err(|e| told(e.to_string()))?;
        self.key = Some(Key::from_text(&text).map_err(|why| told(why.into()))?);
        Ok(())
    }

    /// What is shared; none where nothing is. Errors name the key at fault.
    pub fn share_terms(&self) -> Result<Option<QuotaConfig>, (&'static str, String)> {
        let limit = |key: &ShareKey| SharedLimit {
            name: key.limit,
            total: key.total,
            guaranteed_fraction: key.floor,
            residual_duration: Duration::from_secs(key.linger_s),
            max_turn: None,
        };
        if self.shares.is_empty() {
            let unused = !self.keepers.is_empty();
            return if unused { Err(("keepers", "there are no shares to keep".into())) } else { Ok(None) };
        }
        for key in &self.shares {
            let name = key.limit.as_str();
            if name != CALLS && !name.starts_with(TENANT) {
                return Err(("shares", format!("{name}: neither {CALLS} nor {TENANT}NAME")));
            }
            if !(0.0..=60.0).contains(&key.linger_s) {
                return Err(("shares", format!("{name}: linger_s is not from 0 to 60")));
            }
        }
        let terms = QuotaConfig {
            voters: self.keepers.clone(),
            max_servers: self.most,
            vote_duration: Duration::from_secs(self.lease_s),
            limits: self.shares.iter().map(limit).collect(),
        };
        let keepers = terms.voters.len();
        if keepers.is_multiple_of(2) && keepers > 0 {
            return Err(("keepers", format!("{keepers}: an odd number can lose as many as one more")));
        }
        terms.check().map_err(|why| ("shares", why.to_string()))?;
        if keepers == 0 && self.shares.iter().any(|key| key.floor < 1.0) {
            return Err((
                "shares",
                "without keepers nobody gives out what is beyond the floors: floor = 1".into(),
            ));
        }
        Ok(Some(terms))
    }

    pub fn terms(&self, name: MemberName) -> Terms {
        Terms {
            installation: self.installation,
            name,
            site: self.site,
            at: self.at,
            contacts: self.contacts.clone(),
            most: self.most,
            period: Duration::from_secs(self.period_s),
            remember: Duration::from_secs(self.remember_s),
        }
    }
}
