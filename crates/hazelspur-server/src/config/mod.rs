//! What the program is told, and its phases from start to exit.

pub mod command;
pub mod descriptors;
pub mod fleet_keys;
pub mod logs;
pub mod operator;
pub mod phases;
pub mod reload;
pub mod startup;
