//! The life of each delivery, from its reading to its one settlement. Inputs only update what is known; the
//! front pulls `next_step` until it is `None` and does what it says, in that order.
//!
//! A delivery tag holds for one channel of one connection. When that is lost, what has not run is withdrawn
//! and left to the broker, which has it back; what runs goes on, and its ending waits for the message to come
//! again or, where a reply is asked for, goes out over the next connection.
//!
//! What must not run twice is settled before it runs: ack, then a fence that shows the broker has read the
//! ack, then the run. So a message that comes again has not run anywhere. The price: a process that dies
//! between fence and run loses the message. A queue may choose to settle after the run; then a redelivered
//! message that is not remembered here may have run, and goes to the dead letters.

use crate::memory::{Known, Memory};
use crate::settlement::{Ending, Settlement, Table};
use hazelspur::Idempotency;
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A delivery is settled as expired this long before its time is over; the module's own beat is shorter.
pub const EXPIRY_MARGIN: Duration = Duration::from_ms(80);
/// A confirm that has not come by then is not waited for.
pub const CONFIRM_WITHIN: Duration = Duration::from_ms(5000);
/// Replies of lost connections that wait for the next one; past this the oldest is dropped.
pub const MAX_ORPHANS: usize = 1024;
/// The longest that a closed gate keeps a delivery.
const LONGEST_GATE: Duration = Duration::from_ms(5000);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueId(pub usize);

/// One connection to a broker, numbered from the process's first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link(pub u64);

/// Ours; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeliveryId(pub u64);

/// The broker's name for a delivery: good on its own channel of its own connection only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag {
    pub link: Link,
    pub channel: u16,
    pub tag: u64,
}

/// How a queue's deliveries are treated.
#[derive(Clone, Debug)]
pub struct Terms {
    pub table: Table,
    /// Settle what must not run twice before its run (with a fence) instead of after.
    pub settle_first: bool,
}

/// What has come, as far as it matters here.
#[derive(Clone, Copy, Debug)]
pub struct Arrived<'a> {
    pub tag: Tag,
    pub queue: QueueId,
    pub message: Option<&'a str>,
    pub redelivered: bool,
    /// Its request class's, or why it is no request.
    pub repeats: Result<Idempotency, Ending>,
    pub due: Option<Timestamp>,
    /// Somebody asked for a reply.
    pub reply: bool,
    /// How often it was tried before, as far as its headers tell.
    pub tries: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Begin the request's life.
    Offer(DeliveryId),
    /// Nobody waits for this request any more.
    Withdraw(DeliveryId),
    /// The request whose run was decided may begin, or never will.
    Begin(DeliveryId, bool),
    Ack(Tag),
    Reject(Tag),
    Requeue(Tag),
    /// Tell once the broker has read all that was sent on this channel.
    Fence(Tag, DeliveryId),
    Reply(DeliveryId, Ending, Rc<[u8]>),
    Retry(DeliveryId, Duration, u32),
    /// Whatever is kept for it may go.
    Forget(DeliveryId, Ending),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Read, and not offered to the module before its queue's gate opens.
    Queued,
    /// With the module, which decides.
    Held,
    /// Ends as the delivery that it repeats does.
    Follows(DeliveryId),
    /// Acked; its run waits for the fence.
    Proving,
    Running,
    /// A reply or a copy for the retry queue is to go out, or is out since.
    Publishing {
        copy: Option<Duration>,
        out: Option<Timestamp>,
    },
    /// Goes back to its queue then.
    Waiting(Timestamp),
}

impl Phase {
    fn with_module(self) -> bool {
        matches!(self, Self::Held | Self::Proving | Self::Running)
    }
}

#[derive(Clone, Debug)]
struct Delivery {
    queue: QueueId,
    tag: Tag,
    /// Whether the tag is to be settled yet: no longer once it is, or once its channel is lost.
    open: bool,
    message: Option<Rc<str>>,
    repeats: Idempotency,
    due: Option<Timestamp>,
    reply: bool,
    tries: u32,
    phase: Phase,
    followers: Vec<DeliveryId>,
    ending: Ending,
    settlement: Settlement,
    result: Rc<[u8]>,
    returned: bool,
    /// Where it stands in `times`.
    look: Option<Timestamp>,
    offered: Timestamp,
}

