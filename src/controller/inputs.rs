//! The inputs of the controller: each records an event that the host reports. Inputs run no policy; they
//! queue only decisions that need none.

use super::AdmissionController;
use crate::config::change::{Change, ChangeSummary};
use crate::config::request_class::RequestClass;
use crate::dependency::call_attempts;
use crate::rejection::RejectionReason;
use crate::request::{CallProgress, Request, RequestState, RunLength};
use crate::scheduling::class_profile::DEFAULT_COST_S;
use crate::scheduling::queue_order::RequestValue;
use crate::shutdown::Shutdown;
use crate::{
    ConfigError, ControllerEvent, Decision, Duration, GuidanceKey, NewRequest, Outcome, RequestId,
    RuntimeGauges, TenantId, Timestamp,
};
use std::rc::Rc;

/// Lower bound of the cost of a request, in seconds.
const MIN_COST_S: f64 = 1e-4;
/// Lower bound of the expected run time, in seconds.
const MIN_EXPECTED_RUN_S: f64 = 1e-4;
/// A request whose expected run time is more than this many times the mean of recent requests waits in the
/// queue of long runs.
const LONG_RUN_FACTOR: f64 = 2.0;

impl AdmissionController {
    /// Records and queues a received request. A request of an unknown class is rejected instead.
    pub fn request_received(&mut self, now: Timestamp, new: NewRequest) {
        self.record_input();
        let class = self.catalog.borrow().request_class(new.class).cloned();
        let Some(class) = class else { return self.reject_unknown_class(new.id) };
        let request = self.build_request(now, &new, class);
        self.requests.insert(request);
    }

    fn reject_unknown_class(&mut self, request: RequestId) {
        self.rejections.count(RejectionReason::UnknownClass);
        self.pending_decisions.push_back(Decision::Reject {
            request,
            retry_after: Duration::ZERO,
            do_not_retry_elsewhere: true,
        });
    }

    fn build_request(&mut self, now: Timestamp, new: &NewRequest, class: Rc<RequestClass>) -> Request {
        let sent_at = now.saturating_sub(new.age);
        let deadline = new.deadline.unwrap_or(sent_at + class.request_timeout);
        let cost_s = new.cost.map_or(DEFAULT_COST_S, |cost| cost.secs().max(MIN_COST_S));
        let objective_at = self.objective_at(new, &class, sent_at, cost_s).min(deadline);
        let has_active_session = new.session.is_some_and(|session| self.sessions.is_active(now, session));
        let quota_factor = self.quota_factor(now, new.tenant);
        let expected_run_s = self.profiles.expected_run_s(new.class, class.latency_objective, cost_s);
        let expected_run_s = expected_run_s.max(MIN_EXPECTED_RUN_S);
        self.arrivals.record(now, new.client, expected_run_s, self.settings.client_idle_timeout);
        let value = RequestValue {
            priority_weight: class.priority_weight,
            has_active_session,
            quota_factor,
            expected_run_s,
            unit: self.settings.value_unit,
        };
        Request {
            id: new.id,
            sequence: self.requests.next_sequence(),
            class_id: new.class,
            class,
            session: new.session,
            client: new.client,
            sent_at,
            received_at: now + new.read_offset,
            deadline,
            objective_at,
            size_kb: new.size_kb,
            cost_s,
            expected_run_s,
            run_length: self.run_length(expected_run_s),
            rank: value.rank(),
            retry_of: new.retry_of,
            is_write: new.is_write,
            state: RequestState::Queued,
            has_active_session,
            is_admitted: false,
            is_key_handled: false,
            has_run: false,
            awaits_response: true,
            started_at: now,
            time_in_calls: Duration::ZERO,
            call: CallProgress::default(),
            preempted_at: None,
        }
    }

    /// Returns the end of the latency objective, which counts from the first attempt of the client.
    fn objective_at(
        &mut self,
        new: &NewRequest,
        class: &RequestClass,
        sent_at: Timestamp,
        cost_s: f64,
    ) -> Timestamp {
        let timeout = class.request_timeout;
        let since_first_attempt = new.deadline.map_or(Duration::ZERO, |deadline| {
            self.profiles.record_client_wait(new.class, deadline - sent_at, timeout)
        });
        let extra_for_cost = Duration::from_secs(class.latency_objective_per_cost * cost_s);
        let objective = class.latency_objective + extra_for_cost;
        sent_at + (objective.min(timeout) - since_first_attempt)
    }

    /// Records a request of a tenant and returns the factor that this server's part of the tenant's quota
    /// puts on the value of the request; 1 without a quota.
    fn quota_factor(&mut self, now: Timestamp, tenant: TenantId) -> f64 {
        let fleet_quota_per_s = self.catalog.borrow().tenant(tenant).and_then(|tenant| tenant.quota_per_s);
        let Some(fleet_quota_per_s) = fleet_quota_per_s else { return 1.0 };
        let equal_share = fleet_quota_per_s / self.settings.servers.max(1.0);
        let server_quota_per_s = self.guidance.tenant_rates.get(&tenant).copied().unwrap_or(equal_share);
        self.tenant_traffic.record(now, tenant, server_quota_per_s, self.settings.over_quota_value)
    }

    fn run_length(&self, expected_run_s: f64) -> RunLength {
        let is_long = expected_run_s > LONG_RUN_FACTOR * self.arrivals.mean_expected_run_s();
        if is_long { RunLength::Long } else { RunLength::Short }
    }

