//! Consumer of a broker's queues over AMQP 0-9-1. It uses one connection, with one channel per queue and one
//! for publishing.
//!
//! `DeliveryTracker` decides how each delivery is settled; `AdmissionController` decides whether and when its
//! request runs. The modules here decode messages, carry out these decisions and own the socket.

mod actions;
mod channels;
mod connection;
mod consumer;
mod events;
mod message;
mod prefetch;
mod publishing;
mod request;

pub use consumer::{AmqpConsumer, ConsumerContext};
