//! Reads request classes and tenants, together called entries, from dotted keys and passes each one to an
//! `EntryVisitor`: the catalog at the start, the comparison with the catalog in force at a reload.

use crate::Duration;
use crate::config::entry_kind::EntryKind;
use crate::config::error::ConfigError;
use crate::config::flat_settings::{FlatSettings, SettingValue, check_value};
use crate::config::request_class::{DEFAULT_TIMEOUT_IN_OBJECTIVES, Idempotency, RequestClass};
use crate::config::table::MAX_NAME_BYTES;
use crate::config::tenant::Tenant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of keys of one request class or tenant, unknown keys included.
pub const MAX_ENTRY_KEYS: usize = 64;

/// Known keys of a request class.
const REQUEST_CLASS_KEYS: [&str; 8] = [
    "name",
    "target_latency_us",
    "target_stretch",
    "op_timeout_us",
    "importance",
    "late_worth",
    "repeats",
    "window_us",
];
/// Suffixes of the request class keys whose value must be a number.
const REQUEST_CLASS_NUMBER_SUFFIXES: [&str; 4] = ["_us", ".target_stretch", ".importance", ".late_worth"];
/// Known keys of a tenant.
const TENANT_KEYS: [&str; 2] = ["name", "quota_per_s"];
/// Suffixes of the tenant keys whose value must be a number.
const TENANT_NUMBER_SUFFIXES: [&str; 1] = [".quota_per_s"];

/// A receiver of request classes and tenants, which are passed to it in the order of the file.
pub trait EntryVisitor {
    /// Takes a request class, or rejects it.
    fn visit_request_class(&mut self, class: RequestClass) -> Result<(), ConfigError>;
    /// Takes a tenant, or rejects it.
    fn visit_tenant(&mut self, tenant: Tenant) -> Result<(), ConfigError>;
    /// Takes a dotted key of an entry that this crate does not know, without the entry's index.
    fn visit_unknown_key(&mut self, key: &str) -> Result<(), ConfigError>;
}

/// Entries that were read on another thread, for a later comparison with the catalog in force.
#[derive(Clone, Debug, Default)]
pub struct GatheredEntries {
    pub(crate) request_classes: Vec<RequestClass>,
    pub(crate) tenants: Vec<Tenant>,
    pub(crate) unknown_keys: UnknownKeys,
}

impl EntryVisitor for GatheredEntries {
    fn visit_request_class(&mut self, class: RequestClass) -> Result<(), ConfigError> {
        self.request_classes.push(class);
        check_entry_count(EntryKind::RequestClasses, self.request_classes.len())
    }

    fn visit_tenant(&mut self, tenant: Tenant) -> Result<(), ConfigError> {
        self.tenants.push(tenant);
        check_entry_count(EntryKind::Tenants, self.tenants.len())
    }

    fn visit_unknown_key(&mut self, key: &str) -> Result<(), ConfigError> {
        self.unknown_keys.insert(key);
        Ok(())
    }
}

/// The first `MAX_ENTRY_KEYS` distinct unknown keys of entries, as dotted keys without the entry's index.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnknownKeys(BTreeSet<String>);

impl UnknownKeys {
    pub(crate) fn insert(&mut self, key: &str) {
        if self.0.len() < MAX_ENTRY_KEYS {
            self.0.insert(key.to_string());
        }
    }

    pub(crate) fn contains(&self, key: &str) -> bool {
        self.0.contains(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }
}

/// Rejects a number of entries above the maximum of their kind.
pub fn check_entry_count(table: EntryKind, count: usize) -> Result<(), ConfigError> {
    let max = table.max_count();
    if count <= max { Ok(()) } else { Err(ConfigError::TooManyEntries { table, count, max }) }
}

/// Reads one entry from its keys and passes it to the visitor. `index` is its place in the table, for error
/// texts.
///
/// # Errors
/// Returns an error if a key is missing, a value is invalid or the visitor rejects the entry.
pub fn read_entry(
    visitor: &mut impl EntryVisitor,
    table: EntryKind,
    index: usize,
    entry: &FlatSettings,
) -> Result<(), ConfigError> {
    let known_keys: &[&str] = match table {
        EntryKind::RequestClasses => &REQUEST_CLASS_KEYS,
        EntryKind::Tenants => &TENANT_KEYS,
    };
    let table_key = table.dotted_key();
    if let Some((key, _)) = entry.iter().find(|(key, _)| is_unknown_key(known_keys, key)) {
        visitor.visit_unknown_key(&format!("{table_key}.{key}"))?;
    }
    let path = format!("{table_key}.{index}");
    match table {
        EntryKind::RequestClasses => visitor.visit_request_class(parse_request_class(entry, &path)?),
        EntryKind::Tenants => visitor.visit_tenant(parse_tenant(entry, &path)?),
    }
}

/// Reads the entries from dotted keys such as `op_types.0.importance`, passes them to the visitor and returns
/// all other keys.
///
/// # Errors
/// Returns an error if there are too many entries, an index is left out, an entry is invalid or the visitor
/// rejects one.
pub fn read_flat_entries(
    visitor: &mut impl EntryVisitor,
    settings: FlatSettings,
) -> Result<FlatSettings, ConfigError> {
    let mut other_settings = FlatSettings::default();
    let mut request_classes: BTreeMap<usize, FlatSettings> = BTreeMap::new();
    let mut tenants: BTreeMap<usize, FlatSettings> = BTreeMap::new();
    for (key, value) in settings {
        let Some(entry_key) = EntryKey::parse(&key) else {
            other_settings.insert(key, value);
            continue;
        };
        let entries = match entry_key.table {
            EntryKind::RequestClasses => &mut request_classes,
            EntryKind::Tenants => &mut tenants,
        };
        entries.entry(entry_key.index).or_default().insert(entry_key.key.into(), value);
    }
    read_table(visitor, EntryKind::RequestClasses, request_classes)?;
    read_table(visitor, EntryKind::Tenants, tenants)?;
    Ok(other_settings)
}

/// A dotted key of an entry, such as `tenants.3.quota_per_s`.
struct EntryKey<'a> {
    table: EntryKind,
    index: usize,
    key: &'a str,
}

