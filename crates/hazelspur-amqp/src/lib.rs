//! Client side of AMQP 0-9-1 without I/O and without a clock: `Connection` takes received bytes, the current
//! time and commands, calls a `ConnectionHandler` for each event and collects the bytes to send.
//!
//! Based on the AMQP 0-9-1 specification (sections 2.3, 4.2 and the XML description of classes and methods),
//! its published errata and extensions (nack, confirms, `connection.blocked`, field types).

pub mod connection;
mod error;
pub mod frame;
mod method;
mod properties;
pub mod table;
pub mod wire;

pub use connection::{
    Connection, ConnectionHandler, ConnectionSettings, ConnectionState, Credentials, IncomingDelivery,
    OutgoingMessage,
};
pub use error::{ConnectionEnd, DecodeError, ProtocolError};
pub use method::Method;
pub use properties::Properties;
pub use table::{FieldTable, FieldValue, TableField, TableWriter};
pub use wire::WireReader;
