//! Why the process ends with a failure, and its exit status.

use crate::config::error::ConfigError;
use crate::config::operator::OperatorError;
use crate::fleet::transport::TransportError;
use std::process::ExitCode;
use thiserror::Error;

/// The exit status of a fault in the command line, the configuration or the operator's file.
const STATUS_REFUSED: u8 = 2;

/// What makes a start impossible.
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

/// Why the process ends with a failure.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// It was not started.
    #[error(transparent)]
    Refused(#[from] StartError),
    /// The system failed.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

impl ProcessError {
    /// Logs the error.
    pub fn log(&self) {
        match self {
            Self::Refused(why) => log::error!(why:%; "start refused"),
            Self::System(why) => log::error!(why:%; "server ended"),
        }
    }

    /// The exit status of a process that ends with it.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Refused(_) => refused_exit_code(),
            Self::System(_) => ExitCode::FAILURE,
        }
    }
}

/// The exit status of a fault in the command line, the configuration or the operator's file.
pub fn refused_exit_code() -> ExitCode {
    ExitCode::from(STATUS_REFUSED)
}
