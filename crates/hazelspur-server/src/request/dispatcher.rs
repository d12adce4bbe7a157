//! Host of the `AdmissionController`: tasks report inputs, the dispatcher pulls decisions and carries them out.
//!
//! Decisions are pulled only once all input up to the clock's watermark is reported, and by the time of that
//! watermark. Each decision about a request goes to the request's task; the others are stored here for the tasks
//! that read them.

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

/// A final response that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The request ran to its end.
    Success,
    /// The request never ran.
    Rejected,
}

/// Final responses since the start, over every ingress; the counts wrap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Requests that succeeded.
    pub succeeded: u32,
    /// Requests that were rejected.
    pub rejected: u32,
}

/// Owns the controller, the table of requests in progress and what the controller decided for the whole server.
#[derive(Default)]
pub struct Dispatcher {
    /// The clock that every task goes by.
    pub clock: Rc<Clock>,
    controller: RefCell<Option<AdmissionController>>,
    event_senders: RefCell<BTreeMap<RequestId, UnboundedSender<RequestEvent>>>,
    /// Idempotency keys and shared reads.
    pub deduplication: RefCell<Deduplication>,
    /// Final responses since the start.
    pub response_counts: Cell<ResponseCounts>,
    input_notification: Notify,
    /// Whether the controller last reported the server as healthy.
    pub healthy: Cell<bool>,
    /// The capacity figure that goes out with every response, if any.
    pub advertised_capacity: Cell<Option<f64>>,
    /// After how long idle connections are closed, if the controller decided it.
    pub idle_timeout: Cell<Option<Duration>>,
    /// When the controller's timer is due; taken by the task that waits for it.
    pub timer: Cell<Option<Timestamp>>,
    /// Notified whenever `timer` is set.
    pub timer_set: Notify,
    lease_expiry: RefCell<Option<LeaseExpiry>>,
    leases_expired: Cell<bool>,
}

impl Dispatcher {
    /// A dispatcher without a controller, whose tasks go by this clock.
    pub fn new(clock: Rc<Clock>) -> Self {
        Self { clock, ..Self::default() }
    }

    /// From now on this controller decides.
    pub fn start(&self, controller: AdmissionController) {
        *self.controller.borrow_mut() = Some(controller);
        self.input_notification.notify_one();
    }

    /// Whether there is a controller yet.
    pub fn is_started(&self) -> bool {
        self.controller.borrow().is_some()
    }

    /// Reports an input, by the time at which this turn of the event loop began, so that the controller's time never
    /// goes back. A panic inside the controller is logged and leaves the rest of the program running.
    pub fn report(&self, input: impl FnOnce(&mut AdmissionController, Timestamp)) {
        let now = self.clock.turn_start();
        if let Some(controller) = self.controller.borrow_mut().as_mut()
            && catch_unwind(AssertUnwindSafe(|| input(controller, now))).is_err()
        {
            log::error!(at = "input"; "controller panicked");
        }
        self.input_notification.notify_one();
    }

    /// Applies a change of the settings whole, also before the start. The error names the key at fault, and
    /// nothing is changed then.
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

    /// Gives the controller what has changed of the fleet's guidance, and keeps what applies once a lease expires.
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

    /// Applies the expiry of a lease before any decision that would rely on the lease, as after a suspension.
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

    /// Whether leases expired here since the last call.
    pub fn take_leases_expired(&self) -> bool {
        self.leases_expired.take()
    }

    /// The load of this server for its fleet; none before the start.
    pub fn load_report(&self) -> Option<LoadReport> {
        self.controller.borrow().as_ref().map(|controller| controller.load_report(self.clock.turn_start()))
    }

    /// The request rate of a tenant, in requests per second.
    pub fn tenant_rate(&self, tenant: TenantId) -> f64 {
        let now = self.clock.turn_start();
        self.controller.borrow().as_ref().map_or(0.0, |controller| controller.tenant_rate(now, tenant))
    }

    /// Logs how many requests each rule of the controller has rejected or failed, if any has.
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

    /// How many more requests the controller has capacity for, beside those in progress.
    pub fn spare_capacity(&self) -> f64 {
        let now = self.clock.turn_start();
        let capacity =
            self.controller.borrow().as_ref().map_or(0.0, |controller| controller.spare_capacity(now));
        capacity - self.event_senders.borrow().len() as f64
    }

    /// Registers a request; its events go to the receiver. `None` where a request with this id is in progress.
    pub fn register(&self, request: RequestId) -> Option<UnboundedReceiver<RequestEvent>> {
        let (sender, receiver) = unbounded_channel();
        let mut event_senders = self.event_senders.borrow_mut();
        if event_senders.contains_key(&request) {
            return None;
        }
        event_senders.insert(request, sender);
        Some(receiver)
    }

    /// Removes a request that is finished.
    pub fn remove(&self, request: RequestId) {
        self.event_senders.borrow_mut().remove(&request);
    }

    /// Delivers an event to the request's task, if there still is one.
    pub fn deliver(&self, request: RequestId, event: RequestEvent) {
        if let Some(sender) = self.event_senders.borrow().get(&request) {
            // The task may just have ended.
            let _ = sender.send(event);
        }
    }

    /// Notifies the retries that await this attempt of its completion.
    pub fn attempt_finished(&self, request: RequestId, completion: &Completion) {
        let waiting_retries = self.deduplication.borrow_mut().finished(self.clock.now(), request, completion);
        for retry in waiting_retries {
            self.deliver(retry, RequestEvent::Finished(completion.clone()));
        }
    }

    /// Notifies the retries that await this attempt that it ended without a run; its key is free.
    pub fn attempt_never_ran(&self, request: RequestId) {
        let waiting_retries = self.deduplication.borrow_mut().never_ran(request);
        for retry in waiting_retries {
            self.deliver(retry, RequestEvent::Finished(Completion::never_ran()));
        }
    }

    /// Pulls decisions whenever something was reported, after all that arrived with it is reported too.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.input_notification.notified().await;
            self.clock.input_reported().await;
            while let Some(decision) = self.next_decision() {
                self.apply_decision(decision);
            }
        }
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
