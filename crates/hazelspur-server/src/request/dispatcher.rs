//! Owner of the `AdmissionController`: tasks report inputs here, and the dispatcher requests decisions and
//! applies them.
//!
//! Decisions are requested only once all input up to the clock's watermark is reported, and with the time of
//! that watermark. A decision about a request goes to the task of the request; the others are stored here for
//! the tasks that read them.

use crate::clock::Clock;
use crate::request::deduplication::Deduplication;
use crate::request::event::{Completion, RequestEvent};
use hazelspur::config::change::{Change, ChangeSummary};
use hazelspur::{
    AdmissionController, Catalog, ConfigError, Decision, Duration, LoadReport, RequestId, TenantId, Timestamp,
};
use hazelspur_fleet::guidance::{GuidanceChange, GuidanceUpdate, LeaseExpiry, ValueAfterExpiry};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Time of the decisions after one round of input from which they are logged.
const LOGGED_DECISION_TIME: Duration = Duration::from_ms(100);

/// Kind of a final response that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// Response to a request that succeeded.
    Success,
    /// Response to a request that never ran.
    Rejected,
}

/// Numbers of final responses of every ingress since the start of the process; they wrap around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Number of requests that succeeded.
    pub succeeded: u32,
    /// Number of requests that were rejected.
    pub rejected: u32,
}

/// Owner of the controller, of the table of requests in progress, and of the decisions for the whole server.
#[derive(Default)]
pub struct Dispatcher {
    /// Clock that all tasks use.
    pub clock: Rc<Clock>,
    /// Controller; `None` before `start`.
    controller: RefCell<Option<AdmissionController>>,
    /// Senders of events to the tasks of the requests in progress.
    event_senders: RefCell<BTreeMap<RequestId, UnboundedSender<RequestEvent>>>,
    /// Table of idempotency keys and shared reads.
    pub deduplication: RefCell<Deduplication>,
    /// Numbers of final responses since the start of the process.
    pub response_counts: Cell<ResponseCounts>,
    /// Notified when an input was reported.
    input_notification: Notify,
    /// Whether the controller last reported the server as healthy.
    pub healthy: Cell<bool>,
    /// Capacity that every response advertises; `None` until the controller decides it.
    pub advertised_capacity: Cell<Option<f64>>,
    /// Time after which idle connections are closed; `None` until the controller decides it.
    pub idle_timeout: Cell<Option<Duration>>,
    /// Time at which the controller's timer is due; taken by the task that waits for it.
    pub timer: Cell<Option<Timestamp>>,
    /// Notified whenever `timer` is set.
    pub timer_set: Notify,
    /// Values that apply once the current leases of the fleet expire; `None` without leases.
    lease_expiry: RefCell<Option<LeaseExpiry>>,
    leases_expired: Cell<bool>,
}

impl Dispatcher {
    /// Creates a dispatcher without a controller, whose tasks use this clock.
    pub fn new(clock: Rc<Clock>) -> Self {
        Self { clock, ..Self::default() }
    }

    /// Sets the controller, which decides from now on.
    pub fn start(&self, controller: AdmissionController) {
        *self.controller.borrow_mut() = Some(controller);
        self.input_notification.notify_one();
    }

    /// Returns whether the controller is set.
    pub fn is_started(&self) -> bool {
        self.controller.borrow().is_some()
    }

    /// Reports an input with the start time of the current turn of the event loop, so that the controller's
    /// time never goes back. A panic inside the controller is logged, and the rest of the program goes on.
    pub fn report(&self, input: impl FnOnce(&mut AdmissionController, Timestamp)) {
        let now = self.clock.turn_start();
        if let Some(controller) = self.controller.borrow_mut().as_mut()
            && catch_unwind(AssertUnwindSafe(|| input(controller, now))).is_err()
        {
            log::error!(at = "input"; "controller panicked");
        }
        self.input_notification.notify_one();
    }

    /// Applies a change of the settings, also before the controller is set, and returns a summary of it.
    ///
    /// # Errors
    /// Returns an error that names the invalid key; nothing is changed then.
    pub fn apply_change(
        &self,
        catalog: &RefCell<Catalog>,
        change: &Change,
    ) -> Result<ChangeSummary, ConfigError> {
        let now = self.clock.turn_start();
        let summary = match self.controller.borrow_mut().as_mut() {
            Some(controller) => controller.apply_change(now, change)?,
            None => {
                let mut catalog = catalog.borrow_mut();
                catalog.check(now, change)?;
                catalog.apply(now, change).summary
            }
        };
        self.input_notification.notify_one();
        Ok(summary)
    }

    /// Passes the changes of the fleet's guidance to the controller, and stores the values that apply once
    /// the leases expire.
    pub fn set_guidance(&self, update: GuidanceUpdate) {
        *self.lease_expiry.borrow_mut() = update.expiry;
        if update.changes.is_empty() {
            return;
        }
        self.report(|controller, now| {
            for GuidanceChange { key, value } in update.changes {
                controller.set_guidance(now, key, value);
            }
        });
    }

    /// Applies the expiry of the leases if they have expired. Called before each decision, so that none
    /// relies on a lease that expired while the process was suspended.
    fn expire_leases(&self) {
        let now = self.clock.monotonic();
        let Some(expiry) = self.lease_expiry.borrow_mut().take_if(|expiry| now >= expiry.at) else { return };
        let now = self.clock.turn_start();
        if let Some(controller) = self.controller.borrow_mut().as_mut() {
            for ValueAfterExpiry { key, value } in expiry.values {
                controller.set_guidance(now, key, Some(value));
            }
        }
        self.leases_expired.set(true);
    }

    /// Returns whether an expiry of leases was applied since the last call.
    pub fn take_leases_expired(&self) -> bool {
        self.leases_expired.take()
    }

