//! Compares a newer file with the configuration in force and returns the edits between them as a `Change`.
//!
//! Entries are compared as they are read and only differing ones are kept, so that memory is bounded by
//! `MAX_EDITS` and the size of the catalog.

use crate::config::catalog::Catalog;
use crate::config::change::{Change, Edit, MAX_EDITS, SettingEdit};
use crate::config::entries::{EntryVisitor, GatheredEntries};
use crate::config::entry_kind::EntryKind;
use crate::config::error::ConfigError;
use crate::config::flat_settings::FlatSettings;
use crate::config::request_class::RequestClass;
use crate::config::table::{Named, Table};
use crate::config::tenant::Tenant;
use std::collections::BTreeSet;
use std::sync::Arc;

/// A comparison in progress of a newer file with the configuration in force.
pub struct Difference<'a> {
    in_force: &'a Catalog,
    change: Change,
    request_classes: TableComparison,
    tenants: TableComparison,
}

/// Progress of the comparison of one table.
struct TableComparison {
    table: EntryKind,
    /// Number of entries read from the newer file.
    read_count: usize,
    /// Ids of entries in force that the newer file has too.
    kept_ids: BTreeSet<usize>,
    /// Names of entries in the newer file that are not in force.
    new_names: BTreeSet<Arc<str>>,
}

impl TableComparison {
    fn new(table: EntryKind) -> Self {
        Self { table, read_count: 0, kept_ids: BTreeSet::new(), new_names: BTreeSet::new() }
    }

    /// Returns the id in force of the entry that is being read. Entries match by name, or by index if both
    /// are unnamed.
    fn id_in_force<T: Named>(&self, in_force: &Table<T>, entry: &impl Named) -> Option<usize> {
        let id_by_index = || {
            let old = in_force.get(self.read_count)?;
            (entry.name().is_empty() && old.name().is_empty()).then_some(self.read_count)
        };
        in_force.find(&**entry.name()).or_else(id_by_index)
    }

    /// Records an entry as read. Rejects the second entry of a name.
    fn record(&mut self, id: Option<usize>, entry: &impl Named) -> Result<(), ConfigError> {
        self.read_count += 1;
        let is_first = match id {
            Some(id) => self.kept_ids.insert(id),
            None => self.new_names.insert(entry.name().clone()),
        };
        if is_first {
            Ok(())
        } else {
            Err(ConfigError::DuplicateName { table: self.table, name: entry.name().to_string() })
        }
    }
}

impl EntryVisitor for Difference<'_> {
    fn visit_request_class(&mut self, mut class: RequestClass) -> Result<(), ConfigError> {
        let in_force = &self.in_force.request_classes;
        let id = self.request_classes.id_in_force(in_force, &class);
        self.request_classes.record(id, &class)?;
        let old = id.and_then(|id| in_force.get(id));
        if let Some(old) = old {
            // The degraded value comes from `server.skip_worth`, which needs a restart to change.
            class.degraded_value = old.degraded_value;
        }
        if old.is_some_and(|old| **old == class) {
            return Ok(());
        }
        if class.name.is_empty() {
            return Err(ConfigError::UnnamedEntry { table: EntryKind::RequestClasses });
        }
        self.change.request_classes.push(Edit::Put(class));
        self.check_edit_count()
    }

    fn visit_tenant(&mut self, tenant: Tenant) -> Result<(), ConfigError> {
        let in_force = &self.in_force.tenants;
        let id = self.tenants.id_in_force(in_force, &tenant);
        if self.tenants.read_count == 0 && id != Some(self.in_force.default_tenant.0) {
            self.change.default_tenant = Some(tenant.name.clone());
        }
        self.tenants.record(id, &tenant)?;
        if id.and_then(|id| in_force.get(id)) == Some(&tenant) {
            return Ok(());
        }
        if tenant.name.is_empty() {
            return Err(ConfigError::UnnamedEntry { table: EntryKind::Tenants });
        }
        self.change.tenants.push(Edit::Put(tenant));
        self.check_edit_count()
    }

    fn visit_unknown_key(&mut self, key: &str) -> Result<(), ConfigError> {
        if self.in_force.unknown_keys.contains(key) {
            Ok(())
        } else {
            Err(ConfigError::UnknownEntryKey { key: key.to_string() })
        }
    }
}

impl<'a> Difference<'a> {
    /// Starts a comparison; the caller passes the newer file's entries to the visitor methods.
    pub fn new(in_force: &'a Catalog) -> Self {
        Self {
            in_force,
            change: Change::default(),
            request_classes: TableComparison::new(EntryKind::RequestClasses),
            tenants: TableComparison::new(EntryKind::Tenants),
        }
    }

    /// Compares a newer file whose entries were already read.
    ///
    /// # Errors
    /// Returns an error for the first invalid entry or key, or if there are too many differences.
    pub fn compare_gathered(
        in_force: &'a Catalog,
        entries: GatheredEntries,
        settings: &FlatSettings,
    ) -> Result<Change, ConfigError> {
        let mut difference = Self::new(in_force);
        entries.unknown_keys.iter().try_for_each(|key| difference.visit_unknown_key(key))?;
        entries.request_classes.into_iter().try_for_each(|class| difference.visit_request_class(class))?;
        entries.tenants.into_iter().try_for_each(|tenant| difference.visit_tenant(tenant))?;
        difference.complete(settings)
    }

    /// Ends the comparison with the newer file's settings other than request classes and tenants.
    ///
    /// # Errors
    /// Returns an error if a setting is out of range or there are too many settings or differences.
    pub fn complete(mut self, settings: &FlatSettings) -> Result<Change, ConfigError> {
        settings.check()?;
        self.remove_absent_request_classes()?;
        self.remove_absent_tenants()?;
        self.compare_settings(settings);
        self.check_edit_count()?;
        Ok(self.change)
    }

    fn remove_absent_request_classes(&mut self) -> Result<(), ConfigError> {
        for entry in self.in_force.request_classes.in_order() {
            if !self.request_classes.kept_ids.contains(&entry.id) {
                self.change.request_classes.push(Edit::Remove(entry.value.name.clone()));
                self.check_edit_count()?;
            }
        }
        Ok(())
    }

    fn remove_absent_tenants(&mut self) -> Result<(), ConfigError> {
        for entry in self.in_force.tenants.in_order() {
            if !self.tenants.kept_ids.contains(&entry.id) {
                self.change.tenants.push(Edit::Remove(entry.value.name.clone()));
                self.check_edit_count()?;
            }
        }
        Ok(())
    }

    fn compare_settings(&mut self, newer: &FlatSettings) {
        let old = &self.in_force.flat_settings;
        for (key, _) in old.iter().filter(|(key, _)| !newer.contains(key)) {
            self.change.settings.push(SettingEdit { key: key.into(), value: None });
        }
        for (key, value) in newer.iter().filter(|(key, value)| old.get(key) != Some(value)) {
            self.change.settings.push(SettingEdit { key: key.into(), value: Some(value.clone()) });
        }
    }

    fn check_edit_count(&self) -> Result<(), ConfigError> {
        if self.change.edit_count() > MAX_EDITS {
            return Err(ConfigError::TooManyDifferences { max: MAX_EDITS });
        }
        Ok(())
    }
}
