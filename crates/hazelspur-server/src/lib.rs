//! The hazelspur server: gateways and queues on one side, the worker process, the shared dependency and the
//! registry on the other. `hazelspur::AdmissionController` makes every decision in between.
//!
//! `request` and `process` use `upstream`, `ingress` and `fleet` use `request`; `config` is read first.

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
