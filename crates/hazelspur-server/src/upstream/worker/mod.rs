//! The link to the worker process (the configuration's `runtime`): commands out, notices in, and what goes out
//! again after the connection broke.

mod gauges;
mod link;
mod notices;
mod replay;
mod runs;
mod state;

pub use link::WorkerLink;
pub use state::WorkerStatus;
