//! The installation's key, with which servers authenticate their datagrams.

use thiserror::Error;

/// Minimum length of the text of a key, in bytes.
const MIN_TEXT_BYTES: usize = 16;
/// Maximum length of the text of a key, in bytes.
const MAX_TEXT_BYTES: usize = 4096;
/// Context of BLAKE3's key derivation. It determines the key and is thus part of the wire format.
const DERIVATION_CONTEXT: &str = "hazelspur fleet 1: datagrams among servers";
/// Length of a derived key, in bytes.
const KEY_BYTES: usize = 32;

/// The installation's key, derived from the text of a key file.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

/// The reason to reject the text of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is shorter than the minimum.
    #[error("key is shorter than {MIN_TEXT_BYTES} bytes")]
    TooShort,
    /// The text is longer than the maximum.
    #[error("key is longer than {MAX_TEXT_BYTES} bytes")]
    TooLong,
}

impl Key {
    /// Derives the key from a text of 16 to 4096 bytes. White space at both ends is ignored.
    ///
    /// # Errors
    /// Returns a `KeyError` if the text is too short or too long.
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
