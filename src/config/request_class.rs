//! A request class: its latency objective, the value of its responses to the operator and whether its
//! requests may be retried.

use crate::Duration;
use crate::config::table::Named;
use std::sync::Arc;

/// Latency objective of a class that is not configured.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_ms(1000);
/// Request timeout of a class that configures none, in multiples of its latency objective.
pub(crate) const DEFAULT_TIMEOUT_IN_OBJECTIVES: f64 = 2.0;
/// Deduplication window of a class that configures none.
const DEFAULT_DEDUPLICATION_WINDOW: Duration = Duration::from_ms(5000);

/// The effect of running a request a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Running a request twice has the effect of running it once.
    Idempotent,
    /// The idempotency key of a request is stored, so that a retry does not run a second time.
    IdempotentWithKey,
    /// A request may run only once.
    #[default]
    NonIdempotent,
}

/// The settings of a request class. A request keeps those under which it was received, whatever is in force
/// later.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Name of the class; empty where the platform identifies its request classes by number.
    pub name: Arc<str>,
    /// Response time up to which a success counts as on time.
    pub latency_objective: Duration,
    /// Seconds by which the latency objective grows for each second of a request's stated cost.
    pub latency_objective_per_cost: f64,
    /// Time that a client waits for the response to a request without a deadline of its own.
    pub request_timeout: Duration,
    /// Weight of a request relative to those of other classes.
    pub priority_weight: f64,
    /// Value of a success past the latency objective, relative to one within it.
    pub late_value: f64,
    /// Value of a response without its dependency call, relative to one with it.
    pub degraded_value: f64,
    /// Effect of running a request a second time.
    pub idempotency: Idempotency,
    /// Time for which the idempotency key of a request is stored.
    pub deduplication_window: Duration,
}

impl Default for RequestClass {
    fn default() -> Self {
        Self {
            name: "".into(),
            latency_objective: DEFAULT_LATENCY_OBJECTIVE,
            latency_objective_per_cost: 0.0,
            request_timeout: DEFAULT_LATENCY_OBJECTIVE.scaled(DEFAULT_TIMEOUT_IN_OBJECTIVES),
            priority_weight: 1.0,
            late_value: 0.0,
            degraded_value: 0.0,
            idempotency: Idempotency::NonIdempotent,
            deduplication_window: DEFAULT_DEDUPLICATION_WINDOW,
        }
    }
}

impl RequestClass {
    /// Returns whether the idempotency keys of this class's requests are stored.
    pub fn stores_keys(&self) -> bool {
        self.idempotency == Idempotency::IdempotentWithKey
    }
}

impl Named for RequestClass {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
