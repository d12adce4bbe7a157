//! Connects `hazelspur_fleet` and the admission controller: passes this server's load and demand to
//! `FleetNode`, and the resulting guidance to the controller, whenever it has changed.

use crate::config::fleet_keys::{CALLS_LIMIT, TENANT_LIMIT_PREFIX};
use crate::request::dispatcher::Dispatcher;
use hazelspur::{Catalog, Duration, GuidanceKey, TenantId, Timestamp};
use hazelspur_fleet::circuit_breaker::BreakerChange;
use hazelspur_fleet::guidance::{Guidance, GuidedLimit};
use hazelspur_fleet::load_reports::{AggregatedLoad, FaultScope};
use hazelspur_fleet::node::LocalLoad;
use hazelspur_fleet::quota::{LimitId, QuotaConfig, QuotaEvent, QuotaManager, SharedLimit};
use hazelspur_fleet::{Clocks, FleetNode, LimitName};
use thiserror::Error;

/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_ms(200);
/// Ratio of a tenant's demand to its recent rate. It is above 1 so that the rate can grow.
const TENANT_DEMAND_OVER_RATE: f64 = 1.25;
/// Demand of concurrent calls until the controller knows the demand.
const INITIAL_CALL_DEMAND: f64 = 1.0;

/// The quantity that a shared limit bounds.
#[derive(Clone, Copy, PartialEq)]
enum LimitTarget {
    Calls,
    Tenant(TenantId),
}

/// A shared limit for which this server reports its demand.
struct DemandedLimit {
    name: LimitName,
    target: LimitTarget,
}

/// A shared limit that bounds nothing on this server.
#[derive(Clone, Copy, Debug, Error)]
pub enum UnknownLimitError {
    /// The name is neither `calls` nor that of a tenant.
    #[error("fleet.shares: unknown limit {0}, expected {CALLS_LIMIT} or {TENANT_LIMIT_PREFIX}NAME")]
    Unused(LimitName),
    /// The settings have no such tenant.
    #[error("fleet.shares: {0}: no such tenant in the settings")]
    NoTenant(LimitName),
}

/// Passes load and demand to the fleet, and guidance to the admission controller.
pub struct Coordinator {
    /// Whether the circuit breaker and the load reports of other servers take effect.
    coordinated: bool,
    limits: Vec<DemandedLimit>,
    guidance: Guidance,
    /// Time of the last load report.
    reported_at: Timestamp,
    /// The fault scope at the last check for a change.
    logged_scope: Option<FaultScope>,
}

impl Coordinator {
    /// Creates a coordinator for the limits of a quota configuration.
    ///
    /// # Errors
    /// Returns an `UnknownLimitError` if a limit bounds neither calls nor a tenant of the catalog.
    pub fn new(
        coordinated: bool,
        quota: Option<&QuotaConfig>,
        catalog: &Catalog,
    ) -> Result<Self, UnknownLimitError> {
        let shared_limits = quota.map_or(&[][..], |quota| &quota.limits);
        let demanded_limit = |limit: &SharedLimit| {
            Ok(DemandedLimit { name: limit.name, target: LimitTarget::find(limit.name, catalog)? })
        };
        let limits: Vec<DemandedLimit> =
            shared_limits.iter().map(demanded_limit).collect::<Result<_, _>>()?;
        let guided = limits.iter().enumerate();
        let guided =
            guided.map(|(index, limit)| GuidedLimit { limit: LimitId(index), key: limit.target.key() });
        let guidance = Guidance::new(coordinated, guided.collect());
        Ok(Self { coordinated, limits, guidance, reported_at: Timestamp::default(), logged_scope: None })
    }

    /// Reports this server's recent load, and the demand for each limit, once per report interval.
    pub fn report(&mut self, now: Clocks, dispatcher: &Dispatcher, node: &mut FleetNode) {
        if now.monotonic - self.reported_at < REPORT_INTERVAL {
            return;
        }
        self.reported_at = now.monotonic;
        let Some(report) = dispatcher.load_report() else { return };
        node.observe(
            now,
            LocalLoad { call_secs: report.call_latency_s, rejected_fraction: report.rejected_share },
        );
        for limit in &self.limits {
            let demand = match limit.target {
                LimitTarget::Calls => report.needed_call_concurrency.unwrap_or(INITIAL_CALL_DEMAND),
                LimitTarget::Tenant(tenant) => dispatcher.tenant_rate(tenant) * TENANT_DEMAND_OVER_RATE,
            };
            node.set_demand(limit.name.as_str(), demand);
        }
    }

