//! Decisions of a consumer of a broker's queues: the settlement of each delivery, the number of unsettled
//! deliveries (prefetch), the answer to a duplicate message, and the broker and time of a reconnect.
//!
//! Performs no I/O and reads no clock: callers pass the time and carry out the returned actions.
//! `hazelspur::AdmissionController` decides whether and when the request of a delivery runs.

mod broker_selector;
mod duty_cycle_gate;
mod identifiers;
mod message_cache;
mod message_identity;
mod outcome;
mod prefetch_window;
mod settlement;
mod tracker;

pub use broker_selector::BrokerSelector;
pub use identifiers::{ConnectionNumber, DeliveryId, DeliveryTag, QueueId};
pub use message_cache::{MessageCache, MessageCacheLimits, MessageState};
pub use message_identity::{IdentifyingParts, MESSAGE_IDENTITY_BYTES, MessageIdentity};
pub use outcome::DeliveryOutcome;
pub use prefetch_window::{PrefetchRule, PrefetchWindow};
pub use settlement::{Settlement, SettlementTable, SettlementTableError};
pub use tracker::{
    CONFIRM_TIMEOUT, DeliveryAction, DeliveryCounters, DeliveryTracker, EXPIRY_MARGIN, InvariantViolation,
    MAX_PENDING_REPLIES, QueueSettings, ReceivedDelivery,
};
