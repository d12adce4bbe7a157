//! Messages in parts: a `basic.deliver` or `basic.return`, a header frame, body frames.

use super::channel::Channel;
use super::{ConnectionHandler, IncomingDelivery, ProtocolResult};
use crate::error::ProtocolError;
use crate::method::BASIC_CLASS;
use crate::properties::Properties;
use crate::wire::WireReader;
use hazelspur::Timestamp;

/// Largest body that is kept; the bytes of a larger one are counted and dropped.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Memory that a body may reserve before its bytes are received.
const MAX_RESERVED_BODY_BYTES: usize = 16 * 1024;
/// Header of a published message with the caller's number, by which a returned message is identified.
pub(super) const NUMBER_HEADER: &str = "x-hazelspur-number";

/// What announced a message.
#[derive(Clone, Debug)]
pub(super) enum ContentOrigin {
    Delivery { tag: u64, redelivered: bool, routing_key: String },
    Return,
}

/// A message of which a part is received.
pub(super) struct Content {
    origin: ContentOrigin,
    pub(super) started_at: Timestamp,
    properties: Vec<u8>,
    /// Bytes of the body that are not received yet; `None` until the header is.
    body_bytes_left: Option<u64>,
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

    /// Passes the message on once all of it is received.
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

    fn returned_message_number(&self, content: &Content) -> Result<Option<u64>, ProtocolError> {
        let properties = Properties::read(&content.properties)?;
        let number = properties.header(NUMBER_HEADER).and_then(|value| value.unsigned());
        let is_unconfirmed = |number: &u64| self.unconfirmed.values().any(|other| other == number);
        Ok(number.filter(is_unconfirmed))
    }
}
