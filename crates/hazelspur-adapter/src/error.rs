//! Why a line of the bench, or an event of one server, is refused. The bench and operators read the texts.

use hazelspur::ConfigError;
use thiserror::Error;

/// A fault of the input, or of one server's controller.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// A field that has no default is absent.
    #[error("field {name} is missing")]
    MissingField {
        /// The field's name.
        name: &'static str,
    },
    /// The value of a field is malformed or out of range.
    #[error("field {name} is unreadable: {value}")]
    UnreadableField {
        /// The field's name.
        name: &'static str,
        /// The refused value.
        value: String,
    },
    /// A field with a list or an object is malformed.
    #[error("field {name} is unreadable")]
    MalformedField {
        /// The field's name.
        name: &'static str,
    },
    /// A batch begins before the last one was committed.
    #[error("BATCH within a batch")]
    NestedBatch,
    /// A line stands before the begin of a batch.
    #[error("line outside a batch")]
    OutsideBatch,
    /// An event stands before the line that selects its server.
    #[error("event before any SELECT")]
    NoServerSelected,
    /// The selected server was not started.
    #[error("event for unknown instance {server}")]
    UnknownServer {
        /// Id of the server.
        server: String,
    },
    /// The settings of a server are refused.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A controller panicked.
    #[error("{message}")]
    Panic {
        /// The panic's message.
        message: String,
    },
    /// The input ends before the batch is committed.
    #[error("input ended within a batch")]
    InputEnded,
    /// The input can't be read.
    #[error("input failed: {0}")]
    InputFailed(std::io::Error),
    /// A line is not UTF-8.
    #[error("line is not UTF-8")]
    NotUtf8,
}
