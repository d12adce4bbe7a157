//! Errors in the bytes and in the behaviour of a broker, their reply codes, and the reasons why a connection
//! ended.
//!
//! The texts of `DecodeError` and `ProtocolError` are sent to the broker as the reply text of
//! `connection.close`, so they are part of the wire format. The texts of `ConnectionEnd` are for the log
//! only.

use thiserror::Error;

/// Bytes that are not valid AMQP 0-9-1. The text is sent to the broker, as part of a `ProtocolError`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The value is longer than the bytes that are left.
    #[error("too short")]
    TooShort,
    /// Bytes follow the last argument of a method or the last property.
    #[error("something behind the end")]
    TrailingBytes,
    /// A short string is not valid UTF-8.
    #[error("a short string is no UTF-8")]
    InvalidUtf8,
    /// A protocol header is received in place of a frame: the broker does not support version 0-9-1.
    #[error("the broker speaks another version")]
    VersionMismatch,
    /// The type octet of a frame is not one of `FrameKind`.
    #[error("a frame of an unknown type")]
    UnknownFrameType,
    /// The frame is longer than the maximum frame size.
    #[error("a frame longer than agreed")]
    FrameTooLong,
    /// The octet after the payload is not the frame-end octet.
    #[error("a frame without its end octet")]
    MissingFrameEnd,
    /// A property flag is set that stands for no property of class `basic`.
    #[error("unknown property flags")]
    UnknownPropertyFlags,
    /// A field table has more than `MAX_FIELDS` values, nested ones included.
    #[error("too many fields in a table")]
    TooManyFields,
    /// Tables and arrays are nested in more than `MAX_DEPTH` levels.
    #[error("a table is nested too deep")]
    NestedTooDeep,
    /// The type octet of a field value is not defined.
    #[error("a field of an unknown type")]
    UnknownFieldType,
}

/// Violation of the protocol by the broker. The text is sent to the broker as the reply text of
/// `connection.close`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A frame cannot be decoded, so the start of the next frame is unknown.
    #[error("{0}")]
    Frame(DecodeError),
    /// A method or a content header in a valid frame cannot be decoded.
    #[error("{0}")]
    Syntax(#[from] DecodeError),
    /// A heartbeat frame has a payload or a channel other than 0.
    #[error("a heartbeat that is none")]
    InvalidHeartbeat,
    /// A frame for a channel is received before `connection.open-ok`.
    #[error("a channel before the connection is open")]
    ChannelBeforeOpen,
    /// A frame is received for a channel that this client has not opened or that is closed.
    #[error("a channel that is not open")]
    ChannelNotOpen,
    /// The method is not allowed in the current state of the connection or channel, or is not known.
    #[error("a method that has no place here")]
    UnexpectedMethod,
    /// A method other than `channel.close` is received on a channel between the frames of a message.
    #[error("a method within a message")]
    MethodWithinContent,
    /// `basic.qos-ok` is received although no `basic.qos` is unanswered.
    #[error("an answer that nobody asked for")]
    UnsolicitedReply,
    /// `connection.tune` proposes a maximum frame size below `MIN_FRAME_MAX_BYTES`.
    #[error("frames smaller than the specification allows")]
    FrameMaxTooSmall,
    /// `connection.tune` allows fewer channels than `ConnectionSettings::max_channel`.
    #[error("fewer channels than there are queues to consume")]
    TooFewChannels,
    /// The tag of a delivery is 0 or belongs to a delivery that is not settled yet.
    #[error("a delivery tag that is in use")]
    DeliveryTagInUse,
    /// More unsettled deliveries on a channel than `ConnectionSettings::max_unsettled`: the broker ignores
    /// the prefetch count.
    #[error("more deliveries than were asked for")]
    TooManyDeliveries,
    /// A publisher confirm has a delivery tag above that of the last message published.
    #[error("a confirm for what was never published")]
    UnknownConfirm,
    /// A content header or body frame is received without a preceding `basic.deliver` or `basic.return`.
    #[error("content that no method announced")]
    UnexpectedContent,
    /// The class id in a content header is not that of `basic`.
    #[error("content of another class")]
    UnexpectedContentClass,
    /// A body frame is empty, or longer than the rest of the body size in the content header.
    #[error("a body that does not fit its header")]
    BodySizeMismatch,
    /// A body frame is received before the content header, or a second content header.
    #[error("header and body out of order")]
    ContentOutOfOrder,
    /// A message is not received completely within 20 s of its method.
    #[error("a message that does not end")]
    ContentTimeout,
}

