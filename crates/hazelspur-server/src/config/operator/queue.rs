//! `queue(...)` of the operator's file: how the deliveries of one queue are consumed and settled.

use garde::Validate;
use hazelspur::Duration;
use hazelspur_deliveries::{PrefetchRule, Settlement, SettlementTable};
use serde::Deserialize;
use std::collections::BTreeMap;

/// How one queue is consumed.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct QueueConfig {
    /// The queue's name at the broker.
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    /// The request class of all its messages; without it each message's `type` property names it.
    #[serde(rename = "op_type")]
    #[garde(skip)]
    pub request_class: Option<String>,
    /// Memory that a request takes, in KiB, where the message does not state it (`x-need-kb`).
    #[serde(default = "defaults::need_kb")]
    #[garde(range(min = 0.001, max = 2000.0))]
    pub need_kb: f64,
    /// How many deliveries are fetched ahead of their settlement.
    #[serde(default)]
    #[garde(skip)]
    pub window: WindowRule,
    /// The most unsettled deliveries.
    #[serde(rename = "most", default = "defaults::max_unsettled")]
    #[garde(range(min = 1, max = 4096))]
    pub max_unsettled: u16,
    /// What states when a message was sent.
    #[serde(rename = "clock", default)]
    #[garde(skip)]
    pub sent_time: SentTimeSource,
    /// How long a message may wait, in seconds, where it does not state it; none for ever.
    #[serde(rename = "waits_s")]
    #[garde(inner(range(min = 0.001, max = 2_592_000.0)))]
    pub max_wait_s: Option<f64>,
    /// Whether what must not run twice is settled before its run or after it.
    #[serde(default)]
    #[garde(skip)]
    pub settle: SettleOrder,
    /// The queue that failed deliveries are published to for a later attempt.
    #[garde(inner(length(min = 1, max = 255)))]
    pub retry_queue: Option<String>,
    /// What is done with a delivery by its outcome, where that differs from the default.
    #[serde(default)]
    #[garde(skip)]
    pub outcomes: BTreeMap<DeliveryOutcome, OutcomeAction>,
    /// The most attempts at one message.
    #[serde(rename = "most_tries", default = "defaults::max_attempts")]
    #[garde(range(min = 1, max = 1000))]
    pub max_attempts: u32,
    /// The pause before a failed delivery's next attempt, in seconds.
    #[serde(rename = "failed_pause_s", default = "defaults::retry_pause_s")]
    #[garde(range(min = 0.01, max = 3600.0))]
    pub retry_pause_s: f64,
}

/// How the prefetch window is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WindowRule {
    /// Always the most.
    Fixed,
    /// By the spare capacity of the controller.
    #[serde(rename = "room")]
    SpareCapacity,
    /// Increased step by step, reduced by the share of rejected requests.
    #[default]
    Step,
}

/// What states when a message was sent.
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

/// When a delivery is settled that must not run twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SettleOrder {
    /// Before its run.
    #[default]
    Before,
    /// After its run.
    After,
}

/// How a delivery ended, as a key of `outcomes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeliveryOutcome {
    /// Rejected by the controller; it never ran.
    #[serde(rename = "nacked")]
    Rejected,
    /// It ran, or may have, without a result.
    Failed,
    /// It waited too long.
    Expired,
    /// Its request class is not in the settings.
    Unknown,
    /// It can't be decoded.
    Poison,
    /// It may have run before and must not run twice.
    Doubtful,
    /// It was attempted as often as allowed.
    Exhausted,
}

/// What is done with a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutcomeAction {
    /// Acknowledge it.
    Ack,
    /// Reject it, to the queue's dead letters if it has such.
    Reject,
    /// Requeue it after a pause.
    Later,
    /// Publish it to the retry queue.
    Retry,
}

impl QueueConfig {
    /// How the prefetch window is set.
    pub fn prefetch_rule(&self) -> PrefetchRule {
        match self.window {
            WindowRule::Fixed => PrefetchRule::Fixed,
            WindowRule::SpareCapacity => PrefetchRule::SpareCapacity,
            WindowRule::Step => PrefetchRule::Adaptive,
        }
    }

    /// How deliveries are settled by their outcome.
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
