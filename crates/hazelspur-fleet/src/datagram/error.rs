//! Why a datagram is dropped.

use thiserror::Error;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
#[error("datagram dropped: {}", self.name())]
pub enum DatagramError {
    /// Too long or too short.
    Size,
    /// Of another version of the protocol.
    Version,
    /// Not sealed with our key, or damaged on the way.
    Tag,
    /// Sealed with our key, but malformed or implausible.
    Content,
    /// Of another installation with the same key.
    Foreign,
    /// Sent too long ago, or by a clock with too large a skew.
    Stale,
    /// A sequence number that was received before, or a generation that is over.
    Replayed,
}

impl DatagramError {
    /// The word that log lines show.
    pub fn name(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Version => "version",
            Self::Tag => "tag",
            Self::Content => "content",
            Self::Foreign => "foreign",
            Self::Stale => "stale",
            Self::Replayed => "old",
        }
    }
}
