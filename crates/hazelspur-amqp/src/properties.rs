//! The properties in a content header of class `basic`.

use crate::table::Table;
use crate::wire::{Malformed, Wire, put_short_text};

/// Absent ones are `None`; the order is the wire's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Properties<'a> {
    pub content_type: Option<&'a str>,
    pub content_encoding: Option<&'a str>,
    pub headers: Option<Table<'a>>,
    pub delivery_mode: Option<u8>,
    pub priority: Option<u8>,
    pub correlation_id: Option<&'a str>,
    pub reply_to: Option<&'a str>,
    /// Milliseconds, as text.
    pub expiration: Option<&'a str>,
    pub message_id: Option<&'a str>,
    /// Whole seconds since 1970.
    pub timestamp: Option<u64>,
    pub kind: Option<&'a str>,
    pub user_id: Option<&'a str>,
    pub app_id: Option<&'a str>,
    pub cluster_id: Option<&'a str>,
}

impl<'a> Properties<'a> {
    /// Reads the flags and what they announce; there must be nothing behind it.
    pub fn read(bytes: &'a [u8]) -> Result<Self, Malformed> {
        let mut wire = Wire(bytes);
        let flags = wire.u16()?;
        if flags & 0b11 != 0 {
            return Err(Malformed("unknown property flags"));
        }
        let mut has = (0..14).map(|bit| flags & (0x8000 >> bit) != 0);
        let mut next = || has.next().unwrap_or(false);
        macro_rules! property {
            ($read:expr) => {
                if next() { Some($read?) } else { None }
            };
        }
        let properties = Self {
            content_type: property!(wire.short_text()),
            content_encoding: property!(wire.short_text()),
            headers: property!(Table::read(&mut wire)),
            delivery_mode: property!(wire.u8()),
            priority: property!(wire.u8()),
            correlation_id: property!(wire.short_text()),
            reply_to: property!(wire.short_text()),
            expiration: property!(wire.short_text()),
            message_id: property!(wire.short_text()),
            timestamp: property!(wire.u64()),
            kind: property!(wire.short_text()),
            user_id: property!(wire.short_text()),
            app_id: property!(wire.short_text()),
            cluster_id: property!(wire.short_text()),
        };
        wire.end()?;
        Ok(properties)
    }

    pub fn put(&self, out: &mut Vec<u8>) {
        let at = out.len();
        out.extend([0, 0]);
        let (mut flags, mut bit) = (0u16, 0x8000u16);
        let mut note = |there: bool| {
            flags |= if there { bit } else { 0 };
            bit >>= 1;
        };
        macro_rules! texts {
            ($($field:expr),*) => { $(
                note($field.is_some());
                if let Some(text) = $field { put_short_text(out, text); }
            )* };
        }
        texts!(self.content_type, self.content_encoding);
        note(self.headers.is_some());
        if let Some(headers) = self.headers {
            headers.put(out);
        }
        for byte in [self.delivery_mode, self.priority] {
            note(byte.is_some());
            out.extend(byte);
        }
        texts!(self.correlation_id, self.reply_to, self.expiration, self.message_id);
        note(self.timestamp.is_some());
        if let Some(timestamp) = self.timestamp {
            out.extend_from_slice(&timestamp.to_be_bytes());
        }
        texts!(self.kind, self.user_id, self.app_id, self.cluster_id);
        out[at..at + 2].copy_from_slice(&flags.to_be_bytes());
    }

    pub fn header(&self, name: &str) -> Option<crate::Field<'a>> {
        self.headers?.get(name)
    }
}
