//! A change of the configuration in force: the edits that turn it into a newer file, bounded in number.
//!
//! `Difference` produces a change, `Catalog::check` decides whether it may apply and `Catalog::apply` applies
//! it.

use crate::config::flat_settings::SettingValue;
use crate::config::request_class::RequestClass;
use crate::config::table::Named;
use crate::config::tenant::Tenant;
use crate::{RequestClassId, TenantId};
use std::sync::Arc;

/// Maximum number of edits in one change. A file that differs in more is probably another installation's.
pub const MAX_EDITS: usize = 4096;

/// An edit of one request class or tenant.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit<T> {
    /// Addition of an entry, or replacement of the one with the same name.
    Put(T),
    /// Removal of the entry with this name.
    Remove(Arc<str>),
}

impl<T: Named> Edit<T> {
    /// Returns the name of the edited entry.
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Put(entry) => entry.name(),
            Self::Remove(name) => name,
        }
    }
}

/// An edit of one setting other than request classes and tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingEdit {
    /// Dotted key of the setting.
    pub key: String,
    /// New value; `None` where the newer file has no such key.
    pub value: Option<SettingValue>,
}

/// The edits that turn the configuration in force into a newer one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// Edits of request classes, each name at most once.
    pub request_classes: Vec<Edit<RequestClass>>,
    /// Edits of tenants, each name at most once.
    pub tenants: Vec<Edit<Tenant>>,
    /// Edits of the other settings.
    pub settings: Vec<SettingEdit>,
    /// New tenant of requests that name none; `None` where it stays the same.
    pub default_tenant: Option<Arc<str>>,
}

impl Change {
    /// Returns the number of edits, a new default tenant included.
    pub fn edit_count(&self) -> usize {
        self.request_classes.len()
            + self.tenants.len()
            + self.settings.len()
            + usize::from(self.default_tenant.is_some())
    }

    /// Returns whether the change has no edits.
    pub fn is_empty(&self) -> bool {
        self.edit_count() == 0
    }
}

/// Numbers of request classes or tenants that a change edited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EditCounts {
    /// Entries that were added.
    pub added: usize,
    /// Entries that were replaced under the same name and id.
    pub replaced: usize,
    /// Entries that were removed.
    pub removed: usize,
}

/// Numbers of edits that a change made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeSummary {
    /// Numbers of edited request classes.
    pub request_classes: EditCounts,
    /// Numbers of edited tenants.
    pub tenants: EditCounts,
    /// Number of edited settings other than request classes and tenants.
    pub settings: usize,
}

/// The result of applying a change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChange {
    /// Numbers of edits that were made.
    pub summary: ChangeSummary,
    /// Ids of the removed request classes.
    pub removed_request_classes: Vec<RequestClassId>,
    /// Ids of the removed tenants.
    pub removed_tenants: Vec<TenantId>,
}
