//! All decisions of one server. How to call it: build a `Logic` from the start-up facts, report what happens
//! through the inputs (`op_read`, `op_gone`, `run_ended`, `call_wanted`, `call_ended`, `timer`,
//! `leave_notice`), which only update what is known, then pull `next_decision(now)` until it is `None`.
//! The interface is this type's `pub fn`s and `Decision` in decision.rs; docs/design.md says why.

use crate::book::{
    Cycle, LEARNED_KEPT, Lately, Learned, Op, Outcome, Read, Recent, SAMPLES, State, View, mean, middle,
    note, parts,
};
use crate::catalog::{Catalog, Repeats};
use crate::change::{Change, Changed};
use crate::pcg::Pcg;
use crate::{CallerId, Decision, Fact, Facts, Moment, OpId, OpTypeId, Span, TenantId, UserKey};
use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The design's own figures (the paper's values but for the cycle, which ends by successes or by time).
const RATIO_THRESHOLD: f64 = 0.9;
const D_FACTOR: f64 = 1.1;
const I_FACTOR: f64 = 2.0;
const CYCLE_ACKS: usize = 60;
const CYCLE_MIN: Span = Span::from_ms(500);
const CYCLE_MAX: Span = Span::from_ms(4000);
const CYCLES_KEPT: usize = 16;
const USER_IDLE: Span = Span::from_ms(20_000);

/// Ours, where the design is silent.
const BEAT: Span = Span::from_ms(40);
const RUNS_PER_CORE: f64 = 1.16;
const COSTLY: f64 = 0.125;
const CROWD_MARGIN: f64 = 0.75;
const MEMORY_MARGIN: f64 = 0.92;
const CALLS_PART: f64 = 0.45;
const CALLS_SAVED: f64 = 0.3;
const CALLS_ROOM: f64 = 1.15;
const CALL_TRIES: u32 = 3;
const CALL_PATIENCE: f64 = 8.0;
const STOP_AGAIN: Span = Span::from_ms(200);
const EARLY_SHARE: f64 = 0.09;
const CROWDED: f64 = 0.3;
const ROOM: f64 = 0.65;
const FIT: f64 = 0.45;
const LISTED_BOOST: f64 = 1.5;
const LONG_WORK: f64 = 2.0;
const LAST_OPS: usize = 64;
const TENANT_SAMPLES: usize = 32;
const WAIT_STEP: Span = Span::from_ms(20);
const DRAIN_MARGIN: Span = Span::from_ms(250);
const KEEP_WORTH: f64 = 20.0;
const KEEP_ALL: f64 = 0.5;
const SHORTEST_KEEP: f64 = 4.0;

#[derive(Default)]
pub struct Logic {
    facts: Facts,
    chance: Pcg,
    cores: f64,
    /// Op types and tenants, as all fronts have them too.
    catalog: Rc<RefCell<Catalog>>,
    learned: Lately<OpTypeId, Learned, LEARNED_KEPT>,
    ops: BTreeMap<OpId, Op>,
    /// Short and long work, best first.
    lines: [Vec<OpId>; 2],
    users: BTreeMap<UserKey, Moment>,
    /// When ops of each tenant were read, and how many a second servers agreed on for this one.
    tenants: Lately<TenantId, Recent<Moment, TENANT_SAMPLES>, LEARNED_KEPT>,
    tenant_shares: BTreeMap<TenantId, f64>,
    keys: VecDeque<(Moment, OpId)>,
    seq: u64,
    started: Moment,
    cold: bool,
    leaving: Option<(Moment, Moment)>,
    /// Rate R with its tokens, while it binds.
    rate: Option<f64>,
    tokens: f64,
    refilled: Moment,
    admissions: u32,
    cycles: Recent<Cycle, CYCLES_KEPT>,
    cycle_began: Moment,
    acks: Vec<(f64, f64)>,
    beats: u32,
    beats_held: u32,
    /// Ops said to run while the gauge saw them wait for disk.
    off_cores: Recent<f64, SAMPLES>,
    /// Seconds that calls may still take, by this server's share; how long the last ones took.
    call_budget: f64,
    call_times: Recent<f64, SAMPLES>,
    /// Runs of the last acked ops over what was expected when they were read.
    paces: Recent<f64, SAMPLES>,
    refused: Recent<f64, LAST_OPS>,
    /// The last ops read, for what is common now.
    reads: Recent<Read, LAST_OPS>,
    said: Option<f64>,
    /// When callers were last seen, and how long they stayed away between two ops.
    callers: BTreeMap<CallerId, Moment>,
    /// 1 for the beats that saw all cores taken, else 0.
    full: Recent<f64, SAMPLES>,
    keep: f64,
    wake: Option<Moment>,
    out: VecDeque<Decision>,
}

impl Logic {
    /// From a plain map of dotted names; whether it starts cold is among them.
    pub fn new(facts: Facts, seed: u64, now: Moment) -> Result<Self, String> {
        let cold = facts.num("server.cold", 0.0) > 0.0;
        let catalog = Rc::new(RefCell::new(Catalog::from_facts(facts)?));
        Ok(Self::with(catalog, cold, seed, now))
    }

