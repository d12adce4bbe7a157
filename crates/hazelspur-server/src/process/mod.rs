//! The process: its phases, its tasks and its descriptors.

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
