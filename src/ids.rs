//! Ids of requests, sessions, request classes, tenants and clients, one type for each.

use std::fmt;

/// Length of a request id in bytes.
const REQUEST_ID_LENGTH: usize = 36;
/// Byte that pads shorter request ids to `REQUEST_ID_LENGTH`.
const REQUEST_ID_PADDING: u8 = b' ';
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The id of a request, up to 36 characters, as received from an ingress and shown unchanged.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId([u8; REQUEST_ID_LENGTH]);

impl RequestId {
    /// Returns the id with this text of exactly 36 bytes; `None` for any other length.
    pub fn parse(text: &str) -> Option<Self> {
        text.as_bytes().try_into().ok().map(Self)
    }

    /// Returns the id with this text of 1 to 36 graphic ASCII characters; `None` for any other text. The id
    /// is padded with spaces that are not shown.
    pub fn padded(text: &str) -> Option<Self> {
        let is_length_allowed = (1..=REQUEST_ID_LENGTH).contains(&text.len());
        if !is_length_allowed || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return None;
        }
        let mut id = [REQUEST_ID_PADDING; REQUEST_ID_LENGTH];
        id[..text.len()].copy_from_slice(text.as_bytes());
        Some(Self(id))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(std::str::from_utf8(&self.0).unwrap_or("?").trim_end_matches(' '))
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The key of a session: a 64-bit FNV-1a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionKey(u64);

impl SessionKey {
    /// Returns the key of the session with this name.
    pub fn of(name: &str) -> Self {
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        Self(name.bytes().fold(FNV_OFFSET_BASIS, mix))
    }
}

/// The id of a request class in the catalog, never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClassId(pub usize);

/// The id of a tenant in the catalog, never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// The id of the client that sent a request: a gateway, a broker or the peer of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);