impl ProtocolError {
    /// Returns the reply code to send in `connection.close` (specification, constants).
    pub fn reply_code(self) -> u16 {
        match self {
            Self::TooManyDeliveries => reply_code::PRECONDITION_FAILED,
            Self::Frame(_) | Self::InvalidHeartbeat => reply_code::FRAME_ERROR,
            Self::Syntax(_) | Self::FrameMaxTooSmall | Self::DeliveryTagInUse | Self::UnknownConfirm => {
                reply_code::SYNTAX_ERROR
            }
            Self::UnexpectedMethod | Self::UnsolicitedReply => reply_code::COMMAND_INVALID,
            Self::ChannelNotOpen => reply_code::CHANNEL_ERROR,
            Self::ChannelBeforeOpen
            | Self::MethodWithinContent
            | Self::UnexpectedContent
            | Self::UnexpectedContentClass
            | Self::BodySizeMismatch
            | Self::ContentOutOfOrder
            | Self::ContentTimeout => reply_code::UNEXPECTED_FRAME,
            Self::TooFewChannels => reply_code::NOT_ALLOWED,
        }
    }
}

/// Reply codes of `connection.close` and `channel.close` (specification, constants).
pub(crate) mod reply_code {
    /// `reply-success`.
    pub(crate) const SUCCESS: u16 = 200;
    /// `access-refused`.
    pub(crate) const ACCESS_REFUSED: u16 = 403;
    /// `precondition-failed`.
    pub(crate) const PRECONDITION_FAILED: u16 = 406;
    /// `frame-error`.
    pub(crate) const FRAME_ERROR: u16 = 501;
    /// `syntax-error`.
    pub(crate) const SYNTAX_ERROR: u16 = 502;
    /// `command-invalid`.
    pub(crate) const COMMAND_INVALID: u16 = 503;
    /// `channel-error`.
    pub(crate) const CHANNEL_ERROR: u16 = 504;
    /// `unexpected-frame`.
    pub(crate) const UNEXPECTED_FRAME: u16 = 505;
    /// `not-allowed`.
    pub(crate) const NOT_ALLOWED: u16 = 530;
}

/// Reason why a connection ended. The text is for the log and is never sent.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConnectionEnd {
    /// The broker violated the protocol, and the connection was closed because of it.
    #[error("fault of the broker: {0}")]
    ProtocolError(ProtocolError),
    /// A frame could not be decoded while `connection.close-ok` was awaited.
    #[error("undecodable frame while closing: {0}")]
    UndecodableFrame(DecodeError),
    /// This client closed the connection before `connection.start` was received, so no `connection.close` was
    /// sent.
    #[error("leaving")]
    ClosedBeforeHandshake,
    /// This client closed the connection, and the broker answered with `connection.close-ok`.
    #[error("closed")]
    Closed,
    /// The broker sent `connection.close`.
    #[error("closed by the broker: {reply_code} {reply_text}")]
    ClosedByBroker {
        /// Reply code in `connection.close`.
        reply_code: u16,
        /// Reply text in `connection.close`.
        reply_text: String,
    },
    /// The handshake was not complete within 10 s, or `connection.close` was not answered within 2 s.
    #[error("no answer in time")]
    HandshakeTimeout,
    /// No bytes were received from the broker for two heartbeat intervals.
    #[error("no heartbeat")]
    HeartbeatTimeout,
    /// `connection.start` names a version other than 0-9.
    #[error("the broker speaks another version")]
    VersionMismatch,
    /// `connection.start` does not offer the SASL mechanism that the settings require, which is named here.
    #[error("the broker does not offer {0}")]
    MechanismNotOffered(&'static str),
    /// The transport was closed or failed, with the reason given by the caller.
    #[error("{0}")]
    Transport(String),
}
