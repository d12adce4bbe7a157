//! Why settings, or a change of them, are refused. Operators and tests read the texts: each names the key at fault.

use crate::config::entry_kind::EntryKind;
use thiserror::Error;

/// A fault of the settings or of a change; nothing of what was read applies.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// A number is not finite, or negative or zero where it must not be.
    #[error("setting {key} is absurd: {value}")]
    OutOfRange {
        /// The dotted key.
        key: String,
        /// The refused number.
        value: f64,
    },
    /// A text stands where a number must.
    #[error("setting {key} is no number")]
    NotANumber {
        /// The dotted key.
        key: String,
    },
    /// A key that has no default is absent.
    #[error("setting {key} is missing")]
    MissingKey {
        /// The dotted key.
        key: String,
    },
    /// A word is none of those that the key may have.
    #[error("setting {key} is not known: {value}")]
    UnknownValue {
        /// The dotted key.
        key: String,
        /// The refused word.
        value: String,
    },
    /// The name of an entry is too long.
    #[error("setting {key} has {bytes} bytes, {max_bytes} at most")]
    NameTooLong {
        /// The dotted key of the name.
        key: String,
        /// Length of the name.
        bytes: usize,
        /// Length that a name may have.
        max_bytes: usize,
    },
    /// Two entries of one table have the same name.
    #[error("settings.{}: {name}: named twice", table.wire_key())]
    DuplicateName {
        /// The table of both.
        table: EntryKind,
        /// Their name.
        name: String,
    },
    /// The indexes of a table leave one out.
    #[error("settings: entry {index} of {} is missing", table.label())]
    MissingEntry {
        /// The table.
        table: EntryKind,
        /// The first index that is absent.
        index: usize,
    },
    /// A table stands twice in the settings.
    #[error("settings.{}: there twice", table.wire_key())]
    DuplicateTable {
        /// The table.
        table: EntryKind,
    },
    /// A table has too many entries.
    #[error("settings.{}: {count}, {max} at most", table.wire_key())]
    TooManyEntries {
        /// The table.
        table: EntryKind,
        /// Entries that it would have.
        count: usize,
        /// Entries that it may have.
        max: usize,
    },
    /// An object of the settings has too many keys.
    #[error("{path}: {count} figures, {max} at most")]
    TooManyKeys {
        /// Where the object stands in the file.
        path: String,
        /// Keys that it has.
        count: usize,
        /// Keys that it may have.
        max: usize,
    },
    /// The settings have too many keys beside their tables.
    #[error("settings: {count} figures beside op types and tenants, {max} at most")]
    TooManySettings {
        /// Keys that they have.
        count: usize,
        /// Keys that they may have.
        max: usize,
    },
    /// An entry of a newer file has a key that nothing here reads and that no entry had at the start.
    #[error("settings: {key}: an unknown key, not there at the start")]
    UnknownEntryKey {
        /// The dotted key, without the entry's index.
        key: String,
    },
    /// A newer file differs in too many entries and keys; reading stopped there.
    #[error("settings: more than {max} differences, the most of one change")]
    TooManyDifferences {
        /// Edits that a change may have.
        max: usize,
    },
    /// A change has too many edits.
    #[error("settings: {count} differences, {max} at most in one change")]
    ChangeTooLarge {
        /// Edits that it has.
        count: usize,
        /// Edits that it may have.
        max: usize,
    },
    /// A change edits a setting to a value that no file may have.
    #[error("settings: {0}")]
    InvalidSetting(Box<ConfigError>),
    /// A change edits a setting that only a restart applies.
    #[error("settings: {key}: waits for the next start")]
    NeedsRestart {
        /// The dotted key.
        key: String,
    },
    /// A change would make a request class unsafe while keys of its requests are stored.
    #[error("settings: op_types.{request_class}.{key}: {conflict}; waits for the next start")]
    UnsafeRequestClass {
        /// Name of the request class.
        request_class: String,
        /// The key that may not have its new value.
        key: &'static str,
        /// Why it may not.
        conflict: KeyConflict,
    },
    /// Too many request classes with stored idempotency keys were removed lately.
    #[error("settings: op_types.{request_class}: {max} keyed ones went lately, the most")]
    TooManyRemovedClasses {
        /// Name of the request class that can't be removed now.
        request_class: String,
        /// Removed classes that are remembered.
        max: usize,
    },
    /// A change edits an entry that has no name.
    #[error("settings.{}: an entry without a name can't change in place", table.wire_key())]
    UnnamedEntry {
        /// Its table.
        table: EntryKind,
    },
    /// An edit has no name, one that is too long, or stands twice in the change.
    #[error("settings.{}: {name}: no name, one over {max_bytes} bytes, or edited twice", table.wire_key())]
    InvalidEdit {
        /// The table of the edited entry.
        table: EntryKind,
        /// Name of the entry.
        name: String,
        /// Length that a name may have.
        max_bytes: usize,
    },
    /// A change removes an entry that is not in force.
    #[error("settings.{}: {name}: is not there to go", table.wire_key())]
    RemovesAbsentEntry {
        /// The table.
        table: EntryKind,
        /// Name of the entry.
        name: String,
    },
    /// A change removes every entry of a table: the file is probably that of another installation.
    #[error("settings.{}: none of those in force is left: another installation's file", table.wire_key())]
    RemovesAllEntries {
        /// The table.
        table: EntryKind,
    },
    /// The tenant of requests that name none would not be in force.
    #[error("settings.orgs: {name}: the first tenant is none")]
    UnknownDefaultTenant {
        /// Name of the tenant.
        name: String,
    },
}

/// Why a request class with stored idempotency keys may not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyConflict {
    /// Results are stored for no longer than the longest request timeout of the start.
    #[error("keys are kept for no longer than the start's waits")]
    TimeoutExceedsRetention,
    /// The class would no longer look keys up, so that a retry would run a second time.
    #[error("its keys are kept, a repeat would run again")]
    KeysNoLongerChecked,
    /// The deduplication window would be shorter than that of the stored keys.
    #[error("shorter than that of ops whose keys are kept")]
    WindowTooShort,
}
