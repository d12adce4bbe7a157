//! Applies a change to the configuration in force. The caller has checked it with `Catalog::check`.

use crate::config::catalog::{Catalog, RemovedClass};
use crate::config::change::{AppliedChange, Change, Edit, EditCounts, SettingEdit};
use crate::config::table::{Named, Table};
use crate::{RequestClassId, TenantId, Timestamp};
use std::rc::Rc;

/// Longest time after the deduplication window at which a retry can still arrive, in request timeouts. It is
/// the sum of one that the client waits, one and a half that it states as its remaining wait and one and a
/// half that the first attempt may have run.
const MAX_RETRY_DELAY_IN_TIMEOUTS: f64 = 4.0;

impl Catalog {
    /// Applies a change that `check` has accepted. Requests that were received earlier keep the settings of
    /// their class.
    pub fn apply(&mut self, now: Timestamp, change: &Change) -> AppliedChange {
        self.removed_classes.retain(|_, removed| removed.retries_until > now);
        let mut applied = AppliedChange::default();
        self.apply_request_classes(now, change, &mut applied);
        self.apply_tenants(change, &mut applied);
        self.apply_settings(&change.settings);
        applied.summary.settings = change.settings.len();
        applied
    }

    fn apply_request_classes(&mut self, now: Timestamp, change: &Change, applied: &mut AppliedChange) {
        let max_retry_delay = self.max_request_timeout.scaled(MAX_RETRY_DELAY_IN_TIMEOUTS);
        let counts = &mut applied.summary.request_classes;
        for edit in &change.request_classes {
            match edit {
                Edit::Put(class) => put(&mut self.request_classes, Rc::new(class.clone()), counts),
                Edit::Remove(name) => {
                    let Some(entry) = self.request_classes.remove(&**name) else { continue };
                    counts.removed += 1;
                    applied.removed_request_classes.push(RequestClassId(entry.id));
                    if entry.value.stores_keys() {
                        let deduplication_window = entry.value.deduplication_window;
                        let retries_until = now + deduplication_window + max_retry_delay;
                        let removed = RemovedClass { deduplication_window, retries_until };
                        self.removed_classes.insert(name.clone(), removed);
                    }
                }
            }
        }
    }

    fn apply_tenants(&mut self, change: &Change, applied: &mut AppliedChange) {
        let counts = &mut applied.summary.tenants;
        for edit in &change.tenants {
            match edit {
                Edit::Put(tenant) => put(&mut self.tenants, tenant.clone(), counts),
                Edit::Remove(name) => {
                    let Some(entry) = self.tenants.remove(&**name) else { continue };
                    counts.removed += 1;
                    applied.removed_tenants.push(TenantId(entry.id));
                }
            }
        }
        if let Some(id) = change.default_tenant.as_ref().and_then(|name| self.tenants.find(&**name)) {
            self.default_tenant = TenantId(id);
        }
    }

    fn apply_settings(&mut self, edits: &[SettingEdit]) {
        for edit in edits {
            match &edit.value {
                Some(value) => self.flat_settings.insert(edit.key.clone(), value.clone()),
                None => self.flat_settings.remove(&edit.key),
            }
        }
        self.update_settings();
    }
}

/// Adds an entry, or replaces the one with the same name under its id, and counts the edit.
fn put<T: Named>(table: &mut Table<T>, entry: T, counts: &mut EditCounts) {
    match table.find(&**entry.name()) {
        Some(id) => {
            table.replace(id, entry);
            counts.replaced += 1;
        }
        None => {
            table.add(Some(entry.name().clone()), entry);
            counts.added += 1;
        }
    }
}
