//! The process: its start, phases, tasks, descriptor budget and shutdown.

pub mod descriptors;
pub mod error;
mod listener;
pub mod phases;
mod serve;
mod server;
mod shutdown;
pub mod standstill;
pub mod supervise;

pub use serve::{Signals, StartInputs, serve};
