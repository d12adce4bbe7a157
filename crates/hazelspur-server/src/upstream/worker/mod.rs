//! Link to the worker process, which the configuration calls `runtime`.
//!
//! Sends commands, receives notices, and sends unanswered commands again after the connection broke.

mod command_queue;
mod gauges;
mod link;
mod notices;
mod replay;
mod runs;
mod state;

pub use link::WorkerLink;
pub use state::WorkerStatus;
