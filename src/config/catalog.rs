//! The configuration in force: request classes and tenants by name or id, and the typed settings. A `Change` alters it
//! in place. It decides nothing and does no I/O.

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
    /// Until then retries of its requests may arrive.
    pub(crate) retries_until: Timestamp,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    pub(crate) request_classes: Table<Rc<RequestClass>>,
    pub(crate) tenants: Table<Tenant>,
    pub(crate) default_tenant: TenantId,
    /// The figures that hold where a key is absent.
    defaults: ControllerSettings,
    settings: ControllerSettings,
    pub(crate) flat_settings: FlatSettings,
    /// Unknown keys of entries in the settings of the start.
    pub(crate) unknown_keys: UnknownKeys,
    /// The longest request timeout of the start: results are stored long enough for it.
    pub(crate) max_request_timeout: Duration,
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

/// The name under which an entry is added: none for an empty one. Refuses a name that is in the table.
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
    /// A catalog without entries whose settings are given as figures; `visit_request_class` and `visit_tenant` fill it.
    pub fn with_settings(settings: ControllerSettings) -> Self {
        Self { defaults: settings.clone(), settings, ..Self::default() }
    }

    /// Reads a map of dotted keys: `op_types.0.importance`, `tenants.3.quota_per_s`, `server.cores`.
    pub fn from_flat(settings: FlatSettings) -> Result<Self, ConfigError> {
        let mut catalog = Self::default();
        let other_settings = read_flat_entries(&mut catalog, settings)?;
        catalog.complete(other_settings)
    }

    /// Adds all settings that are not in a table. The value of answers without dependency calls goes to the request
    /// classes.
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

    /// Reads the typed settings from the flat ones again.
    pub(crate) fn update_settings(&mut self) {
        self.settings = self.defaults.overridden_by(&self.flat_settings);
    }

    /// The typed settings beside request classes and tenants.
    pub fn settings(&self) -> &ControllerSettings {
        &self.settings
    }

    /// The same settings by dotted key, those included that nothing reads.
    pub fn flat_settings(&self) -> &FlatSettings {
        &self.flat_settings
    }

    /// The request class of an id.
    pub fn request_class(&self, id: RequestClassId) -> Option<&Rc<RequestClass>> {
        self.request_classes.get(id.0)
    }

    /// The request class of a name.
    pub fn find_request_class(&self, name: &str) -> Option<(RequestClassId, Rc<RequestClass>)> {
        let id = self.request_classes.find(name)?;
        self.request_classes.get(id).map(|class| (RequestClassId(id), class.clone()))
    }

    /// The tenant of an id.
    pub fn tenant(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.get(id.0)
    }

    /// A tenant and its name. Without an owner that is the first tenant, even where no tenant is configured.
    pub fn find_tenant(&self, owner: Option<&str>) -> Option<(TenantId, Arc<str>)> {
        let id = match owner {
            Some(owner) => TenantId(self.tenants.find(owner)?),
            None => self.default_tenant,
        };
        Some((id, self.tenant(id).map_or_else(|| "".into(), |tenant| tenant.name.clone())))
    }

    /// All request classes in the order of their ids.
    pub fn request_classes(&self) -> Vec<(RequestClassId, &RequestClass)> {
        let entries = self.request_classes.in_order().into_iter();
        entries.map(|entry| (RequestClassId(entry.id), &**entry.value)).collect()
    }

    /// All tenants in the order of their ids.
    pub fn tenants(&self) -> Vec<(TenantId, &Tenant)> {
        let entries = self.tenants.in_order().into_iter();
        entries.map(|entry| (TenantId(entry.id), entry.value)).collect()
    }

    /// Number of request classes.
    pub fn request_class_count(&self) -> usize {
        self.request_classes.len()
    }

    /// Number of tenants.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// The longest request timeout of the start.
    pub fn max_request_timeout(&self) -> Duration {
        self.max_request_timeout
    }
}
