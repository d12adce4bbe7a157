//! The two kinds of entries that the settings list: their keys and how many of each may stand in a file.

/// The most request classes in a configuration: twice the routes that the fleet is to have in two years.
pub const MAX_REQUEST_CLASSES: usize = 17_400;
/// The most tenants in a configuration: twice the tenants of the fleet.
pub const MAX_TENANTS: usize = 84_000;

/// A table of entries in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// Request classes: `lanes` on the wire.
    RequestClasses,
    /// Tenants: `orgs` on the wire.
    Tenants,
}

impl EntryKind {
    /// Both kinds, in the order in which they are read.
    pub const ALL: [Self; 2] = [Self::RequestClasses, Self::Tenants];

    /// The table's key in the settings file.
    pub fn wire_key(self) -> &'static str {
        match self {
            Self::RequestClasses => "lanes",
            Self::Tenants => "orgs",
        }
    }

    /// The first part of the dotted keys that error texts name.
    pub fn dotted_key(self) -> &'static str {
        match self {
            Self::RequestClasses => "op_types",
            Self::Tenants => "tenants",
        }
    }

    /// The kind that a first part of a dotted key stands for.
    pub fn from_dotted_key(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.dotted_key() == key)
    }

    /// The most entries of this kind in a configuration.
    pub fn max_count(self) -> usize {
        match self {
            Self::RequestClasses => MAX_REQUEST_CLASSES,
            Self::Tenants => MAX_TENANTS,
        }
    }

    /// The kind's name in the text of `ConfigError::MissingEntry`.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::RequestClasses => "OpTypes",
            Self::Tenants => "Tenants",
        }
    }
}