    /// Records that the client of a request no longer waits for the response.
    pub fn request_abandoned(&mut self, id: RequestId) {
        self.record_input();
        let Some(request) = self.requests.get(id) else { return };
        if request.state.is_started() {
            self.requests.update(id, |request| request.awaits_response = false);
        } else {
            self.requests.remove(id);
        }
    }

    /// Records that a run ended or was preempted.
    pub fn run_finished(&mut self, now: Timestamp, id: RequestId, outcome: Outcome) {
        self.record_input();
        self.refill_budgets(now);
        let request = self.requests.get(id).filter(|request| !request.state.is_queued());
        let Some(request) = request else { return };
        if request.state == RequestState::Calling {
            self.call_budget.charge_residual_load(self.settings.call_residual_load);
        }
        let was_started = request.state.is_started();
        if outcome == Outcome::Preempted && request.awaits_response && was_started {
            let preemption = self.settings.preemption;
            self.requests.update(id, |request| request.return_to_queue(preemption));
            return self.requests.enqueue(id);
        }
        if outcome == Outcome::Ok && was_started {
            self.record_success(now, id);
        }
        self.requests.remove(id);
    }

    fn record_success(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let run_s = request.run_time_s(now);
        self.slowdown.record_run(run_s, request.expected_run_s);
        // A class that a change has removed gets no new profile, which a class with its id would inherit.
        if self.catalog.borrow().request_class(request.class_id).is_some() {
            let call_time_s = request.time_in_calls.secs();
            self.profiles.record_run(request.class_id, request.cost_s, run_s, call_time_s);
        }
        if request.awaits_response && now <= request.objective_at {
            self.power_test.record_success(request.cost_s, (now - request.sent_at).secs());
        }
    }

    /// Records that a run needs a dependency call to continue.
    pub fn call_requested(&mut self, now: Timestamp, id: RequestId) {
        self.record_input();
        if self.requests.get(id).is_some_and(|request| request.state == RequestState::Running) {
            self.requests.update(id, |request| request.await_call(now));
        }
    }

    /// Records that an attempt of a dependency call ended.
    pub fn call_finished(&mut self, now: Timestamp, id: RequestId, outcome: Outcome) {
        self.record_input();
        self.refill_budgets(now);
        let request = self.requests.get(id).filter(|request| request.state == RequestState::Calling);
        let Some(request) = request else { return };
        let latency_s = (now - request.call.started_at).secs();
        match outcome {
            Outcome::Ok => {
                self.call_budget.record_success(latency_s);
                self.requests.update(id, |request| request.resume_after_call(now));
                return;
            }
            Outcome::TimedOut => {
                self.call_budget.record_timeout(latency_s);
                self.call_budget.charge_residual_load(self.settings.call_residual_load);
            }
            _ => {} // other failures say nothing about the latency of calls
        }
        self.requests.update(id, |request| call_attempts::plan_retry(request, now, outcome));
    }

    /// Records a timer tick and the runtime's gauges. A tick that comes early leaves the timer set.
    pub fn timer_tick(&mut self, now: Timestamp, gauges: RuntimeGauges) {
        self.record_input();
        if self.next_tick.is_some_and(|at| at <= now) {
            self.next_tick = None;
        }
        let running = self.requests.count(RequestState::Running);
        let is_waiting = |request: &Request| request.state.is_queued() && request.is_admitted;
        let has_queue = self.requests.iter().any(is_waiting);
        self.core_usage.record(gauges, running, self.cores);
        self.power_test.record_tick(has_queue);
        if let Some(event) = self.warm_up.finish_if_over(now, self.settings.warm_up) {
            self.log(event);
        }
    }

    /// Records a shutdown notice: the server stops at `stops_at`.
    pub fn shutdown_notice(&mut self, now: Timestamp, stops_at: Timestamp) {
        self.record_input();
        self.shutdown = Some(Shutdown { notified_at: now, stops_at });
        self.log(ControllerEvent::Draining { requests: self.requests.len() });
        self.pending_decisions.push_back(Decision::SetHealth { active: false, cached: true });
    }

    /// Sets a guidance value on which the servers of the fleet agreed; `None` clears a value that is no
    /// longer known.
    pub fn set_guidance(&mut self, now: Timestamp, key: GuidanceKey, value: Option<f64>) {
        self.record_input();
        self.refill_budgets(now);
        self.guidance.set(key, value);
    }

    /// Applies a change of the configuration, all of it or nothing. In-flight requests keep the settings
    /// under which they were received; the admission rate, sessions, clients and the profiles of the
    /// remaining classes are kept.
    ///
    /// # Errors
    /// Returns an error that names the setting or entry at fault; in that case nothing has changed.
    pub fn apply_change(&mut self, now: Timestamp, change: &Change) -> Result<ChangeSummary, ConfigError> {
        self.record_input();
        self.refill_budgets(now);
        let mut catalog = self.catalog.borrow_mut();
        catalog.check(now, change)?;
        let applied = catalog.apply(now, change);
        self.settings = catalog.settings().clone();
        for class in applied.removed_request_classes {
            self.profiles.remove(class);
        }
        for tenant in applied.removed_tenants {
            self.tenant_traffic.remove(tenant);
            self.guidance.tenant_rates.remove(&tenant);
        }
        Ok(applied.summary)
    }
}
