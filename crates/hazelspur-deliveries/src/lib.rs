//! Decisions of a front that takes deliveries from a broker's queues: how each is settled, how many are taken,
//! what a repeat is owed, and when to come back to a broker. No I/O and no clock; whether and when a delivery
//! runs stays with `hazelspur::AdmissionController`.

pub mod book;
pub mod brokers;
pub mod memory;
pub mod settlement;
pub mod window;

pub use book::{Arrived, Book, DeliveryId, Figures, Link, QueueId, Step, Tag, Terms};
pub use brokers::Brokers;
pub use memory::Memory;
pub use settlement::{Ending, Settlement, Table};
pub use window::{Rule, Window};
