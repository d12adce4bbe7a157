//! Bounds on concurrent runs: the limit above which the cores lose throughput, and the target that keeps the
//! cores busy.

use crate::Timestamp;
use crate::config::settings::ControllerSettings;
use crate::request::RequestState;
use crate::request_table::RequestTable;
use crate::scheduling::core_usage::CoreUsage;
use crate::scheduling::warm_up::WarmUp;

/// Running requests per core that keep the cores busy.
const TARGET_PER_CORE: f64 = 1.16;
/// Share of the tolerated concurrency that is used.
const LIMIT_SAFETY_FACTOR: f64 = 0.75;
/// Lower bound of the limit, so that the server always serves requests.
const MIN_LIMIT: f64 = 1.0;

/// Bounds on the requests that run at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Concurrency {
    /// Maximum number of started requests, including those that wait for a dependency call or its end.
    pub(crate) limit: f64,
    /// Maximum number of running requests, without those that wait for a dependency call or its end.
    pub(crate) target: f64,
}

impl Concurrency {
    /// Returns the current bounds. A warm-up lowers the limit; requests that wait for disk raise the target.
    pub(crate) fn now(
        now: Timestamp,
        cores: f64,
        settings: &ControllerSettings,
        warm_up: &WarmUp,
        usage: &CoreUsage,
    ) -> Self {
        let allowed_share = warm_up.allowed_share(now, settings);
        let per_core = 1.0 + (settings.concurrency_limit_per_core - 1.0) * allowed_share;
        let limit = (per_core * cores * LIMIT_SAFETY_FACTOR).max(MIN_LIMIT);
        let target = (cores * TARGET_PER_CORE + usage.waiting_for_disk()).min(limit);
        Self { limit, target }
    }

    /// Returns whether one more request may run.
    pub(crate) fn allows_another_run(self, requests: &RequestTable) -> bool {
        let running = requests.count(RequestState::Running);
        running + 1.0 <= self.target && requests.started_count() + 1.0 <= self.limit
    }
}
