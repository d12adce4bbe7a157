//! Test doubles on loopback for what a server talks to, written from public specifications and the platform's
//! pages: a broker, a runtime, a ledger, a control plane and gateways. A script makes them misbehave; they
//! count what happened, and `checker` says which rule was broken. Bounded, without privileges, never the
//! server's own code.

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

/// Milliseconds since 1970.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// How long a test double waits for a peer that does not take what is written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
