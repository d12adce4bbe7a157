//! The rules for a change of the configuration in force.
//!
//! A change that breaks a rule is rejected as a whole, with an error that names the key at fault. Edits that
//! would be unsafe while requests are being served are rejected too and need a restart.

use crate::Timestamp;
use crate::config::catalog::Catalog;
use crate::config::change::{Change, Edit, MAX_EDITS, SettingEdit};
use crate::config::entries::check_entry_count;
use crate::config::entry_kind::EntryKind;
use crate::config::error::{ConfigError, KeyConflict};
use crate::config::flat_settings::check_value;
use crate::config::request_class::RequestClass;
use crate::config::settings::RELOADABLE_KEYS;
use crate::config::table::{MAX_NAME_BYTES, Named, Table};
use crate::config::tenant::Tenant;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum number of removed request classes whose idempotency keys are still stored.
const MAX_REMOVED_CLASSES: usize = 4096;

impl Catalog {
    /// Checks whether a change may apply as a whole.
    ///
    /// # Errors
    /// Returns an error for the first rule that the change breaks, with the key at fault.
    pub fn check(&self, now: Timestamp, change: &Change) -> Result<(), ConfigError> {
        check_edit_count(change)?;
        change.settings.iter().try_for_each(check_setting_edit)?;
        check_table_edits(EntryKind::RequestClasses, &self.request_classes, &change.request_classes)?;
        check_table_edits(EntryKind::Tenants, &self.tenants, &change.tenants)?;
        for edit in &change.request_classes {
            match edit {
                Edit::Put(class) => self.check_stored_keys(now, class)?,
                Edit::Remove(name) => self.check_removal(name)?,
            }
        }
        self.check_default_tenant(change)
    }

    /// Rejects the removal of a class with stored keys while the table of such removed classes is full.
    fn check_removal(&self, name: &str) -> Result<(), ConfigError> {
        let stores_keys = self.find_request_class(name).is_some_and(|(_, class)| class.stores_keys());
        if stores_keys && self.removed_classes.len() >= MAX_REMOVED_CLASSES {
            let request_class = name.to_string();
            return Err(ConfigError::TooManyRemovedClasses { request_class, max: MAX_REMOVED_CLASSES });
        }
        Ok(())
    }

    /// Rejects settings of a class under which the retry of a request whose key is stored could run again.
    fn check_stored_keys(&self, now: Timestamp, class: &RequestClass) -> Result<(), ConfigError> {
        let reject = |key: &'static str, conflict: KeyConflict| {
            let request_class = class.name.to_string();
            Err(ConfigError::UnsafeRequestClass { request_class, key, conflict })
        };
        if class.stores_keys() && class.request_timeout > self.max_request_timeout {
            return reject("op_timeout_us", KeyConflict::TimeoutExceedsRetention);
        }
        let class_in_force = self.find_request_class(&class.name).map(|(_, class)| class);
        let window_in_force =
            class_in_force.filter(|class| class.stores_keys()).map(|class| class.deduplication_window);
        let removed = self.removed_classes.get(&class.name).filter(|removed| removed.retries_until > now);
        let stored_window = window_in_force.max(removed.map(|removed| removed.deduplication_window));
        let Some(stored_window) = stored_window else { return Ok(()) };
        if !class.stores_keys() {
            return reject("repeats", KeyConflict::KeysNoLongerChecked);
        }
        if class.deduplication_window < stored_window {
            return reject("window_us", KeyConflict::WindowTooShort);
        }
        Ok(())
    }

    /// Rejects a default tenant that would not be in force after the change.
    fn check_default_tenant(&self, change: &Change) -> Result<(), ConfigError> {
        match &change.default_tenant {
            Some(name) if !self.has_tenant_after(change, name) => {
                Err(ConfigError::UnknownDefaultTenant { name: name.to_string() })
            }
            _ => Ok(()),
        }
    }

    fn has_tenant_after(&self, change: &Change, name: &Arc<str>) -> bool {
        let is_put = |edit: &Edit<Tenant>| matches!(edit, Edit::Put(tenant) if tenant.name == *name);
        let is_removed = change.tenants.contains(&Edit::Remove(name.clone()));
        self.tenants.find(&**name).is_some() && !is_removed || change.tenants.iter().any(is_put)
    }
}

fn check_edit_count(change: &Change) -> Result<(), ConfigError> {
    let count = change.edit_count();
    if count <= MAX_EDITS { Ok(()) } else { Err(ConfigError::ChangeTooLarge { count, max: MAX_EDITS }) }
}

fn check_setting_edit(edit: &SettingEdit) -> Result<(), ConfigError> {
    if !RELOADABLE_KEYS.contains(&edit.key.as_str()) {
        return Err(ConfigError::NeedsRestart { key: edit.key.clone() });
    }
    let valid = edit.value.as_ref().map_or(Ok(()), |value| check_value(&edit.key, value));
    valid.map_err(|error| ConfigError::InvalidSetting(Box::new(error)))
}

/// Rejects edits with invalid or repeated names, edits that remove absent entries or the whole table, and
/// edits that make the table exceed its maximum size.
fn check_table_edits<T: Named, U>(
    table: EntryKind,
    entries: &Table<U>,
    edits: &[Edit<T>],
) -> Result<(), ConfigError> {
    let mut names = BTreeSet::new();
    let (mut added, mut removed) = (0, 0);
    for edit in edits {
        let name = edit.name();
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !names.insert(name.clone()) {
            let name = name.to_string();
            return Err(ConfigError::InvalidEdit { table, name, max_bytes: MAX_NAME_BYTES });
        }
        match (edit, entries.find(&**name)) {
            (Edit::Put(_), None) => added += 1,
            (Edit::Put(_), Some(_)) => {}
            (Edit::Remove(_), Some(_)) => removed += 1,
            (Edit::Remove(name), None) => {
                return Err(ConfigError::RemovesAbsentEntry { table, name: name.to_string() });
            }
        }
    }
    if removed == entries.len() && removed > 0 {
        return Err(ConfigError::RemovesAllEntries { table });
    }
    check_entry_count(table, entries.len() + added - removed)
}
