//! Sockets, tasks and log lines of the fleet: `hazelspur_fleet` decides, these files carry out. Off without
//! `fleet(...)` in the operator's file.
//!
//! - `transport`: the UDP socket and the probes of the shared dependency;
//! - `coordinator`: between `hazelspur_fleet` and the admission controller;
//! - `event_log`: log lines about the membership;
//! - `query`, `query_output`: the operator's command `hazelspur-server fleet FILE`.

pub mod coordinator;
pub mod event_log;
pub mod query;
pub mod query_output;
pub mod transport;
