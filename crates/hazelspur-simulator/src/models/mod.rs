//! What lies round the real decision modules, one place each.

pub mod cores;
pub mod gateways;
pub mod ledger;
pub mod list;
