//! Decoding and encoding of integers and strings in network byte order. Every length is checked against the
//! bytes that are left before it is used.

use crate::error::DecodeError;

/// Maximum length of a short string, in bytes: its length is a single octet.
const MAX_SHORT_STRING_BYTES: usize = 255;

/// Reader of encoded values that advances through a byte slice.
#[derive(Clone, Copy, Debug)]
pub struct WireReader<'a>(&'a [u8]);

impl<'a> WireReader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes that have not been read yet.
    pub fn remaining(&self) -> &'a [u8] {
        self.0
    }

    /// Reads `count` bytes.
    ///
    /// # Errors
    /// `TooShort` if fewer bytes are left.
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

    /// Reads an octet (8 bits).
    ///
    /// # Errors
    /// `TooShort` if fewer bytes are left.
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        self.array().map(|[byte]| byte)
    }

    /// Reads a short integer (16 bits).
    ///
    /// # Errors
    /// `TooShort` if fewer bytes are left.
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }

    /// Reads a long integer (32 bits).
    ///
    /// # Errors
    /// `TooShort` if fewer bytes are left.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    /// Reads a long-long integer (64 bits).
    ///
    /// # Errors
    /// `TooShort` if fewer bytes are left.
    pub fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    /// Reads a short string: a length octet and at most 255 bytes of UTF-8.
    ///
    /// # Errors
    /// `TooShort` if fewer bytes are left than the length says; `InvalidUtf8` if they are not valid UTF-8.
    pub fn short_string(&mut self) -> Result<&'a str, DecodeError> {
        let length = usize::from(self.u8()?);
        std::str::from_utf8(self.bytes(length)?).map_err(|_| DecodeError::InvalidUtf8)
    }

    /// Reads a long string: a length of 32 bits and that many bytes, which are borrowed. A false length
    /// therefore causes no allocation.
    ///
    /// # Errors
    /// `TooShort` if fewer bytes are left.
    pub fn long_string(&mut self) -> Result<&'a [u8], DecodeError> {
        let length = self.u32()?;
        self.bytes(length as usize)
    }

    /// Checks that all bytes have been read.
    ///
    /// # Errors
    /// `TrailingBytes` if some are left.
    pub fn expect_end(&self) -> Result<(), DecodeError> {
        if self.0.is_empty() { Ok(()) } else { Err(DecodeError::TrailingBytes) }
    }
}

/// Appends a short string: a length octet and the text, truncated to 255 bytes at a character boundary.
pub fn put_short_string(out: &mut Vec<u8>, text: &str) {
    let max_length = text.len().min(MAX_SHORT_STRING_BYTES);
    let length = (0..=max_length).rev().find(|index| text.is_char_boundary(*index)).unwrap_or(0);
    out.push(length as u8);
    out.extend_from_slice(&text.as_bytes()[..length]);
}

/// Appends a long string: a length of 32 bits and the bytes.
pub fn put_long_string(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}
