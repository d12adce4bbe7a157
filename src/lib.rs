//! Admission and scheduling for a server that sees only what reaches it. See `logic` for the calls.

pub mod book;
pub mod catalog;
pub mod change;
pub mod decision;
pub mod facts;
pub mod ids;
pub mod logic;
pub mod pcg;
pub mod time;

pub use book::Outcome;
pub use catalog::{Catalog, OpType, Repeats, Tenant};
pub use change::Change;
pub use decision::Decision;
pub use facts::{Fact, Facts};
pub use ids::{CallerId, OpId, OpTypeId, TenantId, UserKey};
pub use logic::Logic;
pub use time::{Moment, Span, Timeline};