    pub fn with(catalog: Rc<RefCell<Catalog>>, cold: bool, seed: u64, now: Moment) -> Self {
        let facts = catalog.borrow().facts.clone();
        // Servers that begin in one moment would end their cycles, and so move R, in step for ever.
        let first_cycle = now.back(CYCLE_MAX.scaled(Pcg::new(!seed).unit()));
        let mut out = VecDeque::from([Decision::Health { good: true, from_store: true }]);
        if cold {
            out.push_back(Decision::Log("mode cold".into()));
        }
        Self {
            chance: Pcg::new(seed),
            cores: facts.num("server.cores", 1.0),
            catalog,
            started: now,
            cold,
            refilled: now,
            cycle_began: first_cycle,
            out,
            call_budget: CALLS_PART * facts.num("server.calls_bound", 1e9),
            facts,
            ..Self::default()
        }
    }

    // ---- inputs: they only update what is known ----

    #[allow(clippy::too_many_arguments)]
    pub fn op_read(
        &mut self,
        now: Moment,
        id: OpId,
        op_type: OpTypeId,
        tenant: TenantId,
        user: Option<UserKey>,
        caller: CallerId,
        due: Option<Moment>,
        cost: Option<Span>,
        kb: f64,
        age: Span,
        write: bool,
        repeat_of: Option<OpId>,
    ) {
        let Some(terms) = self.catalog.borrow().op_type(op_type).cloned() else {
            let never = Decision::Nack { op: id, come_back: Span::ZERO, nowhere_else: true };
            return self.out.push_back(never);
        };
        let arrived = now.back(age);
        let cost = cost.map_or(1.0, |c| c.secs().max(1e-4));
        let timeout = terms.op_timeout;
        let gone_by = due.map_or(Span::ZERO, |due| self.gone_by(op_type, due - arrived, timeout));
        let due = due.unwrap_or(arrived + timeout);
        let target = terms.target_latency + Span::from_secs(terms.target_stretch * cost);
        let listed = user.and_then(|u| self.users.get(&u)).is_some_and(|seen| now - *seen < USER_IDLE);
        let importance = terms.importance * if listed { LISTED_BOOST } else { 1.0 };
        let share = self.share_factor(now, tenant);
        let expected = self.run_secs(op_type, terms.target_latency, cost).max(1e-4);
        let work = if self.facts.text("counted_by") == "work" { 1.0 } else { expected };
        let idle = self.span("server.caller_idle_us");
        let last = note(&mut self.callers, caller, now, idle);
        let gap = last.map_or(f64::INFINITY, |last| (now - last).secs());
        self.reads.push(Read { at: now, caller, gap, expected });
        self.seq += 1;
        let op = Op {
            seq: self.seq,
            op_type,
            terms,
            user,
            caller,
            arrived,
            due,
            target_at: (arrived + (target.min(timeout) - gone_by)).min(due),
            kb,
            cost,
            expected,
            long: expected > LONG_WORK * self.usual_run_secs(),
            rank: (2.0 * (importance * share / work).log2()).round(),
            repeat_of,
            write,
            listed,
            owed: true,
            began: now,
            ..Op::default()
        };
        self.ops.insert(id, op);
        self.line_up(id);
    }

    /// How long ago the client's first try was, by how long its caller still waits: a first try's wait is a
    /// common one; a shorter one is a repeat within it, a longer one a last try with all that is left.
    /// Guards against late acks after repeats; says nothing where callers draw their waits by chance.
    fn gone_by(&mut self, op_type: OpTypeId, left: Span, timeout: Span) -> Span {
        let step = left.us() / WAIT_STEP.us();
        let seen = &mut self.learned.see(op_type).waits;
        seen.push(step);
        let often = |s: u64| seen.samples.iter().filter(|other| other.abs_diff(s) <= 1).count();
        let mut common = seen.samples.iter().copied().filter(|s| often(*s) * 8 >= seen.samples.len());
        match common.clone().filter(|s| *s + 1 >= step).min() {
            Some(first) => Span::from_us(first.saturating_sub(step + 1) * WAIT_STEP.us()),
            None if common.next().is_some() => timeout - left,
            None => Span::ZERO,
        }
    }

    fn line_up(&mut self, id: OpId) {
        let line = usize::from(self.ops[&id].long);
        let at =
            self.lines[line].partition_point(|other| self.order(&self.ops[other], &self.ops[&id]).is_lt());
        self.lines[line].insert(at, id);
    }

    pub fn op_gone(&mut self, id: OpId) {
        if let Some(op) = self.ops.get_mut(&id) {
            op.owed = false;
            if matches!(op.state, State::Held | State::AwaitsResult) {
                self.forget(id);
            }
        }
    }

    pub fn run_ended(&mut self, now: Moment, id: OpId, outcome: Outcome) {
        self.refill(now);
        let linger = self.span("server.lingers_us").secs();
        let Some(op) = self.ops.get_mut(&id).filter(|op| op.state != State::Held) else { return };
        if op.state == State::Calling {
            self.call_budget -= linger;
        }
        if outcome == Outcome::Stopped && op.owed && op.state != State::AwaitsResult {
            // Back in the hold; what has run is failed there, unless it is only paused.
            op.state = State::Held;
            op.paused = self.facts.text("server.stop") == "pause";
            op.stop_sent = None;
            self.line_up(id);
            return;
        }
        if outcome == Outcome::Ok && op.state != State::AwaitsResult {
            let run = op.ran_for(now);
            self.paces.push(run / op.expected);
            // Nothing is learned of a type that has gone, nor from ops of one that stands in its place.
            if self.catalog.borrow().op_type(op.op_type).is_some() {
                let learned = self.learned.see(op.op_type);
                learned.runs.push((op.cost, run));
                learned.calls.push(op.at_calls.secs());
            }
            if op.owed && now <= op.target_at {
                self.acks.push((op.cost, (now - op.arrived).secs()));
            }
        }
        self.forget(id);
    }

