//! Figures that the host reads from the controller between decisions. Reading changes no state.

use super::AdmissionController;
use crate::load_signal::{self, LoadReport};
use crate::rejection::RejectionReason;
use crate::{TenantId, Timestamp};
use std::collections::BTreeMap;

impl AdmissionController {
    /// Returns how many requests this server could hold, queued and running, and still answer within their
    /// latency objectives.
    pub fn spare_capacity(&self, now: Timestamp) -> f64 {
        let mean_objective_s = self.requests.totals().mean_latency_objective_s().unwrap_or(0.0);
        let target = self.concurrency(now).target;
        load_signal::spare_capacity(target, mean_objective_s, self.arrivals.mean_expected_run_s())
    }

    /// Returns the load report of this server to the fleet.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        let observed_s = self.arrivals.observed(now).secs();
        let arrivals_per_s = load_signal::arrivals_per_s(&self.arrivals, observed_s);
        let mean_run_s = self.profiles.mean_run_s();
        let call_latency_s = self.call_budget.usual_latency_s();
        let needed = |latency_s: f64| {
            load_signal::needed_call_concurrency(arrivals_per_s, self.cores, mean_run_s, latency_s)
        };
        LoadReport {
            needed_call_concurrency: call_latency_s.map(needed),
            call_latency_s,
            rejected_share: self.rejections.rejected_share(),
        }
    }

    /// Returns the recent request rate of a tenant with a quota, in requests per second; zero for an unknown
    /// tenant.
    pub fn tenant_rate(&self, now: Timestamp, tenant: TenantId) -> f64 {
        self.tenant_traffic.rate_per_s(now, tenant)
    }

    /// Returns the number of requests that each rule has rejected or failed since the start. Rules without
    /// any are left out.
    pub fn rejection_counts(&self) -> &BTreeMap<RejectionReason, u64> {
        self.rejections.counts()
    }

    /// Returns the number of requests that the rules have examined since the start: a measure of the cost of
    /// decisions that does not depend on the machine.
    pub fn examined_request_count(&self) -> u64 {
        self.requests.examined_count()
    }

    /// Returns the number of requests that one rule has rejected or failed since the start.
    pub fn rejection_count(&self, reason: RejectionReason) -> u64 {
        self.rejections.count_of(reason)
    }
}
