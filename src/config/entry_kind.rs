//! The two kinds of entries in the settings, request classes and tenants: the keys of their tables and the
//! maximum number of each.

/// Maximum number of request classes: twice the number of routes that the fleet is expected to have in two
/// years.
pub const MAX_REQUEST_CLASSES: usize = 17_400;
/// Maximum number of tenants: twice the tenants of the fleet.
pub const MAX_TENANTS: usize = 84_000;

/// A kind of entry; each kind has a table of its own in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// Request classes, under the key `lanes` of the settings.
    RequestClasses,
    /// Tenants, under the key `orgs` of the settings.
    Tenants,
}

impl EntryKind {
    /// Both kinds, in the order in which they are read.
    pub const ALL: [Self; 2] = [Self::RequestClasses, Self::Tenants];

    /// Returns the key of the table in the settings.
    pub fn wire_key(self) -> &'static str {
        match self {
            Self::RequestClasses => "lanes",
            Self::Tenants => "orgs",
        }
    }

    /// Returns the first part of the dotted keys of this kind, as in `op_types.0.name`.
    pub fn dotted_key(self) -> &'static str {
        match self {
            Self::RequestClasses => "op_types",
            Self::Tenants => "tenants",
        }
    }

    /// Returns the kind whose dotted keys start with this part.
    pub fn from_dotted_key(key: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.dotted_key() == key)
    }

    /// Returns the maximum number of entries of this kind.
    pub fn max_count(self) -> usize {
        match self {
            Self::RequestClasses => MAX_REQUEST_CLASSES,
            Self::Tenants => MAX_TENANTS,
        }
    }

    /// Returns the name of the kind in the text of `ConfigError::MissingEntry`.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::RequestClasses => "OpTypes",
            Self::Tenants => "Tenants",
        }
    }
}
