//! All that the operator's file sets.

use super::amqp::AmqpConfig;
use super::queue::QueueConfig;
use crate::config::fleet_keys::Fleet;
use garde::Validate;
use serde::Deserialize;

/// The most queues that a file may name.
pub(super) const MAX_QUEUES: usize = 32;

/// All that the file sets.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// The AMQP brokers; without them only gateways are served.
    #[garde(dive)]
    pub amqp: Option<AmqpConfig>,
    /// The queues to consume, in the file's order.
    #[serde(default)]
    #[garde(dive, length(max = MAX_QUEUES))]
    pub queues: Vec<QueueConfig>,
    /// The fleet that the server belongs to, if any.
    #[garde(dive)]
    pub fleet: Option<Fleet>,
    /// What a SIGHUP may change.
    #[serde(default)]
    #[garde(skip)]
    pub reload: ReloadConfig,
}

/// What a SIGHUP may change besides addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReloadConfig {
    /// Whether request classes, tenants and some figures of the platform's settings change in place.
    #[serde(default)]
    pub settings: bool,
}
