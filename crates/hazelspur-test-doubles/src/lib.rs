//! Test doubles on loopback for the peers of a server: an AMQP broker, a worker, a dependency, a registry and
//! gateways.
//!
//! They are written from public specifications and the platform's documentation and use none of the server's
//! own code, so that a mistake in it can't cancel out. A script makes the broker misbehave. Each double
//! counts what happened, and `checker` reports which rules were broken. All buffers are bounded, and no
//! privileges are needed.

pub mod arrival;
pub mod broker;
pub mod checker;
pub mod dependency;
pub mod gateway;
pub mod http;
pub mod process;
pub mod registry;
pub mod reserved_address;
pub mod script;
pub mod worker;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the current Unix time, in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Longest wait of a write to a peer that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