impl<'a> EntryKey<'a> {
    fn parse(dotted: &'a str) -> Option<Self> {
        let (table, index_and_key) = dotted.split_once('.')?;
        let table = EntryKind::from_dotted_key(table)?;
        let (index, key) = index_and_key.split_once('.')?;
        Some(Self { table, index: index.parse().ok()?, key })
    }
}

/// Reads the entries of one table by index. The indexes must start at zero and be contiguous.
fn read_table(
    visitor: &mut impl EntryVisitor,
    table: EntryKind,
    entries: BTreeMap<usize, FlatSettings>,
) -> Result<(), ConfigError> {
    check_entry_count(table, entries.len())?;
    for (expected, (index, entry)) in entries.into_iter().enumerate() {
        if index != expected {
            return Err(ConfigError::MissingEntry { table, index: expected });
        }
        read_entry(visitor, table, index, &entry)?;
    }
    Ok(())
}

fn parse_request_class(entry: &FlatSettings, path: &str) -> Result<RequestClass, ConfigError> {
    check_values(entry, path, &REQUEST_CLASS_NUMBER_SUFFIXES)?;
    let Some(objective_us) = entry.number("target_latency_us") else {
        return Err(ConfigError::MissingKey { key: format!("{path}.target_latency_us") });
    };
    let default = RequestClass::default();
    let number = |key: &str, default: f64| entry.number(key).unwrap_or(default);
    let duration_us = |key: &str, default_us: f64| Duration::from_us(number(key, default_us) as u64);
    Ok(RequestClass {
        name: parse_name(entry, path)?,
        latency_objective: Duration::from_us(objective_us as u64),
        latency_objective_per_cost: number("target_stretch", default.latency_objective_per_cost),
        request_timeout: duration_us("op_timeout_us", objective_us * DEFAULT_TIMEOUT_IN_OBJECTIVES),
        priority_weight: number("importance", default.priority_weight),
        late_value: number("late_worth", default.late_value),
        degraded_value: default.degraded_value,
        idempotency: parse_idempotency(entry, path)?,
        deduplication_window: duration_us("window_us", default.deduplication_window.us() as f64),
    })
}

fn parse_idempotency(entry: &FlatSettings, path: &str) -> Result<Idempotency, ConfigError> {
    match entry.text_or_empty("repeats") {
        "retryable" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::IdempotentWithKey),
        "non-retryable" | "" => Ok(Idempotency::NonIdempotent),
        other => Err(ConfigError::UnknownValue { key: format!("{path}.repeats"), value: other.to_string() }),
    }
}

fn parse_tenant(entry: &FlatSettings, path: &str) -> Result<Tenant, ConfigError> {
    check_values(entry, path, &TENANT_NUMBER_SUFFIXES)?;
    Ok(Tenant { name: parse_name(entry, path)?, quota_per_s: entry.number("quota_per_s") })
}

fn parse_name(entry: &FlatSettings, path: &str) -> Result<Arc<str>, ConfigError> {
    let name = entry.text_or_empty("name");
    if name.len() > MAX_NAME_BYTES {
        let key = format!("{path}.name");
        return Err(ConfigError::NameTooLong { key, bytes: name.len(), max_bytes: MAX_NAME_BYTES });
    }
    Ok(name.into())
}

/// Rejects values that are out of range, and texts under keys that end in one of `number_suffixes`.
fn check_values(entry: &FlatSettings, path: &str, number_suffixes: &[&str]) -> Result<(), ConfigError> {
    for (key, value) in entry.iter() {
        let key = format!("{path}.{key}");
        check_value(&key, value)?;
        let must_be_number = number_suffixes.iter().any(|suffix| key.ends_with(suffix));
        if must_be_number && matches!(value, SettingValue::Text(_)) {
            return Err(ConfigError::NotANumber { key });
        }
    }
    Ok(())
}

/// Returns whether the first part of a dotted key is not among the known keys.
fn is_unknown_key(known: &[&str], key: &str) -> bool {
    !known.contains(&key.split('.').next().unwrap_or(key))
}
