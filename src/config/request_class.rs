//! A request class: its objectives, its value to the operator and whether its requests may be retried.

use crate::Duration;
use crate::config::table::Named;
use std::sync::Arc;

/// The latency objective of a class that is not configured.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_ms(1000);
/// The request timeout where the class has none, in latency objectives.
pub(crate) const DEFAULT_TIMEOUT_IN_OBJECTIVES: f64 = 2.0;
/// The deduplication window where the class has none.
const DEFAULT_DEDUPLICATION_WINDOW: Duration = Duration::from_ms(5000);

/// Whether a request may be sent a second time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it twice has the effect of running it once.
    Idempotent,
    /// Its idempotency key is stored, so that a retry does not run a second time.
    IdempotentWithKey,
    /// It may run once only.
    #[default]
    NonIdempotent,
}

/// The terms of a request class. A request keeps the terms under which it was read, whatever is in force later.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Empty where the platform names its request classes by number.
    pub name: Arc<str>,
    /// The response time that counts as on time.
    pub latency_objective: Duration,
    /// Seconds by which the objective grows for each second of the request's stated cost.
    pub latency_objective_per_cost: f64,
    /// How long a client waits where the request has no deadline of its own.
    pub request_timeout: Duration,
    /// Weight of a request among those of other classes.
    pub priority_weight: f64,
    /// Value of a success past the latency objective, of one within it.
    pub late_value: f64,
    /// Value of a response without its dependency call, of one with it.
    pub degraded_value: f64,
    /// Whether a request may be sent a second time.
    pub idempotency: Idempotency,
    /// How long the idempotency key of a request is stored.
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
    /// Whether idempotency keys of its requests are stored.
    pub fn stores_keys(&self) -> bool {
        self.idempotency == Idempotency::IdempotentWithKey
    }
}

impl Named for RequestClass {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
