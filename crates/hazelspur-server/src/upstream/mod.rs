//! Connections that the server makes: the worker process, the shared dependency, the registry.

pub mod dependency;
pub mod endpoints;
pub mod http_exchange;
pub mod registry;
pub mod worker;