impl Delivery {
    /// The tag, once: what is settled is not open any more.
    fn take_tag(&mut self) -> Option<Tag> {
        std::mem::replace(&mut self.open, false).then_some(self.tag)
    }
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub read: u64,
    pub acked: u64,
    pub rejected: u64,
    pub requeued: u64,
    pub retried: u64,
    pub expired: u64,
    pub from_kept: u64,
    pub doubtful: u64,
    /// Left to the broker when a channel was lost before they ran.
    pub left: u64,
    /// Acked, but the connection broke or its time ended before the fence: never ran, and the broker may have
    /// let it go.
    pub unproven: u64,
    pub replies_lost: u64,
}

/// While a queue's window is under 1: how long its next delivery waits for its turn.
#[derive(Clone, Debug)]
struct Gate {
    duty: f64,
    opens: Timestamp,
    queued: VecDeque<DeliveryId>,
}

impl Default for Gate {
    fn default() -> Self {
        Self { duty: 1.0, opens: Timestamp::default(), queued: VecDeque::new() }
    }
}

#[derive(Clone, Debug)]
pub struct Book {
    queues: Vec<Terms>,
    pub memory: Memory,
    deliveries: BTreeMap<DeliveryId, Delivery>,
    /// By when each has to be looked at.
    times: BTreeSet<(Timestamp, DeliveryId)>,
    last: u64,
    steps: VecDeque<Step>,
    /// Whether something can be published now, and what waits for it.
    can_publish: bool,
    blocked: bool,
    to_publish: VecDeque<DeliveryId>,
    leaving: bool,
    gates: Vec<Gate>,
    pub figures: Figures,
}

impl Book {
    pub fn new(queues: Vec<Terms>, memory: Memory) -> Self {
        Self {
            gates: queues.iter().map(|_| Gate::default()).collect(),
            queues,
            memory,
            deliveries: BTreeMap::new(),
            times: BTreeSet::new(),
            last: 0,
            steps: VecDeque::new(),
            can_publish: false,
            blocked: false,
            to_publish: VecDeque::new(),
            leaving: false,
            figures: Figures::default(),
        }
    }

    // ---- inputs ----

    /// A delivery was read; its id, under which its parts are to be kept until `Forget`.
    pub fn arrived(&mut self, now: Timestamp, came: Arrived<'_>) -> DeliveryId {
        self.last += 1;
        self.figures.read += 1;
        let id = DeliveryId(self.last);
        let message: Option<Rc<str>> = came.message.filter(|m| !m.is_empty()).map(Rc::from);
        let delivery = Delivery {
            queue: came.queue,
            tag: came.tag,
            open: true,
            message: message.clone(),
            repeats: came.repeats.unwrap_or(Idempotency::NonIdempotent),
            due: came.due,
            reply: came.reply,
            tries: came.tries,
            phase: Phase::Held,
            followers: Vec::new(),
            ending: Ending::Expired,
            settlement: Settlement::Reject,
            result: [].into(),
            returned: false,
            look: None,
            offered: now,
        };
        self.deliveries.insert(id, delivery);
        let repeats = match came.repeats {
            Ok(repeats) => repeats,
            Err(ending) => {
                self.finish(now, id, ending, &[].into());
                return id;
            }
        };
        let known = message.as_deref().map_or(Known::Not, |message| self.memory.known(now, message));
        if let (Known::Tried(times), Some(delivery)) = (&known, self.deliveries.get_mut(&id)) {
            delivery.tries = delivery.tries.max(*times);
        }
        match known {
            Known::Open(first) if self.deliveries.contains_key(&first) => self.repeat_open(first, id),
            Known::Ended(ending, result) => {
                self.figures.from_kept += 1;
                if self.adopted_by_reply(id) {
                    return id;
                }
                self.finish(now, id, ending, &result);
            }
            _ if self.leaving => {
                // What is read from now on is left to others at once.
                self.requeue(id);
            }
            _ if self.past(now, id) => self.finish(now, id, Ending::Expired, &[].into()),
            _ if came.redelivered
                && repeats != Idempotency::Idempotent
                && !self.queues[came.queue.0].settle_first =>
            {
                self.figures.doubtful += 1;
                self.finish(now, id, Ending::Doubtful, &[].into());
            }
            _ => {
                if let Some(message) = &message {
                    self.memory.open(message, id);
                }
                self.look_at(id, came.due.map(|due| due.back(EXPIRY_MARGIN)));
                self.offer(now, id);
            }
        }
        id
    }

