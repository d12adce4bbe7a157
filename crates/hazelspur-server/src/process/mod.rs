//! The process: its phases, its tasks and its descriptors.

#![warn(missing_docs)]

pub mod descriptors;
pub mod error;
mod listener;
pub mod phases;
mod serve;
mod server;
mod shutdown;
pub mod supervise;

pub use serve::{Signals, StartInputs, serve};
