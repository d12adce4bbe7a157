//! The command line, the platform's configuration, the operator's file and their reload.

pub mod command;
pub mod error;
pub mod fleet_keys;
pub mod operator;
pub mod reload;
pub mod server_config;
