//! The command line (`command`), the platform's configuration (`server_config`), the operator's file
//! (`operator`, `fleet_keys`) and the reload of both files (`reload`).

pub mod command;
pub mod error;
pub mod fleet_keys;
pub mod operator;
pub mod reload;
pub mod server_config;
