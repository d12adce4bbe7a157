//! The rules of `next_decision`, in the order of their evaluation. Each rule gathers the inputs of one
//! policy, calls it and applies the result.

use super::AdmissionController;
use crate::admission::session_admission;
use crate::config::settings::CapacitySignal;
use crate::dependency::call_budget::CallLimits;
use crate::dependency::{call_attempts, call_start};
use crate::idempotency::{IdempotencyRule, IdempotencyStep};
use crate::memory::MemoryUse;
use crate::rejection::{Rejection, RejectionReason};
use crate::request::{Request, RequestState};
use crate::retry_after::{self, RetryAfterInputs};
use crate::scheduling::concurrency::Concurrency;
use crate::scheduling::expiry::ExpiryRule;
use crate::scheduling::late_rejection::{CallEstimate, LateRejectionRule};
use crate::scheduling::next_runnable::NextRunRule;
use crate::scheduling::{TIMER_TICK, preemption, slowdown};
use crate::{ClientId, Decision, Duration, RequestId, Timestamp, load_signal};

impl AdmissionController {
    /// Ends the control cycle if it is over, and adjusts the admission rate by its result.
    pub(super) fn end_control_cycle(&mut self, now: Timestamp) {
        let is_limited = self.admission_rate.is_limited();
        let core_saturation = self.core_usage.saturated_share();
        let Some(cycle) = self.power_test.end_cycle(now, is_limited, core_saturation) else { return };
        if let Some(event) = self.admission_rate.adjust(now, &cycle) {
            self.log(event);
        }
    }

    /// Rejects or fails a request that must be answered now: its deadline or the stop of the server is near,
    /// or its run has no value any more.
    pub(super) fn answer_expiring(&mut self, now: Timestamp) -> Option<Decision> {
        let expiry = ExpiryRule {
            now,
            is_stopping: self.shutdown.is_some_and(|shutdown| shutdown.is_stopping(now)),
            can_preempt: preemption::is_supported(self.settings.preemption),
        };
        let scope = self.candidate_scope(now);
        let Self { requests, candidates, .. } = self;
        let still_applies = |id| expiry.rejection(requests, id).is_some();
        let id = candidates.expiring.first(scope, || expiry.all(requests), still_applies)?;
        let rejection = expiry.rejection(requests, id)?;
        self.reject(now, rejection)
    }

    /// Preempts a run whose response nobody awaits: the client is gone, or the request has been failed.
    pub(super) fn preempt_unawaited_run(&mut self, now: Timestamp) -> Option<Decision> {
        let id = preemption::first_unawaited_run(&self.requests, now, self.settings.preemption)?;
        self.requests.update(id, |request| request.preempted_at = Some(now))?;
        Some(Decision::Preempt(id))
    }

    /// Rejects the last request in queue order while requests and stored keys exceed the memory limit.
    pub(super) fn enforce_memory_limit(&mut self, now: Timestamp) -> Option<Decision> {
        let rejection = self.memory_use().first_to_reject(&self.requests)?;
        self.reject(now, rejection)
    }

    /// Stores the idempotency key of a request before it runs, and answers a retry from its original.
    pub(super) fn apply_idempotency(&mut self, now: Timestamp) -> Option<Decision> {
        loop {
            match self.next_idempotency_step(now)? {
                IdempotencyStep::TreatAsOriginal(id) => {
                    self.requests.update_without_new_candidates(id, |request| request.retry_of = None)?;
                }
                IdempotencyStep::SkipKey(id) => self.requests.set_key_handled(id),
                IdempotencyStep::AnswerFromOriginal(id) => {
                    self.requests.dequeue(id);
                    let await_original =
                        |request: &mut Request| request.state = RequestState::AwaitingOriginal;
                    self.requests.update_without_new_candidates(id, await_original)?;
                    return Some(Decision::AnswerFromOriginal(id));
                }
                IdempotencyStep::RejectForMemory(request) => {
                    let reason = RejectionReason::KeyMemoryLimit;
                    return self.reject(now, Rejection { request, reason });
                }
                IdempotencyStep::StoreKey { request, window } => {
                    self.requests.set_key_handled(request);
                    self.stored_keys.store(request, now + window);
                    return Some(Decision::StoreKey { request, window });
                }
            }
        }
    }

    fn next_idempotency_step(&mut self, now: Timestamp) -> Option<IdempotencyStep> {
        let scope = self.candidate_scope(now);
        let memory = self.memory_use();
        let Self { requests, candidates, settings, .. } = self;
        let rule = IdempotencyRule { now, settings, memory };
        let needs_step = |id| rule.step(requests, id).is_some();
        let id = candidates.idempotency.first(scope, || rule.all(requests), needs_step)?;
        rule.step(requests, id)
    }

    /// Ends a call that is not attempted any more: its run continues without the call, or fails.
    pub(super) fn end_failed_call(&mut self, now: Timestamp) -> Option<Decision> {
        let id = call_attempts::first_without_attempts(&self.requests, now, self.guidance.breaker_open)?;
        if self.requests.get(id)?.allows_degraded_response() {
            self.requests.update(id, |request| request.resume_after_call(now))?;
            return Some(Decision::SkipCall(id));
        }
        self.reject(now, Rejection { request: id, reason: RejectionReason::CallAttemptsExhausted })
    }

