//! What a request needs to run, and who hears of this server.

pub mod control;
pub mod exchange;
pub mod ledger;
pub mod peers;
pub mod runtime;
