//! Decoding and encoding of the message properties in a content header of class `basic`: 16 flags that tell
//! which properties are present, then the values of those.

use crate::error::DecodeError;
use crate::table::{FieldTable, FieldValue};
use crate::wire::{WireReader, put_short_string};

/// Number of properties of class `basic`.
const PROPERTY_COUNT: u32 = 14;
/// Flag of the first property, `content-type`; each further property has the next lower bit.
const FIRST_FLAG: u16 = 0x8000;
/// Flags that stand for no property of class `basic`.
const UNUSED_FLAGS: u16 = 0b11;

/// Properties of a message in the order of their encoding; `None` if absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Properties<'a> {
    /// MIME type of the body.
    pub content_type: Option<&'a str>,
    /// MIME encoding of the body.
    pub content_encoding: Option<&'a str>,
    /// Headers set by the publisher or the broker.
    pub headers: Option<FieldTable<'a>>,
    /// 1 for a transient message, 2 for a persistent one.
    pub delivery_mode: Option<u8>,
    /// Priority from 0 to 9, 9 being the highest.
    pub priority: Option<u8>,
    /// Identifier that relates a reply to its request.
    pub correlation_id: Option<&'a str>,
    /// Queue that the reply is to be published to.
    pub reply_to: Option<&'a str>,
    /// Time to live of the message, in milliseconds as decimal text.
    pub expiration: Option<&'a str>,
    /// Message identifier set by the publisher.
    pub message_id: Option<&'a str>,
    /// Time of publishing in seconds since 1970-01-01 UTC.
    pub timestamp: Option<u64>,
    /// Message type name set by the publisher (`type` in the specification).
    pub message_type: Option<&'a str>,
    /// Name of the user that published the message.
    pub user_id: Option<&'a str>,
    /// Identifier of the application that published the message.
    pub app_id: Option<&'a str>,
    /// Reserved by the specification.
    pub cluster_id: Option<&'a str>,
}

impl<'a> Properties<'a> {
    /// Decodes the property flags and the properties; `bytes` must hold nothing else.
    ///
    /// # Errors
    /// `UnknownPropertyFlags` if an unused flag is set, `TrailingBytes` if bytes follow the last property, or
    /// the error of a property that cannot be decoded.
    pub fn read(bytes: &'a [u8]) -> Result<Self, DecodeError> {
        let mut reader = WireReader::new(bytes);
        let flags = reader.u16()?;
        if flags & UNUSED_FLAGS != 0 {
            return Err(DecodeError::UnknownPropertyFlags);
        }
        let mut present = (0..PROPERTY_COUNT).map(|index| flags & (FIRST_FLAG >> index) != 0);
        let mut next_present = || present.next().unwrap_or(false);
        macro_rules! property {
            ($read:expr) => {
                if next_present() { Some($read?) } else { None }
            };
        }
        let properties = Self {
            content_type: property!(reader.short_string()),
            content_encoding: property!(reader.short_string()),
            headers: property!(FieldTable::read(&mut reader)),
            delivery_mode: property!(reader.u8()),
            priority: property!(reader.u8()),
            correlation_id: property!(reader.short_string()),
            reply_to: property!(reader.short_string()),
            expiration: property!(reader.short_string()),
            message_id: property!(reader.short_string()),
            timestamp: property!(reader.u64()),
            message_type: property!(reader.short_string()),
            user_id: property!(reader.short_string()),
            app_id: property!(reader.short_string()),
            cluster_id: property!(reader.short_string()),
        };
        reader.expect_end()?;
        Ok(properties)
    }

    /// Appends the property flags and the properties that are present.
    pub fn put(&self, out: &mut Vec<u8>) {
        let flags_offset = out.len();
        out.extend([0, 0]);
        let (mut flags, mut bit) = (0u16, FIRST_FLAG);
        let mut flag = |present: bool| {
            flags |= if present { bit } else { 0 };
            bit >>= 1;
        };
        macro_rules! short_strings {
            ($($field:expr),*) => { $(
                flag($field.is_some());
                if let Some(text) = $field { put_short_string(out, text); }
            )* };
        }
        short_strings!(self.content_type, self.content_encoding);
        flag(self.headers.is_some());
        if let Some(headers) = self.headers {
            headers.put(out);
        }
        for byte in [self.delivery_mode, self.priority] {
            flag(byte.is_some());
            out.extend(byte);
        }
        short_strings!(self.correlation_id, self.reply_to, self.expiration, self.message_id);
        flag(self.timestamp.is_some());
        if let Some(timestamp) = self.timestamp {
            out.extend_from_slice(&timestamp.to_be_bytes());
        }
        short_strings!(self.message_type, self.user_id, self.app_id, self.cluster_id);
        out[flags_offset..flags_offset + 2].copy_from_slice(&flags.to_be_bytes());
    }

    /// Returns the value of the first header called `name`.
    pub fn header(&self, name: &str) -> Option<FieldValue<'a>> {
        self.headers?.get(name)
    }
}
