//! One type for each kind of id.

use std::fmt;

/// The characters a front hands over for a request, 36 or fewer, given back unchanged.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId([u8; 36]);

impl RequestId {
    pub fn parse(text: &str) -> Option<Self> {
        text.as_bytes().try_into().ok().map(Self)
    }

    /// A shorter id, filled up with blanks that are not shown again.
    pub fn padded(text: &str) -> Option<Self> {
        let fits = text.len() <= 36 && !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
        let mut id = [b' '; 36];
        fits.then(|| id[..text.len()].copy_from_slice(text.as_bytes())).map(|()| Self(id))
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

/// Who or what a request is about, as a 64-bit FNV-1a hash of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SessionKey(u64);

impl SessionKey {
    pub fn of(text: &str) -> Self {
        let mix = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        Self(text.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, mix))
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestClassId(pub usize);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);
