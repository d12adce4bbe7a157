//! Connections of gateways: JSON-RPC 2.0 over TCP, one message per line.
//!
//! `GatewayServer` accepts, supervises and closes connections; a task per connection reads lines, and responses
//! go out through the connection's `ResponseQueue`. A client that sends invalid input loses its
//! `ClientReputation` and then its connection.

mod connection;
mod connection_task;
mod error;
mod eviction;
mod lines;
mod maintenance;
mod reputation;
mod request;
mod request_params;
mod responder;
mod response_queue;
mod server;

pub use request::{MAX_OVERDUE, MAX_TIMEOUT_FACTOR};
pub use server::GatewayServer;
