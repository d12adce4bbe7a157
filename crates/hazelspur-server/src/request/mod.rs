//! A request between its receipt and its final response.

pub mod deduplication;
pub mod dispatcher;
pub mod event;
pub mod lifecycle;
pub mod responder;
