//! Names and numbers of members, one type for each kind. Names are short texts stored inline, so that a table
//! of thousands of members is copied and compared without allocation.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Length of the longest name, in bytes.
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
            /// 1 to 31 visible ASCII characters; `None` for anything else.
            pub fn new(text: &str) -> Option<Self> {
                let has_valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
                let is_visible = text.bytes().all(|b| b.is_ascii_graphic());
                let mut bytes = [0; MAX_NAME_BYTES];
                (has_valid_length && is_visible).then(|| {
                    bytes[..text.len()].copy_from_slice(text.as_bytes());
                    Self { text: bytes, length: text.len() as u8 }
                })
            }

            /// The name as text.
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
    /// A server's name, the same after a restart.
    MemberName
);
name!(
    /// A failure domain: a zone, a hall, a rack.
    SiteName
);
name!(
    /// A limit that all servers share: slots of a dependency, a tenant's rate, exclusive turns.
    LimitName
);
name!(
    /// The name of all servers that belong together; datagrams of other installations are dropped.
    Installation
);

/// One run of a process: the wall clock at its start in Unix milliseconds, or one more than the greatest
/// generation that was heard under its name. Greater is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// SWIM's incarnation number: how often a member has refuted a suspicion within a generation. Only the member
/// itself raises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

/// One run of a process, by the server's name and the generation of its start. Not SWIM's incarnation number,
/// which a member raises several times within one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessIncarnation {
    /// The server's name.
    pub name: MemberName,
    /// The generation of this run.
    pub generation: Generation,
}
