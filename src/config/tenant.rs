//! A tenant of the fleet and its quota.

use crate::config::table::Named;
use std::sync::Arc;

/// The terms of a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Empty where the platform names its tenants by number.
    pub name: Arc<str>,
    /// Requests a second of the whole fleet; `None` where the tenant has no quota.
    pub quota_per_s: Option<f64>,
}

impl Named for Tenant {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
