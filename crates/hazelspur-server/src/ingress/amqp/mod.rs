//! Consumer of a broker's queues over AMQP 0-9-1: one connection, a channel per queue and one to publish on.
//!
//! `DeliveryTracker` decides how each delivery is settled, and `AdmissionController` whether and when its request
//! runs. The modules here decode messages, carry out those decisions and own the socket.

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
