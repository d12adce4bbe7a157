//! The link to the worker process (the configuration's `runtime`): commands out, notices in, and what goes out
//! again after the connection broke.

mod gauges;
mod link;
mod notices;
mod replay;
mod runs;

pub use link::{WorkerLink, WorkerState};
