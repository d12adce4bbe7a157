//! A tenant of the fleet and its quota.

use crate::config::table::Named;
use std::sync::Arc;

/// The settings of a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Name of the tenant; empty where the platform identifies its tenants by number.
    pub name: Arc<str>,
    /// Quota of the tenant over the whole fleet, in requests per second; `None` where it has none.
    pub quota_per_s: Option<f64>,
}

impl Named for Tenant {
    fn name(&self) -> &Arc<str> {
        &self.name
    }
}
