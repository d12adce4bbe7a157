//! Settings as dotted keys such as `server.cores` with numbers or texts as values.
//!
//! A newer file is compared with the configuration in force in this form, key by key. The module `settings`
//! maps the keys to typed fields.

use crate::config::error::ConfigError;
use std::collections::BTreeMap;

/// Maximum number of settings other than request classes and tenants.
pub const MAX_SETTINGS: usize = 4096;

/// The value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum SettingValue {
    /// A number; flags are 0 or 1.
    Number(f64),
    /// A text.
    Text(String),
}

/// Values of settings by dotted key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FlatSettings(BTreeMap<String, SettingValue>);

impl FlatSettings {
    /// Adds a key, or replaces its value.
    pub fn insert(&mut self, key: String, value: SettingValue) {
        self.0.insert(key, value);
    }

    /// Returns whether the key is present.
    pub fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over keys and values in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &SettingValue)> {
        self.0.iter().map(|(key, value)| (key.as_str(), value))
    }

    /// Removes the values of responses without a dependency call (`server.skip_worth`), for a host that can't
    /// skip a call.
    pub fn remove_degraded_values(&mut self) {
        self.0.retain(|key, _| !key.starts_with("server.skip_worth"));
    }

    /// Removes and returns the value of a response without its dependency call, by index of the request
    /// class.
    pub(crate) fn take_degraded_value(&mut self, class_index: usize) -> Option<f64> {
        match self.0.remove(&format!("server.skip_worth.{class_index}")) {
            Some(SettingValue::Number(value)) => Some(value),
            _ => None,
        }
    }

    pub(crate) fn get(&self, key: &str) -> Option<&SettingValue> {
        self.0.get(key)
    }

    pub(crate) fn remove(&mut self, key: &str) {
        self.0.remove(key);
    }

    /// Returns the number of a key, or `None` if the key is absent or has a text.
    pub(crate) fn number(&self, key: &str) -> Option<f64> {
        match self.0.get(key) {
            Some(SettingValue::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Returns the text of a key, or an empty one if the key is absent or has a number.
    pub(crate) fn text_or_empty(&self, key: &str) -> &str {
        match self.0.get(key) {
            Some(SettingValue::Text(text)) => text,
            _ => "",
        }
    }

    /// Rejects more than `MAX_SETTINGS` keys and values that are out of range.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        if self.len() > MAX_SETTINGS {
            return Err(ConfigError::TooManySettings { count: self.len(), max: MAX_SETTINGS });
        }
        self.iter().try_for_each(|(key, value)| check_value(key, value))
    }
}

impl FromIterator<(String, SettingValue)> for FlatSettings {
    fn from_iter<I: IntoIterator<Item = (String, SettingValue)>>(pairs: I) -> Self {
        Self(pairs.into_iter().collect())
    }
}

impl IntoIterator for FlatSettings {
    type Item = (String, SettingValue);
    type IntoIter = std::collections::btree_map::IntoIter<String, SettingValue>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

/// Keys whose number must be positive.
const POSITIVE_KEYS: [&str; 3] = ["server.cores", "server.memory_kb", "server.run_factor"];
/// Suffixes of keys whose number must not be negative.
const NON_NEGATIVE_KEY_SUFFIXES: [&str; 3] = ["_us", ".importance", ".quota_per_s"];

/// Rejects a number that is not finite, or that is negative or zero where the key does not allow it.
pub(crate) fn check_value(key: &str, value: &SettingValue) -> Result<(), ConfigError> {
    let SettingValue::Number(value) = *value else { return Ok(()) };
    let must_be_positive = POSITIVE_KEYS.contains(&key);
    let must_not_be_negative = NON_NEGATIVE_KEY_SUFFIXES.iter().any(|suffix| key.ends_with(suffix));
    let is_out_of_range =
        !value.is_finite() || must_be_positive && value <= 0.0 || must_not_be_negative && value < 0.0;
    if is_out_of_range { Err(ConfigError::OutOfRange { key: key.into(), value }) } else { Ok(()) }
}
