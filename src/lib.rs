//! Admission and scheduling for a server that sees only what reaches it. See `controller` for the calls.

pub mod book;
pub mod config;
pub mod controller;
pub mod decision;
pub mod guidance;
pub mod ids;
pub mod pcg;
pub mod time;

pub use book::Outcome;
pub use config::catalog::Catalog;
pub use config::change::Change;
pub use config::error::ConfigError;
pub use config::flat_settings::{FlatSettings, SettingValue};
pub use config::request_class::{Idempotency, RequestClass};
pub use config::settings::ControllerSettings;
pub use config::tenant::Tenant;
pub use controller::{AdmissionController, NewRequest};
pub use decision::Decision;
pub use guidance::{FleetGuidance, GuidanceKey};
pub use ids::{ClientId, RequestClassId, RequestId, SessionKey, TenantId};
pub use time::{Duration, Timeline, Timestamp};
