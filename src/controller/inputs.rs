//! The inputs of the controller: each records what happened and decides nothing.

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

/// The smallest cost that counts, in seconds.
const MIN_COST_S: f64 = 1e-4;
/// The shortest run that is expected, in seconds.
const MIN_EXPECTED_RUN_S: f64 = 1e-4;
/// A run expected to take this many times the mean waits in the queue of long runs.
const LONG_RUN_FACTOR: f64 = 2.0;

impl AdmissionController {
    /// A request was received.
    pub fn request_received(&mut self, now: Timestamp, new: NewRequest) {
        let class = self.catalog.borrow().request_class(new.class).cloned();
        let Some(class) = class else { return self.reject_unknown_class(new.id) };
        let request = self.build_request(now, &new, class);
        self.requests.insert(request);
    }

    fn reject_unknown_class(&mut self, request: RequestId) {
        self.rejections.count(RejectionReason::UnknownClass);
        self.pending.push_back(Decision::Reject {
            request,
            retry_after: Duration::ZERO,
            do_not_retry_elsewhere: true,
        });
    }

    fn build_request(&mut self, now: Timestamp, new: &NewRequest, class: Rc<RequestClass>) -> Request {
        let arrived = now.saturating_sub(new.age);
        let deadline = new.deadline.unwrap_or(arrived + class.request_timeout);
        let cost_s = new.cost.map_or(DEFAULT_COST_S, |cost| cost.secs().max(MIN_COST_S));
        let objective_at = self.objective_at(new, &class, arrived, cost_s).min(deadline);
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
            arrived,
            received: now + new.read_after,
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

    /// When the latency objective ends, which counts from the client's first attempt.
    fn objective_at(
        &mut self,
        new: &NewRequest,
        class: &RequestClass,
        arrived: Timestamp,
        cost_s: f64,
    ) -> Timestamp {
        let timeout = class.request_timeout;
        let since_first_attempt = new.deadline.map_or(Duration::ZERO, |deadline| {
            self.profiles.record_client_wait(new.class, deadline - arrived, timeout)
        });
        let for_cost = Duration::from_secs(class.latency_objective_per_cost * cost_s);
        let objective = class.latency_objective + for_cost;
        arrived + (objective.min(timeout) - since_first_attempt)
    }

    /// The factor on the value of a tenant's request, by this server's part of the tenant's quota.
    fn quota_factor(&mut self, now: Timestamp, tenant: TenantId) -> f64 {
        let quota = self.catalog.borrow().tenant(tenant).and_then(|tenant| tenant.quota_per_s);
        let Some(quota_per_s) = quota else { return 1.0 };
        let equal_part = quota_per_s / self.settings.servers.max(1.0);
        let part = self.guidance.tenant_rates.get(&tenant).copied().unwrap_or(equal_part);
        self.tenants.record(now, tenant, part, self.settings.over_quota_value)
    }

    fn run_length(&self, expected_run_s: f64) -> RunLength {
        let is_long = expected_run_s > LONG_RUN_FACTOR * self.arrivals.mean_expected_run_s();
        if is_long { RunLength::Long } else { RunLength::Short }
    }

    /// The client of a request does not wait any more.
    pub fn request_abandoned(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.awaits_response = false;
        if !request.state.is_started() {
            self.requests.remove(id);
        }
    }

    /// A run ended, or was preempted.
    pub fn run_finished(&mut self, now: Timestamp, id: RequestId, outcome: Outcome) {
        self.refill(now);
        let request = self.requests.get_mut(id).filter(|request| !request.state.is_queued());
        let Some(request) = request else { return };
        if request.state == RequestState::Calling {
            self.call_budget.charge_residual_load(self.settings.call_residual_load);
        }
        let had_run = request.state.is_started();
        if outcome == Outcome::Preempted && request.awaits_response && had_run {
            request.return_to_queue(self.settings.preemption);
            return self.requests.enqueue(id);
        }
        if outcome == Outcome::Ok && had_run {
            self.record_success(now, id);
        }
        self.requests.remove(id);
    }

    fn record_success(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let run_s = request.run_time_s(now);
        self.slowdown.record_run(run_s, request.expected_run_s);
        // A class removed by a change has no profile, and the class that takes its id must not inherit one.
        if self.catalog.borrow().request_class(request.class_id).is_some() {
            let call_time_s = request.time_in_calls.secs();
            self.profiles.record_run(request.class_id, request.cost_s, run_s, call_time_s);
        }
        if request.awaits_response && now <= request.objective_at {
            self.power_test.record_success(request.cost_s, (now - request.arrived).secs());
        }
    }

    /// A run needs a dependency call to go on.
    pub fn call_requested(&mut self, now: Timestamp, id: RequestId) {
        let request = self.requests.get_mut(id).filter(|request| request.state == RequestState::Running);
        if let Some(request) = request {
            request.request_call(now);
        }
    }

    /// An attempt of a dependency call ended.
    pub fn call_finished(&mut self, now: Timestamp, id: RequestId, outcome: Outcome) {
        self.refill(now);
        let request = self.requests.get_mut(id).filter(|request| request.state == RequestState::Calling);
        let Some(request) = request else { return };
        let latency_s = (now - request.call.started_at).secs();
        match outcome {
            Outcome::Ok => {
                self.call_budget.record_success(latency_s);
                return request.leave_call(now);
            }
            Outcome::TimedOut => {
                self.call_budget.record_timeout(latency_s);
                self.call_budget.charge_residual_load(self.settings.call_residual_load);
            }
            _ => {} // other failures say nothing about the latency of calls
        }
        call_attempts::plan_retry(request, now, outcome);
    }

    /// The timer that was set is due, or came early.
    pub fn timer_tick(&mut self, now: Timestamp, gauges: RuntimeGauges) {
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

    /// The server is to stop at `stops_at`.
    pub fn shutdown_notice(&mut self, now: Timestamp, stops_at: Timestamp) {
        self.shutdown = Some(Shutdown { notified_at: now, stops_at });
        self.log(ControllerEvent::Draining { requests: self.requests.len() });
        self.pending.push_back(Decision::SetHealth { active: false, cached: true });
    }

    /// Takes a figure that the servers of the fleet agreed on; `None` once it is not known any more.
    pub fn set_guidance(&mut self, now: Timestamp, key: GuidanceKey, value: Option<f64>) {
        self.refill(now);
        self.guidance.set(key, value);
    }

    /// Puts changed settings into force, all of them or none. Requests in hand keep the settings under which
    /// they were received; the admission rate, sessions, clients and the profiles of classes that stay
    /// remain.
    ///
    /// # Errors
    /// Names the key at fault; nothing has changed then.
    pub fn apply_change(&mut self, now: Timestamp, change: &Change) -> Result<ChangeSummary, ConfigError> {
        self.refill(now);
        let mut catalog = self.catalog.borrow_mut();
        catalog.check(now, change)?;
        let applied = catalog.apply(now, change);
        self.settings = catalog.settings().clone();
        for class in applied.removed_request_classes {
            self.profiles.remove(class);
        }
        for tenant in applied.removed_tenants {
            self.tenants.remove(tenant);
            self.guidance.tenant_rates.remove(&tenant);
        }
        Ok(applied.summary)
    }
}
