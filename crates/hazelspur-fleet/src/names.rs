//! Names and numbers of members, one type for each kind. Names are short texts held in place: a table of some
//! thousand members is copied and compared without allocating.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// The longest name, in bytes.
pub const LONGEST_NAME: usize = 31;

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $type {
            text: [u8; LONGEST_NAME],
            length: u8,
        }

        impl $type {
            /// 1 to 31 visible ASCII characters; `None` for anything else.
            pub fn new(text: &str) -> Option<Self> {
                let fits = (1..=LONGEST_NAME).contains(&text.len());
                let visible = text.bytes().all(|b| b.is_ascii_graphic());
                let mut bytes = [0; LONGEST_NAME];
                (fits && visible).then(|| {
                    bytes[..text.len()].copy_from_slice(text.as_bytes());
                    Self { text: bytes, length: text.len() as u8 }
                })
            }

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
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.serialize_str(self.as_str())
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                struct Reader;
                impl serde::de::Visitor<'_> for Reader {
                    type Value = $type;
                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        write!(f, "a name of 1 to {LONGEST_NAME} visible ASCII characters")
                    }
                    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<$type, E> {
                        $type::new(text).ok_or_else(|| E::invalid_value(serde::de::Unexpected::Str(text), &self))
                    }
                }
                from.deserialize_str(Reader)
            }
        }
    };
}

name!(
    /// A server's name: the same after a restart.
    MemberName
);
name!(
    /// Where servers stand and fall together: a zone, a hall, a rack.
    SiteName
);
name!(
    /// Something that all servers share and that has an end: slots of a ledger, a tenant's quota, turns.
    LimitName
);
name!(
    /// All servers that belong together; a datagram of any other installation is foreign.
    Installation
);

/// One life of a process, from its start to its end: the wall clock at its start in milliseconds, or one more
/// than the greatest that was ever heard under its name. Greater is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation(pub u64);

/// How often a member has spoken up for itself within a generation. Only the member itself raises it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

/// One run of a process, by the server's name and the generation of its start. Not SWIM's incarnation number, which a
/// member raises several times within one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessIncarnation {
    /// The server's name.
    pub name: MemberName,
    /// The generation of this run.
    pub generation: Generation,
}
