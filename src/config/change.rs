//! A change of the configuration in force: the bounded difference between it and a newer file. `Catalog::check` decides
//! whether it may apply, `Catalog::apply` applies it.

use crate::config::flat_settings::SettingValue;
use crate::config::request_class::RequestClass;
use crate::config::table::Named;
use crate::config::tenant::Tenant;
use crate::{RequestClassId, TenantId};
use std::sync::Arc;

/// The most edits of one change; a file that differs in more is a different file.
pub const MAX_EDITS: usize = 4096;

/// An edit of one entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit<T> {
    /// Adds an entry, or replaces the one of its name.
    Put(T),
    /// Removes the entry of a name.
    Remove(Arc<str>),
}

impl<T: Named> Edit<T> {
    /// Name of the edited entry.
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Put(entry) => entry.name(),
            Self::Remove(name) => name,
        }
    }
}

/// An edit of one setting beside the tables.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingEdit {
    /// The dotted key.
    pub key: String,
    /// Its new value; `None` where the newer file has no such key.
    pub value: Option<SettingValue>,
}

/// The edits that lead from the configuration in force to a newer one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// Edits of request classes.
    pub request_classes: Vec<Edit<RequestClass>>,
    /// Edits of tenants.
    pub tenants: Vec<Edit<Tenant>>,
    /// Edits of settings beside the tables.
    pub settings: Vec<SettingEdit>,
    /// The tenant of requests that name none, where it becomes another one.
    pub default_tenant: Option<Arc<str>>,
}

impl Change {
    /// Number of edits.
    pub fn edit_count(&self) -> usize {
        self.request_classes.len()
            + self.tenants.len()
            + self.settings.len()
            + usize::from(self.default_tenant.is_some())
    }

    /// Whether there is no edit.
    pub fn is_empty(&self) -> bool {
        self.edit_count() == 0
    }
}

/// How many entries of a table a change edited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EditCounts {
    /// New entries.
    pub added: usize,
    /// Entries with other terms than before.
    pub replaced: usize,
    /// Entries that are no longer in force.
    pub removed: usize,
}

/// How much a change edited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeSummary {
    /// Edits of request classes.
    pub request_classes: EditCounts,
    /// Edits of tenants.
    pub tenants: EditCounts,
    /// Number of edited settings beside the tables.
    pub settings: usize,
}

/// The result of applying a change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChange {
    /// How much it edited.
    pub summary: ChangeSummary,
    /// Ids of the removed request classes.
    pub removed_request_classes: Vec<RequestClassId>,
    /// Ids of the removed tenants.
    pub removed_tenants: Vec<TenantId>,
}
