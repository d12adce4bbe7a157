//! The errors that end the process, and their exit statuses.

use crate::config::error::ConfigError;
use crate::config::operator::OperatorError;
use crate::fleet::transport::TransportError;
use std::process::ExitCode;
use thiserror::Error;

/// The exit status of a fault in the command line, the configuration or the operator's file.
const STATUS_REFUSED: u8 = 2;

/// An error that keeps the server from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The platform's configuration is at fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file is at fault.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// The fleet can't be joined.
    #[error(transparent)]
    Fleet(#[from] TransportError),
}

/// An error that ends the process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The server could not start, because of the configuration.
    #[error(transparent)]
    Refused(#[from] StartError),
    /// A call of the operating system failed.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

impl ProcessError {
    /// Logs the error.
    pub fn log(&self) {
        match self {
            Self::Refused(why) => log::error!(why:%; "start refused"),
            Self::System(why) => log::error!(why:%; "server failed"),
        }
    }

    /// Returns the exit status of a process that ends with this error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Refused(_) => refused_exit_code(),
            Self::System(_) => ExitCode::FAILURE,
        }
    }
}

/// Returns the exit status of a fault in the command line, the configuration or the operator's file.
pub fn refused_exit_code() -> ExitCode {
    ExitCode::from(STATUS_REFUSED)
}
