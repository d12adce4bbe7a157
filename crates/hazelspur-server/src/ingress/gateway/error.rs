//! Errors of a gateway's input, with the JSON-RPC error that answers them.

use hazelspur_parsers::rpc;
use thiserror::Error;

/// Invalid input of a client. The text is the message of the error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolError {
    #[error("not a JSON object")]
    NotJson,
    #[error("not JSON-RPC 2.0")]
    NotJsonRpc,
    #[error("no method")]
    MissingMethod,
    #[error("no id from 1 up")]
    MissingId,
    #[error("the line is too long")]
    LineTooLong,
    /// No valid line, or only a part of one, came in time.
    #[error("nothing good came in time")]
    InputTimeout,
    #[error("too many connections")]
    TooManyConnections,
    #[error("too many open, or this id is")]
    TooManyOpenOrDuplicateId,
    #[error("no such method")]
    UnknownMethod,
    #[error("params is no object")]
    ParamsNotObject,
    #[error("req is no id")]
    InvalidRequestId,
    #[error("ts is no time")]
    InvalidTimestamp,
    #[error("via is no number")]
    InvalidClientId,
    #[error("need is out of range")]
    SizeOutOfRange,
    #[error("owner is no string")]
    OwnerNotString,
    #[error("owner is not known")]
    UnknownOwner,
    #[error("timeout is no time")]
    InvalidTimeout,
    #[error("subject is no string")]
    SubjectNotString,
    #[error("opkey is no string")]
    IdempotencyKeyNotString,
    #[error("data is no body")]
    InvalidBody,
    #[error("level, ts or timeout is out of range")]
    TimeOutOfRange,
    #[error("this req is in hand")]
    RequestInProgress,
    #[error("this opkey is another op's")]
    IdempotencyKeyConflict,
    /// Recorded only: the request is answered as failed.
    #[error("the runtime does not know the op")]
    UnknownToWorker,
}

impl ProtocolError {
    /// Code of the error response.
    pub(super) fn code(self) -> i32 {
        match self {
            Self::NotJson => rpc::PARSE_ERROR,
            Self::NotJsonRpc
            | Self::MissingMethod
            | Self::MissingId
            | Self::LineTooLong
            | Self::InputTimeout
            | Self::TooManyConnections
            | Self::TooManyOpenOrDuplicateId => rpc::INVALID_REQUEST,
            Self::UnknownMethod => rpc::METHOD_NOT_FOUND,
            Self::UnknownToWorker => rpc::FAILED,
            _ => rpc::INVALID_PARAMS,
        }
    }
}

/// Why a valid request is rejected before its submission. The text is the message of the error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum EarlyRejection {
    #[error("too many open")]
    TooManyOpen,
    #[error("not serving yet")]
    NotServing,
    #[error("its time was over long ago")]
    OverdueTooLong,
}

/// Why a request is not submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    Invalid(ProtocolError),
    Rejected(EarlyRejection),
}

impl From<ProtocolError> for RequestError {
    fn from(error: ProtocolError) -> Self {
        Self::Invalid(error)
    }
}

impl From<EarlyRejection> for RequestError {
    fn from(rejection: EarlyRejection) -> Self {
        Self::Rejected(rejection)
    }
}
