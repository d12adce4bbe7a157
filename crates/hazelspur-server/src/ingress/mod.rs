//! Where requests come from: gateways' connections and a broker's queues. Both decode requests, submit them to
//! the dispatcher and carry their responses back; neither decides.

pub mod amqp;
pub mod gateway;
mod limits;
