//! The hazelspur server. It receives requests from gateways and message queues (`ingress`), runs them on a
//! worker process, and talks to the shared dependency and the registry (`upstream`).
//! `hazelspur::AdmissionController` decides which requests run and when; `request` carries its decisions out.
//!
//! `config` reads the configuration before anything else starts. `process` wires the parts together and
//! `fleet` connects the server to the other servers of its installation.

pub mod clock;
pub mod commands;
pub mod config;
pub mod event_loop;
pub mod fleet;
pub mod ingress;
mod input_marker;
pub mod logging;
pub mod process;
pub mod read_quota;
pub mod request;
pub mod upstream;
