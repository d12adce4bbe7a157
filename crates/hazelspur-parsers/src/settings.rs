//! Reads the settings object as received in JSON.
//!
//! Each entry of the table `lanes` is a request class and each entry of the table `orgs` a tenant. An entry
//! is passed to a visitor as soon as it is read, so that the tables are never in memory twice. All other keys
//! become dotted keys of `hazelspur::config`, which maps them to typed settings: `family-info.n-cores`
//! becomes `server.cores`.

use crate::Json;
use hazelspur::config::catalog::Catalog;
use hazelspur::config::entries::{EntryVisitor, MAX_ENTRY_KEYS, check_entry_count, read_entry};
use hazelspur::config::entry_kind::EntryKind;
use hazelspur::config::flat_settings::MAX_SETTINGS;
use hazelspur::{ConfigError, FlatSettings, SettingValue};

/// Reads the whole object into a catalog.
///
/// # Errors
/// Returns the first key with a missing or invalid value.
pub fn catalog(object: Json) -> Result<Catalog, ConfigError> {
    let mut catalog = Catalog::default();
    let settings = read(object, &mut catalog)?;
    catalog.complete(settings)
}

/// Passes request classes and tenants to the visitor and returns all other settings, whose values are not
/// checked.
///
/// # Errors
/// Returns an error if a table occurs twice or is too long, if an entry is invalid, or if there are too many
/// keys.
pub fn read(object: Json, visitor: &mut impl EntryVisitor) -> Result<FlatSettings, ConfigError> {
    let mut other_settings = Flattener::new(MAX_SETTINGS);
    let mut tables_read = Vec::new();
    for (key, value) in object.fields() {
        let Some(table) = EntryKind::ALL.into_iter().find(|table| table.wire_key() == key) else {
            other_settings.add(value, dotted_key_part(&key));
            continue;
        };
        if tables_read.contains(&table) {
            return Err(ConfigError::DuplicateTable { table });
        }
        tables_read.push(table);
        read_table(value, table, visitor)?;
    }
    other_settings.finish("settings")
}

fn read_table(array: Json, table: EntryKind, visitor: &mut impl EntryVisitor) -> Result<(), ConfigError> {
    check_entry_count(table, array.items().count())?;
    for (index, object) in array.items().enumerate() {
        let mut entry = Flattener::new(MAX_ENTRY_KEYS);
        entry.add(object, String::new());
        let path = format!("settings.{}.{index}", table.wire_key());
        read_entry(visitor, table, index, &entry.finish(&path)?)?;
    }
    Ok(())
}

/// Collects values by dotted key. Keys past the maximum number are counted and not stored.
struct Flattener {
    settings: FlatSettings,
    max_keys: usize,
    excess_keys: usize,
}

impl Flattener {
    fn new(max_keys: usize) -> Self {
        Self { settings: FlatSettings::default(), max_keys, excess_keys: 0 }
    }

    /// Adds a value and all values nested in it under a dotted key. Nulls count as absent.
    fn add(&mut self, value: Json, key: String) {
        if value.is_object() {
            for (part, child) in value.fields() {
                self.add(child, join_key(&key, &dotted_key_part(&part)));
            }
        } else if value.is_array() {
            for (index, child) in value.items().enumerate() {
                self.add(child, join_key(&key, &index.to_string()));
            }
        } else if let Some(value) = setting_value(value) {
            self.insert(key, value);
        }
    }

    fn insert(&mut self, key: String, value: SettingValue) {
        if self.settings.len() >= self.max_keys && !self.settings.contains(&key) {
            self.excess_keys += 1;
        } else {
            self.settings.insert(key, value);
        }
    }

    /// Returns all settings that were added.
    ///
    /// # Errors
    /// Returns an error with `path`, the place of the object, if there were too many keys.
    fn finish(self, path: &str) -> Result<FlatSettings, ConfigError> {
        if self.excess_keys > 0 {
            let count = self.max_keys + self.excess_keys;
            return Err(ConfigError::TooManyKeys { path: path.to_string(), count, max: self.max_keys });
        }
        Ok(self.settings)
    }
}

fn join_key(key: &str, part: &str) -> String {
    if key.is_empty() { part.to_string() } else { format!("{key}.{part}") }
}

/// Returns the value of a string, boolean or number, `None` for a null. A number that is not finite as an
/// `f64` becomes NaN, which `hazelspur::config` rejects.
fn setting_value(value: Json) -> Option<SettingValue> {
    if let Some(text) = value.text() {
        return Some(SettingValue::Text(settings_word(&text).to_string()));
    }
    if let Some(flag) = value.flag() {
        return Some(SettingValue::Number(f64::from(u8::from(flag))));
    }
    if value.is_null() {
        return None;
    }
    Some(SettingValue::Number(value.number().unwrap_or(f64::NAN)))
}

/// Returns the part of a dotted key that corresponds to a key of the JSON settings.
fn dotted_key_part(wire_key: &str) -> String {
    let part = match wire_key {
        "lanes" => "op_types",
        "aim-us" => "target_latency_us",
        "aim-stretch" => "target_stretch",
        "deadline-us" => "op_timeout_us",
        "semantics" => "repeats",
        "memory-span-us" => "window_us",
        "family-info" => "server",
        "n-cores" => "cores",
        "mem-limit-kb" => "memory_kb",
        "stop-mode" => "stop",
        "say" => "value",
        "share-for-us" => "share_reads_us",
        "calls-out" => "calls_bound",
        "class-skip-worth" => "skip_worth",
        "fall-multiple" => "crowd_multiple",
        "overload-for-us" => "crowd_over_us",
        "orgs" => "tenants",
        "quota-rps" => "quota_per_s",
        other => return other.replace('-', "_"),
    };
    part.to_string()
}

/// Returns the word of `hazelspur::config` that corresponds to a word of the JSON settings.
fn settings_word(wire_word: &str) -> &str {
    match wire_word {
        "safe" => "retryable",
        "unsafe" => "non-retryable",
        "silent" => "none",
        "request" => "op",
        other => other,
    }
}
