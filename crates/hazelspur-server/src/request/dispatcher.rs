//! The dispatcher owns the `AdmissionController`: tasks report inputs, it pulls decisions once all that has come in is told,
//! and hands each to the request's task or to its owner.

use crate::clock::Clock;
use crate::request::deduplication::Deduplication;
use hazelspur::config::change::{Change, ChangeSummary};
use hazelspur::{
    AdmissionController, Catalog, ConfigError, Decision, Duration, GuidanceKey, LoadReport, Outcome,
    RequestId, TenantId, Timestamp,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// What the task of a request hears.
pub enum News {
    Decided(Decision),
    Wants(Vec<u8>),
    Ended(Outcome, Rc<[u8]>),
    /// The runtime knows no such request.
    Unknown,
    /// Nobody waits for it any more.
    Gone,
}

/// When the first lease that the module goes by ends, and what holds from then on.
pub type Leases = (Timestamp, Vec<(GuidanceKey, f64)>);

#[derive(Default)]
pub struct Dispatcher {
    pub clock: Clock,
    controller: RefCell<Option<AdmissionController>>,
    requests: RefCell<BTreeMap<RequestId, UnboundedSender<News>>>,
    pub deduplication: RefCell<Deduplication>,
    /// Requests acked and nacked since the start, on all fronts.
    pub counts: Cell<(u32, u32)>,
    stirred: Notify,
    /// What the last decisions for nobody's request said, for those who go by them.
    pub good: Cell<bool>,
    pub signal: Cell<Option<f64>>,
    pub keep_idle: Cell<Option<Duration>>,
    pub wake: Cell<Option<Timestamp>>,
    pub wake_set: Notify,
    /// When leases that the module goes by end, by the steady clock, and what holds then.
    leases: RefCell<Option<Leases>>,
    /// They ended, and the module goes by what holds then.
    lapsed: Cell<bool>,
}

impl Dispatcher {
    pub fn open(&self, controller: AdmissionController) {
        *self.controller.borrow_mut() = Some(controller);
        self.stirred.notify_one();
    }

    pub fn is_open(&self) -> bool {
        self.controller.borrow().is_some()
    }

    /// Reports an input. A failure inside the module is logged and leaves the rest of the program going.
    pub fn tell(&self, input: impl FnOnce(&mut AdmissionController, Timestamp)) {
        let now = self.clock.now();
        if let Some(controller) = self.controller.borrow_mut().as_mut()
            && catch_unwind(AssertUnwindSafe(|| input(controller, now))).is_err()
        {
            log::error!(at = "input"; "module failed");
        }
        self.stirred.notify_one();
    }

    /// Other settings from now on, all of them or none with the key at fault; also before the module is there.
    pub fn change(&self, catalog: &RefCell<Catalog>, change: &Change) -> Result<ChangeSummary, ConfigError> {
        let now = self.clock.now();
        let changed = match self.controller.borrow_mut().as_mut() {
            Some(controller) => controller.apply_change(now, change)?,
            None => {
                let mut catalog = catalog.borrow_mut();
                catalog.check(now, change)?;
                catalog.apply(now, change).summary
            }
        };
        self.stirred.notify_one();
        Ok(changed)
    }

    /// What servers found out together, for the module. Of leases: when they end, and what holds then.
    pub fn guide(&self, told: Vec<(GuidanceKey, Option<f64>)>, leases: Option<Leases>) {
        *self.leases.borrow_mut() = leases;
        if !told.is_empty() {
            self.tell(|controller, now| {
                told.iter().for_each(|(name, value)| controller.set_guidance(now, *name, *value))
            });
        }
    }

    /// After a standstill the end of a lease comes before anything that would go by it.
    fn end_leases(&self) {
        let over = self.leases.borrow().as_ref().is_some_and(|(ends, _)| self.clock.steady() >= *ends);
        let Some((_, floors)) = over.then(|| self.leases.take()).flatten() else { return };
        let now = self.clock.now();
        if let Some(controller) = self.controller.borrow_mut().as_mut() {
            floors.iter().for_each(|(name, floor)| controller.set_guidance(now, *name, Some(*floor)));
        }
        self.lapsed.set(true);
    }

    /// Whether leases have ended here since this was last asked.
    pub fn has_lapsed(&self) -> bool {
        self.lapsed.take()
    }

    pub fn load_report(&self) -> Option<LoadReport> {
        self.controller.borrow().as_ref().map(|controller| controller.load_report(self.clock.now()))
    }

    pub fn tenant_rate(&self, tenant: TenantId) -> f64 {
        let now = self.clock.now();
        self.controller.borrow().as_ref().map_or(0.0, |controller| controller.tenant_rate(now, tenant))
    }

    pub fn count(&self, acked: bool) {
        let (acks, nacks) = self.counts.get();
        self.counts.set((acks.wrapping_add(u32::from(acked)), nacks.wrapping_add(u32::from(!acked))));
    }

    /// How many more requests the module would have room for.
    pub fn spare(&self) -> f64 {
        let room = self
            .controller
            .borrow()
            .as_ref()
            .map_or(0.0, |controller| controller.spare_capacity(self.clock.now()));
        room - self.requests.borrow().len() as f64
    }

    /// From now on what concerns this request goes to the receiver; `None` where a request has this id already.
    pub fn enroll(&self, request: RequestId) -> Option<UnboundedReceiver<News>> {
        let (to, from) = unbounded_channel();
        let mut requests = self.requests.borrow_mut();
        if requests.contains_key(&request) {
            return None;
        }
        requests.insert(request, to);
        Some(from)
    }

    pub fn strike(&self, request: RequestId) {
        self.requests.borrow_mut().remove(&request);
    }

    pub fn hand(&self, request: RequestId, news: News) {
        if let Some(to) = self.requests.borrow().get(&request) {
            let _ = to.send(news); // its task may just have ended
        }
    }

    /// Tells those that wait for this try how it ended.
    pub fn try_ended(&self, request: RequestId, outcome: Outcome, result: &Rc<[u8]>) {
        let waiting = self.deduplication.borrow_mut().ended(self.clock.now(), request, outcome, result);
        waiting.into_iter().for_each(|request| self.hand(request, News::Ended(outcome, result.clone())));
    }

    /// Tells them that it is over without a run; its key is free.
    pub fn try_never_ran(&self, request: RequestId) {
        let waiting = self.deduplication.borrow_mut().never_ran(request);
        waiting.into_iter().for_each(|request| self.hand(request, News::Ended(Outcome::Error, Rc::from([]))));
    }

    /// Pulls whenever something was reported, but only after everything else that is ready has run.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.stirred.notified().await;
            tokio::task::yield_now().await;
            while let Some(decision) = self.pull() {
                self.carry_out(decision);
            }
        }
    }

    fn pull(&self) -> Option<Decision> {
        self.end_leases();
        let now = self.clock.now();
        let mut controller = self.controller.borrow_mut();
        let controller = controller.as_mut()?;
        catch_unwind(AssertUnwindSafe(|| controller.next_decision(now))).unwrap_or_else(|_| {
            log::error!(at = "decision"; "module failed");
            None
        })
    }

    fn carry_out(&self, decision: Decision) {
        log::trace!("decided {decision:?}");
        match decision {
            Decision::AdvertiseCapacity(value) => self.signal.set(Some(value)),
            Decision::SetHealth { active, .. } => self.good.set(active),
            Decision::SetIdleTimeout(span) => self.keep_idle.set(Some(span)),
            Decision::StoreKey { request, window } => {
                self.deduplication.borrow_mut().keep(request, self.clock.now() + window);
            }
            Decision::RemoveKey(request) => self.deduplication.borrow_mut().release(request),
            Decision::Log(event) => log::info!("{event}"),
            Decision::SetTimer(at) => {
                self.wake.set(Some(at));
                self.wake_set.notify_one();
            }
            Decision::Run(request)
            | Decision::Preempt(request)
            | Decision::Reject { request, .. }
            | Decision::Fail(request)
            | Decision::AnswerFromOriginal(request)
            | Decision::StartCall { request, .. }
            | Decision::SkipCall(request) => self.hand(request, News::Decided(decision)),
        }
    }
}
