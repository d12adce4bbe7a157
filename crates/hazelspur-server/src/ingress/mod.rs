//! Ingresses of the server: connections of gateways (`gateway`) and queues of a broker (`amqp`). Both decode
//! requests, submit them to the dispatcher and return the responses; the admission controller makes all
//! decisions.

pub mod amqp;
pub mod gateway;
mod limits;