    pub fn call_wanted(&mut self, now: Moment, id: OpId) {
        if let Some(op) = self.ops.get_mut(&id).filter(|op| op.state == State::Running) {
            op.state = State::WantsCall;
            op.call_began = now;
            op.call_after = now;
            op.call_tries = 0;
        }
    }

    pub fn call_ended(&mut self, now: Moment, id: OpId, outcome: Outcome) {
        self.refill(now);
        let linger = self.span("server.lingers_us").secs();
        let Some(op) = self.ops.get_mut(&id).filter(|op| op.state == State::Calling) else { return };
        let took = (now - op.call_after).secs();
        match outcome {
            Outcome::Ok => {
                self.call_times.push(took);
                return op.call_over(now);
            }
            Outcome::TimedOut => {
                self.call_times.push(2.0 * took);
                self.call_budget -= linger;
            }
            _ => {} // says nothing of how long calls take
        }
        op.state = State::WantsCall;
        let never_ran = matches!(outcome, Outcome::Full | Outcome::Unreached | Outcome::Moot);
        // Only a refusal speaks of load: what broke or never came is made again at once.
        let wait = if never_ran { op.call_tries } else { 0 };
        op.call_after = now + Span::from_ms(50).scaled(f64::from(wait));
        if !never_ran && op.terms.repeats != Repeats::Retryable {
            op.call_tries = CALL_TRIES;
        }
    }

