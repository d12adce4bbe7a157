//! Errors of the protocol, and why a connection ended.

use thiserror::Error;

/// Bytes that are not valid AMQP. The text is sent to the broker as the reply text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes end before the value does.
    #[error("too short")]
    TooShort,
    /// Bytes follow the last value.
    #[error("something behind the end")]
    TrailingBytes,
    /// A short string is not valid UTF-8.
    #[error("a short string is no UTF-8")]
    InvalidUtf8,
    /// The broker answered with a protocol header.
    #[error("the broker speaks another version")]
    VersionMismatch,
    /// The frame type is not defined.
    #[error("a frame of an unknown type")]
    UnknownFrameType,
    /// The payload is longer than the negotiated maximum.
    #[error("a frame longer than agreed")]
    FrameTooLong,
    /// The octet after the payload is not the frame end.
    #[error("a frame without its end octet")]
    MissingFrameEnd,
    /// A property flag is set that is not defined.
    #[error("unknown property flags")]
    UnknownPropertyFlags,
    /// A field table has more than `MAX_FIELDS` fields.
    #[error("too many fields in a table")]
    TooManyFields,
    /// A field table has more than `MAX_DEPTH` levels.
    #[error("a table is nested too deep")]
    NestedTooDeep,
    /// The type of a field is not defined.
    #[error("a field of an unknown type")]
    UnknownFieldType,
}

/// What a broker did that the protocol forbids. The text is sent to the broker as the reply text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A frame cannot be decoded.
    #[error("{0}")]
    Frame(DecodeError),
    /// The arguments of a method or the properties of a message cannot be decoded.
    #[error("{0}")]
    Syntax(#[from] DecodeError),
    /// A heartbeat frame has a payload or a channel.
    #[error("a heartbeat that is none")]
    InvalidHeartbeat,
    /// A channel is used before the connection is open.
    #[error("a channel before the connection is open")]
    ChannelBeforeOpen,
    /// A channel is used that is not open.
    #[error("a channel that is not open")]
    ChannelNotOpen,
    /// The method is not allowed in this state.
    #[error("a method that has no place here")]
    UnexpectedMethod,
    /// A method comes between the frames of a message.
    #[error("a method within a message")]
    MethodWithinContent,
    /// A reply comes without a request.
    #[error("an answer that nobody asked for")]
    UnsolicitedReply,
    /// The broker proposes a maximum frame size below the specification's minimum.
    #[error("frames smaller than the specification allows")]
    FrameMaxTooSmall,
    /// The broker allows fewer channels than are needed.
    #[error("fewer channels than there are queues to consume")]
    TooFewChannels,
    /// A delivery tag is zero or not settled yet.
    #[error("a delivery tag that is in use")]
    DeliveryTagInUse,
    /// The broker ignores the prefetch window.
    #[error("more deliveries than were asked for")]
    TooManyDeliveries,
    /// A confirm names a message that was not published.
    #[error("a confirm for what was never published")]
    UnknownConfirm,
    /// A header or body frame comes without its method.
    #[error("content that no method announced")]
    UnexpectedContent,
    /// A content header names another class than `basic`.
    #[error("content of another class")]
    UnexpectedContentClass,
    /// A body frame is empty or longer than the header says.
    #[error("a body that does not fit its header")]
    BodySizeMismatch,
    /// A body frame comes before the header, or a second header.
    #[error("header and body out of order")]
    ContentOutOfOrder,
    /// A message is not complete in time.
    #[error("a message that does not end")]
    ContentTimeout,
}

impl ProtocolError {
    /// Reply code for `connection.close` (specification, constants).
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

/// Reply codes (specification, constants).
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

/// Why a connection is over. The text is for the log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConnectionEnd {
    /// The broker violated the protocol.
    #[error("fault of the broker: {0}")]
    ProtocolError(ProtocolError),
    /// A frame could not be decoded while the connection was closing.
    #[error("{0}")]
    UndecodableFrame(DecodeError),
    /// It was closed from this side before the handshake.
    #[error("leaving")]
    ClosedBeforeHandshake,
    /// It was closed from this side and the broker confirmed.
    #[error("closed")]
    Closed,
    /// The broker closed it.
    #[error("closed by the broker: {reply_code} {reply_text}")]
    ClosedByBroker {
        /// The broker's reply code.
        reply_code: u16,
        /// The broker's reply text.
        reply_text: String,
    },
    /// The handshake or the close took too long.
    #[error("no answer in time")]
    HandshakeTimeout,
    /// The broker was silent for too long.
    #[error("no heartbeat")]
    HeartbeatTimeout,
    /// The broker speaks another version of the protocol.
    #[error("the broker speaks another version")]
    VersionMismatch,
    /// The broker does not offer the SASL mechanism that is needed.
    #[error("the broker does not offer {0}")]
    MechanismNotOffered(&'static str),
    /// The transport is closed or failed.
    #[error("{0}")]
    Transport(String),
}
