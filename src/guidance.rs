//! Fleet guidance: values that the servers of a fleet have agreed on, as passed to one controller.

use crate::TenantId;
use std::collections::BTreeMap;

/// The key of one guidance value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GuidanceKey {
    /// State of the fleet's circuit breaker; above zero while it is open.
    BreakerOpen,
    /// Maximum number of concurrent dependency calls of this server.
    CallConcurrencyLimit,
    /// Share of recent requests that the fleet rejected, from 0 to 1.
    RejectedShare,
    /// Requests per second of one tenant that this server may serve.
    TenantRate(TenantId),
}

/// The guidance in force. For a value that is not known the server's own settings apply.
#[derive(Clone, Debug, Default)]
pub struct FleetGuidance {
    /// Whether the fleet's circuit breaker for the shared dependency is open.
    pub breaker_open: bool,
    /// Maximum number of concurrent dependency calls of this server, if known.
    pub call_concurrency_limit: Option<f64>,
    /// Share of recent requests that the fleet rejected, from 0 to 1, if known.
    pub rejected_share: Option<f64>,
    /// Requests per second that this server may serve, by tenant.
    pub tenant_rates: BTreeMap<TenantId, f64>,
}

impl FleetGuidance {
    /// Sets a value, or clears it with `None`. A negative or non-finite number clears it too.
    pub fn set(&mut self, key: GuidanceKey, value: Option<f64>) {
        let value = value.filter(|n| n.is_finite() && *n >= 0.0);
        match key {
            GuidanceKey::BreakerOpen => self.breaker_open = value.is_some_and(|n| n > 0.0),
            GuidanceKey::CallConcurrencyLimit => self.call_concurrency_limit = value,
            GuidanceKey::RejectedShare => self.rejected_share = value,
            GuidanceKey::TenantRate(tenant) => match value {
                Some(n) => drop(self.tenant_rates.insert(tenant, n)),
                None => drop(self.tenant_rates.remove(&tenant)),
            },
        }
    }
}
