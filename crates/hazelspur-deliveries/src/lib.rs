//! Decisions of a consumer of a broker's queues: how each delivery is settled, how many deliveries are taken
//! (prefetch), how a duplicate message is answered, and when to reconnect to which broker.
//!
//! No I/O and no clock. Whether and when the request of a delivery runs is decided by
//! `hazelspur::AdmissionController`.

mod broker_selector;
mod duty_cycle_gate;
mod identifiers;
mod message_cache;
mod outcome;
mod prefetch_window;
mod settlement;
mod tracker;

pub use broker_selector::BrokerSelector;
pub use identifiers::{ConnectionNumber, DeliveryId, DeliveryTag, QueueId};
pub use message_cache::{MessageCache, MessageCacheLimits, MessageState};
pub use outcome::DeliveryOutcome;
pub use prefetch_window::{PrefetchRule, PrefetchWindow};
pub use settlement::{Settlement, SettlementTable, SettlementTableError};
pub use tracker::{
    CONFIRM_TIMEOUT, DeliveryAction, DeliveryCounters, DeliveryTracker, EXPIRY_MARGIN, InvariantViolation,
    MAX_PENDING_REPLIES, QueueSettings, ReceivedDelivery,
};