    /// Returns the load report of this server for its fleet; `None` before the controller is set.
    pub fn load_report(&self) -> Option<LoadReport> {
        self.controller.borrow().as_ref().map(|controller| controller.load_report(self.clock.turn_start()))
    }

    /// Returns the request rate of a tenant, in requests per second.
    pub fn tenant_rate(&self, tenant: TenantId) -> f64 {
        let now = self.clock.turn_start();
        self.controller.borrow().as_ref().map_or(0.0, |controller| controller.tenant_rate(now, tenant))
    }

    /// Logs the number of requests that each rule of the controller has rejected or failed, if there are any.
    pub fn log_rejections(&self) {
        let controller = self.controller.borrow();
        let Some(counts) = controller.as_ref().map(AdmissionController::rejection_counts) else { return };
        if !counts.is_empty() {
            let counts: String = counts.iter().map(|(reason, count)| format!(" {reason}={count}")).collect();
            log::info!("requests rejected or failed by rule{counts}");
        }
    }

    /// Counts a final response.
    pub fn count_response(&self, response: Response) {
        let mut counts = self.response_counts.get();
        let count = match response {
            Response::Success => &mut counts.succeeded,
            Response::Rejected => &mut counts.rejected,
        };
        *count = count.wrapping_add(1);
        self.response_counts.set(counts);
    }

    /// Returns the number of requests for which there is capacity beside those in progress; may be negative.
    pub fn spare_capacity(&self) -> f64 {
        let now = self.clock.turn_start();
        let capacity =
            self.controller.borrow().as_ref().map_or(0.0, |controller| controller.spare_capacity(now));
        capacity - self.event_senders.borrow().len() as f64
    }

    /// Registers a request and returns the receiver of its events; `None` if a request with this id is in
    /// progress.
    pub fn register(&self, request: RequestId) -> Option<UnboundedReceiver<RequestEvent>> {
        let (sender, receiver) = unbounded_channel();
        let mut event_senders = self.event_senders.borrow_mut();
        if event_senders.contains_key(&request) {
            return None;
        }
        event_senders.insert(request, sender);
        Some(receiver)
    }

    /// Removes a finished request.
    pub fn remove(&self, request: RequestId) {
        self.event_senders.borrow_mut().remove(&request);
    }

    /// Delivers an event to the task of a request, if the request is in progress.
    pub fn deliver(&self, request: RequestId, event: RequestEvent) {
        if let Some(sender) = self.event_senders.borrow().get(&request) {
            // Fails if the task has just ended, which needs no event any more.
            let _ = sender.send(event);
        }
    }

    /// Stores the completion of an attempt and notifies the retries that await it.
    pub fn attempt_finished(&self, request: RequestId, completion: &Completion) {
        let waiting_retries = self.deduplication.borrow_mut().finished(self.clock.now(), request, completion);
        for retry in waiting_retries {
            self.deliver(retry, RequestEvent::Finished(completion.clone()));
        }
    }

    /// Frees the key of an attempt that never ran and notifies the retries that await it.
    pub fn attempt_never_ran(&self, request: RequestId) {
        let waiting_retries = self.deduplication.borrow_mut().never_ran(request);
        for retry in waiting_retries {
            self.deliver(retry, RequestEvent::Finished(Completion::never_ran()));
        }
    }

    /// Requests and applies decisions whenever an input was reported, once all input that arrived with it is
    /// reported too.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.input_notification.notified().await;
            self.clock.input_reported().await;
            self.decide();
        }
    }

    /// Requests and applies all decisions that are due, and logs if they kept the thread for long.
    fn decide(&self) {
        let began = self.clock.now();
        let examined_before = self.examined_request_count();
        let mut decisions = 0_u64;
        while let Some(decision) = self.next_decision() {
            self.apply_decision(decision);
            decisions += 1;
        }
        let took = self.clock.now() - began;
        if took >= LOGGED_DECISION_TIME {
            let examined = self.examined_request_count() - examined_before;
            log::warn!(ms = took.us() / 1000, decisions, examined; "decisions took long");
        }
    }

    fn examined_request_count(&self) -> u64 {
        self.controller.borrow().as_ref().map_or(0, AdmissionController::examined_request_count)
    }

    fn next_decision(&self) -> Option<Decision> {
        self.expire_leases();
        let now = self.clock.input_watermark();
        let mut controller = self.controller.borrow_mut();
        let controller = controller.as_mut()?;
        catch_unwind(AssertUnwindSafe(|| controller.next_decision(now))).unwrap_or_else(|_| {
            log::error!(at = "decision"; "controller panicked");
            None
        })
    }

    fn apply_decision(&self, decision: Decision) {
        log::trace!("decided {decision:?}");
        match decision {
            Decision::AdvertiseCapacity(value) => self.advertised_capacity.set(Some(value)),
            Decision::SetHealth { active, .. } => self.healthy.set(active),
            Decision::SetIdleTimeout(timeout) => self.idle_timeout.set(Some(timeout)),
            Decision::StoreKey { request, window } => {
                self.deduplication.borrow_mut().store_until(request, self.clock.now() + window);
            }
            Decision::RemoveKey(request) => self.deduplication.borrow_mut().release(request),
            Decision::Log(event) => log::info!("{event}"),
            Decision::SetTimer(at) => {
                self.timer.set(Some(at));
                self.timer_set.notify_one();
            }
            Decision::Run(request)
            | Decision::Preempt(request)
            | Decision::Reject { request, .. }
            | Decision::Fail(request)
            | Decision::AnswerFromOriginal(request)
            | Decision::StartCall { request, .. }
            | Decision::SkipCall(request) => self.deliver(request, RequestEvent::Decided(decision)),
        }
    }
}