    /// Starts a dependency call if this server's call-time budget allows it and the circuit breaker is
    /// closed.
    pub(super) fn start_call(&mut self, now: Timestamp) -> Option<Decision> {
        if self.guidance.breaker_open {
            return None;
        }
        let limits = self.call_limits();
        let calls = self.requests.count(RequestState::Calling) + 1.0;
        let id = call_start::next_call(&self.requests, now, &self.call_budget, limits)?;
        let time_to_exhaustion = self.call_budget.time_to_exhaustion(limits, calls);
        self.requests.update(id, |request| request.start_call(now))?;
        let request = self.requests.get(id)?;
        let timeout = call_start::timeout(request, now, &self.call_budget, time_to_exhaustion);
        Some(Decision::StartCall { request: id, timeout })
    }

    /// Admits all requests that may pass, then rejects a request that has found no token in time. Requests of
    /// active sessions always pass; those of new sessions need a token while the admission rate limits.
    pub(super) fn apply_admission_rate(&mut self, now: Timestamp) -> Option<Decision> {
        while let Some(id) = self.next_to_admit(now) {
            self.admission_rate.take_token();
            self.requests.update_without_new_candidates(id, |request| request.is_admitted = true)?;
        }
        let scope = self.candidate_scope(now);
        let Self { requests, candidates, .. } = self;
        let find = || session_admission::all_without_token(requests, now);
        let still_waits = |id| requests.get(id).is_some_and(session_admission::awaits_admission);
        let request = candidates.without_token.first(scope, find, still_waits)?;
        self.reject(now, Rejection { request, reason: RejectionReason::AdmissionRate })
    }

    /// Returns the request that is admitted next, if it may pass.
    fn next_to_admit(&mut self, now: Timestamp) -> Option<RequestId> {
        let scope = self.candidate_scope(now);
        let Self { requests, candidates, admission_rate, .. } = self;
        let find = || session_admission::all_awaiting_admission(requests);
        let still_waits = |id| requests.get(id).is_some_and(session_admission::awaits_admission);
        let id = candidates.awaiting_admission.first(scope, find, still_waits)?;
        let request = requests.get(id)?;
        session_admission::may_pass(request, admission_rate).then_some(id)
    }

    /// Rejects a queued request that cannot succeed any more.
    pub(super) fn reject_late(&mut self, now: Timestamp) -> Option<Decision> {
        let scope = self.candidate_scope(now);
        let mut late = std::mem::take(&mut self.candidates.late);
        let find = || self.late_rejection_rule(now).all(&self.requests);
        let is_queued = |id| self.requests.get(id).is_some_and(|request| request.state.is_queued());
        let rejection = late.first(scope, find, |rejection| is_queued(rejection.request));
        self.candidates.late = late;
        let rejection = rejection?;
        self.reject(now, rejection)
    }

