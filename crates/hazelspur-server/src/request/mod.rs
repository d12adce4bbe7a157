//! Handling of a request from its receipt to its final response.

pub mod deduplication;
pub mod dispatcher;
pub mod event;
pub mod lifecycle;
pub mod responder;