    pub fn timer(&mut self, now: Moment, gauges: &[(&str, f64)]) {
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
        }
        let on_cores = gauges.iter().find(|g| g.0 == "on_cores").map(|g| g.1);
        let running = self.count(|op| op.state == State::Running) as f64;
        if let Some(on_cores) = on_cores {
            self.off_cores.push(running - on_cores);
        }
        self.beats += 1;
        self.beats_held += u32::from(self.ops.values().any(|op| op.state == State::Held && op.admitted));
        self.full.push(f64::from(u8::from(on_cores.unwrap_or(running) >= self.cores)));
        if self.cold && now - self.started >= self.span("rules.cold_us") {
            self.cold = false;
            self.log(format!("mode warm after_s={:.1}", (now - self.started).secs()));
        }
    }

    pub fn leave_notice(&mut self, now: Moment, stop: Moment) {
        self.leaving = Some((now, stop));
        self.log(format!("mode leaving in_hand={}", self.ops.len()));
        self.out.push_back(Decision::Health { good: false, from_store: true });
    }

    /// What servers found out together, by names under `joint.`; `None` once they don't know any more.
    pub fn told(&mut self, now: Moment, name: &str, value: Option<f64>) {
        self.refill(now);
        let value = value.filter(|n| n.is_finite() && *n >= 0.0);
        let tenant = name.strip_prefix("joint.tenants.").and_then(|rest| rest.strip_suffix(".per_s"));
        if let Some(tenant) = tenant.and_then(|at| at.parse().ok()).map(TenantId) {
            match value {
                Some(n) => self.tenant_shares.insert(tenant, n),
                None => self.tenant_shares.remove(&tenant),
            };
            return;
        }
        match value.filter(|_| name.starts_with("joint.")) {
            Some(n) => self.facts.0.insert(name.into(), Fact::Num(n)),
            None => self.facts.0.remove(name).filter(|_| name.starts_with("joint.")),
        };
    }

    /// Other settings from now on, all of them or, with the key at fault, none. Ops in hand go on by the terms under
    /// which they were read; R, what was learned of types that stay, users and callers remain.
    pub fn change(&mut self, now: Moment, change: &Change) -> Result<Changed, String> {
        self.refill(now);
        let mut catalog = self.catalog.borrow_mut();
        catalog.check(now, change)?;
        let (changed, op_types, tenants) = catalog.apply(now, change);
        for (key, fact) in &change.facts {
            match fact {
                Some(fact) => self.facts.0.insert(key.clone(), fact.clone()),
                None => self.facts.0.remove(key),
            };
        }
        op_types.iter().for_each(|id| self.learned.forget(id));
        tenants.iter().for_each(|id| self.tenants.forget(id));
        tenants.iter().for_each(|id| _ = self.tenant_shares.remove(id));
        Ok(changed)
    }

    // ---- decisions, one by one ----

    pub fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        self.refill(now);
        self.end_cycle(now);
        while self.keys.front().is_some_and(|(until, _)| *until <= now) {
            self.keys.pop_front();
        }
        if let Some(decision) = self.out.pop_front() {
            return Some(decision);
        }
        self.answer_due(now)
            .or_else(|| self.stop_unwanted(now))
            .or_else(|| self.guard_memory(now))
            .or_else(|| self.answer_repeats(now))
            .or_else(|| self.make_calls(now))
            .or_else(|| self.admit(now))
            .or_else(|| self.turn_away_late(now))
            .or_else(|| self.run_next(now))
            .or_else(|| self.say(now))
            .or_else(|| self.close_idle())
            .or_else(|| {
                let next = self.wake.is_none().then_some(now + BEAT);
                self.wake = self.wake.or(next);
                next.map(Decision::Wake)
            })
    }

    /// Rule 1: whatever has happened to an op, its answer leaves a beat before it is due; sooner where a run
    /// can't earn any more and can be stopped.
    fn answer_due(&mut self, now: Moment) -> Option<Decision> {
        let stop = self.leaving.is_some_and(|(_, stop)| now >= stop.back(DRAIN_MARGIN));
        let stops = self.facts.text("server.stop") != "none";
        let worthless = |op: &Op| stops && op.ran && now + BEAT >= op.target_at && op.terms.late_worth <= 0.0;
        let id = self.first_by_seq(|op| op.owed && (now + BEAT >= op.due || stop || worthless(op)))?;
        Some(self.give_up(now, id))
    }

    /// Work nobody waits for leaves the cores where it can be stopped.
    fn stop_unwanted(&mut self, now: Moment) -> Option<Decision> {
        let stops = self.facts.text("server.stop") != "none";
        let unsent = |op: &Op| op.stop_sent.is_none_or(|sent| now - sent > STOP_AGAIN);
        let id = self.first_by_seq(|op| stops && !op.owed && op.state == State::Running && unsent(op))?;
        self.ops.get_mut(&id)?.stop_sent = Some(now);
        Some(Decision::Stop(id))
    }

    /// Rule 4: held, running and kept must fit; what ranks last goes first.
    fn guard_memory(&mut self, now: Moment) -> Option<Decision> {
        if self.memory() <= self.memory_limit() {
            return None;
        }
        let id = self.held().filter(|(_, op)| !op.paused).max_by(|a, b| self.order(a.1, b.1))?.0;
        Some(self.give_up(now, id))
    }

    /// Rule 2: keyed ops are marked when read, and a repeat is served from the first try, never run.
    fn answer_repeats(&mut self, now: Moment) -> Option<Decision> {
        let shares_reads = self.facts.num("server.share_reads_us", 0.0) > 0.0;
        let keyed = |op: &Op| op.terms.repeats == Repeats::Keyed;
        let shares = |op: &Op| shares_reads && !op.write && op.terms.repeats == Repeats::Retryable;
        let marked = |op: &Op| keyed(op) || (shares(op) && op.user.is_some());
        let id = self.first_by_seq(|op| {
            let repeat = op.repeat_of.is_some() && (keyed(op) || shares(op));
            op.state == State::Held && !op.ran && (repeat || marked(op) && !op.key_kept)
        })?;
        let op = &self.ops[&id];
        if let Some(first) = op.repeat_of {
            // Two tries read together name each other: the one read first is the one that may run.
            let mutual =
                self.ops.get(&first).is_some_and(|f| f.repeat_of == Some(id) && op.seq < f.seq && !f.ran);
            if !mutual {
                self.unline(id);
                self.ops.get_mut(&id)?.state = State::AwaitsResult;
                return Some(Decision::AnswerFrom(id));
            }
            self.ops.get_mut(&id)?.repeat_of = None;
            return self.answer_repeats(now);
        }
        let span =
            if keyed(op) { op.terms.window } else { self.span("server.share_reads_us") + (op.due - now) };
        let fits = self.memory() + self.facts.num("server.key_kb", 0.0) <= self.memory_limit();
        if !fits && keyed(op) {
            return Some(self.give_up(now, id));
        }
        self.ops.get_mut(&id)?.key_kept = true;
        if !fits {
            return self.answer_repeats(now);
        }
        self.keys.push_back((now + span, id));
        Some(Decision::KeepKey { op: id, span })
    }

    /// The time at calls, not only their number, stays within this server's share of what the dependency
    /// survives. Guards against slow spells; gives up calls for which others may have left room.
    fn make_calls(&mut self, now: Moment) -> Option<Decision> {
        let ready = |op: &Op| op.state == State::WantsCall && op.owed && op.call_after <= now;
        let skips = |op: &Op| self.breaker_open() && op.terms.skip_worth > 0.0;
        if let Some(id) = self.first_by_seq(|op| ready(op) && (op.call_tries >= CALL_TRIES || skips(op))) {
            let op = self.ops.get_mut(&id)?;
            if op.terms.skip_worth > 0.0 {
                op.call_over(now);
                return Some(Decision::SkipCall(id));
            }
            return Some(self.give_up(now, id));
        }
        let calls = self.count(|op| op.state == State::Calling) as f64 + 1.0;
        if self.breaker_open() || self.calls_short() || calls > (2.0 * self.calls_bound()).max(1.0) {
            return None;
        }
        let drain = calls - self.calls_bound();
        let lasts = Span::from_secs(if drain > 0.0 { self.call_budget / drain } else { 1e6 });
        let ready = self.ops.iter().filter(|(_, op)| ready(op));
        let id = *ready.min_by(|a, b| self.order(a.1, b.1))?.0;
        let usual = self.call_secs().unwrap_or(f64::INFINITY);
        let op = self.ops.get_mut(&id)?;
        op.state = State::Calling;
        op.call_after = now;
        op.call_tries += 1;
        // A reply that never comes must not hold its run: only the last try waits for as long as there is.
        let last = op.call_tries >= CALL_TRIES || op.terms.repeats != Repeats::Retryable;
        let usual = Span::from_secs(if last { f64::INFINITY } else { usual * CALL_PATIENCE });
        Some(Decision::Call { op: id, patience: (op.due - now).min(lasts).min(usual).max(BEAT) })
    }

    /// The design: listed users pass, openings of unlisted users meet R, and all admitted ops count to it.
    fn admit(&mut self, now: Moment) -> Option<Decision> {
        loop {
            let open = self.rate.is_none();
            let passes = |op: &Op| !op.admitted && (open || op.listed || self.tokens >= 1.0);
            let best =
                |a: &(OpId, &Op), b: &(OpId, &Op)| b.1.listed.cmp(&a.1.listed).then(self.order(a.1, b.1));
            let Some((id, _)) = self.held().filter(|(_, op)| passes(op)).min_by(best) else { break };
            self.tokens -= 1.0;
            self.ops.get_mut(&id)?.admitted = true;
        }
        let early = |op: &Op| op.terms.op_timeout.scaled(EARLY_SHARE);
        let id = self.first_by_seq(|op| {
            op.state == State::Held && !op.admitted && now + BEAT - op.arrived >= early(op)
        })?;
        Some(self.give_up(now, id))
    }

    /// An op that can't be acked within its target latency at the present pace is turned away at once.
    fn turn_away_late(&mut self, now: Moment) -> Option<Decision> {
        let drag = self.drag(now);
        let mut ahead = self.running_left(now, drag);
        let mut before = self.count(|op| op.state == State::Running) as f64;
        let slots = self.run_bound(now).max(1.0);
        let waiting = self.count(|op| op.state == State::WantsCall) as f64;
        let (call_secs, calls_bound) = (self.call_secs().unwrap_or(0.0), self.calls_bound());
        let mut ids: Vec<OpId> = self.lines.concat();
        ids.sort_by(|a, b| self.order(&self.ops[a], &self.ops[b]));
        for id in ids {
            let op = &self.ops[&id];
            let run = op.expected * drag;
            let kind = &op.terms;
            let calls = self.call_part(op.op_type).unwrap_or(0.0);
            let refused =
                self.leaving.is_some_and(|(at, _)| op.arrived > at + self.span("rules.drain_grace_us"));
            let last = if kind.late_worth > 0.0 { op.due } else { op.target_at };
            let early = now - op.arrived < kind.op_timeout.scaled(EARLY_SHARE);
            let wait = if before < slots { 0.0 } else { ahead / slots };
            let for_calls = ((before + waiting) * call_secs - self.call_budget) / calls_bound;
            let wait = Span::from_secs(wait.max(for_calls));
            let finish =
                now + wait.scaled(if early { 1.0 / FIT } else { 1.0 }) + Span::from_secs(run + calls);
            if refused || finish > last || (op.ran && !op.paused) {
                return Some(self.give_up(now, id));
            }
            ahead += run;
            before += 1.0;
        }
        None
    }

    fn run_next(&mut self, now: Moment) -> Option<Decision> {
        let on_cores = self.count(|op| op.state == State::Running) as f64;
        let live = self.count(|op| !matches!(op.state, State::Held | State::AwaitsResult)) as f64;
        let waiting = self.count(|op| op.state == State::WantsCall) as f64;
        if on_cores + 1.0 > self.run_bound(now)
            || live + 1.0 > self.crowd_ceiling(now)
            || waiting > self.cores && !self.breaker_open()
            || waiting > 0.0 && self.calls_short()
        {
            return None;
        }
        let (short, long) = (self.head(0, now), self.head(1, now));
        let long_runs = self.count(|op| op.state == State::Running && op.long) as f64;
        let id = match (short, long) {
            (Some(s), Some(l)) => {
                let long_first = self.order(&self.ops[&l], &self.ops[&s]).is_lt();
                if long_first && long_runs < self.cores / 2.0 { l } else { s }
            }
            (s, l) => s.or(l)?,
        };
        self.unline(id);
        let op = self.ops.get_mut(&id)?;
        if !op.paused {
            op.began = now;
            self.admissions += 1;
        }
        (op.state, op.ran, op.paused) = (State::Running, true, false);
        if let Some(user) = op.user {
            note(&mut self.users, user, now, USER_IDLE);
        }
        self.refused.push(0.0);
        Some(Decision::Run(id))
    }

    fn head(&self, line: usize, now: Moment) -> Option<OpId> {
        let room = self.memory_limit() - self.memory();
        let factor = self.facts.num("server.run_factor", 8.0) - 1.0;
        let open = self.breaker_open();
        let calls = |op: &Op| op.terms.skip_worth <= 0.0 && self.call_part(op.op_type) > Some(0.0);
        self.lines[line].iter().copied().find(|id| {
            let op = &self.ops[id];
            !(open && calls(op)) && op.admitted && (op.paused || op.kb * factor <= room) && now < op.due
        })
    }

    /// What callers are told, so that ops are turned away before they cost a read.
    fn say(&mut self, now: Moment) -> Option<Decision> {
        let value = match self.facts.text("server.value") {
            "credit" => (self.room(now) / self.active_callers()).max(1.0 - self.refused_share()),
            "weight" => (1.0 - self.refused_share()).max(0.1),
            _ => return None,
        };
        let value = (value * 20.0).round() / 20.0;
        if self.said == Some(value) || (self.said.is_none() && self.ops.is_empty()) {
            return None;
        }
        self.said = Some(value);
        Some(Decision::Say(value))
    }

    /// How long idle connections stay open: a kept one takes some of the cores and a place in a table, a new
    /// one work once. By how long the last callers stayed away; while all cores are taken all are kept, since
    /// a full table turns tries away unread. Guards against tables full of callers that don't come back and
    /// against storms of tries; does harm where cores are taken and most callers are new.
    fn close_idle(&mut self) -> Option<Decision> {
        if self.wake.is_some() || self.reads.samples.len() < SAMPLES {
            return None;
        }
        let dear = (1.0 - self.full_share() / KEEP_ALL).max(0.0) * (1.0 / KEEP_WORTH + self.refused_share());
        let cost = |keep: f64| {
            let of = |read: &Read| read.gap.min(keep) * dear + f64::from(u8::from(read.gap > keep));
            self.reads.samples.iter().map(of).sum::<f64>()
        };
        let steps = (0..4).rev().map(|step| SHORTEST_KEEP * f64::from(1 << step));
        let keep = steps.min_by(|a, b| cost(*a).total_cmp(&cost(*b)))?;
        // Where the settings don't say when callers close, it is not at once.
        let callers = Some(self.span("server.caller_idle_us")).filter(|span| *span > Span::ZERO);
        let idle = callers.map_or(Span::from_secs(keep), |callers| callers.min(Span::from_secs(keep)));
        (std::mem::replace(&mut self.keep, keep) != keep).then_some(Decision::CloseIdle(idle))
    }

    // ---- the power test ----

    /// A cycle ends by successes or by time; then R is cut, raised, bound or let go.
    fn end_cycle(&mut self, now: Moment) {
        let span = now - self.cycle_began;
        let pressed = self.beats_held * 2 >= self.beats.max(1);
        // An R that idles the cores is not kept for the rest of a cycle.
        let idled = self.rate.is_some() && !pressed && self.full_share() < 0.5;
        if span < CYCLE_MIN || (self.acks.len() < CYCLE_ACKS && span < CYCLE_MAX && !idled) {
            return;
        }
        let (cost, response) = self.acks.iter().fold((0.0, 0.0), |(c, r), (cost, resp)| (c + cost, r + resp));
        let response = response / cost.max(1e-9);
        let power = cost / span.secs() / response.max(1e-9);
        self.cycle_began = now;
        let admitted = std::mem::take(&mut self.admissions);
        (self.beats, self.beats_held) = (0, 0);
        let acked = std::mem::take(&mut self.acks).len();
        self.cycles.push(Cycle { power, response });
        let powers = self.cycles.samples.iter().copied();
        let Some(best) = powers.max_by(|a, b| a.power.total_cmp(&b.power)) else { return };
        let over = power / best.power < RATIO_THRESHOLD && (response > best.response || acked == 0);
        let admitted = f64::from(admitted) / span.secs();
        let figures = format!("ratio={:.2} resp={response:.2} best={:.2}", power / best.power, best.response);
        match self.rate {
            None if over && pressed => {
                self.rate = Some(admitted.max(1.0));
                self.tokens = 0.0;
                self.refilled = now;
                self.log(format!("mode bound R={admitted:.1}/s {figures}"));
            }
            Some(rate) if idled => self.unbind(rate, admitted, &figures),
            Some(rate) if over && pressed => self.rate = Some((rate / D_FACTOR).max(1.0)),
            Some(rate) if !over => {
                let raised = rate + I_FACTOR;
                self.rate = Some(raised);
                if raised > admitted * D_FACTOR + I_FACTOR {
                    self.unbind(raised, admitted, &figures);
                }
            }
            _ => {}
        }
    }

    fn unbind(&mut self, rate: f64, admitted: f64, figures: &str) {
        self.rate = None;
        self.log(format!("mode open R={rate:.1}/s admitted={admitted:.1}/s {figures}"));
    }

    fn refill(&mut self, now: Moment) {
        let calls = self.count(|op| op.state == State::Calling) as f64;
        self.call_budget += (self.calls_bound() - calls) * (now - self.refilled).secs();
        self.call_budget = self.call_budget.min(self.calls_saved());
        let rate = self.rate.unwrap_or(0.0);
        let gain = rate * (now - self.refilled).secs();
        self.tokens = (self.tokens + gain).clamp(-rate, (rate * 0.25).max(1.0));
        self.refilled = now;
    }

    // ---- figures, worked out when needed ----

    fn span(&self, name: &str) -> Span {
        Span::from_us(self.facts.num(name, 0.0) as u64)
    }

    fn log(&mut self, line: String) {
        self.out.push_back(Decision::Log(line));
    }

    fn count(&self, which: impl Fn(&Op) -> bool) -> usize {
        self.ops.values().filter(|op| which(op)).count()
    }

    fn first_by_seq(&self, which: impl Fn(&Op) -> bool) -> Option<OpId> {
        self.ops.iter().filter(|(_, op)| which(op)).min_by_key(|(_, op)| op.seq).map(|(id, _)| *id)
    }

    fn held(&self) -> impl Iterator<Item = (OpId, &Op)> {
        self.lines.iter().flatten().map(|id| (*id, &self.ops[id]))
    }

    fn order(&self, a: &Op, b: &Op) -> Ordering {
        let rank = b.rank.total_cmp(&a.rank);
        (b.paused.cmp(&a.paused)).then(rank).then(a.target_at.cmp(&b.target_at)).then(a.seq.cmp(&b.seq))
    }

    fn run_secs(&self, op_type: OpTypeId, target_latency: Span, cost: f64) -> f64 {
        let unknown = if cost == 1.0 { target_latency.secs() * 0.2 } else { cost };
        self.learned.get(&op_type).and_then(|known| known.runs.expect(cost, COSTLY)).unwrap_or(unknown)
    }

    /// Seconds that an op of this type is at calls, by the last ones.
    fn call_part(&self, op_type: OpTypeId) -> Option<f64> {
        self.learned.get(&op_type).and_then(|known| known.calls.mean_without_top(COSTLY))
    }

    fn usual_run_secs(&self) -> f64 {
        mean(self.reads.samples.iter().map(|read| read.expected)).unwrap_or(f64::INFINITY)
    }

    /// How much longer than expected the runs on the cores take now, or how much shorter the last ones were.
    /// Guards against a slow or hung server, and against refusing for long after it is well again, since
    /// each op type learns from its own runs only. Harm: a run of small ops passes for a fast server.
    fn drag(&self, now: Moment) -> f64 {
        let running = self.ops.values().filter(|op| op.state == State::Running);
        let free = (self.cores as usize).saturating_sub(running.clone().count());
        let ratios = running.map(|op| op.ran_for(now) / op.expected).chain(std::iter::repeat_n(1.0, free));
        let running = middle(ratios).unwrap_or(1.0);
        if running > 1.0 { running } else { self.paces.mean_without_top(0.0).unwrap_or(1.0).min(1.0) }
    }

    fn full_share(&self) -> f64 {
        mean(self.full.samples.iter().copied()).unwrap_or(0.0)
    }

    fn refused_share(&self) -> f64 {
        self.refused.samples.iter().sum::<f64>() / LAST_OPS as f64
    }

    fn running_left(&self, now: Moment, drag: f64) -> f64 {
        let running = self.ops.values().filter(|op| op.state == State::Running);
        running.map(|op| (op.expected * drag - op.ran_for(now)).max(op.expected * drag * 0.2)).sum()
    }

    /// What an op of this tenant is worth by the tenant's share here: traffic past it earns little.
    fn share_factor(&mut self, now: Moment, tenant: TenantId) -> f64 {
        let Some(quota) = self.catalog.borrow().tenant(tenant).and_then(|terms| terms.quota_per_s) else {
            return 1.0;
        };
        let seen = self.tenants.see(tenant);
        seen.push(now);
        let over = self.facts.num("over_share_worth", 1.0);
        if seen.samples.len() < TENANT_SAMPLES / 2 {
            return 1.0;
        }
        let rate = seen.samples.len() as f64 / (now - seen.samples[0]).secs().max(0.01);
        let here = quota / self.facts.num("servers", 1.0).max(1.0);
        let here = self.tenant_shares.get(&tenant).copied().unwrap_or(here);
        let within = (here / rate).min(1.0);
        within + (1.0 - within) * over
    }

    fn memory(&self) -> f64 {
        let factor = self.facts.num("server.run_factor", 8.0);
        let weigh = |op: &Op| {
            let still = op.state == State::Held || op.state == State::AwaitsResult;
            op.kb * if still && !op.paused { 1.0 } else { factor }
        };
        let keys = self.keys.len() as f64 * self.facts.num("server.key_kb", 0.0);
        keys + self.ops.values().map(weigh).sum::<f64>()
    }

    fn memory_limit(&self) -> f64 {
        self.facts.num("server.memory_kb", f64::MAX) * MEMORY_MARGIN
    }

    /// Calls in hand on average; with what may be saved up they stay under 0.6 of this server's share.
    fn calls_bound(&self) -> f64 {
        self.facts.num("joint.calls_bound", self.facts.num("server.calls_bound", 1e9)) * CALLS_PART
    }

    /// What all calls go to can't be reached: nothing that will call is run for nothing meanwhile.
    fn breaker_open(&self) -> bool {
        self.facts.num("joint.breaker_open", 0.0) > 0.0
    }

    fn calls_saved(&self) -> f64 {
        self.calls_bound() * self.facts.num("server.calls_over_us", 5e6) / 1e6 * CALLS_SAVED
    }

    fn call_secs(&self) -> Option<f64> {
        middle(self.call_times.samples.iter().copied())
    }

    fn calls_short(&self) -> bool {
        self.call_budget <= (2.0 * self.call_secs().unwrap_or(0.0)).min(0.8 * self.calls_saved())
    }

    /// The crowd on the cores that is survived, with a margin: less while cold. A ceiling, not a target.
    fn crowd_ceiling(&self, now: Moment) -> f64 {
        let multiple = self.facts.num("rules.crowd_multiple", 3.0);
        let from = self.facts.num("rules.cold_share", 0.2);
        let grown = (now - self.started).secs() / self.span("rules.cold_us").secs().max(1e-6);
        let warm = if self.cold { (from + (1.0 - from) * grown).min(1.0) } else { 1.0 };
        ((1.0 + (multiple - 1.0) * warm) * self.cores * CROWD_MARGIN).max(1.0)
    }

    /// How many may run: the cores' worth, and as many again as were seen to wait for disk.
    fn run_bound(&self, now: Moment) -> f64 {
        (self.cores * RUNS_PER_CORE + self.off_cores.mean_of_upper_half().unwrap_or(0.0).max(0.0))
            .min(self.crowd_ceiling(now))
    }

    /// How many ops in hand could still be acked within their targets, by what those leave after an op's own
    /// run; only a part, since what is sent in vain costs more than the choice among more ops brings.
    pub fn room(&self, now: Moment) -> f64 {
        let target = |op: &Op| op.terms.target_latency.secs();
        let target = mean(self.ops.values().map(target)).unwrap_or(0.0);
        self.run_bound(now) * ((target / self.usual_run_secs().max(1e-3) - 1.0) * ROOM).clamp(1.0, 20.0)
    }

    /// What others may be told of this server, and what it would use of what all share.
    pub fn view(&self, now: Moment) -> View {
        let since = self.reads.samples.front().map_or(Span::ZERO, |read| now - read.at).secs().max(0.2);
        // By runs that were seen: a type that never got a call would say for ever that it needs none.
        let runs = mean(self.learned.all().flat_map(|known| known.runs.samples.iter().map(|run| run.1)));
        let can = runs.map_or(f64::INFINITY, |secs| self.cores / secs.max(1e-4));
        let rate = (self.reads.samples.len() as f64 / since).min(can);
        let calls = self.call_secs().map(|secs| rate * secs / CALLS_PART * CALLS_ROOM);
        View { calls, call_secs: self.call_secs(), refused: self.refused_share() }
    }

    /// Ops a second that came of this tenant lately.
    pub fn tenant_rate(&self, now: Moment, tenant: TenantId) -> f64 {
        let seen =
            self.tenants.get(&tenant).and_then(|seen| Some((seen.samples.len(), *seen.samples.front()?)));
        seen.map_or(0.0, |(count, first)| count as f64 / (now - first).secs().max(0.2))
    }

    /// Callers of the last ops read, by weight: two alike are 2, a heavy and a light one little over 1.
    fn active_callers(&self) -> f64 {
        let mut read: BTreeMap<CallerId, f64> = BTreeMap::new();
        for last in &self.reads.samples {
            *read.entry(last.caller).or_default() += 1.0;
        }
        parts(read.into_values())
    }

    /// The final answer for an op that won't be acked: a nack while it never ran, else an error.
    fn give_up(&mut self, now: Moment, id: OpId) -> Decision {
        let op = &self.ops[&id];
        if op.admitted && !op.ran {
            self.tokens += 1.0; // it never came to count
        }
        let (ran, state, repeat, kept) = (op.ran, op.state, op.repeat_of.is_some(), op.key_kept);
        let hopeless = now + Span::from_secs(op.expected * 0.5) > op.target_at && op.terms.late_worth <= 0.0;
        self.refused.push(1.0);
        let come_back = self.come_back(now, op.caller);
        if matches!(state, State::Held | State::AwaitsResult) {
            self.forget(id);
        } else if let Some(op) = self.ops.get_mut(&id) {
            op.owed = false;
        }
        if ran || repeat || state != State::Held {
            return Decision::Fail(id);
        }
        if kept {
            self.keys.retain(|(_, kept)| *kept != id);
            self.out.push_back(Decision::DropKey(id));
        }
        // Where much is refused, demand is the cause, and tries elsewhere cost more than they bring. Guards
        // against storms of tries; does harm where only this server is sought out.
        let refused = self.facts.num("joint.refused", self.refused_share());
        let nowhere_else = hopeless || !self.cold && self.leaving.is_none() && refused > CROWDED;
        Decision::Nack { op: id, come_back, nowhere_else }
    }

    /// When a refused caller may find room: once what is in hand has been worked off, or after its usual gap
    /// if shorter, so that few callers are not shut out; by chance, so that they don't all come back at once.
    fn come_back(&mut self, now: Moment, caller: CallerId) -> Span {
        if self.facts.num("limits.retry_after", 0.0) <= 0.0 {
            return Span::ZERO;
        }
        let most = self.span("limits.max_retry_after_us");
        let left: f64 = self.held().map(|(_, op)| op.expected).sum();
        let spread = 0.75 + 0.5 * self.chance.unit();
        let clear = (self.running_left(now, 1.0) + left) / self.cores;
        let its = self.reads.samples.iter().filter(|read| read.caller == caller).count();
        let since = self.reads.samples.front().map_or(Span::ZERO, |read| now - read.at).secs();
        let gap = since / its.max(1) as f64;
        Span::from_secs(clear.min(gap)).scaled(spread).max(BEAT).min(most)
    }

    fn unline(&mut self, id: OpId) {
        for line in &mut self.lines {
            line.retain(|held| *held != id);
        }
    }

    fn forget(&mut self, id: OpId) {
        self.unline(id);
        self.ops.remove(&id);
    }
}
