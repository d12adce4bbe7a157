//! The dispatcher owns the `Logic`: tasks report inputs, it pulls decisions once all that has come in is told,
//! and hands each to the op's task or to its owner.

use crate::clock::Clock;
use crate::ops::deduplication::Deduplication;
use hazelspur::book::View;
use hazelspur::change::{Change, Changed};
use hazelspur::{Catalog, Decision, Logic, Moment, OpId, Outcome, Span, TenantId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// What the task of an op hears.
pub enum News {
    Decided(Decision),
    Wants(Vec<u8>),
    Ended(Outcome, Rc<[u8]>),
    /// The runtime knows no such op.
    Unknown,
    /// Nobody waits for it any more.
    Gone,
}

/// When the first lease that the module goes by ends, and what holds from then on.
pub type Leases = (Moment, Vec<(String, f64)>);

#[derive(Default)]
pub struct Dispatcher {
    pub clock: Clock,
    logic: RefCell<Option<Logic>>,
    ops: RefCell<BTreeMap<OpId, UnboundedSender<News>>>,
    pub deduplication: RefCell<Deduplication>,
    /// Ops acked and nacked since the start, on all fronts.
    pub counts: Cell<(u32, u32)>,
    stirred: Notify,
    /// What the last decisions for nobody's op said, for those who go by them.
    pub good: Cell<bool>,
    pub signal: Cell<Option<f64>>,
    pub keep_idle: Cell<Option<Span>>,
    pub wake: Cell<Option<Moment>>,
    pub wake_set: Notify,
    /// When leases that the module goes by end, by the steady clock, and what holds then.
    leases: RefCell<Option<Leases>>,
    /// They ended, and the module goes by what holds then.
    lapsed: Cell<bool>,
}

impl Dispatcher {
    pub fn open(&self, logic: Logic) {
        *self.logic.borrow_mut() = Some(logic);
        self.stirred.notify_one();
    }

    pub fn is_open(&self) -> bool {
        self.logic.borrow().is_some()
    }

    /// Reports an input. A failure inside the module is logged and leaves the rest of the program going.
    pub fn tell(&self, input: impl FnOnce(&mut Logic, Moment)) {
        let now = self.clock.now();
        if let Some(logic) = self.logic.borrow_mut().as_mut()
            && catch_unwind(AssertUnwindSafe(|| input(logic, now))).is_err()
        {
            log::error!(at = "input"; "module failed");
        }
        self.stirred.notify_one();
    }

    /// Other settings from now on, all of them or none with the key at fault; also before the module is there.
    pub fn change(&self, catalog: &RefCell<Catalog>, change: &Change) -> Result<Changed, String> {
        let now = self.clock.now();
        let changed = match self.logic.borrow_mut().as_mut() {
            Some(logic) => logic.change(now, change)?,
            None => {
                let mut catalog = catalog.borrow_mut();
                catalog.check(now, change)?;
                catalog.apply(now, change).0
            }
        };
        self.stirred.notify_one();
        Ok(changed)
    }

    /// What servers found out together, for the module. Of leases: when they end, and what holds then.
    pub fn guide(&self, told: Vec<(String, Option<f64>)>, leases: Option<Leases>) {
        *self.leases.borrow_mut() = leases;
        if !told.is_empty() {
            self.tell(|logic, now| told.iter().for_each(|(name, value)| logic.told(now, name, *value)));
        }
    }

    /// After a standstill the end of a lease comes before anything that would go by it.
    fn end_leases(&self) {
        let over = self.leases.borrow().as_ref().is_some_and(|(ends, _)| self.clock.steady() >= *ends);
        let Some((_, floors)) = over.then(|| self.leases.take()).flatten() else { return };
        let now = self.clock.now();
        if let Some(logic) = self.logic.borrow_mut().as_mut() {
            floors.iter().for_each(|(name, floor)| logic.told(now, name, Some(*floor)));
        }
        self.lapsed.set(true);
    }

    /// Whether leases have ended here since this was last asked.
    pub fn has_lapsed(&self) -> bool {
        self.lapsed.take()
    }

    pub fn view(&self) -> Option<View> {
        self.logic.borrow().as_ref().map(|logic| logic.view(self.clock.now()))
    }

    pub fn tenant_rate(&self, tenant: TenantId) -> f64 {
        let now = self.clock.now();
        self.logic.borrow().as_ref().map_or(0.0, |logic| logic.tenant_rate(now, tenant))
    }

    pub fn count(&self, acked: bool) {
        let (acks, nacks) = self.counts.get();
        self.counts.set((acks.wrapping_add(u32::from(acked)), nacks.wrapping_add(u32::from(!acked))));
    }

    /// How many more ops the module would have room for.
    pub fn spare(&self) -> f64 {
        let room = self.logic.borrow().as_ref().map_or(0.0, |logic| logic.room(self.clock.now()));
        room - self.ops.borrow().len() as f64
    }

    /// From now on what concerns this op goes to the receiver; `None` where an op has this id already.
    pub fn enroll(&self, op: OpId) -> Option<UnboundedReceiver<News>> {
        let (to, from) = unbounded_channel();
        let mut ops = self.ops.borrow_mut();
        if ops.contains_key(&op) {
            return None;
        }
        ops.insert(op, to);
        Some(from)
    }

    pub fn strike(&self, op: OpId) {
        self.ops.borrow_mut().remove(&op);
    }

    pub fn hand(&self, op: OpId, news: News) {
        if let Some(to) = self.ops.borrow().get(&op) {
            let _ = to.send(news); // its task may just have ended
        }
    }

    /// Tells those that wait for this try how it ended.
    pub fn try_ended(&self, op: OpId, outcome: Outcome, result: &Rc<[u8]>) {
        let waiting = self.deduplication.borrow_mut().ended(self.clock.now(), op, outcome, result);
        waiting.into_iter().for_each(|op| self.hand(op, News::Ended(outcome, result.clone())));
    }

    /// Tells them that it is over without a run; its key is free.
    pub fn try_never_ran(&self, op: OpId) {
        let waiting = self.deduplication.borrow_mut().never_ran(op);
        waiting.into_iter().for_each(|op| self.hand(op, News::Ended(Outcome::Error, Rc::from([]))));
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
        let mut logic = self.logic.borrow_mut();
        let logic = logic.as_mut()?;
        catch_unwind(AssertUnwindSafe(|| logic.next_decision(now))).unwrap_or_else(|_| {
            log::error!(at = "decision"; "module failed");
            None
        })
    }

    fn carry_out(&self, decision: Decision) {
        log::trace!("decided {decision:?}");
        match decision {
            Decision::Say(value) => self.signal.set(Some(value)),
            Decision::Health { good, .. } => self.good.set(good),
            Decision::CloseIdle(span) => self.keep_idle.set(Some(span)),
            Decision::KeepKey { op, span } => {
                self.deduplication.borrow_mut().keep(op, self.clock.now() + span);
            }
            Decision::DropKey(op) => self.deduplication.borrow_mut().release(op),
            Decision::Log(text) => log::info!("{text}"),
            Decision::Wake(at) => {
                self.wake.set(Some(at));
                self.wake_set.notify_one();
            }
            Decision::Run(op)
            | Decision::Stop(op)
            | Decision::Nack { op, .. }
            | Decision::Fail(op)
            | Decision::AnswerFrom(op)
            | Decision::Call { op, .. }
            | Decision::SkipCall(op) => self.hand(op, News::Decided(decision)),
        }
    }
}
