//! Maps the outcome of a delivery to its settlement with the broker, by a settlement table per queue.
//!
//! Input: the outcome, the idempotency of the request and the number of previous attempts. Output: the
//! settlement and the delay before a redelivery. `check` refuses a table by which a message that cannot
//! succeed would be redelivered without end.

use crate::outcome::DeliveryOutcome;
use hazelspur::{Duration, Idempotency};
use thiserror::Error;

/// Maximum number of attempts of a failing request if the queue does not configure it.
const DEFAULT_MAX_ATTEMPTS: u32 = 8;
/// Delay after a failed attempt if the queue does not configure it.
const DEFAULT_FAILED_DELAY: Duration = Duration::from_ms(1000);

/// Settlement of a delivery with the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// Acknowledge: the broker removes the message.
    Ack,
    /// Reject: the broker dead-letters the message if the queue has a dead-letter exchange, else drops it.
    Reject,
    /// Keep the delivery unsettled for a delay, then requeue it.
    RequeueLater,
    /// Publish a copy to the retry queue with the delay as its expiration, then acknowledge.
    PublishRetry,
}

impl Settlement {
    /// Returns whether the message is delivered again.
    pub fn redelivers(self) -> bool {
        matches!(self, Self::RequeueLater | Self::PublishRetry)
    }
}

/// Settlements of a queue, one for each outcome that the operator may configure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettlementTable {
    /// Settlement of a rejected request.
    pub rejected: Settlement,
    /// Settlement of a failed request.
    pub failed: Settlement,
    /// Settlement of an expired request.
    pub expired: Settlement,
    /// Settlement of a request of an unknown class.
    pub unknown_class: Settlement,
    /// Settlement of a message that cannot be decoded.
    pub malformed: Settlement,
    /// Settlement of a request that may have run before and must not run twice.
    pub possible_duplicate: Settlement,
    /// Settlement of a failed request that has no attempts left.
    pub exhausted: Settlement,
    /// Maximum number of attempts of a failing request.
    pub max_attempts: u32,
    /// Delay before the next attempt of a failed request.
    pub failed_delay: Duration,
}

/// Error in a settlement table. The text is shown to the operator after the path of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SettlementTableError {
    /// Messages with this outcome would be redelivered without end.
    #[error("would come back for ever: only ack or reject")]
    EndlessRedelivery {
        /// Key of the outcome in the operator's file.
        key: &'static str,
    },
    /// The outcome is settled by way of a retry queue and none is configured.
    #[error("retry needs retry_queue to be set")]
    MissingRetryQueue {
        /// Key of the outcome in the operator's file.
        key: &'static str,
    },
}

impl SettlementTableError {
    /// Returns the key of the outcome in the operator's file.
    pub fn key(self) -> &'static str {
        match self {
            Self::EndlessRedelivery { key } | Self::MissingRetryQueue { key } => key,
        }
    }
}

/// Settlement of one outcome, for validation.
struct Row {
    /// Key of the outcome in the operator's file.
    key: &'static str,
    settlement: Settlement,
    /// Whether the outcome may be settled by a redelivery.
    may_redeliver: bool,
}

impl Default for SettlementTable {
    fn default() -> Self {
        Self {
            rejected: Settlement::RequeueLater,
            failed: Settlement::Reject,
            expired: Settlement::Reject,
            unknown_class: Settlement::Reject,
            malformed: Settlement::Reject,
            possible_duplicate: Settlement::Reject,
            exhausted: Settlement::Reject,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            failed_delay: DEFAULT_FAILED_DELAY,
        }
    }
}

impl SettlementTable {
    /// Checks that no outcome is redelivered without end and that a retry queue exists where one is needed.
    ///
    /// # Errors
    /// Returns the key of the first outcome whose settlement is not allowed.
    pub fn check(&self, has_retry_queue: bool) -> Result<(), SettlementTableError> {
        for Row { key, settlement, may_redeliver } in self.rows() {
            if settlement.redelivers() && !may_redeliver {
                return Err(SettlementTableError::EndlessRedelivery { key });
            }
            if settlement == Settlement::PublishRetry && !has_retry_queue {
                return Err(SettlementTableError::MissingRetryQueue { key });
            }
        }
        Ok(())
    }

    fn rows(&self) -> [Row; 7] {
        let row = |key, settlement, may_redeliver| Row { key, settlement, may_redeliver };
        [
            row("nacked", self.rejected, true),
            row("failed", self.failed, true),
            row("expired", self.expired, false),
            row("unknown", self.unknown_class, false),
            row("poison", self.malformed, false),
            row("doubtful", self.possible_duplicate, false),
            row("exhausted", self.exhausted, false),
        ]
    }

    /// Returns the settlement of a delivery with `previous_attempts` attempts before this one.
    ///
    /// A retry copy and its original can both exist when the connection breaks between publish and ack.
    /// Therefore a request that must not run twice is never copied, and is not redelivered once it may have
    /// run.
    pub fn settle(
        &self,
        outcome: DeliveryOutcome,
        idempotency: Idempotency,
        previous_attempts: u32,
    ) -> Settlement {
        let must_run_once = idempotency != Idempotency::Idempotent;
        let configured = self.configured_settlement(outcome);
        let failed = outcome == DeliveryOutcome::Failed;
        if !configured.redelivers() {
            return configured;
        }
        if failed && must_run_once {
            return Settlement::Reject;
        }
        if failed && previous_attempts + 1 >= self.max_attempts {
            return self.exhausted;
        }
        if must_run_once { Settlement::RequeueLater } else { configured }
    }

    fn configured_settlement(&self, outcome: DeliveryOutcome) -> Settlement {
        match outcome {
            DeliveryOutcome::Succeeded => Settlement::Ack,
            DeliveryOutcome::Rejected(_) => self.rejected,
            DeliveryOutcome::Failed => self.failed,
            DeliveryOutcome::Expired => self.expired,
            DeliveryOutcome::UnknownClass => self.unknown_class,
            DeliveryOutcome::Malformed => self.malformed,
            DeliveryOutcome::PossibleDuplicate => self.possible_duplicate,
        }
    }

    /// Returns the delay before the redelivery of a message with this outcome.
    pub fn redelivery_delay(&self, outcome: DeliveryOutcome) -> Duration {
        match outcome {
            DeliveryOutcome::Rejected(retry_after) => retry_after,
            _ => self.failed_delay,
        }
    }
}
