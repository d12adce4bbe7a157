//! Errors of the platform's configuration. Each message names the key at fault.

use std::fmt::Display;
use thiserror::Error;

/// What makes a configuration unusable.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file is absent.
    #[error("ROUTER_CONFIG is not set")]
    VariableNotSet,
    /// The file can't be read.
    #[error("ROUTER_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The file is too long.
    #[error("ROUTER_CONFIG: {path}: {length} bytes, {max} at most")]
    TooLong {
        /// The file's path.
        path: String,
        /// Its length, in bytes.
        length: u64,
        /// The longest allowed, in bytes.
        max: u64,
    },
    /// The file is not a JSON object.
    #[error("the configuration is no JSON object")]
    NotAnObject,
    /// A required key is absent.
    #[error("{key}: missing")]
    Missing {
        /// The key at fault.
        key: &'static str,
    },
    /// A value is not a string.
    #[error("{key}: not a string")]
    NotAString {
        /// The key at fault.
        key: &'static str,
    },
    /// A value is not a socket address.
    #[error("{key}: not an address and port: {text}")]
    NotAnAddress {
        /// The key at fault.
        key: &'static str,
        /// Its value.
        text: String,
    },
    /// A value is not a number, or outside its bounds.
    #[error("{key}: not a number from {min} to {max}")]
    OutOfRange {
        /// The key at fault.
        key: &'static str,
        /// The least value allowed.
        min: f64,
        /// The greatest value allowed.
        max: f64,
    },
    /// The seed is not a hexadecimal number.
    #[error("seed: not 16 hexadecimal digits")]
    InvalidSeed,
    /// The settings are absent or not an object.
    #[error("settings: missing or no object")]
    NoSettings,
    /// The settings have no request class.
    #[error("settings.lanes: missing or empty")]
    NoRequestClasses,
    /// A setting is at fault; the text names it.
    #[error("{0}")]
    Setting(String),
}

impl ConfigError {
    /// An error of the settings, whose text names the setting at fault.
    pub fn setting(why: impl Display) -> Self {
        let why = why.to_string();
        Self::Setting(if why.starts_with("settings") { why } else { format!("settings: {why}") })
    }
}
