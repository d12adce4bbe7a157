//! What is measured, as tables.

pub mod who_is_here;
