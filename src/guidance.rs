//! Fleet guidance: what the servers of a fleet agreed on, as one controller gets it.

use crate::TenantId;
use std::collections::BTreeMap;

/// Names one figure of the guidance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GuidanceKey {
    /// Above zero while the fleet's circuit breaker is open.
    BreakerOpen,
    /// Concurrent dependency calls that this server may have.
    CallConcurrencyLimit,
    /// The share of recent requests that the fleet rejected, from 0 to 1.
    RejectedShare,
    /// Requests a second of one tenant that this server may serve.
    TenantRate(TenantId),
}

/// The guidance in force; what is not known falls back to the server's own settings.
#[derive(Clone, Debug, Default)]
pub struct FleetGuidance {
    /// Whether the shared dependency is known to be out of reach.
    pub breaker_open: bool,
    /// Concurrent dependency calls that this server may have.
    pub call_concurrency_limit: Option<f64>,
    /// The share of recent requests that the fleet rejected, from 0 to 1.
    pub rejected_share: Option<f64>,
    /// Requests a second that this server may serve, by tenant.
    pub tenant_rates: BTreeMap<TenantId, f64>,
}

impl FleetGuidance {
    /// Sets a figure, or clears it with `None`. A figure that is not finite, or negative, counts as not
    /// known.
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