    fn late_rejection_rule(&self, now: Timestamp) -> LateRejectionRule<'_> {
        LateRejectionRule {
            now,
            slowdown: self.slowdown.factor(now, self.cores, &self.requests),
            concurrency_target: self.concurrency(now).target,
            calls: CallEstimate {
                latency_s: self.call_budget.usual_latency_s().unwrap_or(0.0),
                available_s: self.call_budget.available_s(),
                concurrency: self.call_limits().mean_concurrency,
            },
            shutdown: self.shutdown,
            drain_grace_period: self.settings.drain_grace_period,
            profiles: &self.profiles,
        }
    }

    /// Runs the first runnable request in queue order, if the bounds on concurrent runs, the free memory and
    /// the number of runs that wait for calls allow it.
    pub(super) fn run_next(&mut self, now: Timestamp) -> Option<Decision> {
        if !self.concurrency(now).allows_another_run(&self.requests) || self.are_calls_backed_up() {
            return None;
        }
        let rule = NextRunRule {
            now,
            cores: self.cores,
            is_breaker_open: self.guidance.breaker_open,
            free_memory_kb: self.memory_use().free_kb(),
            run_memory_factor: self.settings.run_memory_factor,
            profiles: &self.profiles,
        };
        let id = rule.choose(&self.requests)?;
        self.requests.dequeue(id);
        if self.requests.update(id, |request| request.start_run(now))? {
            self.power_test.record_started_run();
        }
        if let Some(session) = self.requests.get(id)?.session {
            self.sessions.record_run(now, session);
        }
        self.rejections.record_started();
        Some(Decision::Run(id))
    }

    /// Returns whether runs already wait for calls that cannot start soon, so that a new run would only wait
    /// as well.
    fn are_calls_backed_up(&self) -> bool {
        let awaiting_call = self.requests.count(RequestState::AwaitingCall);
        let is_call_queue_long = awaiting_call > self.cores && !self.guidance.breaker_open;
        is_call_queue_long || awaiting_call > 0.0 && self.call_budget.is_insufficient(self.call_limits())
    }

    /// Advertises the capacity of this server when the figure changes, so that clients do not send requests
    /// in vain.
    pub(super) fn advertise_capacity(&mut self, now: Timestamp) -> Option<Decision> {
        let rejected_share = self.rejections.rejected_share();
        let value = match self.settings.capacity_signal {
            CapacitySignal::Credit => {
                let clients = self.arrivals.effective_clients();
                load_signal::credit(self.spare_capacity(now), clients, rejected_share)
            }
            CapacitySignal::Weight => load_signal::weight(rejected_share),
            CapacitySignal::None => return None,
        };
        let has_requests = self.requests.len() > 0;
        let value = self.advertised_capacity.update(value, has_requests)?;
        Some(Decision::AdvertiseCapacity(value))
    }

    /// Sets the idle timeout of connections when the cheapest timeout changes. Evaluated once per timer tick.
    pub(super) fn set_idle_timeout(&mut self) -> Option<Decision> {
        if self.next_tick.is_some() {
            return None;
        }
        let core_saturation = self.core_usage.saturated_share();
        let rejected_share = self.rejections.rejected_share();
        let client_timeout = self.settings.client_idle_timeout;
        let idle_timeout = &mut self.idle_timeout;
        let timeout = idle_timeout.update(&self.arrivals, core_saturation, rejected_share, client_timeout)?;
        Some(Decision::SetIdleTimeout(timeout))
    }

    /// Sets the timer for the next tick if it is not set.
    pub(super) fn set_timer(&mut self, now: Timestamp) -> Option<Decision> {
        if self.next_tick.is_some() {
            return None;
        }
        let at = now + TIMER_TICK;
        self.next_tick = Some(at);
        Some(Decision::SetTimer(at))
    }

    /// Ends a request that will not succeed: rejects it if it is queued, has never run and is no retry, and
    /// fails it otherwise.
    fn reject(&mut self, now: Timestamp, rejection: Rejection) -> Option<Decision> {
        let id = rejection.request;
        let request = self.requests.get(id)?;
        let (state, client, is_key_handled) = (request.state, request.client, request.is_key_handled);
        let must_fail = request.has_run || request.retry_of.is_some() || !state.is_queued();
        let is_too_late = is_too_late_elsewhere(now, request);
        if request.is_admitted && !request.has_run {
            self.admission_rate.return_token();
        }
        self.rejections.record_rejected(rejection.reason);
        let retry_after = self.retry_after(now, client);
        if !state.is_started() {
            self.requests.remove(id);
        } else {
            self.requests.update(id, |request| request.awaits_response = false)?;
        }
        if must_fail {
            return Some(Decision::Fail(id));
        }
        if is_key_handled {
            self.stored_keys.remove(id);
            self.pending_decisions.push_back(Decision::RemoveKey(id));
        }
        let do_not_retry_elsewhere = is_too_late || self.is_fleet_overloaded();
        Some(Decision::Reject { request: id, retry_after, do_not_retry_elsewhere })
    }

    /// Returns whether demand exceeds the capacity of the whole fleet. False while this server warms up or
    /// drains, when its rejected share says nothing about demand.
    fn is_fleet_overloaded(&self) -> bool {
        let is_share_representative = !self.warm_up.is_warming_up() && self.shutdown.is_none();
        let own_share = self.rejections.rejected_share();
        is_share_representative
            && retry_after::is_demand_too_high(self.guidance.rejected_share.unwrap_or(own_share))
    }

    fn retry_after(&mut self, now: Timestamp, client: ClientId) -> Duration {
        if !self.settings.retry_after_supported {
            return Duration::ZERO;
        }
        let queued_s = self.requests.totals().queued_run_s();
        let running_s = slowdown::remaining_run_s(now, &self.requests, slowdown::NO_SLOWDOWN);
        let inputs = RetryAfterInputs {
            work_s: running_s + queued_s,
            cores: self.cores,
            client_gap_s: self.arrivals.mean_gap_s(now, client),
            max: self.settings.max_retry_after,
        };
        inputs.delay(self.random.draw_fraction())
    }

    /// Returns the current limits on dependency calls.
    pub(super) fn call_limits(&self) -> CallLimits {
        CallLimits::new(&self.settings, &self.guidance)
    }

    /// Returns the current bounds on concurrent runs.
    pub(super) fn concurrency(&self, now: Timestamp) -> Concurrency {
        Concurrency::now(now, self.cores, &self.settings, &self.warm_up, &self.core_usage)
    }

    fn memory_use(&self) -> MemoryUse {
        MemoryUse::new(&self.requests, self.stored_keys.len(), &self.settings)
    }
}

/// Returns whether a request would miss its latency objective at any other server too, and a late response
/// has no value.
fn is_too_late_elsewhere(now: Timestamp, request: &Request) -> bool {
    let needed = Duration::from_secs(retry_after::min_run_for_retry_s(request.expected_run_s));
    now + needed > request.objective_at && !request.allows_late_response()
}
