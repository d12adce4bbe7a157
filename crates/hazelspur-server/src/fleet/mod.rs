//! Sockets, tasks and log lines of the fleet. `hazelspur_fleet` makes the decisions and does no input or
//! output of its own. Without `fleet(...)` in the operator's file nothing here runs.
//!
//! - `transport`: the UDP socket and the probes of the shared dependency;
//! - `coordinator`: the exchange between `hazelspur_fleet` and the admission controller;
//! - `event_log`: log lines about the membership;
//! - `query`, `query_output`: the operator's command `hazelspur-server fleet FILE`.

pub mod coordinator;
pub mod event_log;
pub mod query;
pub mod query_output;
pub mod transport;
