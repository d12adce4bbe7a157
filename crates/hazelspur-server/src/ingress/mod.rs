//! Where requests are read and answered.

pub mod answers;
pub mod connection;
pub mod gateways;
pub mod queues;
pub mod requests;
