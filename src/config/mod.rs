//! The configuration in force: typed settings, request classes and tenants, and the changes that a newer file makes.
//!
//! Input: entries and dotted keys that a parser has read. Output: a `Catalog`, a `Change` of it, or a `ConfigError`
//! that names the key. Invariant: a change applies whole or not at all. No I/O.

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
