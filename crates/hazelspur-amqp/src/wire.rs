//! Integers and strings on the wire: network byte order, every length checked before it is used.

use crate::error::DecodeError;

/// Longest short string, in bytes.
const MAX_SHORT_STRING_BYTES: usize = 255;

/// Reads values from the front of a slice.
#[derive(Clone, Copy, Debug)]
pub struct WireReader<'a>(&'a [u8]);

impl<'a> WireReader<'a> {
    /// Creates a reader of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    /// The bytes that are not read yet.
    pub fn remaining(&self) -> &'a [u8] {
        self.0
    }

    /// Reads this many bytes.
    ///
    /// # Errors
    /// `TooShort` where fewer are left.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(DecodeError::TooShort)?;
        self.0 = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (taken, rest) = self.0.split_first_chunk().ok_or(DecodeError::TooShort)?;
        self.0 = rest;
        Ok(*taken)
    }

    /// Reads an octet.
    ///
    /// # Errors
    /// `TooShort`.
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        self.array().map(|[byte]| byte)
    }

    /// Reads a short integer.
    ///
    /// # Errors
    /// `TooShort`.
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }

    /// Reads a long integer.
    ///
    /// # Errors
    /// `TooShort`.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    /// Reads a long long integer.
    ///
    /// # Errors
    /// `TooShort`.
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    /// Reads a short string: at most 255 bytes of UTF-8.
    ///
    /// # Errors
    /// `TooShort` or `InvalidUtf8`.
    pub fn short_string(&mut self) -> Result<&'a str, DecodeError> {
        let length = usize::from(self.u8()?);
        std::str::from_utf8(self.bytes(length)?).map_err(|_| DecodeError::InvalidUtf8)
    }

    /// Reads a long string: a length of 32 bits and its bytes. Nothing is allocated for the length.
    ///
    /// # Errors
    /// `TooShort`.
    pub fn long_string(&mut self) -> Result<&'a [u8], DecodeError> {
        let length = self.u32()?;
        self.bytes(length as usize)
    }

    /// Checks that all bytes are read.
    ///
    /// # Errors
    /// `TrailingBytes`.
    pub fn expect_end(&self) -> Result<(), DecodeError> {
        if self.0.is_empty() { Ok(()) } else { Err(DecodeError::TrailingBytes) }
    }
}

/// Writes a short string, truncated to 255 bytes at a character boundary.
pub fn put_short_string(out: &mut Vec<u8>, text: &str) {
    let max_length = text.len().min(MAX_SHORT_STRING_BYTES);
    let length = (0..=max_length).rev().find(|index| text.is_char_boundary(*index)).unwrap_or(0);
    out.push(length as u8);
    out.extend_from_slice(&text.as_bytes()[..length]);
}

/// Writes a long string.
pub fn put_long_string(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}
