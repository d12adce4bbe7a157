//! Class and method ids of the methods that a client sends or receives (specification, XML description).

use crate::error::DecodeError;
use crate::wire::WireReader;

/// Identifier of a method, without its arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Method {
    /// Id of the class.
    pub class: u16,
    /// Id of the method, unique within the class.
    pub method: u16,
}

const fn method(class: u16, method: u16) -> Method {
    Method { class, method }
}

/// Id of class `connection`.
pub(crate) const CONNECTION_CLASS: u16 = 10;
/// Id of class `channel`.
pub(crate) const CHANNEL_CLASS: u16 = 20;
/// Id of class `basic`.
pub(crate) const BASIC_CLASS: u16 = 60;
/// Id of class `confirm`, the publisher confirms extension.
pub(crate) const CONFIRM_CLASS: u16 = 85;

impl Method {
    /// `connection.start`
    pub const CONNECTION_START: Method = method(CONNECTION_CLASS, 10);
    /// `connection.start-ok`
    pub const CONNECTION_START_OK: Method = method(CONNECTION_CLASS, 11);
    /// `connection.secure`
    pub const CONNECTION_SECURE: Method = method(CONNECTION_CLASS, 20);
    /// `connection.secure-ok`
    pub const CONNECTION_SECURE_OK: Method = method(CONNECTION_CLASS, 21);
    /// `connection.tune`
    pub const CONNECTION_TUNE: Method = method(CONNECTION_CLASS, 30);
    /// `connection.tune-ok`
    pub const CONNECTION_TUNE_OK: Method = method(CONNECTION_CLASS, 31);
    /// `connection.open`
    pub const CONNECTION_OPEN: Method = method(CONNECTION_CLASS, 40);
    /// `connection.open-ok`
    pub const CONNECTION_OPEN_OK: Method = method(CONNECTION_CLASS, 41);
    /// `connection.close`
    pub const CONNECTION_CLOSE: Method = method(CONNECTION_CLASS, 50);
    /// `connection.close-ok`
    pub const CONNECTION_CLOSE_OK: Method = method(CONNECTION_CLASS, 51);
    /// `connection.blocked`
    pub const CONNECTION_BLOCKED: Method = method(CONNECTION_CLASS, 60);
    /// `connection.unblocked`
    pub const CONNECTION_UNBLOCKED: Method = method(CONNECTION_CLASS, 61);
    /// `channel.open`
    pub const CHANNEL_OPEN: Method = method(CHANNEL_CLASS, 10);
    /// `channel.open-ok`
    pub const CHANNEL_OPEN_OK: Method = method(CHANNEL_CLASS, 11);
    /// `channel.flow`
    pub const CHANNEL_FLOW: Method = method(CHANNEL_CLASS, 20);
    /// `channel.flow-ok`
    pub const CHANNEL_FLOW_OK: Method = method(CHANNEL_CLASS, 21);
    /// `channel.close`
    pub const CHANNEL_CLOSE: Method = method(CHANNEL_CLASS, 40);
    /// `channel.close-ok`
    pub const CHANNEL_CLOSE_OK: Method = method(CHANNEL_CLASS, 41);
    /// `basic.qos`
    pub const BASIC_QOS: Method = method(BASIC_CLASS, 10);
    /// `basic.qos-ok`
    pub const BASIC_QOS_OK: Method = method(BASIC_CLASS, 11);
    /// `basic.consume`
    pub const BASIC_CONSUME: Method = method(BASIC_CLASS, 20);
    /// `basic.consume-ok`
    pub const BASIC_CONSUME_OK: Method = method(BASIC_CLASS, 21);
    /// `basic.cancel`
    pub const BASIC_CANCEL: Method = method(BASIC_CLASS, 30);
    /// `basic.cancel-ok`
    pub const BASIC_CANCEL_OK: Method = method(BASIC_CLASS, 31);
    /// `basic.publish`
    pub const BASIC_PUBLISH: Method = method(BASIC_CLASS, 40);
    /// `basic.return`
    pub const BASIC_RETURN: Method = method(BASIC_CLASS, 50);
    /// `basic.deliver`
    pub const BASIC_DELIVER: Method = method(BASIC_CLASS, 60);
    /// `basic.ack`
    pub const BASIC_ACK: Method = method(BASIC_CLASS, 80);
    /// `basic.reject`
    pub const BASIC_REJECT: Method = method(BASIC_CLASS, 90);
    /// `basic.nack`
    pub const BASIC_NACK: Method = method(BASIC_CLASS, 120);
    /// `confirm.select`
    pub const CONFIRM_SELECT: Method = method(CONFIRM_CLASS, 10);
    /// `confirm.select-ok`
    pub const CONFIRM_SELECT_OK: Method = method(CONFIRM_CLASS, 11);

    /// Reads the class id and the method id, with which the payload of a method frame begins.
    ///
    /// # Errors
    /// `TooShort` if fewer than four bytes are left.
    pub fn read(reader: &mut WireReader<'_>) -> Result<Self, DecodeError> {
        Ok(Self { class: reader.u16()?, method: reader.u16()? })
    }
}
