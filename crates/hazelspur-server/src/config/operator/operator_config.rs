//! The content of the operator's file, as decoded from its calls.

use super::amqp::AmqpConfig;
use super::queue::QueueConfig;
use crate::config::fleet_keys::Fleet;
use garde::Validate;
use serde::Deserialize;

/// The most queues of one file.
pub(super) const MAX_QUEUES: usize = 32;

/// The content of the operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// The AMQP brokers; without them only gateways are served.
    #[garde(dive)]
    pub amqp: Option<AmqpConfig>,
    /// The queues to consume, in the order of the file.
    #[serde(default)]
    #[garde(dive, length(max = MAX_QUEUES))]
    pub queues: Vec<QueueConfig>,
    /// The fleet that the server belongs to; without it the server works alone.
    #[garde(dive)]
    pub fleet: Option<Fleet>,
    /// The arguments of `reload(...)`; the default if the file does not call it.
    #[serde(default)]
    #[garde(skip)]
    pub reload: ReloadConfig,
}

/// The arguments of `reload(...)`: what a SIGHUP may change besides the addresses of upstream endpoints and
/// brokers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReloadConfig {
    /// Whether request classes, tenants and some numbers of the platform's settings may change without a
    /// restart.
    #[serde(default)]
    pub settings: bool,
}
