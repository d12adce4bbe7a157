//! The installation's key.

use thiserror::Error;

/// Shortest text of a key, in bytes.
const MIN_TEXT_BYTES: usize = 16;
/// Longest text of a key, in bytes.
const MAX_TEXT_BYTES: usize = 4096;
/// Context of BLAKE3's key derivation; part of the wire format.
const DERIVATION_CONTEXT: &str = "hazelspur fleet 1: datagrams among servers";
/// Length of a derived key, in bytes.
const KEY_BYTES: usize = 32;

/// The installation's key, derived from the text of a key file.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

/// Why a text is no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is shorter than the minimum.
    #[error("shorter than {MIN_TEXT_BYTES} characters")]
    TooShort,
    /// The text is longer than the maximum.
    #[error("longer than {MAX_TEXT_BYTES} characters")]
    TooLong,
}

impl Key {
    /// Derives the key from a text of 16 to 4096 bytes, without the blanks at both ends.
    ///
    /// # Errors
    /// `KeyError` where the text is too short or too long.
    pub fn from_text(text: &str) -> Result<Self, KeyError> {
        let text = text.trim();
        if text.len() < MIN_TEXT_BYTES {
            return Err(KeyError::TooShort);
        }
        if text.len() > MAX_TEXT_BYTES {
            return Err(KeyError::TooLong);
        }
        Ok(Self(blake3::derive_key(DERIVATION_CONTEXT, text.as_bytes())))
    }

    pub(super) fn hash(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}
