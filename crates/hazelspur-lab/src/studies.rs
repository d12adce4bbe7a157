//! What is measured, as tables.

pub mod together;
pub mod who_is_here;
