//! Errors of the adapter. The bench reads the texts of a server's errors, and operators read all of them.

use hazelspur::ConfigError;
use thiserror::Error;

/// Error in the input, or in the controller of one server.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// A required field is missing.
    #[error("field {name} is missing")]
    MissingField {
        /// Name of the field.
        name: &'static str,
    },
    /// The value of a field is malformed or out of range.
    #[error("field {name} is unreadable: {value}")]
    UnreadableField {
        /// Name of the field.
        name: &'static str,
        /// Rejected value.
        value: String,
    },
    /// A field that contains a list or an object is malformed; the text does not show its value.
    #[error("field {name} is unreadable")]
    MalformedField {
        /// Name of the field.
        name: &'static str,
    },
    /// A batch begins before the previous one is committed.
    #[error("BATCH within a batch")]
    NestedBatch,
    /// A line precedes the begin of a batch.
    #[error("line outside a batch")]
    OutsideBatch,
    /// A line of a server precedes the line that selects the server.
    #[error("event before any SELECT")]
    NoServerSelected,
    /// The selected server is not running.
    #[error("event for unknown instance {server}")]
    UnknownServer {
        /// Id of the server.
        server: String,
    },
    /// The settings of a server are invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A controller panicked.
    #[error("{message}")]
    Panic {
        /// Message of the panic.
        message: String,
    },
    /// The input ends before the batch is committed.
    #[error("input ended within a batch")]
    InputEnded,
    /// The input cannot be read.
    #[error("input failed: {0}")]
    InputFailed(std::io::Error),
    /// A line is not UTF-8.
    #[error("line is not UTF-8")]
    NotUtf8,
}
