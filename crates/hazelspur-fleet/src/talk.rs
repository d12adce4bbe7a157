//! Datagrams: a version, a tag, and what `postcard` makes of a `Datagram`. The tag is a keyed BLAKE3 hash
//! over version and content, so that only holders of the installation's key are heard. Nothing is secret on
//! the wire.

use crate::claim::Claim;
use crate::doubt::Condition;
use crate::load_reports::{AggregatedLoad, FaultScope};
use crate::names::{Installation, LimitName, MemberName, SiteName};
use crate::picture::{Size, Standing};
use crate::{load_reports, quota};
use hazelspur::Timestamp;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const VERSION: u8 = 2;
const TAG: usize = 16;
/// The longest datagram, in bytes: fits an Ethernet frame with room to spare.
pub const LONGEST: usize = 1200;
/// Claims in one datagram; more is not read.
pub const MAX_CLAIMS: usize = 64;
/// Rows and sites in one answer to an operator: with the longest names they just fit.
pub const MAX_ROWS: usize = 4;
pub const MAX_SITES: usize = 8;
/// Clocks further apart than this don't talk: it is what bounds the age of a datagram played again, in ms.
pub const MAX_APART_MS: u64 = 120_000;

/// The installation's key, as derived from the text of a key file.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// From at least 16 bytes of text, blanks at both ends left out.
    pub fn from_text(text: &str) -> Result<Self, &'static str> {
        match text.trim() {
            short if short.len() < 16 => Err("shorter than 16 characters"),
            long if long.len() > 4096 => Err("longer than 4096 characters"),
            text => {
                Ok(Self(blake3::derive_key("hazelspur fleet 1: datagrams among servers", text.as_bytes())))
            }
        }
    }

    fn tag(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// One line of the list as an operator is shown it; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShownRow {
    pub claim: Claim,
    pub standing: Standing,
    pub since_ms: u64,
    pub word_ms: u64,
    pub by: MemberName,
    pub heard_ms: Option<u64>,
}

/// What a server goes by that all have in common, as an operator is shown it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    pub divider: Option<MemberName>,
    /// What this server divides, and among how many, if it does.
    pub given: Option<(f32, u32)>,
    /// Name, amount, floor and how many ms the lease still lasts.
    pub shares: Vec<(LimitName, f32, f32, Option<u32>)>,
    pub shut: bool,
    pub whose: FaultScope,
    pub word: load_reports::PeerLoadReport,
    pub common: Option<AggregatedLoad>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there? Answered by `Ack`, if `to` is the name of who gets it or is not known.
    Ping {
        number: u32,
        to: Option<MemberName>,
    },
    Ack {
        number: u32,
    },
    /// Ask that one in my stead, and tell me if it answers.
    PingFor {
        number: u32,
        to: MemberName,
        at: SocketAddr,
    },
    /// Nothing but what goes along.
    Gossip,
    /// About shares, by these terms.
    Quota {
        fingerprint: quota::ConfigFingerprint,
        message: quota::QuotaMessage,
    },
    /// The list behind this name.
    Ask {
        after: Option<MemberName>,
    },
    /// A part of the list goes along; it goes on behind this name, or ends here.
    Page {
        next: Option<MemberName>,
    },
    /// By an operator's command, which is no member: this server's picture behind this name.
    Show {
        number: u32,
        after: Option<MemberName>,
    },
    /// By an operator's command: what this server holds of what all share, and what it goes by.
    ShowChoices {
        number: u32,
    },
    Choices {
        number: u32,
        shown: Shown,
    },
    /// Sites only where the answer begins.
    Shown {
        number: u32,
        condition: Condition,
        fleet: Size,
        sites: Vec<(SiteName, Size)>,
        rows: Vec<ShownRow>,
        next: Option<MemberName>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    pub installation: Installation,
    /// The sender, by its own word.
    pub from: Claim,
    /// Of this sender's generation, from 1 on.
    pub number: u64,
    /// The sender's wall clock, in Unix milliseconds.
    pub sent_ms: u64,
    pub body: Body,
    /// What the sender says of what all depend on.
    pub word: Option<load_reports::PeerLoadReport>,
    pub claims: Vec<Claim>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    /// Too long or too short.
    Size,
    Version,
    /// Not by a holder of our key, or spoilt on the way.
    Tag,
    /// Sealed well, but not what we can read.
    Content,
    /// Of another installation with the same key.
    Foreign,
    /// Sent too long ago, or by a clock too far apart.
    Stale,
    /// A number that was there before, or a life that is over.
    Old,
}

