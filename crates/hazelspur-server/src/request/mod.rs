//! A request between its reading and its answer.

pub mod deduplication;
pub mod dispatcher;
pub mod life;
pub mod owed;
