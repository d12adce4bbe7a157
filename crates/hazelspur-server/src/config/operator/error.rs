//! Errors of the operator's file. Each message names the file, the line and the key, as far as they are
//! known.

use crate::config::fleet_keys::{KeyFileError, QuotaKeysError};
use thiserror::Error;

/// A fault of the operator's file.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is longer than the limit.
    #[error("{path}: longer than {max} bytes")]
    TooLong {
        /// The file's path.
        path: String,
        /// The longest allowed length, in bytes.
        max: u64,
    },
    /// The script can't be parsed, or its evaluation failed.
    #[error("{path}:{} {why}", line.map_or(String::new(), |line| format!("{line}:")))]
    Script {
        /// The file's path.
        path: String,
        /// The line of the fault, from 1; `None` if it is not known.
        line: Option<usize>,
        /// The error of the interpreter.
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
        /// The line of the second call, from 1.
        line: usize,
        /// The function's name.
        function: &'static str,
    },
    /// A key is at fault.
    #[error("{path}:{line}: {key}: {fault}")]
    Key {
        /// The file's path.
        path: String,
        /// The line of the key, from 1.
        line: usize,
        /// The path of the key, such as `queues[1].name`.
        key: String,
        /// The fault.
        fault: KeyFault,
    },
    /// The password's file can't be read.
    #[error("amqp.password_file: {file}: {source}")]
    PasswordFile {
        /// The path of the password's file.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The fleet's key can't be read.
    #[error(transparent)]
    FleetKey(KeyFileError),
    /// The file does not call `fleet(...)`, which the command `fleet` needs.
    #[error("{path}: no call of fleet(...)")]
    NoFleet {
        /// The file's path.
        path: String,
    },
}

/// A fault of one key.
#[derive(Debug, Error)]
pub enum KeyFault {
    /// The value has the wrong type, or the key is unknown.
    #[error("{0}")]
    Undecodable(String),
    /// The value is outside its bounds.
    #[error("{0}")]
    OutOfBounds(String),
    /// The keys `keepers` and `shares` of the fleet are invalid.
    #[error(transparent)]
    Quota(QuotaKeysError),
    /// There are queues but no brokers.
    #[error("queue(...) requires amqp(...)")]
    NoBrokers,
    /// The bounds of unsettled deliveries of all queues add up to too many.
    #[error("more than {max} for all queues together")]
    TooManyUnsettled {
        /// The highest allowed sum.
        max: usize,
    },
    /// Two queues have the same name.
    #[error("duplicate queue name")]
    DuplicateQueue,
    /// The settings have no such request class.
    #[error("no such request class in the settings")]
    UnknownRequestClass,
    /// The action does not fit the outcome.
    #[error("{0}")]
    UnsuitableAction(hazelspur_deliveries::SettlementTableError),
}