    /// The same message is in hand already. Where its connection was lost, the new tag is its own; else the
    /// message is there twice and this one ends as the first does.
    fn repeat_open(&mut self, first: DeliveryId, id: DeliveryId) {
        let settle_first = self.settles_first(first);
        let Some(holder) = self.deliveries.get_mut(&first) else { return };
        if !holder.open && !settle_first && holder.phase == Phase::Running {
            return self.adopt(first, id);
        }
        holder.followers.push(id);
        if let Some(second) = self.deliveries.get_mut(&id) {
            second.phase = Phase::Follows(first);
        }
    }

    /// A message that comes again while the reply of its lost delivery is still under way is settled with
    /// that one.
    fn adopted_by_reply(&mut self, id: DeliveryId) -> bool {
        let Some(second) = self.deliveries.get(&id) else { return false };
        let replying = |d: &Delivery| matches!(d.phase, Phase::Publishing { copy: None, .. });
        let same = |d: &Delivery| !d.open && replying(d) && d.message == second.message;
        let first = self.deliveries.iter().find(|(_, d)| same(d)).map(|(first, _)| *first);
        let first = first.filter(|first| !self.settles_first(*first));
        first.is_some_and(|first| {
            self.adopt(first, id);
            true
        })
    }

    /// The first delivery of a message gets the tag of a later one, which is not heard of again.
    fn adopt(&mut self, first: DeliveryId, id: DeliveryId) {
        let tag = self.deliveries.remove(&id).map(|second| second.tag);
        if let (Some(holder), Some(tag)) = (self.deliveries.get_mut(&first), tag) {
            (holder.tag, holder.open) = (tag, true);
        }
        self.steps.push_back(Step::Forget(id, Ending::Doubtful));
    }

    /// The part of the time in which a delivery of this queue may be in hand.
    pub fn duty(&mut self, queue: QueueId, duty: f64) {
        self.gates[queue.0].duty = duty;
    }

    fn offer(&mut self, now: Timestamp, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let gate = &mut self.gates[delivery.queue.0];
        if gate.duty < 1.0 {
            delivery.phase = Phase::Queued;
            return gate.queued.push_back(id);
        }
        (delivery.phase, delivery.offered) = (Phase::Held, now);
        self.steps.push_back(Step::Offer(id));
    }

    /// Whether the module has a delivery of this queue.
    fn busy(&self, queue: usize) -> bool {
        self.deliveries.values().any(|d| d.queue.0 == queue && d.phase.with_module())
    }

    /// Offers what a gate kept, one at a time while the queue's window is under 1.
    fn open_gates(&mut self, now: Timestamp) -> bool {
        for queue in 0..self.gates.len() {
            let busy = self.gates[queue].duty < 1.0 && self.busy(queue);
            let gate = &mut self.gates[queue];
            if gate.queued.is_empty() || busy || gate.duty < 1.0 && gate.opens > now {
                continue;
            }
            let id = gate.queued.pop_front();
            if let Some((id, delivery)) = id.and_then(|id| Some((id, self.deliveries.get_mut(&id)?)))
                && delivery.phase == Phase::Queued
            {
                (delivery.phase, delivery.offered) = (Phase::Held, now);
                self.steps.push_back(Step::Offer(id));
            }
            return true;
        }
        false
    }

