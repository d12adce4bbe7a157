//! The reasons to drop a received datagram.

use thiserror::Error;

/// The reason to drop a received datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
#[error("datagram dropped: {}", self.name())]
pub enum DatagramError {
    /// The datagram is too long or too short.
    Size,
    /// The datagram has another version of the protocol.
    Version,
    /// The tag is invalid: the datagram was sealed with another key or damaged in transit.
    Tag,
    /// The tag is valid, but the content is malformed or implausible.
    Content,
    /// The datagram belongs to another installation with the same key.
    Foreign,
    /// The datagram was sent too long ago, or the sender's clock differs too much.
    Stale,
    /// The sequence number was received before, the generation has ended, or one of the other cases applies
    /// that `Membership::receive` lists.
    Replayed,
}

impl DatagramError {
    /// Returns the word for the reason in log lines.
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
