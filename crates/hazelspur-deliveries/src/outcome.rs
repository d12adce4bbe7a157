//! Final outcomes of deliveries and their names on the wire.

use hazelspur::Duration;

/// Final outcome of a delivery, which the queue's settlement table maps to a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryOutcome {
    /// The request ran and returned a result.
    Succeeded,
    /// The request was rejected without having run; it may be retried after the given delay.
    Rejected(Duration),
    /// The request ran, or may have run, and returned no result.
    Failed,
    /// The deadline passed before the request could run.
    Expired,
    /// The request class is not configured.
    UnknownClass,
    /// The message cannot be decoded as a request.
    Malformed,
    /// The request may have run before and must not run twice.
    PossibleDuplicate,
}

impl DeliveryOutcome {
    /// Returns the name used in the reply's `x-outcome` header and in logs.
    pub fn wire_name(self) -> &'static str {
        match self {
            Self::Succeeded => "acked",
            Self::Rejected(_) => "nacked",
            Self::Failed => "failed",
            Self::Expired => "expired",
            Self::UnknownClass => "unknown",
            Self::Malformed => "poison",
            Self::PossibleDuplicate => "doubtful",
        }
    }
}
