//! Datagrams between servers: a version byte, a tag, and the `postcard` encoding of a `Datagram`. The tag is
//! a keyed BLAKE3 hash over version and content, so only holders of the installation's key are heard. Nothing
//! is encrypted.
//!
//! `postcard` encodes by position: the order of variants and fields and their types are the wire format.

mod body;
mod codec;
mod error;
mod fleet_query;
mod key;

pub use body::Body;
pub use codec::{encoded_length, open, reseal, seal};
pub use error::DatagramError;
pub use fleet_query::{AllocationSummary, CoordinationState, MemberRow, ShareSummary, SiteSize};
pub use key::{Key, KeyError};

use crate::load_reports::PeerLoadReport;
use crate::membership::MemberUpdate;
use crate::names::Installation;
use serde::{Deserialize, Serialize};

/// Length of the longest datagram, in bytes: with its headers it fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Updates in one datagram; a datagram with more is malformed.
pub const MAX_UPDATES: usize = 64;
/// Members in one reply to an operator: with the longest names they just fit.
pub const MAX_QUERY_ROWS: usize = 4;
/// Sites in one reply to an operator.
pub const MAX_QUERY_SITES: usize = 8;
/// Largest difference of two clocks, in milliseconds; it bounds the age of a replayed datagram.
pub const MAX_CLOCK_SKEW_MS: u64 = 120_000;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The installation to which the sender belongs.
    pub installation: Installation,
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// Sequence number within the sender's generation, from 1 on.
    pub sequence: u64,
    /// The sender's wall clock, in Unix milliseconds.
    pub sent_ms: u64,
    /// What the datagram is about.
    pub body: Body,
    /// The sender's report on the shared dependency.
    pub load_report: Option<PeerLoadReport>,
    /// Updates about members.
    pub updates: Vec<MemberUpdate>,
}
