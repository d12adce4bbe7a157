//! Errors in a gateway's input and the JSON-RPC error code of each. The texts are sent to clients.

use hazelspur_parsers::rpc;
use thiserror::Error;

/// Invalid input from a client. The text is the message of the error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolError {
    /// A line that is not a JSON object.
    #[error("not a JSON object")]
    NotJson,
    /// A message whose `jsonrpc` is missing or not "2.0".
    #[error("not JSON-RPC 2.0")]
    NotJsonRpc,
    /// A message whose `method` is missing or not a string.
    #[error("no method")]
    MissingMethod,
    /// A message other than an interrupt whose `id` is missing or not a positive integer.
    #[error("no id from 1 up")]
    MissingId,
    /// A line longer than the limit. Its end is unknown, so the connection is closed.
    #[error("the line is too long")]
    LineTooLong,
    /// No valid input since the connection was opened, or a line that was not completed in time.
    #[error("nothing good came in time")]
    InputTimeout,
    /// Eviction of a connection without valid input, because too many connections are open.
    #[error("too many connections")]
    TooManyConnections,
    /// The connection has the maximum number of open requests, or an open request with the same `id`.
    #[error("too many open, or this id is")]
    TooManyOpenOrDuplicateId,
    /// A `method` that is not the name of a configured request class.
    #[error("no such method")]
    UnknownMethod,
    /// `params` that is missing or not a JSON object.
    #[error("params is no object")]
    ParamsNotObject,
    /// A request id (`req`) that is missing or not valid.
    #[error("req is no id")]
    InvalidRequestId,
    /// A send time (`ts`) that is missing or not an unsigned integer.
    #[error("ts is no time")]
    InvalidTimestamp,
    /// A client id (`via`) that is not an unsigned integer.
    #[error("via is no number")]
    InvalidClientId,
    /// A memory size (`need`) that is missing, not a number or outside the valid range.
    #[error("need is out of range")]
    SizeOutOfRange,
    /// A tenant name (`owner`) that is not a string.
    #[error("owner is no string")]
    OwnerNotString,
    /// A tenant name (`owner`) that is not configured.
    #[error("owner is not known")]
    UnknownOwner,
    /// A `timeout` that is not a number or is negative.
    #[error("timeout is no time")]
    InvalidTimeout,
    /// A `subject` that is not a string.
    #[error("subject is no string")]
    SubjectNotString,
    /// An idempotency key (`opkey`) that is not a string.
    #[error("opkey is no string")]
    IdempotencyKeyNotString,
    /// A body (`data`) that is not a string, cannot be decoded or is too long.
    #[error("data is no body")]
    InvalidBody,
    /// A `level` that is not a number in its range, a send time too far ahead of this server's clock, or a
    /// deadline too far in the future.
    #[error("level, ts or timeout is out of range")]
    TimeOutOfRange,
    /// A request id (`req`) that a request in progress already has.
    #[error("this req is in hand")]
    RequestInProgress,
    /// A request id (`req`) under which a request that must not run twice was started before.
    #[error("this req was started before")]
    RequestStartedBefore,
    /// An idempotency key (`opkey`) that belongs to a request with different content.
    #[error("this opkey is another op's")]
    IdempotencyKeyConflict,
    /// A request that the worker does not know. Only recorded and logged: the client gets the response of a
    /// failed request.
    #[error("the runtime does not know the op")]
    UnknownToWorker,
}

impl ProtocolError {
    /// Returns the JSON-RPC code of the error response.
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

/// Reason for which a valid request is rejected without being submitted to the dispatcher. The text is the
/// message of the error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum EarlyRejection {
    /// A known gateway's connection has the maximum number of open requests.
    #[error("too many open")]
    TooManyOpen,
    /// The server does not run requests yet.
    #[error("not serving yet")]
    NotServing,
    /// The request's deadline passed longer ago than `MAX_OVERDUE`.
    #[error("its time was over long ago")]
    OverdueTooLong,
}

/// Reason for which a request is not submitted to the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    /// Invalid input, which counts against the client's reputation.
    Invalid(ProtocolError),
    /// A valid request that the server does not take now.
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
