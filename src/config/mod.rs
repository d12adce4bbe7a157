//! The settings in force and their changes.

pub mod catalog;
pub mod change;
pub mod facts;
pub mod settings;
