//! Datagrams between servers. The bytes are a version, an authentication tag and the `postcard` encoding of a
//! `Datagram`. The tag is a keyed BLAKE3 hash over version and content, so only datagrams from holders of the
//! installation's key are accepted. Nothing is encrypted.
//!
//! `postcard` encodes by position, so the types and the order of variants and fields are the wire format.

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

/// Maximum length of a datagram, in bytes. With the headers of UDP and IP it fits an Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum number of updates in one datagram. A datagram with more is malformed.
pub const MAX_UPDATES: usize = 64;
/// Maximum number of members in one reply to an operator. With names of maximum length they just fit.
pub const MAX_QUERY_ROWS: usize = 4;
/// Maximum number of sites in one reply to an operator.
pub const MAX_QUERY_SITES: usize = 8;
/// Maximum difference between the sending time of a datagram and the receiver's clock, in milliseconds. It
/// bounds the age at which a recorded datagram can still be replayed.
pub const MAX_CLOCK_SKEW_MS: u64 = 120_000;

/// One datagram. The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The installation to which the sender belongs.
    pub installation: Installation,
    /// The sender's update about itself.
    pub sender: MemberUpdate,
    /// Sequence number within the sender's generation, from 1 on.
    pub sequence: u64,
    /// Time of sending by the sender's wall clock, in Unix milliseconds.
    pub sent_ms: u64,
    /// The message of the datagram.
    pub body: Body,
    /// The sender's report on the shared dependency and its own rejections, if any.
    pub load_report: Option<PeerLoadReport>,
    /// Updates about members.
    pub updates: Vec<MemberUpdate>,
}
