//! A request between its receipt and its final response.

#![warn(missing_docs)]

pub mod deduplication;
pub mod dispatcher;
pub mod event;
pub mod lifecycle;
pub mod responder;
