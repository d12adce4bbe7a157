//! An op between its reading and its answer.

pub mod deduplication;
pub mod desk;
pub mod life;
pub mod owed;
