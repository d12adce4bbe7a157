//! Errors of the settings and of changes to them. The texts are read by operators; each names the key or
//! table at fault.

use crate::config::entry_kind::EntryKind;
use thiserror::Error;

/// An error in the settings or in a change to them. Settings or changes with an error apply in no part.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// A number is not finite, or negative or zero where it must not be.
    #[error("setting {key} is out of range: {value}")]
    OutOfRange {
        /// Dotted key.
        key: String,
        /// Rejected number.
        value: f64,
    },
    /// A key that needs a number has a text.
    #[error("setting {key} is not a number")]
    NotANumber {
        /// Dotted key.
        key: String,
    },
    /// A required key is absent.
    #[error("setting {key} is missing")]
    MissingKey {
        /// Dotted key.
        key: String,
    },
    /// A text is none of the values that the key may have.
    #[error("setting {key} has an unknown value: {value}")]
    UnknownValue {
        /// Dotted key.
        key: String,
        /// Rejected value.
        value: String,
    },
    /// The name of a request class or tenant is too long.
    #[error("setting {key} is too long: {bytes} bytes, at most {max_bytes} allowed")]
    NameTooLong {
        /// Dotted key of the name.
        key: String,
        /// Length of the name in bytes.
        bytes: usize,
        /// Maximum length of a name in bytes.
        max_bytes: usize,
    },
    /// Two entries of one table have the same name.
    #[error("settings.{}: duplicate name {name}", table.wire_key())]
    DuplicateName {
        /// Table of both entries.
        table: EntryKind,
        /// Name of both entries.
        name: String,
    },
    /// The indexes of a table's entries are not contiguous from zero.
    #[error("settings: entry {index} of {} is missing", table.label())]
    MissingEntry {
        /// Table of the entries.
        table: EntryKind,
        /// First index that is absent.
        index: usize,
    },
    /// A table appears twice in the settings.
    #[error("settings.{}: the table appears twice", table.wire_key())]
    DuplicateTable {
        /// Table of the entries.
        table: EntryKind,
    },
    /// A table has too many entries.
    #[error("settings.{}: {count} entries, at most {max} allowed", table.wire_key())]
    TooManyEntries {
        /// Table of the entries.
        table: EntryKind,
        /// Number of entries that the table would have.
        count: usize,
        /// Maximum number of entries in the table.
        max: usize,
    },
    /// An object of the settings has too many keys.
    #[error("{path}: {count} keys, at most {max} allowed")]
    TooManyKeys {
        /// Path of the object in the file.
        path: String,
        /// Number of keys found.
        count: usize,
        /// Maximum number of keys.
        max: usize,
    },
    /// The settings have too many keys other than request classes and tenants.
    #[error("settings: {count} keys beside op types and tenants, at most {max} allowed")]
    TooManySettings {
        /// Number of keys found.
        count: usize,
        /// Maximum number of keys.
        max: usize,
    },
    /// An entry of a newer file has an unknown key that no entry had at the start.
    #[error("settings: {key}: unknown key, absent at the start")]
    UnknownEntryKey {
        /// Dotted key without the entry's index.
        key: String,
    },
    /// A newer file differs in too many entries and keys. Reading stopped at the first one too many.
    #[error("settings: more than {max} differences, the maximum of one change")]
    TooManyDifferences {
        /// Maximum number of edits in a change.
        max: usize,
    },
    /// A change has too many edits.
    #[error("settings: {count} differences, at most {max} allowed in one change")]
    ChangeTooLarge {
        /// Number of edits in the change.
        count: usize,
        /// Maximum number of edits in a change.
        max: usize,
    },
    /// A change gives a setting an invalid value.
    #[error("settings: {0}")]
    InvalidSetting(Box<ConfigError>),
    /// A change edits a setting that can change only with a restart.
    #[error("settings: {key}: the change requires a restart")]
    NeedsRestart {
        /// Dotted key.
        key: String,
    },
    /// A change could make retries of a request class run twice while idempotency keys of its requests are
    /// stored.
    #[error("settings: op_types.{request_class}.{key}: {conflict}; the change requires a restart")]
    UnsafeRequestClass {
        /// Name of the request class.
        request_class: String,
        /// Key whose new value is unsafe.
        key: &'static str,
        /// Reason why the new value is unsafe.
        conflict: KeyConflict,
    },
    /// A change removes a request class while too many removed classes still have stored idempotency keys.
    #[error("settings: op_types.{request_class}: keys of {max} removed classes are stored, the maximum")]
    TooManyRemovedClasses {
        /// Name of the request class that can't be removed now.
        request_class: String,
        /// Maximum number of removed classes with stored keys.
        max: usize,
    },
    /// A change edits an entry without a name.
    #[error("settings.{}: an entry without a name can change only with a restart", table.wire_key())]
    UnnamedEntry {
        /// Table of the entry.
        table: EntryKind,
    },
    /// An edit has an empty name, one that is too long, or one that another edit of the change has.
    #[error("settings.{}: name '{name}' is empty, over {max_bytes} bytes or edited twice", table.wire_key())]
    InvalidEdit {
        /// Table of the edited entry.
        table: EntryKind,
        /// Name of the edited entry.
        name: String,
        /// Maximum length of a name in bytes.
        max_bytes: usize,
    },
    /// A change removes an entry that is not in force.
    #[error("settings.{}: {name} cannot be removed: it is not in force", table.wire_key())]
    RemovesAbsentEntry {
        /// Table of the entries.
        table: EntryKind,
        /// Name of the entry.
        name: String,
    },
    /// A change removes every entry in force of a table. The file is probably another installation's.
    #[error("settings.{}: no entry in force is left; likely another installation's file", table.wire_key())]
    RemovesAllEntries {
        /// Table of the entries.
        table: EntryKind,
    },
    /// The new default tenant would not be in force after the change.
    #[error("settings.orgs: default tenant {name} is not in force")]
    UnknownDefaultTenant {
        /// Name of the tenant.
        name: String,
    },
}

/// The reason why a request class with idempotency keys may not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyConflict {
    /// The request timeout would exceed the longest one at the start, for which results are stored.
    #[error("longer than the longest timeout at the start, for which keys are stored")]
    TimeoutExceedsRetention,
    /// The class would no longer check stored keys, so that a retry would run a second time.
    #[error("keys of its requests are still stored, and a retry would run again")]
    KeysNoLongerChecked,
    /// The deduplication window would be shorter than that of the stored keys.
    #[error("shorter than the window of keys that are still stored")]
    WindowTooShort,
}
