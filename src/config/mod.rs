//! The configuration in force (typed settings, request classes and tenants) and its changes by a newer file.
//!
//! Input: entries and dotted keys that a parser has read. Output: a `Catalog`, a `Change` to it, or a
//! `ConfigError` that names the key at fault. Invariant: a change applies as a whole or not at all. No I/O.

pub mod catalog;
pub mod change;
mod change_apply;
mod change_check;
pub mod difference;
pub mod entries;
pub mod entry_kind;
pub mod error;
pub mod flat_settings;
pub mod request_class;
pub mod settings;
pub mod table;
pub mod tenant;
