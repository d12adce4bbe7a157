//! The properties in a content header of class `basic`.

use crate::error::DecodeError;
use crate::table::{FieldTable, FieldValue};
use crate::wire::{WireReader, put_short_string};

/// Number of properties of class `basic`.
const PROPERTY_COUNT: u32 = 14;
/// Flag of the first property.
const FIRST_FLAG: u16 = 0x8000;
/// Flags that no property of class `basic` uses.
const UNUSED_FLAGS: u16 = 0b11;

/// The properties of a message, in the order of the wire; an absent one is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Properties<'a> {
    /// MIME type of the body.
    pub content_type: Option<&'a str>,
    /// MIME encoding of the body.
    pub content_encoding: Option<&'a str>,
    /// Headers of the application.
    pub headers: Option<FieldTable<'a>>,
    /// 1 for transient messages, 2 for persistent ones.
    pub delivery_mode: Option<u8>,
    /// Priority from 0 to 9.
    pub priority: Option<u8>,
    /// Message-id of the request that a reply answers.
    pub correlation_id: Option<&'a str>,
    /// Queue to send the reply to.
    pub reply_to: Option<&'a str>,
    /// Time to live in milliseconds, as text.
    pub expiration: Option<&'a str>,
    /// Identifier that the publisher chose.
    pub message_id: Option<&'a str>,
    /// When it was published, in seconds since 1970.
    pub timestamp: Option<u64>,
    /// Type that the publisher chose.
    pub message_type: Option<&'a str>,
    /// User that published the message.
    pub user_id: Option<&'a str>,
    /// Application that published the message.
    pub app_id: Option<&'a str>,
    /// Reserved.
    pub cluster_id: Option<&'a str>,
}

impl<'a> Properties<'a> {
    /// Reads the flags and the properties that they announce, up to the end of `bytes`.
    ///
    /// # Errors
    /// Returns what cannot be decoded.
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

    /// Appends the flags and the properties.
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

    /// The first header of this name.
    pub fn header(&self, name: &str) -> Option<FieldValue<'a>> {
        self.headers?.get(name)
    }
}
