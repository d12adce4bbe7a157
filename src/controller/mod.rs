//! The admission controller: makes all admission, scheduling and dependency-call decisions of one server.
//!
//! A host builds an [`AdmissionController`] from a catalog of settings, reports events through its inputs
//! (`request_received`, `request_abandoned`, `run_finished`, `call_requested`, `call_finished`, `timer_tick`,
//! `shutdown_notice`, `set_guidance`, `apply_change`) and then calls `next_decision(now)` until it returns
//! `None`. Inputs update the state; the rules are evaluated in `next_decision`. The controller does no I/O,
//! reads no clock and is deterministic: the same inputs and seed give the same decisions. docs/design.md
//! lists the rules and gives the reasons.
//!
//! A rule that may end or admit many requests at one time finds them in one walk and then uses them up one
//! decision at a time (`Candidates`), so that a burst of requests does not cost a walk for each of them.

mod inputs;
mod reports;
mod rules;

use crate::admission::admission_rate::AdmissionRate;
use crate::admission::power_test::{MAX_CYCLE, PowerTest};
use crate::admission::sessions::ActiveSessions;
use crate::arrivals::RecentArrivals;
use crate::candidates::{CandidateScope, Candidates};
use crate::config::catalog::Catalog;
use crate::config::settings::ControllerSettings;
use crate::dependency::call_budget::CallBudget;
use crate::idempotency::StoredKeys;
use crate::idle_connections::IdleTimeout;
use crate::load_signal::AdvertisedCapacity;
use crate::pcg::Pcg;
use crate::rejection::{Rejection, RejectionHistory};
use crate::request::RequestState;
use crate::request_table::RequestTable;
use crate::scheduling::class_profile::ClassProfiles;
use crate::scheduling::core_usage::CoreUsage;
use crate::scheduling::slowdown::Slowdown;
use crate::scheduling::warm_up::WarmUp;
use crate::shutdown::Shutdown;
use crate::tenant_quota::TenantTraffic;
use crate::{ControllerEvent, Decision, FleetGuidance, RequestId, Timestamp};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Candidates of the rules that may end or admit many requests at one time.
#[derive(Clone, Debug, Default)]
struct RuleCandidates {
    expiring: Candidates<RequestId>,
    idempotency: Candidates<RequestId>,
    awaiting_admission: Candidates<RequestId>,
    without_token: Candidates<RequestId>,
    late: Candidates<Rejection>,
}

/// The controller of one server: its settings, the state of its policies and its in-flight requests.
pub struct AdmissionController {
    settings: ControllerSettings,
    guidance: FleetGuidance,
    /// Request classes, tenants and settings, shared with the host.
    catalog: Rc<RefCell<Catalog>>,
    /// Cores of the worker process at the start; a later change of the setting does not apply.
    cores: f64,
    random: Pcg,
    requests: RequestTable,
    candidates: RuleCandidates,
    /// Number of inputs received.
    input_count: u64,
    arrivals: RecentArrivals,
    rejections: RejectionHistory,
    sessions: ActiveSessions,
    power_test: PowerTest,
    admission_rate: AdmissionRate,
    profiles: ClassProfiles,
    slowdown: Slowdown,
    core_usage: CoreUsage,
    warm_up: WarmUp,
    tenant_traffic: TenantTraffic,
    call_budget: CallBudget,
    stored_keys: StoredKeys,
    shutdown: Option<Shutdown>,
    advertised_capacity: AdvertisedCapacity,
    idle_timeout: IdleTimeout,
    /// Time of the next timer tick; `None` while no timer is set.
    next_tick: Option<Timestamp>,
    /// Decisions that are already made, oldest first; they are returned before any rule is evaluated.
    pending_decisions: VecDeque<Decision>,
}

