//! Errors of the operator's file. Each message names the file, the line and the key, as far as they are known.

use crate::config::fleet_keys::{KeyFileError, QuotaKeysError};
use thiserror::Error;

/// What makes an operator's file unusable.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The file is too long.
    #[error("{path}: longer than {max} bytes")]
    TooLong {
        /// The file's path.
        path: String,
        /// The longest allowed, in bytes.
        max: u64,
    },
    /// The script can't be parsed, or failed.
    #[error("{path}:{} {why}", line.map_or(String::new(), |line| format!("{line}:")))]
    Script {
        /// The file's path.
        path: String,
        /// The line, from 1, if it is known.
        line: Option<usize>,
        /// What the interpreter reported.
        why: String,
    },
    /// The interpreter can't be set up.
    #[error("{0}")]
    Interpreter(String),
    /// A function that may be called once was called again.
    #[error("{path}:{line}: {function}: called twice")]
    CalledTwice {
        /// The file's path.
        path: String,
        /// The second call's line, from 1.
        line: usize,
        /// The function.
        function: &'static str,
    },
    /// A key is at fault.
    #[error("{path}:{line}: {key}: {fault}")]
    Key {
        /// The file's path.
        path: String,
        /// The key's line, from 1.
        line: usize,
        /// The key, such as `queues[1].name`.
        key: String,
        /// What is wrong with it.
        fault: KeyFault,
    },
    /// The password's file can't be read.
    #[error("amqp.password_file: {file}: {source}")]
    PasswordFile {
        /// The file that the key names.
        file: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The fleet's key can't be read.
    #[error(transparent)]
    FleetKey(KeyFileError),
    /// The file has no fleet though one is asked for.
    #[error("{path}: there is no fleet(...)")]
    NoFleet {
        /// The file's path.
        path: String,
    },
}

/// What is wrong with a key.
#[derive(Debug, Error)]
pub enum KeyFault {
    /// Its value has another type, or the key is unknown.
    #[error("{0}")]
    Undecodable(String),
    /// Its value is outside its bounds.
    #[error("{0}")]
    OutOfBounds(String),
    /// The quota leases of the fleet do not fit together.
    #[error(transparent)]
    Quota(QuotaKeysError),
    /// There are queues and no brokers.
    #[error("there is no amqp(...)")]
    NoBrokers,
    /// All queues together may have too many unsettled deliveries.
    #[error("all queues together: over {max}")]
    TooManyUnsettled {
        /// The most allowed.
        max: usize,
    },
    /// Two queues have the same name.
    #[error("named twice")]
    DuplicateQueue,
    /// The settings have no such request class.
    #[error("no such op type in the settings")]
    UnknownRequestClass,
    /// The action does not fit the outcome.
    #[error("{0}")]
    UnsuitableAction(hazelspur_deliveries::SettlementTableError),
}
