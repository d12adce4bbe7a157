//! The configuration in force: request classes and tenants by name or id, and the typed settings.
//!
//! Input: entries from an `EntryVisitor` source and dotted keys at the start, a `Change` at a reload. Output:
//! look-ups. It takes no admission decisions and does no I/O.

use crate::config::entries::{EntryVisitor, UnknownKeys, check_entry_count, read_flat_entries};
use crate::config::entry_kind::EntryKind;
use crate::config::error::ConfigError;
use crate::config::flat_settings::FlatSettings;
use crate::config::request_class::RequestClass;
use crate::config::settings::ControllerSettings;
use crate::config::table::{Named, Table};
use crate::config::tenant::Tenant;
use crate::{Duration, RequestClassId, TenantId, Timestamp};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// A removed request class whose idempotency keys are still stored.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemovedClass {
    pub(crate) deduplication_window: Duration,
    /// Time until which retries of its requests may arrive.
    pub(crate) retries_until: Timestamp,
}

/// The configuration in force: request classes, tenants and settings.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    pub(crate) request_classes: Table<Rc<RequestClass>>,
    pub(crate) tenants: Table<Tenant>,
    /// The tenant of requests that name none: the first tenant of the newest file.
    pub(crate) default_tenant: TenantId,
    /// Values of the settings whose key is absent.
    defaults: ControllerSettings,
    settings: ControllerSettings,
    pub(crate) flat_settings: FlatSettings,
    /// Unknown keys of request classes and tenants in the settings read at the start.
    pub(crate) unknown_keys: UnknownKeys,
    /// Longest request timeout of the classes read at the start. Results are stored long enough for it.
    pub(crate) max_request_timeout: Duration,
    /// Removed request classes with stored idempotency keys, by name.
    pub(crate) removed_classes: BTreeMap<Arc<str>, RemovedClass>,
}

impl EntryVisitor for Catalog {
    fn visit_request_class(&mut self, class: RequestClass) -> Result<(), ConfigError> {
        check_entry_count(EntryKind::RequestClasses, self.request_classes.len() + 1)?;
        let name = unused_name(&self.request_classes, &class.name, EntryKind::RequestClasses)?;
        self.max_request_timeout = self.max_request_timeout.max(class.request_timeout);
        self.request_classes.add(name, Rc::new(class));
        Ok(())
    }

    fn visit_tenant(&mut self, tenant: Tenant) -> Result<(), ConfigError> {
        check_entry_count(EntryKind::Tenants, self.tenants.len() + 1)?;
        let name = unused_name(&self.tenants, &tenant.name, EntryKind::Tenants)?;
        self.tenants.add(name, tenant);
        Ok(())
    }

    fn visit_unknown_key(&mut self, key: &str) -> Result<(), ConfigError> {
        self.unknown_keys.insert(key);
        Ok(())
    }
}

/// Returns the name under which an entry is added, or `None` for an empty name. Rejects a name that the table
/// has.
fn unused_name<T: Named>(
    entries: &Table<T>,
    name: &Arc<str>,
    table: EntryKind,
) -> Result<Option<Arc<str>>, ConfigError> {
    match name {
        name if name.is_empty() => Ok(None),
        name if entries.find(&**name).is_some() => {
            Err(ConfigError::DuplicateName { table, name: name.to_string() })
        }
        name => Ok(Some(name.clone())),
    }
}

impl Catalog {
    /// Creates a catalog with these settings and no entries; `visit_request_class` and `visit_tenant` add
    /// them.
    pub fn with_settings(settings: ControllerSettings) -> Self {
        Self { defaults: settings.clone(), settings, ..Self::default() }
    }

    /// Builds a catalog from dotted keys such as `op_types.0.importance`, `tenants.3.quota_per_s` and
    /// `server.cores`.
    ///
    /// # Errors
    /// Returns an error for the first key or entry that is missing, duplicated or out of its bounds.
    pub fn from_flat(settings: FlatSettings) -> Result<Self, ConfigError> {
        let mut catalog = Self::default();
        let other_settings = read_flat_entries(&mut catalog, settings)?;
        catalog.complete(other_settings)
    }

    /// Adds the settings other than request classes and tenants. The values of responses without a dependency
    /// call (`server.skip_worth`) move to their request classes.
    ///
    /// # Errors
    /// Returns an error if there are too many keys or a number is out of range.
    pub fn complete(mut self, mut settings: FlatSettings) -> Result<Self, ConfigError> {
        settings.check()?;
        for id in 0..self.request_classes.len() {
            let degraded_value = settings.take_degraded_value(id);
            if let (Some(degraded_value), Some(class)) = (degraded_value, self.request_classes.get(id)) {
                let class = RequestClass { degraded_value, ..(**class).clone() };
                self.request_classes.replace(id, Rc::new(class));
            }
        }
        self.flat_settings = settings;
        self.update_settings();
        Ok(self)
    }

    /// Derives the typed settings from the flat ones again.
    pub(crate) fn update_settings(&mut self) {
        self.settings = self.defaults.overridden_by(&self.flat_settings);
    }

    /// Returns the typed settings other than request classes and tenants.
    pub fn settings(&self) -> &ControllerSettings {
        &self.settings
    }

    /// Returns the same settings by dotted key, including keys that nothing reads.
    pub fn flat_settings(&self) -> &FlatSettings {
        &self.flat_settings
    }

    /// Returns the request class with an id.
    pub fn request_class(&self, id: RequestClassId) -> Option<&Rc<RequestClass>> {
        self.request_classes.get(id.0)
    }

    /// Returns the request class with a name, and its id.
    pub fn find_request_class(&self, name: &str) -> Option<(RequestClassId, Rc<RequestClass>)> {
        let id = self.request_classes.find(name)?;
        self.request_classes.get(id).map(|class| (RequestClassId(id), class.clone()))
    }

    /// Returns the tenant with an id.
    pub fn tenant(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.get(id.0)
    }

    /// Returns the id and name of the tenant called `owner`. Without an owner this is the default tenant,
    /// with an empty name where no tenant is configured.
    pub fn find_tenant(&self, owner: Option<&str>) -> Option<(TenantId, Arc<str>)> {
        let id = match owner {
            Some(owner) => TenantId(self.tenants.find(owner)?),
            None => self.default_tenant,
        };
        Some((id, self.tenant(id).map_or_else(|| "".into(), |tenant| tenant.name.clone())))
    }

    /// Returns all request classes in the order of their ids.
    pub fn request_classes(&self) -> Vec<(RequestClassId, &RequestClass)> {
        let entries = self.request_classes.in_order().into_iter();
        entries.map(|entry| (RequestClassId(entry.id), &**entry.value)).collect()
    }

    /// Returns all tenants in the order of their ids.
    pub fn tenants(&self) -> Vec<(TenantId, &Tenant)> {
        let entries = self.tenants.in_order().into_iter();
        entries.map(|entry| (TenantId(entry.id), entry.value)).collect()
    }

    /// Returns the number of request classes.
    pub fn request_class_count(&self) -> usize {
        self.request_classes.len()
    }

    /// Returns the number of tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the longest request timeout of the classes read at the start.
    pub fn max_request_timeout(&self) -> Duration {
        self.max_request_timeout
    }
}
