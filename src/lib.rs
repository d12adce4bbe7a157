//! Admission control and scheduling for one server behind load balancers that it does not control.
//!
//! The crate takes decisions and does no I/O: see [`AdmissionController`] for the calls and docs/design.md
//! for the rules. The modules with policies import only the data modules (`request`, `request_table`,
//! `statistics`); `controller` calls the policies.

mod admission;
mod arrivals;
mod candidates;
pub mod config;
pub mod controller;
pub mod decision;
mod dependency;
pub mod event;
pub mod gauges;
pub mod guidance;
mod idempotency;
mod idle_connections;
pub mod ids;
pub mod last_seen;
pub mod load_signal;
mod memory;
pub mod outcome;
pub mod pcg;
pub mod recently_seen;
pub mod rejection;
pub mod request;
mod request_table;
mod request_totals;
mod retry_after;
mod scheduling;
mod shutdown;
mod statistics;
mod tenant_quota;
pub mod time;

pub use config::catalog::Catalog;
pub use config::change::Change;
pub use config::error::ConfigError;
pub use config::flat_settings::{FlatSettings, SettingValue};
pub use config::request_class::{Idempotency, RequestClass};
pub use config::settings::ControllerSettings;
pub use config::tenant::Tenant;
pub use controller::AdmissionController;
pub use decision::Decision;
pub use event::{ControllerEvent, CycleFigures};
pub use gauges::RuntimeGauges;
pub use guidance::{FleetGuidance, GuidanceKey};
pub use ids::{ClientId, RequestClassId, RequestId, SessionKey, TenantId};
pub use load_signal::LoadReport;
pub use outcome::Outcome;
pub use rejection::RejectionReason;
pub use request::NewRequest;
pub use time::{Duration, Timeline, Timestamp};
