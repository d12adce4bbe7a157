//! Outgoing connections of the server: to the worker process, the shared dependency and the registry.

pub mod dependency;
pub mod endpoints;
pub mod http_exchange;
pub mod registry;
pub mod worker;
