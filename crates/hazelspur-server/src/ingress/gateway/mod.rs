//! Connections of gateways: JSON-RPC 2.0 over TCP, one message per line.
//!
//! `GatewayServer` accepts, checks and closes connections. One task per connection reads lines and submits
//! requests; responses are written through the connection's `ResponseQueue`. `ClientReputation` counts the
//! protocol errors of a connection's client: after too many of them the connection is closed.

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
mod started_requests;

pub use request::{MAX_OVERDUE, MAX_TIMEOUT_FACTOR};
pub use server::GatewayServer;