impl Dropped {
    pub const ALL: [Self; 7] =
        [Self::Size, Self::Version, Self::Tag, Self::Content, Self::Foreign, Self::Stale, Self::Old];

    pub fn name(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Version => "version",
            Self::Tag => "tag",
            Self::Content => "content",
            Self::Foreign => "foreign",
            Self::Stale => "stale",
            Self::Old => "old",
        }
    }
}

/// The bytes of a datagram. What would be too long loses claims from the end.
pub fn seal(key: &Key, datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![0; 1 + TAG];
    bytes[0] = VERSION;
    let mut content = postcard::to_stdvec(datagram).unwrap_or_default();
    if 1 + TAG + content.len() > LONGEST {
        let mut shorter = datagram.clone();
        while 1 + TAG + content.len() > LONGEST && shorter.claims.pop().is_some() {
            content = postcard::to_stdvec(&shorter).unwrap_or_default();
        }
    }
    bytes.extend_from_slice(&content);
    let tag = tag(key, &bytes);
    bytes[1..=TAG].copy_from_slice(&tag);
    bytes
}

/// How many bytes `seal` would give.
pub fn length(datagram: &Datagram) -> usize {
    1 + TAG + postcard::experimental::serialized_size(datagram).unwrap_or(LONGEST)
}

fn tag(key: &Key, bytes: &[u8]) -> [u8; TAG] {
    // The tag's own place counts as zeros.
    let mut all = bytes.to_vec();
    all[1..=TAG].fill(0);
    let mut tag = [0; TAG];
    tag.copy_from_slice(&key.tag(&all).as_bytes()[..TAG]);
    tag
}

/// Reads what came. Everything about the bytes is checked here, what they say by `Members`.
pub fn open(key: &Key, ours: &Installation, now: Timestamp, bytes: &[u8]) -> Result<Datagram, Dropped> {
    if !(2 + TAG..=LONGEST).contains(&bytes.len()) {
        return Err(Dropped::Size);
    }
    if bytes[0] != VERSION {
        return Err(Dropped::Version);
    }
    // Compared in constant time by the library's own type.
    let whole = |tag: [u8; TAG]| {
        let mut all = [0; 32];
        all[..TAG].copy_from_slice(&tag);
        blake3::Hash::from(all)
    };
    let mut came = [0; TAG];
    came.copy_from_slice(&bytes[1..=TAG]);
    if whole(came) != whole(tag(key, bytes)) {
        return Err(Dropped::Tag);
    }
    let read: Result<(Datagram, &[u8]), _> = postcard::take_from_bytes(&bytes[1 + TAG..]);
    let (datagram, rest) = read.map_err(|_| Dropped::Content)?;
    let shown = |rows: &Vec<ShownRow>, sites: &Vec<_>| rows.len() <= MAX_ROWS && sites.len() <= MAX_SITES;
    let fits = match &datagram.body {
        Body::Shown { rows, sites, .. } => shown(rows, sites),
        Body::Quota { message, .. } => message.has_valid_length(),
        Body::Choices { shown, .. } => shown.shares.len() <= quota::MAX_LIMITS,
        _ => true,
    };
    if !rest.is_empty() || datagram.claims.len() > MAX_CLAIMS || !fits {
        return Err(Dropped::Content);
    }
    if datagram.installation != *ours {
        return Err(Dropped::Foreign);
    }
    if datagram.sent_ms.abs_diff(now.us() / 1000) > MAX_APART_MS {
        return Err(Dropped::Stale);
    }
    Ok(datagram)
}

/// The same content under a tag that fits it: for tests and fuzzing of what is behind the tag.
pub fn sealed_anew(key: &Key, mut bytes: Vec<u8>) -> Vec<u8> {
    let tag = tag(key, &bytes);
    bytes[1..=TAG].copy_from_slice(&tag);
    bytes
}
