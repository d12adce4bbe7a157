//! Assembly of received messages. Each consists of a `basic.deliver` or `basic.return` method, a content
//! header frame and body frames; a complete one is passed to the `ConnectionHandler`.

use super::channel::Channel;
use super::{ConnectionHandler, IncomingDelivery, ProtocolResult};
use crate::error::ProtocolError;
use crate::method::BASIC_CLASS;
use crate::properties::Properties;
use crate::wire::WireReader;
use hazelspur::Timestamp;

/// Maximum size of a body that is kept, in bytes. The bytes of a larger body are counted and dropped.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Maximum memory reserved for a body before its bytes are received, so that a content header with a false
/// size costs little.
const MAX_RESERVED_BODY_BYTES: usize = 16 * 1024;
/// Header of a published message that holds the caller's number, by which a returned message is identified.
pub(super) const NUMBER_HEADER: &str = "x-hazelspur-number";

/// Method that announced a message, with the arguments that are kept.
#[derive(Clone, Debug)]
pub(super) enum ContentOrigin {
    /// `basic.deliver`.
    Delivery { tag: u64, redelivered: bool, routing_key: String },
    /// `basic.return`.
    Return,
}

/// A message that is being received.
pub(super) struct Content {
    origin: ContentOrigin,
    /// Time at which the method was received.
    pub(super) started_at: Timestamp,
    /// Encoded properties; empty until the content header is received.
    properties: Vec<u8>,
    /// Number of body bytes not received yet; `None` until the content header is received.
    body_bytes_left: Option<u64>,
    /// Whether the body is larger than `MAX_BODY_BYTES`; its bytes are then not kept.
    oversized: bool,
    body: Vec<u8>,
}

impl Content {
    pub(super) fn new(now: Timestamp, origin: ContentOrigin) -> Self {
        Self {
            origin,
            started_at: now,
            properties: Vec::new(),
            body_bytes_left: None,
            oversized: false,
            body: Vec::new(),
        }
    }

    fn receive_header(&mut self, payload: &[u8]) -> ProtocolResult {
        let mut reader = WireReader::new(payload);
        let (class, _weight, body_size) = (reader.u16()?, reader.u16()?, reader.u64()?);
        if class != BASIC_CLASS {
            return Err(ProtocolError::UnexpectedContentClass);
        }
        self.properties = reader.remaining().to_vec();
        self.body_bytes_left = Some(body_size);
        self.oversized = body_size > MAX_BODY_BYTES as u64;
        if !self.oversized {
            self.body.reserve((body_size as usize).min(MAX_RESERVED_BODY_BYTES));
        }
        Ok(())
    }

    fn receive_body(&mut self, payload: &[u8], bytes_left: u64) -> ProtocolResult {
        let received = payload.len() as u64;
        if received == 0 || received > bytes_left {
            return Err(ProtocolError::BodySizeMismatch);
        }
        self.body_bytes_left = Some(bytes_left - received);
        if !self.oversized {
            self.body.extend_from_slice(payload);
        }
        Ok(())
    }
}

impl Channel {
    pub(super) fn content_header(
        &mut self,
        payload: &[u8],
        handler: &mut impl ConnectionHandler,
    ) -> ProtocolResult {
        let content = self.content.as_mut().ok_or(ProtocolError::UnexpectedContent)?;
        match content.body_bytes_left {
            None => content.receive_header(payload)?,
            Some(_) => return Err(ProtocolError::ContentOutOfOrder),
        }
        self.complete_content(handler)
    }

    pub(super) fn content_body(
        &mut self,
        payload: &[u8],
        handler: &mut impl ConnectionHandler,
    ) -> ProtocolResult {
        let content = self.content.as_mut().ok_or(ProtocolError::UnexpectedContent)?;
        match content.body_bytes_left {
            Some(bytes_left) => content.receive_body(payload, bytes_left)?,
            None => return Err(ProtocolError::ContentOutOfOrder),
        }
        self.complete_content(handler)
    }

    /// Passes the message to `handler` if it is complete.
    fn complete_content(&mut self, handler: &mut impl ConnectionHandler) -> ProtocolResult {
        let Some(content) = self.content.take_if(|content| content.body_bytes_left == Some(0)) else {
            return Ok(());
        };
        match &content.origin {
            ContentOrigin::Delivery { tag, redelivered, routing_key } => {
                handler.delivered(&IncomingDelivery {
                    channel: self.number,
                    tag: *tag,
                    redelivered: *redelivered,
                    routing_key,
                    properties: &content.properties,
                    body: (!content.oversized).then_some(&content.body),
                });
            }
            ContentOrigin::Return => {
                if let Some(number) = self.returned_message_number(&content)? {
                    handler.publish_returned(number);
                }
            }
        }
        Ok(())
    }

    /// Returns the caller's number of a returned message; `None` if the header is missing or names no
    /// unconfirmed message.
    fn returned_message_number(&self, content: &Content) -> Result<Option<u64>, ProtocolError> {
        let properties = Properties::read(&content.properties)?;
        let number = properties.header(NUMBER_HEADER).and_then(|value| value.unsigned());
        let is_unconfirmed = |number: &u64| self.unconfirmed.values().any(|other| other == number);
        Ok(number.filter(is_unconfirmed))
    }
}
