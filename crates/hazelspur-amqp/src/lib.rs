//! AMQP 0-9-1 as a client speaks it, without I/O and without a clock: `Session` takes bytes, points in time and
//! commands, calls a `Listener` with what came and gathers the bytes that are to go out.
//!
//! Facts of the wire are from the AMQP 0-9-1 specification (sections 2.3, 4.2 and the XML description of classes
//! and methods) and from its published errata and extensions (nack, confirms, `connection.blocked`, field types).

pub mod frames;
pub mod properties;
pub mod session;
pub mod table;
pub mod wire;

pub use properties::Properties;
pub use session::{Listener, Session, Terms};
pub use table::{Field, Table, TableWriter};
pub use wire::{Malformed, Wire};
