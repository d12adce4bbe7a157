//! Names and version numbers of members, one type for each kind. Names are short texts stored inline, so that
//! a table of thousands of members is copied and compared without allocation.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 31;

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        ///
        /// 1 to 31 visible ASCII characters.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type {
            text: [u8; MAX_NAME_BYTES],
            length: u8,
        }

        impl $type {
            /// Creates a name from 1 to 31 visible ASCII characters. Returns `None` for any other text.
            pub fn new(text: &str) -> Option<Self> {
                let has_valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
                let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
                let mut bytes = [0; MAX_NAME_BYTES];
                (has_valid_length && is_visible).then(|| {
                    bytes[..text.len()].copy_from_slice(text.as_bytes());
                    Self { text: bytes, length: text.len() as u8 }
                })
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                std::str::from_utf8(&self.text[..usize::from(self.length)]).unwrap_or_default()
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(self.as_str())
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct NameVisitor;
                impl serde::de::Visitor<'_> for NameVisitor {
                    type Value = $type;
                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        write!(f, "a name of 1 to {MAX_NAME_BYTES} visible ASCII characters")
                    }
                    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<$type, E> {
                        $type::new(text).ok_or_else(|| E::invalid_value(serde::de::Unexpected::Str(text), &self))
                    }
                }
                deserializer.deserialize_str(NameVisitor)
            }
        }
    };
}

name!(
    /// The name of a server. It stays the same when the server restarts.
    MemberName
);
name!(
    /// The name of a site, a group of servers that can fail together: a zone, a hall or a rack.
    SiteName
);
name!(
    /// The name of a limit that all servers share: concurrent calls of a dependency, a tenant's rate or
    /// exclusive turns.
    LimitName
);
name!(
    /// The name of an installation, the set of servers that belong together. Datagrams of other installations
    /// are dropped.
    Installation
);

/// The number of one run of a server's process. It is the wall clock at the start in Unix milliseconds, or
/// one more than the highest generation reported for the server's name. A higher number means a newer run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// SWIM's incarnation number of a member within one generation. Only the member itself raises it, each time
/// it refutes a suspicion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

/// One run of a server's process, identified by the server's name and the generation. It differs from SWIM's
/// incarnation number, which a member may raise several times within one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessIncarnation {
    /// The server's name.
    pub name: MemberName,
    /// The generation of the run.
    pub generation: Generation,
}