    /// Passes changed guidance to the controller through the dispatcher, and logs changes of the circuit
    /// breaker, the fault scope and quota leases.
    ///
    /// The dispatcher also gets the guidance that applies once leases have expired. After that has taken
    /// effect, the whole guidance is sent again.
    pub fn guide(&mut self, now: Clocks, dispatcher: &Dispatcher, node: &mut FleetNode) {
        if dispatcher.is_started() {
            if dispatcher.take_leases_expired() {
                self.guidance.forget();
            }
            dispatcher.set_guidance(self.guidance.next_update(now, node));
        }
        self.log_changes(now, node);
    }

    fn log_changes(&mut self, now: Clocks, node: &mut FleetNode) {
        while let Some(change) = node.breaker.next_change() {
            log_breaker_change(change, node.breaker.probe_attempts);
        }
        if self.coordinated && self.logged_scope != Some(node.fault_scope()) {
            let previous = self.logged_scope.replace(node.fault_scope());
            if let Some(aggregated) = node.aggregated_load()
                && (previous.is_some() || node.fault_scope() != FaultScope::None)
            {
                log_fault_scope(node, &aggregated);
            }
        }
        while let Some(event) = node.quota.as_mut().and_then(QuotaManager::next_event) {
            log_quota_event(event, now, node);
        }
    }
}

impl LimitTarget {
    fn find(limit: LimitName, catalog: &Catalog) -> Result<Self, UnknownLimitError> {
        match limit.as_str().strip_prefix(TENANT_LIMIT_PREFIX) {
            None if limit.as_str() == CALLS_LIMIT => Ok(Self::Calls),
            None => Err(UnknownLimitError::Unused(limit)),
            Some(tenant) => {
                let found = catalog.find_tenant(Some(tenant));
                found.map(|(id, _)| Self::Tenant(id)).ok_or(UnknownLimitError::NoTenant(limit))
            }
        }
    }

    fn key(self) -> GuidanceKey {
        match self {
            Self::Calls => GuidanceKey::CallConcurrencyLimit,
            Self::Tenant(tenant) => GuidanceKey::TenantRate(tenant),
        }
    }
}

fn log_breaker_change(change: BreakerChange, tries: u64) {
    match change {
        BreakerChange::Opened => log::warn!(tries; "shared dependency unreachable, circuit breaker open"),
        BreakerChange::OpenedUnanswered => {
            log::warn!(tries; "shared dependency does not answer, circuit breaker open");
        }
        BreakerChange::Closed { after } => {
            log::info!(after_ms = after.us() / 1000, tries; "shared dependency reachable, circuit breaker closed");
        }
    }
}

fn log_fault_scope(node: &FleetNode, aggregated: &AggregatedLoad) {
    let own = node.load_report();
    log::info!(whose = node.fault_scope().name(), pace = own.latency_ratio,
        unreached = own.unreachable_fraction.unwrap_or(0.0),
        common_pace = aggregated.latency_ratio.unwrap_or(0.0), common_unreached = aggregated.unreachable_fraction,
        voices = aggregated.reporters, sites = aggregated.sites; "fault scope changed");
}

fn log_quota_event(event: QuotaEvent, now: Clocks, node: &FleetNode) {
    let shares = node.shares(now);
    let shares: Vec<String> =
        shares.iter().map(|share| format!("{}:{:.2}", share.limit, share.share.amount)).collect();
    let shares = shares.join(" ");
    let allocation = node.quota.as_ref().and_then(|quota| quota.allocation(now.monotonic, LimitId(0)));
    let allocation = allocation.unwrap_or_default();
    let (given, holders) = (allocation.granted, allocation.lessees);
    match event {
        QuotaEvent::StartedAllocating => log::info!(holders; "quota: this server is the allocator"),
        QuotaEvent::StoppedAllocating => {
            log::info!(given, holders; "quota: this server is no longer the allocator");
        }
        QuotaEvent::LeaseAcquired(by) => log::info!(by:%, shares; "quota lease acquired"),
        QuotaEvent::LeaseExpired => log::warn!(shares; "quota lease expired, guaranteed minimums only"),
    }
}
