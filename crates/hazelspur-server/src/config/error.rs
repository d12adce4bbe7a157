//! Errors of the platform's configuration. Each message names the key at fault.

use std::fmt::Display;
use thiserror::Error;

/// A fault of the platform's configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable that names the file is not set.
    #[error("ROUTER_CONFIG is not set")]
    VariableNotSet,
    /// The file can't be read.
    #[error("ROUTER_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is longer than the limit.
    #[error("ROUTER_CONFIG: {path}: {length} bytes, at most {max} allowed")]
    TooLong {
        /// The file's path.
        path: String,
        /// The file's length, in bytes.
        length: u64,
        /// The longest allowed length, in bytes.
        max: u64,
    },
    /// The file is not a JSON object.
    #[error("the configuration is not a JSON object")]
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
        /// The value that was found.
        text: String,
    },
    /// A value is not a number, or is outside its bounds.
    #[error("{key}: not a number from {min} to {max}")]
    OutOfRange {
        /// The key at fault.
        key: &'static str,
        /// The least value allowed.
        min: f64,
        /// The greatest value allowed.
        max: f64,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: not a hexadecimal number of at most 16 digits")]
    InvalidSeed,
    /// The settings are absent or not an object.
    #[error("settings: missing or not an object")]
    NoSettings,
    /// The settings have no request class.
    #[error("settings.lanes: missing or empty")]
    NoRequestClasses,
    /// A setting is at fault; the text names it and the reason.
    #[error("{0}")]
    Setting(String),
}

impl ConfigError {
    /// Wraps an error of the settings; the text starts with `settings`.
    pub fn setting(why: impl Display) -> Self {
        let why = why.to_string();
        Self::Setting(if why.starts_with("settings") { why } else { format!("settings: {why}") })
    }
}
