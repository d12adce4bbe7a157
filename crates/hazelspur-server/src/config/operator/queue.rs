//! `queue(...)` of the operator's file: how the deliveries of one queue are consumed and settled.

use garde::Validate;
use hazelspur::Duration;
use hazelspur_deliveries::{PrefetchRule, Settlement, SettlementTable};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The arguments of one `queue(...)`.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct QueueConfig {
    /// The queue's name at the broker.
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    /// The request class of all messages; if absent, each message's `type` property names its class.
    #[serde(rename = "op_type")]
    #[garde(skip)]
    pub request_class: Option<String>,
    /// Memory that a request takes, in KiB, if the message does not state it in the header `x-need-kb`.
    #[serde(default = "defaults::need_kb")]
    #[garde(range(min = 0.001, max = 2000.0))]
    pub need_kb: f64,
    /// The rule that sets the prefetch window.
    #[serde(default)]
    #[garde(skip)]
    pub window: WindowRule,
    /// The most unsettled deliveries, which bounds the prefetch window.
    #[serde(rename = "most", default = "defaults::max_unsettled")]
    #[garde(range(min = 1, max = 4096))]
    pub max_unsettled: u16,
    /// The source of the time at which a message was sent.
    #[serde(rename = "clock", default)]
    #[garde(skip)]
    pub sent_time: SentTimeSource,
    /// Longest wait of a message, in seconds, if the message does not state one. Without it, messages wait
    /// without a limit.
    #[serde(rename = "waits_s")]
    #[garde(inner(range(min = 0.001, max = 2_592_000.0)))]
    pub max_wait_s: Option<f64>,
    /// Whether deliveries that must not run twice are settled before their run or after it.
    #[serde(default)]
    #[garde(skip)]
    pub settle: SettleOrder,
    /// The queue to which deliveries are published for a later attempt.
    #[garde(inner(length(min = 1, max = 255)))]
    pub retry_queue: Option<String>,
    /// Actions on deliveries by their outcome, where they differ from the default.
    #[serde(default)]
    #[garde(skip)]
    pub outcomes: BTreeMap<DeliveryOutcome, OutcomeAction>,
    /// The most attempts to run one message.
    #[serde(rename = "most_tries", default = "defaults::max_attempts")]
    #[garde(range(min = 1, max = 1000))]
    pub max_attempts: u32,
    /// The pause before the next attempt of a failed delivery, in seconds.
    #[serde(rename = "failed_pause_s", default = "defaults::retry_pause_s")]
    #[garde(range(min = 0.01, max = 3600.0))]
    pub retry_pause_s: f64,
}

/// A rule that sets the prefetch window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WindowRule {
    /// Always the maximum.
    Fixed,
    /// Follows the spare capacity that the controller reports.
    #[serde(rename = "room")]
    SpareCapacity,
    /// Grows step by step and shrinks with the share of rejected requests.
    #[default]
    Step,
}

/// The source of the time at which a message was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SentTimeSource {
    /// `x-sent-ms`, else the `timestamp` property, else the time of receipt.
    #[default]
    Publisher,
    /// The time of receipt, for publishers whose clocks can't be trusted.
    #[serde(rename = "reading")]
    Receipt,
}

/// The time at which a delivery that must not run twice is settled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SettleOrder {
    /// The delivery is settled before its request runs.
    #[default]
    Before,
    /// The delivery is settled after its request has run.
    After,
}

/// An outcome of a delivery, as a key of `outcomes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeliveryOutcome {
    /// The controller rejected the request, which never ran.
    #[serde(rename = "nacked")]
    Rejected,
    /// The request ran, or may have run, without a result.
    Failed,
    /// The message waited longer than allowed.
    Expired,
    /// The request class is not in the settings.
    Unknown,
    /// The message can't be decoded.
    Poison,
    /// The request may have run before and must not run twice.
    Doubtful,
    /// The message was attempted as often as allowed.
    Exhausted,
}

/// An action on a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutcomeAction {
    /// Acknowledge the delivery.
    Ack,
    /// Reject the delivery; the broker drops it or moves it to the queue's dead letters.
    Reject,
    /// Requeue the delivery after a pause.
    Later,
    /// Publish the message to the retry queue.
    Retry,
}

impl QueueConfig {
    /// Returns the rule that sets the prefetch window.
    pub fn prefetch_rule(&self) -> PrefetchRule {
        match self.window {
            WindowRule::Fixed => PrefetchRule::Fixed,
            WindowRule::SpareCapacity => PrefetchRule::SpareCapacity,
            WindowRule::Step => PrefetchRule::Adaptive,
        }
    }

    /// Returns the settlement of each outcome: the default, or the action that the file states.
    pub fn settlement_table(&self) -> SettlementTable {
        let mut table = SettlementTable {
            max_attempts: self.max_attempts,
            failed_delay: Duration::from_secs(self.retry_pause_s),
            ..SettlementTable::default()
        };
        for (outcome, action) in &self.outcomes {
            let settlement = match action {
                OutcomeAction::Ack => Settlement::Ack,
                OutcomeAction::Reject => Settlement::Reject,
                OutcomeAction::Later => Settlement::RequeueLater,
                OutcomeAction::Retry => Settlement::PublishRetry,
            };
            match outcome {
                DeliveryOutcome::Rejected => table.rejected = settlement,
                DeliveryOutcome::Failed => table.failed = settlement,
                DeliveryOutcome::Expired => table.expired = settlement,
                DeliveryOutcome::Unknown => table.unknown_class = settlement,
                DeliveryOutcome::Poison => table.malformed = settlement,
                DeliveryOutcome::Doubtful => table.possible_duplicate = settlement,
                DeliveryOutcome::Exhausted => table.exhausted = settlement,
            }
        }
        table
    }
}

mod defaults {
    pub(super) fn need_kb() -> f64 {
        24.0
    }
    pub(super) fn max_unsettled() -> u16 {
        64
    }
    pub(super) fn max_attempts() -> u32 {
        8
    }
    pub(super) fn retry_pause_s() -> f64 {
        1.0
    }
}