impl AdmissionController {
    /// Builds a controller with a catalog of its own; its settings say whether the server starts cold.
    pub fn new(catalog: Catalog, seed: u64, now: Timestamp) -> Self {
        let is_cold = catalog.settings().starts_cold;
        Self::with_shared_catalog(Rc::new(RefCell::new(catalog)), is_cold, seed, now)
    }

    /// Builds a controller on a catalog that the host shares. `is_cold` says whether the server warms up,
    /// whatever the settings say; `seed` seeds the jitter and the phase of the first control cycle.
    pub fn with_shared_catalog(
        catalog: Rc<RefCell<Catalog>>,
        is_cold: bool,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let settings = catalog.borrow().settings().clone();
        // Part of the first control cycle counts as past, at random: servers that start together would
        // otherwise adjust their admission rates at the same instants for ever.
        let first_cycle_began = now.saturating_sub(MAX_CYCLE.scaled(Pcg::new(!seed).draw_fraction()));
        let mut pending_decisions = VecDeque::from([Decision::SetHealth { active: true, cached: true }]);
        if is_cold {
            pending_decisions.push_back(Decision::Log(ControllerEvent::WarmingUp));
        }
        Self {
            guidance: FleetGuidance::default(),
            catalog,
            cores: settings.cores,
            random: Pcg::new(seed),
            requests: RequestTable::default(),
            candidates: RuleCandidates::default(),
            input_count: 0,
            arrivals: RecentArrivals::default(),
            rejections: RejectionHistory::default(),
            sessions: ActiveSessions::default(),
            power_test: PowerTest::new(first_cycle_began),
            admission_rate: AdmissionRate::unlimited(now),
            profiles: ClassProfiles::default(),
            slowdown: Slowdown::default(),
            core_usage: CoreUsage::default(),
            warm_up: WarmUp::new(now, is_cold),
            tenant_traffic: TenantTraffic::default(),
            call_budget: CallBudget::new(now, &settings),
            stored_keys: StoredKeys::default(),
            shutdown: None,
            advertised_capacity: AdvertisedCapacity::default(),
            idle_timeout: IdleTimeout::default(),
            next_tick: None,
            pending_decisions,
            settings,
        }
    }

    /// Returns the next decision, or `None` once nothing is left to decide at this time. The rules are
    /// evaluated in the order below; the first one that yields a decision makes it.
    pub fn next_decision(&mut self, now: Timestamp) -> Option<Decision> {
        self.refill_budgets(now);
        self.end_control_cycle(now);
        self.stored_keys.expire(now);
        (self.pending_decisions.pop_front())
            .or_else(|| self.answer_expiring(now))
            .or_else(|| self.preempt_unawaited_run(now))
            .or_else(|| self.enforce_memory_limit(now))
            .or_else(|| self.apply_idempotency(now))
            .or_else(|| self.end_failed_call(now))
            .or_else(|| self.start_call(now))
            .or_else(|| self.apply_admission_rate(now))
            .or_else(|| self.reject_late(now))
            .or_else(|| self.run_next(now))
            .or_else(|| self.advertise_capacity(now))
            .or_else(|| self.set_idle_timeout())
            .or_else(|| self.set_timer(now))
    }

    /// Adds the call time and the admission tokens that accrued since the last refill.
    fn refill_budgets(&mut self, now: Timestamp) {
        let calls = self.requests.count(RequestState::Calling);
        let limits = self.call_limits();
        self.call_budget.refill(now, limits, calls);
        self.admission_rate.refill(now);
    }

    /// Counts an input. Every input calls this first, since any of them may change what a rule applies to.
    fn record_input(&mut self) {
        self.input_count += 1;
    }

    /// Returns the scope within which candidates that a rule finds now stay complete.
    fn candidate_scope(&self, now: Timestamp) -> CandidateScope {
        let change_count = self.requests.change_count();
        CandidateScope { now, input_count: self.input_count, change_count }
    }

    fn log(&mut self, event: ControllerEvent) {
        self.pending_decisions.push_back(Decision::Log(event));
    }
}
