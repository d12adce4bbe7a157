//! `fleet(...)` of the operator's file: who belongs together, and where others are found.

use garde::Validate;
use hazelspur::Span;
use hazelspur_fleet::{Installation, Key, MemberName, SiteName, Terms};
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
    #[serde(skip)]
    #[garde(skip)]
    pub key: Option<Key>,
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

    pub fn terms(&self, name: MemberName) -> Terms {
        Terms {
            installation: self.installation,
            name,
            site: self.site,
            at: self.at,
            contacts: self.contacts.clone(),
            most: self.most,
            period: Span::from_secs(self.period_s),
            remember: Span::from_secs(self.remember_s),
        }
    }
}
