//! The admission controller: all decisions of one server.
//!
//! How to call it: build an [`AdmissionController`] from the settings, report what happens through the inputs
//! (`request_received`, `request_abandoned`, `run_finished`, `call_requested`, `call_finished`, `timer_tick`,
//! `shutdown_notice`, `set_guidance`, `apply_change`), which only update what is known, then pull
//! `next_decision(now)` until it is `None`. It does no I/O, reads no clock and is deterministic: the same
//! inputs and seed give the same decisions. docs/design.md gives the reasons and lists the rules.

mod inputs;
mod reports;
mod rules;

use crate::admission::admission_rate::AdmissionRate;
use crate::admission::power_test::{MAX_CYCLE, PowerTest};
use crate::admission::sessions::ActiveSessions;
use crate::arrivals::RecentArrivals;
use crate::config::catalog::Catalog;
use crate::config::settings::ControllerSettings;
use crate::dependency::call_budget::CallBudget;
use crate::idempotency::StoredKeys;
use crate::idle_connections::IdleConnections;
use crate::load_signal::AdvertisedCapacity;
use crate::pcg::Pcg;
use crate::rejection::RejectionHistory;
use crate::request::RequestState;
use crate::request_table::RequestTable;
use crate::scheduling::class_profile::ClassProfiles;
use crate::scheduling::core_usage::CoreUsage;
use crate::scheduling::slowdown::Slowdown;
use crate::scheduling::warm_up::WarmUp;
use crate::shutdown::Shutdown;
use crate::tenant_quota::TenantTraffic;
use crate::{ControllerEvent, Decision, FleetGuidance, Timestamp};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Decides about admission, scheduling and dependency calls of one server.
pub struct AdmissionController {
    settings: ControllerSettings,
    guidance: FleetGuidance,
    /// Request classes and tenants, shared with the host.
    catalog: Rc<RefCell<Catalog>>,
    /// Cores of the runtime, as they were at the start.
    cores: f64,
    random: Pcg,
    requests: RequestTable,
    arrivals: RecentArrivals,
    rejections: RejectionHistory,
    sessions: ActiveSessions,
    power_test: PowerTest,
    admission_rate: AdmissionRate,
    profiles: ClassProfiles,
    slowdown: Slowdown,
    core_usage: CoreUsage,
    warm_up: WarmUp,
    tenants: TenantTraffic,
    call_budget: CallBudget,
    stored_keys: StoredKeys,
    shutdown: Option<Shutdown>,
    advertised_capacity: AdvertisedCapacity,
    idle_connections: IdleConnections,
    /// When the next timer tick is due, if it is set.
    next_tick: Option<Timestamp>,
    /// Decisions that follow from inputs, in order.
    pending: VecDeque<Decision>,
}

impl AdmissionController {
    /// Builds a controller whose settings say whether it starts cold.
    pub fn new(catalog: Catalog, seed: u64, now: Timestamp) -> Self {
        let is_cold = catalog.settings().starts_cold;
        Self::with(Rc::new(RefCell::new(catalog)), is_cold, seed, now)
    }

    /// Builds a controller on a catalog that the host shares.
    pub fn with(catalog: Rc<RefCell<Catalog>>, is_cold: bool, seed: u64, now: Timestamp) -> Self {
        let settings = catalog.borrow().settings().clone();
        // Servers that start together would otherwise end their cycles, and so move R, in step for ever.
        let first_cycle_began = now.saturating_sub(MAX_CYCLE.scaled(Pcg::new(!seed).draw_fraction()));
        let mut pending = VecDeque::from([Decision::SetHealth { active: true, cached: true }]);
        if is_cold {
            pending.push_back(Decision::Log(ControllerEvent::WarmingUp));
        }
        Self {
            guidance: FleetGuidance::default(),
            catalog,
            cores: settings.cores,
            random: Pcg::new(seed),
            requests: RequestTable::default(),
            arrivals: RecentArrivals::default(),
            rejections: RejectionHistory::default(),
            sessions: ActiveSessions::default(),
            power_test: PowerTest::new(first_cycle_began),
            admission_rate: AdmissionRate::unlimited(now),
            profiles: ClassProfiles::default(),
            slowdown: Slowdown::default(),
            core_usage: CoreUsage::default(),
            warm_up: WarmUp::new(now, is_cold),
            tenants: TenantTraffic::default(),
            call_budget: CallBudget::new(now, &settings),
            stored_keys: StoredKeys::default(),
            shutdown: None,
            advertised_capacity: AdvertisedCapacity::default(),
            idle_connections: IdleConnections::default(),
            next_tick: None,
            pending,
            settings,
        }
    }

    /// The next decision, or `None` until something else is reported. The rules are asked in this order; the
    /// first one that has a decision makes it.
    pub fn next_decision(&mut self, now: Timestamp) -> Option<Decision> {
        self.refill(now);
        self.end_control_cycle(now);
        self.stored_keys.expire(now);
        (self.pending.pop_front())
            .or_else(|| self.answer_expiring(now))
            .or_else(|| self.preempt_unwanted(now))
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

    /// Adds the call time and the tokens of the time since the last input or decision.
    fn refill(&mut self, now: Timestamp) {
        let calls = self.requests.count(RequestState::Calling);
        let limits = self.call_limits();
        self.call_budget.refill(now, limits, calls);
        self.admission_rate.refill(now);
    }

    fn log(&mut self, event: ControllerEvent) {
        self.pending.push_back(Decision::Log(event));
    }
}