    /// The module has its run decided: `Begin` says whether it may.
    pub fn run_decided(&mut self, now: Timestamp, id: DeliveryId) {
        let settle_first = self.settles_first(id);
        let past = self.past(now, id);
        let Some(delivery) = self.deliveries.get_mut(&id) else {
            return self.steps.push_back(Step::Begin(id, false));
        };
        match delivery.phase {
            Phase::Held if past => self.never_runs(now, id),
            Phase::Held if settle_first => {
                let Some(tag) = delivery.take_tag() else { return self.never_runs(now, id) };
                delivery.phase = Phase::Proving;
                self.figures.acked += 1;
                self.steps.extend([Step::Ack(tag), Step::Fence(tag, id)]);
            }
            Phase::Held | Phase::Running => {
                delivery.phase = Phase::Running;
                self.steps.push_back(Step::Begin(id, true));
            }
            _ => self.steps.push_back(Step::Begin(id, false)),
        }
    }

    /// The broker has read the ack that went before this delivery's run.
    pub fn fenced(&mut self, now: Timestamp, id: DeliveryId) {
        if self.deliveries.get(&id).is_none_or(|d| d.phase != Phase::Proving) {
            return;
        }
        if self.past(now, id) {
            // Too late to be buried: its ack is out, and nobody else would tell that it never ran.
            self.figures.unproven += 1;
            return self.never_runs(now, id);
        }
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.phase = Phase::Running;
        }
        self.steps.push_back(Step::Begin(id, true));
    }

    fn never_runs(&mut self, now: Timestamp, id: DeliveryId) {
        self.steps.push_back(Step::Begin(id, false));
        self.finish(now, id, Ending::Expired, &[].into());
    }

    /// Its request has its final answer.
    pub fn ended(&mut self, now: Timestamp, id: DeliveryId, ending: Ending, result: &Rc<[u8]>) {
        if self.deliveries.get(&id).is_some_and(|delivery| delivery.phase.with_module()) {
            self.finish(now, id, ending, result);
        }
    }

    /// The broker has taken what was published for this delivery, or refuses it.
    pub fn confirmed(&mut self, now: Timestamp, id: DeliveryId, taken: bool) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let Phase::Publishing { copy, .. } = delivery.phase else { return };
        let arrived = taken && !delivery.returned;
        match copy {
            // Not in the retry queue: it is kept here instead.
            Some(pause) if !arrived => {
                // The copy would have carried the count of tries.
                if delivery.ending == Ending::Failed {
                    let Some(message) = delivery.message.clone() else {
                        let exhausted = self.queues[delivery.queue.0].table.exhausted;
                        return self.close(id, exhausted);
                    };
                    self.memory.tried(now, &message, delivery.tries + 1);
                }
                self.wait(now, id, pause);
            }
            Some(_) => {
                self.figures.retried += 1;
                self.close(id, Settlement::Ack);
            }
            None => {
                self.figures.replies_lost += u64::from(!arrived);
                self.settle_final(id);
            }
        }
    }

    /// No queue was there for what was published for it; its confirm follows.
    pub fn returned(&mut self, id: DeliveryId) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.returned = true;
        }
    }

    /// Publishing works from now on, or no longer. What is out without a confirm goes out again.
    pub fn can_publish(&mut self, can: bool) {
        (self.can_publish, self.blocked) = (can, false);
        if !can {
            self.to_publish.clear();
            for (id, delivery) in &mut self.deliveries {
                if let Phase::Publishing { out, .. } = &mut delivery.phase {
                    *out = None;
                    delivery.returned = false;
                    self.to_publish.push_back(*id);
                }
            }
        }
    }

    /// The broker has closed the channel for what it was given: all that was to go out counts as refused,
    /// since any of it may be the cause.
    pub fn publishing_refused(&mut self, now: Timestamp) {
        let publishing = |d: &Delivery| matches!(d.phase, Phase::Publishing { .. });
        let ids: Vec<DeliveryId> =
            self.deliveries.iter().filter(|(_, d)| publishing(d)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.confirmed(now, id, false));
        self.can_publish(false);
    }

    /// A broker that blocks publishers gets nothing more until it says so; what is out stays out.
    pub fn blocked(&mut self, blocked: bool) {
        self.blocked = blocked;
    }

    /// A channel is gone, or with `None` all channels of a connection: tags on it are worth nothing now.
    pub fn lost(&mut self, link: Link, channel: Option<u16>) {
        let on = |tag: &Tag| tag.link == link && channel.is_none_or(|channel| channel == tag.channel);
        // What was decided on these tags can't be done any more.
        self.steps.retain(|step| match step {
            Step::Ack(tag) | Step::Reject(tag) | Step::Requeue(tag) | Step::Fence(tag, _) => !on(tag),
            _ => true,
        });
        let hit = |d: &Delivery| (d.open || d.phase == Phase::Proving) && on(&d.tag);
        let ids: Vec<DeliveryId> =
            self.deliveries.iter().filter(|(_, d)| hit(d)).map(|(id, _)| *id).collect();
        for id in ids {
            let Some(delivery) = self.deliveries.get_mut(&id) else { continue };
            delivery.open = false;
            match delivery.phase {
                Phase::Held => {
                    self.steps.push_back(Step::Withdraw(id));
                    self.leave(id);
                }
                Phase::Proving => self.unfenced(id),
                Phase::Queued
                | Phase::Follows(_)
                | Phase::Waiting(_)
                | Phase::Publishing { copy: Some(_), .. } => {
                    self.leave(id);
                }
                Phase::Running | Phase::Publishing { .. } => {}
            }
        }
        let orphan = |d: &Delivery| !d.open && matches!(d.phase, Phase::Publishing { .. });
        let orphans: Vec<DeliveryId> =
            self.deliveries.iter().filter(|(_, d)| orphan(d)).map(|(id, _)| *id).collect();
        for id in orphans.iter().take(orphans.len().saturating_sub(MAX_ORPHANS)) {
            self.figures.replies_lost += 1;
            self.settle_final(*id);
        }
    }

    /// Its fence can't be answered any more.
    pub fn unfenced(&mut self, id: DeliveryId) {
        if self.deliveries.get(&id).is_some_and(|d| d.phase == Phase::Proving) {
            self.figures.unproven += 1;
            self.steps.push_back(Step::Begin(id, false));
            self.leave(id);
        }
    }

    /// From now on what is read goes back at once, and so does what waits here for its time.
    pub fn shutdown_notice(&mut self) {
        self.leaving = true;
        let waits = |d: &Delivery| matches!(d.phase, Phase::Waiting(_) | Phase::Queued);
        let ids: Vec<DeliveryId> =
            self.deliveries.iter().filter(|(_, d)| waits(d)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.requeue(id));
    }

    // ---- steps ----

    pub fn next_step(&mut self, now: Timestamp) -> Option<Step> {
        loop {
            if let Some(step) = self.steps.pop_front() {
                return Some(step);
            }
            if let Some((_, id)) = self.times.first().copied().filter(|(at, _)| *at <= now) {
                self.times.pop_first();
                self.look(now, id);
                continue;
            }
            if self.open_gates(now) {
                continue;
            }
            if !self.can_publish || self.blocked {
                return None;
            }
            let id = self.to_publish.pop_front()?;
            let Some(delivery) = self.deliveries.get_mut(&id) else { continue };
            let (ending, tries, result) = (delivery.ending, delivery.tries, delivery.result.clone());
            if let Phase::Publishing { copy, out } = &mut delivery.phase {
                *out = Some(now);
                let copy = *copy;
                self.look_at(id, Some(now + CONFIRM_WITHIN));
                return Some(match copy {
                    Some(pause) => Step::Retry(id, pause, tries + 1),
                    None => Step::Reply(id, ending, result),
                });
            }
        }
    }

    /// When `next_step` may have something to do though nothing came.
    pub fn next_time(&self) -> Option<Timestamp> {
        let waits = |(queue, gate): &(usize, &Gate)| !gate.queued.is_empty() && !self.busy(*queue);
        let gates = self.gates.iter().enumerate().filter(waits).map(|(_, gate)| gate.opens).min();
        let time = self.times.first().map(|(at, _)| *at);
        [gates, time].into_iter().flatten().min()
    }

    /// How many deliveries are unsettled here.
    pub fn open(&self) -> usize {
        self.deliveries.values().filter(|delivery| delivery.open).count()
    }

    /// How many of a queue's are unsettled here.
    pub fn open_in(&self, queue: QueueId) -> usize {
        self.deliveries.values().filter(|delivery| delivery.open && delivery.queue == queue).count()
    }

    /// How many have something to do yet, settled or not.
    pub fn in_hand(&self) -> usize {
        self.deliveries.len()
    }

    /// Whether a result waits to go out for which there is no connection.
    pub fn owes_replies(&self) -> bool {
        self.deliveries
            .values()
            .any(|d| matches!(d.phase, Phase::Publishing { copy: None, .. } | Phase::Running))
    }

    /// What must hold after each input; the text names the delivery at fault.
    pub fn check(&self) -> Result<(), String> {
        let mut tags = BTreeSet::new();
        for (id, delivery) in &self.deliveries {
            if delivery.open && !tags.insert(delivery.tag) {
                return Err(format!("{id:?}: two deliveries hold one tag"));
            }
            match delivery.phase {
                Phase::Proving if delivery.open => return Err(format!("{id:?}: proving with a tag")),
                Phase::Held | Phase::Queued | Phase::Waiting(_) if !delivery.open => {
                    return Err(format!("{id:?}: held for nobody"));
                }
                Phase::Follows(first) if !self.deliveries.contains_key(&first) => {
                    return Err(format!("{id:?}: follows nothing"));
                }
                _ => {}
            }
        }
        Ok(())
    }

    // ---- inside ----

    fn settles_first(&self, id: DeliveryId) -> bool {
        let once = |d: &Delivery| d.repeats != Idempotency::Idempotent && self.queues[d.queue.0].settle_first;
        self.deliveries.get(&id).is_some_and(once)
    }

    fn past(&self, now: Timestamp, id: DeliveryId) -> bool {
        let due = self.deliveries.get(&id).and_then(|delivery| delivery.due);
        due.is_some_and(|due| now + EXPIRY_MARGIN >= due)
    }

    fn look_at(&mut self, id: DeliveryId, at: Option<Timestamp>) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let before = std::mem::replace(&mut delivery.look, at);
        before.map(|at| self.times.remove(&(at, id)));
        self.times.extend(at.map(|at| (at, id)));
    }

    /// A time that was set for this delivery is there; what it was set for may be long over.
    fn look(&mut self, now: Timestamp, id: DeliveryId) {
        let past = self.past(now, id);
        let Some(delivery) = self.deliveries.get(&id) else { return };
        match delivery.phase {
            Phase::Queued if past => self.finish(now, id, Ending::Expired, &[].into()),
            Phase::Held if past => {
                self.steps.push_back(Step::Withdraw(id));
                self.finish(now, id, Ending::Expired, &[].into());
            }
            Phase::Waiting(until) if until <= now => self.requeue(id),
            Phase::Publishing { .. } if self.blocked => self.look_at(id, Some(now + CONFIRM_WITHIN)),
            // What has no connection waits for the next one.
            Phase::Publishing { out, .. } if out.is_some() || delivery.open => self.confirmed(now, id, false),
            _ => {}
        }
    }

    /// What is done with it from here on follows from the queue's table.
    fn finish(&mut self, now: Timestamp, id: DeliveryId, ending: Ending, result: &Rc<[u8]>) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        (delivery.ending, delivery.result) = (ending, result.clone());
        let gate = &mut self.gates[delivery.queue.0];
        if gate.duty < 1.0 && delivery.phase.with_module() {
            let rest = (now - delivery.offered).scaled(1.0 / gate.duty - 1.0);
            gate.opens = now + rest.min(LONGEST_GATE);
        }
        let table = &self.queues[delivery.queue.0].table;
        let mut settlement = table.settle(ending, delivery.repeats, delivery.tries);
        if ending == Ending::Failed && settlement == Settlement::Later && delivery.message.is_none() {
            // Nobody counts its tries: it would come back for ever.
            settlement = table.exhausted;
        }
        let pause = table.pause(ending);
        delivery.settlement = settlement;
        // A failed request that may run again is not held against its message: an operator may bring it back.
        let once = delivery.repeats != Idempotency::Idempotent;
        let may_have_run = ending == Ending::Acked || ending == Ending::Failed && once;
        let followers = std::mem::take(&mut delivery.followers);
        if let Some(message) = delivery.message.clone() {
            if may_have_run {
                self.memory.ended(now, &message, ending, result.clone());
            } else if settlement == Settlement::Later && ending == Ending::Failed {
                self.memory.tried(now, &message, delivery.tries + 1);
            } else {
                self.memory.release(&message, id);
            }
        }
        self.figures.expired += u64::from(ending == Ending::Expired);
        // Settled before its run: only the reply is left to do.
        let settled = !delivery.open;
        match settlement {
            Settlement::Later | Settlement::Retry if settled => self.settle_final(id),
            Settlement::Later => self.wait(now, id, pause),
            Settlement::Retry => self.publish(now, id, Some(pause)),
            Settlement::Ack | Settlement::Reject if delivery.reply => self.publish(now, id, None),
            Settlement::Ack | Settlement::Reject => self.settle_final(id),
        }
        for follower in followers {
            if may_have_run {
                self.figures.from_kept += 1;
                self.finish(now, follower, ending, result);
            } else {
                self.wait(now, follower, pause);
            }
        }
    }

    fn publish(&mut self, now: Timestamp, id: DeliveryId, copy: Option<Duration>) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.phase = Phase::Publishing { copy, out: None };
            self.to_publish.push_back(id);
            self.look_at(id, Some(now + CONFIRM_WITHIN));
        }
    }

    fn wait(&mut self, now: Timestamp, id: DeliveryId, pause: Duration) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        if !delivery.open || self.leaving {
            return self.requeue(id);
        }
        let until = now + pause;
        delivery.phase = Phase::Waiting(until);
        self.look_at(id, Some(until));
    }

    fn requeue(&mut self, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        if let Some(tag) = delivery.take_tag() {
            self.figures.requeued += 1;
            self.steps.push_back(Step::Requeue(tag));
        }
        self.forget(id);
    }

    /// Settles as the table says for its ending.
    fn settle_final(&mut self, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let settlement = delivery.settlement;
        self.close(id, settlement);
    }

    fn close(&mut self, id: DeliveryId, settlement: Settlement) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        match (delivery.take_tag(), settlement) {
            (Some(tag), Settlement::Reject) => {
                self.figures.rejected += 1;
                self.steps.push_back(Step::Reject(tag));
            }
            (Some(tag), _) => {
                self.figures.acked += 1;
                self.steps.push_back(Step::Ack(tag));
            }
            (None, _) => {}
        }
        self.forget(id);
    }

    /// It never ran here and is no longer ours to settle.
    fn leave(&mut self, id: DeliveryId) {
        self.figures.left += u64::from(self.deliveries.contains_key(&id));
        self.forget(id);
    }

    fn forget(&mut self, id: DeliveryId) {
        let Some(delivery) = self.deliveries.remove(&id) else { return };
        delivery.look.map(|at| self.times.remove(&(at, id)));
        if let Some(message) = &delivery.message {
            self.memory.release(message, id);
        }
        // Those that waited for its ending have lost it; they never ran.
        for follower in delivery.followers {
            self.requeue(follower);
        }
        self.steps.push_back(Step::Forget(id, delivery.ending));
    }
}
