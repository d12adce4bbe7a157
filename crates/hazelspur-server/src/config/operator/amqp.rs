//! `amqp(...)` of the operator's file: the brokers, the login, and the bounds of message deduplication.

use super::error::OperatorError;
use garde::Validate;
use serde::Deserialize;
use std::net::SocketAddr;

/// The arguments of `amqp(...)`.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct AmqpConfig {
    /// Addresses of the brokers, the preferred one first.
    #[garde(length(min = 1, max = 16))]
    pub brokers: Vec<SocketAddr>,
    /// The user; if absent, the login mechanism is EXTERNAL, where the transport authenticates the server.
    #[garde(inner(length(min = 1, max = 255)))]
    pub user: Option<String>,
    /// The password; `read_password` replaces it with that of `password_file`.
    #[serde(default)]
    #[garde(length(max = 255))]
    pub password: String,
    /// Path of a file whose first line is the password.
    #[garde(skip)]
    pub password_file: Option<String>,
    /// The virtual host.
    #[serde(default = "defaults::vhost")]
    #[garde(length(min = 1, max = 255))]
    pub vhost: String,
    /// The heartbeat interval, in seconds; zero for no heartbeats.
    #[serde(default = "defaults::heartbeat_s")]
    #[garde(range(min = 0.0, max = 600.0))]
    pub heartbeat_s: f64,
    /// The longest frame, in bytes.
    #[serde(rename = "longest_frame", default = "defaults::max_frame_bytes")]
    #[garde(range(min = 4096, max = 1_048_576))]
    pub max_frame_bytes: u32,
    /// The longest random wait before a reconnect, in seconds, over which a fleet's reconnects are spread.
    #[serde(rename = "spread_s", default = "defaults::reconnect_spread_s")]
    #[garde(range(min = 0.0, max = 600.0))]
    pub reconnect_spread_s: f64,
    /// Time for which message ids and results are stored, in seconds.
    #[serde(rename = "memory_s", default = "defaults::deduplication_window_s")]
    #[garde(range(min = 1.0, max = 604_800.0))]
    pub deduplication_window_s: f64,
    /// The most message ids that are stored.
    #[serde(rename = "memory_entries", default = "defaults::max_deduplication_entries")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub max_deduplication_entries: usize,
    /// The most memory of stored message ids and results, in bytes.
    #[serde(rename = "memory_bytes", default = "defaults::max_deduplication_bytes")]
    #[garde(range(min = 1024, max = 1_073_741_824))]
    pub max_deduplication_bytes: usize,
}

impl AmqpConfig {
    /// Sets the password to the first line of `password_file`, if that is given.
    ///
    /// # Errors
    /// Returns an `OperatorError` if the file cannot be read.
    pub fn read_password(&mut self) -> Result<(), OperatorError> {
        let Some(file) = &self.password_file else { return Ok(()) };
        let text = std::fs::read_to_string(file)
            .map_err(|source| OperatorError::PasswordFile { file: file.clone(), source })?;
        self.password = text.lines().next().unwrap_or_default().to_string();
        Ok(())
    }
}

mod defaults {
    pub(super) fn vhost() -> String {
        "/".into()
    }
    pub(super) fn heartbeat_s() -> f64 {
        20.0
    }
    pub(super) fn max_frame_bytes() -> u32 {
        131_072
    }
    pub(super) fn reconnect_spread_s() -> f64 {
        8.0
    }
    pub(super) fn deduplication_window_s() -> f64 {
        3600.0
    }
    pub(super) fn max_deduplication_entries() -> usize {
        20_000
    }
    pub(super) fn max_deduplication_bytes() -> usize {
        8 * 1024 * 1024
    }
}
