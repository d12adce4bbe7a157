//! All decisions of one server. How to call it: build a `AdmissionController` from the start-up facts, report what happens
//! through the inputs (`request_received`, `request_abandoned`, `run_finished`, `call_requested`, `call_finished`, `timer`,
//! `shutdown_notice`), which only update what is known, then pull `next_decision(now)` until it is `None`.
//! The interface is this type's `pub fn`s and `Decision` in decision.rs; docs/design.md says why.

use crate::book::{
    Cycle, LEARNED_KEPT, Lately, Learned, LoadReport, Op, Outcome, Read, Recent, SAMPLES, State, mean,
    middle, note, parts,
};
use crate::config::catalog::Catalog;
use crate::config::change::{Change, ChangeSummary};
use crate::config::error::ConfigError;
use crate::config::request_class::Idempotency;
use crate::config::settings::{CapacitySignal, ControllerSettings, Preemption, ValueUnit};
use crate::pcg::Pcg;
use crate::{
    ClientId, Decision, Duration, FleetGuidance, GuidanceKey, RequestClassId, RequestId, SessionKey,
    TenantId, Timestamp,
};
use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The design's own figures (the paper's values but for the cycle, which ends by successes or by time).
const RATIO_THRESHOLD: f64 = 0.9;
const D_FACTOR: f64 = 1.1;
const I_FACTOR: f64 = 2.0;
const CYCLE_ACKS: usize = 60;
const CYCLE_MIN: Duration = Duration::from_ms(500);
const CYCLE_MAX: Duration = Duration::from_ms(4000);
const CYCLES_KEPT: usize = 16;
const USER_IDLE: Duration = Duration::from_ms(20_000);

/// Ours, where the design is silent.
const BEAT: Duration = Duration::from_ms(40);
const RUNS_PER_CORE: f64 = 1.16;
const COSTLY: f64 = 0.125;
const CROWD_MARGIN: f64 = 0.75;
const MEMORY_MARGIN: f64 = 0.92;
const CALLS_PART: f64 = 0.45;
const CALLS_SAVED: f64 = 0.3;
const CALLS_ROOM: f64 = 1.15;
const CALL_TRIES: u32 = 3;
const CALL_PATIENCE: f64 = 8.0;
const STOP_AGAIN: Duration = Duration::from_ms(200);
const EARLY_SHARE: f64 = 0.09;
const CROWDED: f64 = 0.3;
const ROOM: f64 = 0.65;
const FIT: f64 = 0.45;
const LISTED_BOOST: f64 = 1.5;
const LONG_WORK: f64 = 2.0;
const LAST_OPS: usize = 64;
const TENANT_SAMPLES: usize = 32;
const WAIT_STEP: Duration = Duration::from_ms(20);
const DRAIN_MARGIN: Duration = Duration::from_ms(250);
const KEEP_WORTH: f64 = 20.0;
const KEEP_ALL: f64 = 0.5;
const SHORTEST_KEEP: f64 = 4.0;

/// A request as it was read, before anything is decided about it.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Its id, unique among the requests in hand.
    pub id: RequestId,
    /// Its class.
    pub class: RequestClassId,
    /// Whose it is.
    pub tenant: TenantId,
    /// The session that it belongs to, if it names one.
    pub session: Option<SessionKey>,
    /// Which client sent it.
    pub client: ClientId,
    /// When the client needs the response; by the class's timeout where it did not say.
    pub deadline: Option<Timestamp>,
    /// The work that the client expects of it.
    pub cost: Option<Duration>,
    /// Memory that it takes while queued, in kB.
    pub size_kb: f64,
    /// How long ago it arrived.
    pub age: Duration,
    /// Whether it changes data.
    pub is_write: bool,
    /// The request in hand that this one repeats.
    pub retry_of: Option<RequestId>,
}

#[derive(Default)]
pub struct AdmissionController {
    settings: ControllerSettings,
    guidance: FleetGuidance,
    chance: Pcg,
    cores: f64,
    /// Request classes and tenants, as all fronts have them too.
    catalog: Rc<RefCell<Catalog>>,
    learned: Lately<RequestClassId, Learned, LEARNED_KEPT>,
    requests: BTreeMap<RequestId, Op>,
    /// Short and long work, best first.
    lines: [Vec<RequestId>; 2],
    users: BTreeMap<SessionKey, Timestamp>,
    /// When requests of each tenant were read, and how many a second servers agreed on for this one.
    tenants: Lately<TenantId, Recent<Timestamp, TENANT_SAMPLES>, LEARNED_KEPT>,
    keys: VecDeque<(Timestamp, RequestId)>,
    seq: u64,
    started: Timestamp,
    cold: bool,
    leaving: Option<(Timestamp, Timestamp)>,
    /// Rate R with its tokens, while it binds.
    rate: Option<f64>,
    tokens: f64,
    refilled: Timestamp,
    admissions: u32,
    cycles: Recent<Cycle, CYCLES_KEPT>,
    cycle_began: Timestamp,
    acks: Vec<(f64, f64)>,
    beats: u32,
    beats_held: u32,
    /// Requests said to run while the gauge saw them wait for disk.
    off_cores: Recent<f64, SAMPLES>,
    /// Seconds that calls may still take, by this server's share; how long the last ones took.
    call_budget: f64,
    call_times: Recent<f64, SAMPLES>,
    /// Runs of the last acked requests over what was expected when they were read.
    paces: Recent<f64, SAMPLES>,
    refused: Recent<f64, LAST_OPS>,
    /// The last requests read, for what is common now.
    reads: Recent<Read, LAST_OPS>,
    said: Option<f64>,
    /// When callers were last seen, and how long they stayed away between two requests.
    callers: BTreeMap<ClientId, Timestamp>,
    /// 1 for the beats that saw all cores taken, else 0.
    full: Recent<f64, SAMPLES>,
    keep: f64,
    wake: Option<Timestamp>,
    out: VecDeque<Decision>,
}

impl AdmissionController {
    /// Creates a controller whose settings say whether it starts cold.
    pub fn new(catalog: Catalog, seed: u64, now: Timestamp) -> Self {
        let cold = catalog.settings().starts_cold;
        Self::with(Rc::new(RefCell::new(catalog)), cold, seed, now)
    }

    pub fn with(catalog: Rc<RefCell<Catalog>>, cold: bool, seed: u64, now: Timestamp) -> Self {
        let settings = catalog.borrow().settings().clone();
        // Servers that begin in one moment would end their cycles, and so move R, in step for ever.
        let first_cycle = now.back(CYCLE_MAX.scaled(Pcg::new(!seed).unit()));
        let mut out = VecDeque::from([Decision::SetHealth { active: true, cached: true }]);
        if cold {
            out.push_back(Decision::Log("mode cold".into()));
        }
        Self {
            chance: Pcg::new(seed),
            cores: settings.cores,
            catalog,
            started: now,
            cold,
            refilled: now,
            cycle_began: first_cycle,
            out,
            call_budget: CALLS_PART * settings.call_concurrency_limit,
            settings,
            ..Self::default()
        }
    }

    // ---- inputs: they only update what is known ----

    /// A request was read.
    pub fn request_received(&mut self, now: Timestamp, new: NewRequest) {
        let NewRequest {
            id,
            class,
            tenant,
            session,
            client,
            deadline,
            cost,
            size_kb,
            age,
            is_write,
            retry_of,
        } = new;
        let (request_class, user, caller, due, kb, write) =
            (class, session, client, deadline, size_kb, is_write);
        let Some(terms) = self.catalog.borrow().request_class(request_class).cloned() else {
            let never =
                Decision::Reject { request: id, retry_after: Duration::ZERO, do_not_retry_elsewhere: true };
            return self.out.push_back(never);
        };
        let arrived = now.back(age);
        let cost = cost.map_or(1.0, |c| c.secs().max(1e-4));
        let timeout = terms.request_timeout;
        let gone_by = due.map_or(Duration::ZERO, |due| self.gone_by(request_class, due - arrived, timeout));
        let due = due.unwrap_or(arrived + timeout);
        let target = terms.latency_objective + Duration::from_secs(terms.latency_objective_per_cost * cost);
        let listed = user.and_then(|u| self.users.get(&u)).is_some_and(|seen| now - *seen < USER_IDLE);
        let priority_weight = terms.priority_weight * if listed { LISTED_BOOST } else { 1.0 };
        let share = self.share_factor(now, tenant);
        let expected = self.run_secs(request_class, terms.latency_objective, cost).max(1e-4);
        let work = if self.settings.value_unit == ValueUnit::Work { 1.0 } else { expected };
        let idle = self.settings.client_idle_timeout;
        let last = note(&mut self.callers, caller, now, idle);
        let gap = last.map_or(f64::INFINITY, |last| (now - last).secs());
        self.reads.push(Read { at: now, caller, gap, expected });
        self.seq += 1;
        let request = Op {
            seq: self.seq,
            request_class,
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
            rank: (2.0 * (priority_weight * share / work).log2()).round(),
            retry_of,
            write,
            listed,
            owed: true,
            began: now,
            ..Op::default()
        };
        self.requests.insert(id, request);
        self.line_up(id);
    }

    /// How long ago the client's first try was, by how long its caller still waits: a first try's wait is a
    /// common one; a shorter one is a repeat within it, a longer one a last try with all that is left.
    /// Guards against late acks after repeats; says nothing where callers draw their waits by chance.
    fn gone_by(&mut self, request_class: RequestClassId, left: Duration, timeout: Duration) -> Duration {
        let step = left.us() / WAIT_STEP.us();
        let seen = &mut self.learned.see(request_class).waits;
        seen.push(step);
        let often = |s: u64| seen.samples.iter().filter(|other| other.abs_diff(s) <= 1).count();
        let mut common = seen.samples.iter().copied().filter(|s| often(*s) * 8 >= seen.samples.len());
        match common.clone().filter(|s| *s + 1 >= step).min() {
            Some(first) => Duration::from_us(first.saturating_sub(step + 1) * WAIT_STEP.us()),
            None if common.next().is_some() => timeout - left,
            None => Duration::ZERO,
        }
    }

    fn line_up(&mut self, id: RequestId) {
        let line = usize::from(self.requests[&id].long);
        let at = self.lines[line]
            .partition_point(|other| self.order(&self.requests[other], &self.requests[&id]).is_lt());
        self.lines[line].insert(at, id);
    }

    pub fn request_abandoned(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.owed = false;
            if matches!(request.state, State::Held | State::AwaitsResult) {
                self.forget(id);
            }
        }
    }

    pub fn run_finished(&mut self, now: Timestamp, id: RequestId, outcome: Outcome) {
        self.refill(now);
        let linger = self.settings.call_residual_load.secs();
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.state != State::Held) else {
            return;
        };
        if request.state == State::Calling {
            self.call_budget -= linger;
        }
        if outcome == Outcome::Preempted && request.owed && request.state != State::AwaitsResult {
            // Back in the hold; what has run is failed there, unless it is only paused.
            request.state = State::Held;
            request.paused = self.settings.preemption == Preemption::Pause;
            request.stop_sent = None;
            self.line_up(id);
            return;
        }
        if outcome == Outcome::Ok && request.state != State::AwaitsResult {
            let run = request.ran_for(now);
            self.paces.push(run / request.expected);
            // Nothing is learned of a type that has gone, nor from requests of one that stands in its place.
            if self.catalog.borrow().request_class(request.request_class).is_some() {
                let learned = self.learned.see(request.request_class);
                learned.runs.push((request.cost, run));
                learned.calls.push(request.at_calls.secs());
            }
            if request.owed && now <= request.target_at {
                self.acks.push((request.cost, (now - request.arrived).secs()));
            }
        }
        self.forget(id);
    }

    pub fn call_requested(&mut self, now: Timestamp, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id).filter(|request| request.state == State::Running) {
            request.state = State::WantsCall;
            request.call_began = now;
            request.call_after = now;
            request.call_tries = 0;
        }
    }

    pub fn call_finished(&mut self, now: Timestamp, id: RequestId, outcome: Outcome) {
        self.refill(now);
        let linger = self.settings.call_residual_load.secs();
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.state == State::Calling)
        else {
            return;
        };
        let took = (now - request.call_after).secs();
        match outcome {
            Outcome::Ok => {
                self.call_times.push(took);
                return request.call_over(now);
            }
            Outcome::TimedOut => {
                self.call_times.push(2.0 * took);
                self.call_budget -= linger;
            }
            _ => {} // says nothing of how long calls take
        }
        request.state = State::WantsCall;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverStarted);
        // Only a refusal speaks of load: what broke or never came is made again at once.
        let wait = if never_ran { request.call_tries } else { 0 };
        request.call_after = now + Duration::from_ms(50).scaled(f64::from(wait));
        if !never_ran && request.terms.idempotency != Idempotency::Idempotent {
            request.call_tries = CALL_TRIES;
        }
    }

    pub fn timer(&mut self, now: Timestamp, gauges: &[(&str, f64)]) {
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
        }
        let on_cores = gauges.iter().find(|g| g.0 == "on_cores").map(|g| g.1);
        let running = self.count(|request| request.state == State::Running) as f64;
        if let Some(on_cores) = on_cores {
            self.off_cores.push(running - on_cores);
        }
        self.beats += 1;
        self.beats_held +=
            u32::from(self.requests.values().any(|request| request.state == State::Held && request.admitted));
        self.full.push(f64::from(u8::from(on_cores.unwrap_or(running) >= self.cores)));
        if self.cold && now - self.started >= self.settings.warm_up {
            self.cold = false;
            self.log(format!("mode warm after_s={:.1}", (now - self.started).secs()));
        }
    }

    pub fn shutdown_notice(&mut self, now: Timestamp, stop: Timestamp) {
        self.leaving = Some((now, stop));
        self.log(format!("mode leaving in_hand={}", self.requests.len()));
        self.out.push_back(Decision::SetHealth { active: false, cached: true });
    }

    /// Takes a figure that servers found out together; `None` once they don't know it any more.
    pub fn set_guidance(&mut self, now: Timestamp, key: GuidanceKey, value: Option<f64>) {
        self.refill(now);
        self.guidance.set(key, value);
    }

    /// Other settings from now on, all of them or, with the key at fault, none. Requests in hand go on by the terms under
    /// which they were read; R, what was learned of types that stay, users and callers remain.
    pub fn apply_change(&mut self, now: Timestamp, change: &Change) -> Result<ChangeSummary, ConfigError> {
        self.refill(now);
        let mut catalog = self.catalog.borrow_mut();
        catalog.check(now, change)?;
        let applied = catalog.apply(now, change);
        self.settings = catalog.settings().clone();
        applied.removed_request_classes.iter().for_each(|id| self.learned.forget(id));
        applied.removed_tenants.iter().for_each(|id| self.tenants.forget(id));
        applied.removed_tenants.iter().for_each(|id| _ = self.guidance.tenant_rates.remove(id));
        Ok(applied.summary)
    }

    // ---- decisions, one by one ----

    pub fn next_decision(&mut self, now: Timestamp) -> Option<Decision> {
        self.refill(now);
        self.end_cycle(now);
        while self.keys.front().is_some_and(|(until, _)| *until <= now) {
            self.keys.pop_front();
        }
        if let Some(decision) = self.out.pop_front() {
            return Some(decision);
        }
        self.answer_expiring(now)
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
                next.map(Decision::SetTimer)
            })
    }

    /// Rule 1: whatever has happened to a request, its answer leaves a beat before it is due; sooner where a run
    /// can't earn any more and can be stopped.
    fn answer_expiring(&mut self, now: Timestamp) -> Option<Decision> {
        let stop = self.leaving.is_some_and(|(_, stop)| now >= stop.back(DRAIN_MARGIN));
        let stops = self.settings.preemption != Preemption::Unsupported;
        let worthless = |request: &Op| {
            stops && request.ran && now + BEAT >= request.target_at && request.terms.late_value <= 0.0
        };
        let id = self.first_by_seq(|request| {
            request.owed && (now + BEAT >= request.due || stop || worthless(request))
        })?;
        Some(self.give_up(now, id))
    }

    /// Work nobody waits for leaves the cores where it can be stopped.
    fn stop_unwanted(&mut self, now: Timestamp) -> Option<Decision> {
        let stops = self.settings.preemption != Preemption::Unsupported;
        let unsent = |request: &Op| request.stop_sent.is_none_or(|sent| now - sent > STOP_AGAIN);
        let id = self.first_by_seq(|request| {
            stops && !request.owed && request.state == State::Running && unsent(request)
        })?;
        self.requests.get_mut(&id)?.stop_sent = Some(now);
        Some(Decision::Preempt(id))
    }

    /// Rule 4: held, running and kept must fit; what ranks last goes first.
    fn guard_memory(&mut self, now: Timestamp) -> Option<Decision> {
        if self.memory() <= self.memory_limit() {
            return None;
        }
        let id = self.held().filter(|(_, request)| !request.paused).max_by(|a, b| self.order(a.1, b.1))?.0;
        Some(self.give_up(now, id))
    }

    /// Rule 2: keyed requests are marked when read, and a repeat is served from the first try, never run.
    fn answer_repeats(&mut self, now: Timestamp) -> Option<Decision> {
        let shares_reads = self.settings.read_sharing_window > Duration::ZERO;
        let keyed = |request: &Op| request.terms.idempotency == Idempotency::IdempotentWithKey;
        let shares = |request: &Op| {
            shares_reads && !request.write && request.terms.idempotency == Idempotency::Idempotent
        };
        let marked = |request: &Op| keyed(request) || (shares(request) && request.user.is_some());
        let id = self.first_by_seq(|request| {
            let repeat = request.retry_of.is_some() && (keyed(request) || shares(request));
            request.state == State::Held && !request.ran && (repeat || marked(request) && !request.key_kept)
        })?;
        let request = &self.requests[&id];
        if let Some(first) = request.retry_of {
            // Two tries read together name each other: the one read first is the one that may run.
            let mutual = self
                .requests
                .get(&first)
                .is_some_and(|f| f.retry_of == Some(id) && request.seq < f.seq && !f.ran);
            if !mutual {
                self.unline(id);
                self.requests.get_mut(&id)?.state = State::AwaitsResult;
                return Some(Decision::AnswerFromOriginal(id));
            }
            self.requests.get_mut(&id)?.retry_of = None;
            return self.answer_repeats(now);
        }
        let span = if keyed(request) {
            request.terms.deduplication_window
        } else {
            self.settings.read_sharing_window + (request.due - now)
        };
        let fits = self.memory() + self.settings.key_memory_kb <= self.memory_limit();
        if !fits && keyed(request) {
            return Some(self.give_up(now, id));
        }
        self.requests.get_mut(&id)?.key_kept = true;
        if !fits {
            return self.answer_repeats(now);
        }
        self.keys.push_back((now + span, id));
        Some(Decision::StoreKey { request: id, window: span })
    }

    /// The time at calls, not only their number, stays within this server's share of what the dependency
    /// survives. Guards against slow spells; gives up calls for which others may have left room.
    fn make_calls(&mut self, now: Timestamp) -> Option<Decision> {
        let ready =
            |request: &Op| request.state == State::WantsCall && request.owed && request.call_after <= now;
        let skips = |request: &Op| self.breaker_open() && request.terms.degraded_value > 0.0;
        if let Some(id) = self
            .first_by_seq(|request| ready(request) && (request.call_tries >= CALL_TRIES || skips(request)))
        {
            let request = self.requests.get_mut(&id)?;
            if request.terms.degraded_value > 0.0 {
                request.call_over(now);
                return Some(Decision::SkipCall(id));
            }
            return Some(self.give_up(now, id));
        }
        let calls = self.count(|request| request.state == State::Calling) as f64 + 1.0;
        if self.breaker_open() || self.calls_short() || calls > (2.0 * self.calls_bound()).max(1.0) {
            return None;
        }
        let drain = calls - self.calls_bound();
        let lasts = Duration::from_secs(if drain > 0.0 { self.call_budget / drain } else { 1e6 });
        let ready = self.requests.iter().filter(|(_, request)| ready(request));
        let id = *ready.min_by(|a, b| self.order(a.1, b.1))?.0;
        let usual = self.call_secs().unwrap_or(f64::INFINITY);
        let request = self.requests.get_mut(&id)?;
        request.state = State::Calling;
        request.call_after = now;
        request.call_tries += 1;
        // A reply that never comes must not hold its run: only the last try waits for as long as there is.
        let last = request.call_tries >= CALL_TRIES || request.terms.idempotency != Idempotency::Idempotent;
        let usual = Duration::from_secs(if last { f64::INFINITY } else { usual * CALL_PATIENCE });
        Some(Decision::StartCall {
            request: id,
            timeout: (request.due - now).min(lasts).min(usual).max(BEAT),
        })
    }

    /// The design: listed users pass, openings of unlisted users meet R, and all admitted requests count to it.
    fn admit(&mut self, now: Timestamp) -> Option<Decision> {
        loop {
            let open = self.rate.is_none();
            let passes = |request: &Op| !request.admitted && (open || request.listed || self.tokens >= 1.0);
            let best = |a: &(RequestId, &Op), b: &(RequestId, &Op)| {
                b.1.listed.cmp(&a.1.listed).then(self.order(a.1, b.1))
            };
            let Some((id, _)) = self.held().filter(|(_, request)| passes(request)).min_by(best) else {
                break;
            };
            self.tokens -= 1.0;
            self.requests.get_mut(&id)?.admitted = true;
        }
        let early = |request: &Op| request.terms.request_timeout.scaled(EARLY_SHARE);
        let id = self.first_by_seq(|request| {
            request.state == State::Held
                && !request.admitted
                && now + BEAT - request.arrived >= early(request)
        })?;
        Some(self.give_up(now, id))
    }

    /// A request that can't be acked within its target latency at the present pace is turned away at once.
    fn turn_away_late(&mut self, now: Timestamp) -> Option<Decision> {
        let drag = self.drag(now);
        let mut ahead = self.running_left(now, drag);
        let mut before = self.count(|request| request.state == State::Running) as f64;
        let slots = self.run_bound(now).max(1.0);
        let waiting = self.count(|request| request.state == State::WantsCall) as f64;
        let (call_secs, calls_bound) = (self.call_secs().unwrap_or(0.0), self.calls_bound());
        let mut ids: Vec<RequestId> = self.lines.concat();
        ids.sort_by(|a, b| self.order(&self.requests[a], &self.requests[b]));
        for id in ids {
            let request = &self.requests[&id];
            let run = request.expected * drag;
            let kind = &request.terms;
            let calls = self.call_part(request.request_class).unwrap_or(0.0);
            let refused =
                self.leaving.is_some_and(|(at, _)| request.arrived > at + self.settings.drain_grace_period);
            let last = if kind.late_value > 0.0 { request.due } else { request.target_at };
            let early = now - request.arrived < kind.request_timeout.scaled(EARLY_SHARE);
            let wait = if before < slots { 0.0 } else { ahead / slots };
            let for_calls = ((before + waiting) * call_secs - self.call_budget) / calls_bound;
            let wait = Duration::from_secs(wait.max(for_calls));
            let finish =
                now + wait.scaled(if early { 1.0 / FIT } else { 1.0 }) + Duration::from_secs(run + calls);
            if refused || finish > last || (request.ran && !request.paused) {
                return Some(self.give_up(now, id));
            }
            ahead += run;
            before += 1.0;
        }
        None
    }

    fn run_next(&mut self, now: Timestamp) -> Option<Decision> {
        let on_cores = self.count(|request| request.state == State::Running) as f64;
        let live = self.count(|request| !matches!(request.state, State::Held | State::AwaitsResult)) as f64;
        let waiting = self.count(|request| request.state == State::WantsCall) as f64;
        if on_cores + 1.0 > self.run_bound(now)
            || live + 1.0 > self.crowd_ceiling(now)
            || waiting > self.cores && !self.breaker_open()
            || waiting > 0.0 && self.calls_short()
        {
            return None;
        }
        let (short, long) = (self.head(0, now), self.head(1, now));
        let long_runs = self.count(|request| request.state == State::Running && request.long) as f64;
        let id = match (short, long) {
            (Some(s), Some(l)) => {
                let long_first = self.order(&self.requests[&l], &self.requests[&s]).is_lt();
                if long_first && long_runs < self.cores / 2.0 { l } else { s }
            }
            (s, l) => s.or(l)?,
        };
        self.unline(id);
        let request = self.requests.get_mut(&id)?;
        if !request.paused {
            request.began = now;
            self.admissions += 1;
        }
        (request.state, request.ran, request.paused) = (State::Running, true, false);
        if let Some(user) = request.user {
            note(&mut self.users, user, now, USER_IDLE);
        }
        self.refused.push(0.0);
        Some(Decision::Run(id))
    }

    fn head(&self, line: usize, now: Timestamp) -> Option<RequestId> {
        let room = self.memory_limit() - self.memory();
        let factor = self.settings.run_memory_factor - 1.0;
        let open = self.breaker_open();
        let calls = |request: &Op| {
            request.terms.degraded_value <= 0.0 && self.call_part(request.request_class) > Some(0.0)
        };
        self.lines[line].iter().copied().find(|id| {
            let request = &self.requests[id];
            !(open && calls(request))
                && request.admitted
                && (request.paused || request.kb * factor <= room)
                && now < request.due
        })
    }

    /// What callers are told, so that requests are turned away before they cost a read.
    fn say(&mut self, now: Timestamp) -> Option<Decision> {
        let value = match self.settings.capacity_signal {
            CapacitySignal::Credit => {
                (self.spare_capacity(now) / self.active_callers()).max(1.0 - self.refused_share())
            }
            CapacitySignal::Weight => (1.0 - self.refused_share()).max(0.1),
            CapacitySignal::None => return None,
        };
        let value = (value * 20.0).round() / 20.0;
        if self.said == Some(value) || (self.said.is_none() && self.requests.is_empty()) {
            return None;
        }
        self.said = Some(value);
        Some(Decision::AdvertiseCapacity(value))
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
        let callers = Some(self.settings.client_idle_timeout).filter(|span| *span > Duration::ZERO);
        let idle =
            callers.map_or(Duration::from_secs(keep), |callers| callers.min(Duration::from_secs(keep)));
        (std::mem::replace(&mut self.keep, keep) != keep).then_some(Decision::SetIdleTimeout(idle))
    }

    // ---- the power test ----

    /// A cycle ends by successes or by time; then R is cut, raised, bound or let go.
    fn end_cycle(&mut self, now: Timestamp) {
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

    fn refill(&mut self, now: Timestamp) {
        let calls = self.count(|request| request.state == State::Calling) as f64;
        self.call_budget += (self.calls_bound() - calls) * (now - self.refilled).secs();
        self.call_budget = self.call_budget.min(self.calls_saved());
        let rate = self.rate.unwrap_or(0.0);
        let gain = rate * (now - self.refilled).secs();
        self.tokens = (self.tokens + gain).clamp(-rate, (rate * 0.25).max(1.0));
        self.refilled = now;
    }

    // ---- figures, worked out when needed ----

    fn log(&mut self, line: String) {
        self.out.push_back(Decision::Log(line));
    }

    fn count(&self, which: impl Fn(&Op) -> bool) -> usize {
        self.requests.values().filter(|request| which(request)).count()
    }

    fn first_by_seq(&self, which: impl Fn(&Op) -> bool) -> Option<RequestId> {
        self.requests
            .iter()
            .filter(|(_, request)| which(request))
            .min_by_key(|(_, request)| request.seq)
            .map(|(id, _)| *id)
    }

    fn held(&self) -> impl Iterator<Item = (RequestId, &Op)> {
        self.lines.iter().flatten().map(|id| (*id, &self.requests[id]))
    }

    fn order(&self, a: &Op, b: &Op) -> Ordering {
        let rank = b.rank.total_cmp(&a.rank);
        (b.paused.cmp(&a.paused)).then(rank).then(a.target_at.cmp(&b.target_at)).then(a.seq.cmp(&b.seq))
    }

    fn run_secs(&self, request_class: RequestClassId, latency_objective: Duration, cost: f64) -> f64 {
        let unknown = if cost == 1.0 { latency_objective.secs() * 0.2 } else { cost };
        self.learned.get(&request_class).and_then(|known| known.runs.expect(cost, COSTLY)).unwrap_or(unknown)
    }

    /// Seconds that a request of this type is at calls, by the last ones.
    fn call_part(&self, request_class: RequestClassId) -> Option<f64> {
        self.learned.get(&request_class).and_then(|known| known.calls.mean_without_top(COSTLY))
    }

    fn usual_run_secs(&self) -> f64 {
        mean(self.reads.samples.iter().map(|read| read.expected)).unwrap_or(f64::INFINITY)
    }

    /// How much longer than expected the runs on the cores take now, or how much shorter the last ones were.
    /// Guards against a slow or hung server, and against refusing for long after it is well again, since
    /// each request class learns from its own runs only. Harm: a run of small requests passes for a fast server.
    fn drag(&self, now: Timestamp) -> f64 {
        let running = self.requests.values().filter(|request| request.state == State::Running);
        let free = (self.cores as usize).saturating_sub(running.clone().count());
        let ratios = running
            .map(|request| request.ran_for(now) / request.expected)
            .chain(std::iter::repeat_n(1.0, free));
        let running = middle(ratios).unwrap_or(1.0);
        if running > 1.0 { running } else { self.paces.mean_without_top(0.0).unwrap_or(1.0).min(1.0) }
    }

    fn full_share(&self) -> f64 {
        mean(self.full.samples.iter().copied()).unwrap_or(0.0)
    }

    fn refused_share(&self) -> f64 {
        self.refused.samples.iter().sum::<f64>() / LAST_OPS as f64
    }

    fn running_left(&self, now: Timestamp, drag: f64) -> f64 {
        let running = self.requests.values().filter(|request| request.state == State::Running);
        running
            .map(|request| {
                (request.expected * drag - request.ran_for(now)).max(request.expected * drag * 0.2)
            })
            .sum()
    }

    /// What a request of this tenant is worth by the tenant's share here: traffic past it earns little.
    fn share_factor(&mut self, now: Timestamp, tenant: TenantId) -> f64 {
        let Some(quota) = self.catalog.borrow().tenant(tenant).and_then(|terms| terms.quota_per_s) else {
            return 1.0;
        };
        let seen = self.tenants.see(tenant);
        seen.push(now);
        let over = self.settings.over_quota_value;
        if seen.samples.len() < TENANT_SAMPLES / 2 {
            return 1.0;
        }
        let rate = seen.samples.len() as f64 / (now - seen.samples[0]).secs().max(0.01);
        let here = quota / self.settings.servers.max(1.0);
        let here = self.guidance.tenant_rates.get(&tenant).copied().unwrap_or(here);
        let within = (here / rate).min(1.0);
        within + (1.0 - within) * over
    }

    fn memory(&self) -> f64 {
        let factor = self.settings.run_memory_factor;
        let weigh = |request: &Op| {
            let still = request.state == State::Held || request.state == State::AwaitsResult;
            request.kb * if still && !request.paused { 1.0 } else { factor }
        };
        let keys = self.keys.len() as f64 * self.settings.key_memory_kb;
        keys + self.requests.values().map(weigh).sum::<f64>()
    }

    fn memory_limit(&self) -> f64 {
        self.settings.memory_kb * MEMORY_MARGIN
    }

    /// Calls in hand on average; with what may be saved up they stay under 0.6 of this server's share.
    fn calls_bound(&self) -> f64 {
        self.guidance.call_concurrency_limit.unwrap_or(self.settings.call_concurrency_limit) * CALLS_PART
    }

    /// What all calls go to can't be reached: nothing that will call is run for nothing meanwhile.
    fn breaker_open(&self) -> bool {
        self.guidance.breaker_open
    }

    fn calls_saved(&self) -> f64 {
        self.calls_bound() * self.settings.call_overload_tolerance.secs() * CALLS_SAVED
    }

    fn call_secs(&self) -> Option<f64> {
        middle(self.call_times.samples.iter().copied())
    }

    fn calls_short(&self) -> bool {
        self.call_budget <= (2.0 * self.call_secs().unwrap_or(0.0)).min(0.8 * self.calls_saved())
    }

    /// The crowd on the cores that is survived, with a margin: less while cold. A ceiling, not a target.
    fn crowd_ceiling(&self, now: Timestamp) -> f64 {
        let multiple = self.settings.concurrency_limit_per_core;
        let from = self.settings.warm_up_initial_share;
        let grown = (now - self.started).secs() / self.settings.warm_up.secs().max(1e-6);
        let warm = if self.cold { (from + (1.0 - from) * grown).min(1.0) } else { 1.0 };
        ((1.0 + (multiple - 1.0) * warm) * self.cores * CROWD_MARGIN).max(1.0)
    }

    /// How many may run: the cores' worth, and as many again as were seen to wait for disk.
    fn run_bound(&self, now: Timestamp) -> f64 {
        (self.cores * RUNS_PER_CORE + self.off_cores.mean_of_upper_half().unwrap_or(0.0).max(0.0))
            .min(self.crowd_ceiling(now))
    }

    /// How many requests in hand could still be acked within their targets, by what those leave after a request's own
    /// run; only a part, since what is sent in vain costs more than the choice among more requests brings.
    pub fn spare_capacity(&self, now: Timestamp) -> f64 {
        let target = |request: &Op| request.terms.latency_objective.secs();
        let target = mean(self.requests.values().map(target)).unwrap_or(0.0);
        self.run_bound(now) * ((target / self.usual_run_secs().max(1e-3) - 1.0) * ROOM).clamp(1.0, 20.0)
    }

    /// What others may be told of this server, and what it would use of what all share.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        let since = self.reads.samples.front().map_or(Duration::ZERO, |read| now - read.at).secs().max(0.2);
        // By runs that were seen: a type that never got a call would say for ever that it needs none.
        let runs = mean(self.learned.all().flat_map(|known| known.runs.samples.iter().map(|run| run.1)));
        let can = runs.map_or(f64::INFINITY, |secs| self.cores / secs.max(1e-4));
        let rate = (self.reads.samples.len() as f64 / since).min(can);
        let calls = self.call_secs().map(|secs| rate * secs / CALLS_PART * CALLS_ROOM);
        LoadReport { calls, call_secs: self.call_secs(), refused: self.refused_share() }
    }

    /// Requests a second that came of this tenant lately.
    pub fn tenant_rate(&self, now: Timestamp, tenant: TenantId) -> f64 {
        let seen =
            self.tenants.get(&tenant).and_then(|seen| Some((seen.samples.len(), *seen.samples.front()?)));
        seen.map_or(0.0, |(count, first)| count as f64 / (now - first).secs().max(0.2))
    }

    /// Callers of the last requests read, by weight: two alike are 2, a heavy and a light one little over 1.
    fn active_callers(&self) -> f64 {
        let mut read: BTreeMap<ClientId, f64> = BTreeMap::new();
        for last in &self.reads.samples {
            *read.entry(last.caller).or_default() += 1.0;
        }
        parts(read.into_values())
    }

    /// The final answer for a request that won't be acked: a nack while it never ran, else an error.
    fn give_up(&mut self, now: Timestamp, id: RequestId) -> Decision {
        let request = &self.requests[&id];
        if request.admitted && !request.ran {
            self.tokens += 1.0; // it never came to count
        }
        let (ran, state, repeat, kept) =
            (request.ran, request.state, request.retry_of.is_some(), request.key_kept);
        let hopeless = now + Duration::from_secs(request.expected * 0.5) > request.target_at
            && request.terms.late_value <= 0.0;
        self.refused.push(1.0);
        let retry_after = self.retry_after(now, request.caller);
        if matches!(state, State::Held | State::AwaitsResult) {
            self.forget(id);
        } else if let Some(request) = self.requests.get_mut(&id) {
            request.owed = false;
        }
        if ran || repeat || state != State::Held {
            return Decision::Fail(id);
        }
        if kept {
            self.keys.retain(|(_, kept)| *kept != id);
            self.out.push_back(Decision::RemoveKey(id));
        }
        // Where much is refused, demand is the cause, and tries elsewhere cost more than they bring. Guards
        // against storms of tries; does harm where only this server is sought out.
        let refused = self.guidance.rejected_share.unwrap_or(self.refused_share());
        let do_not_retry_elsewhere = hopeless || !self.cold && self.leaving.is_none() && refused > CROWDED;
        Decision::Reject { request: id, retry_after, do_not_retry_elsewhere }
    }

    /// When a refused caller may find room: once what is in hand has been worked off, or after its usual gap
    /// if shorter, so that few callers are not shut out; by chance, so that they don't all come back at once.
    fn retry_after(&mut self, now: Timestamp, caller: ClientId) -> Duration {
        if !self.settings.retry_after_supported {
            return Duration::ZERO;
        }
        let most = self.settings.max_retry_after;
        let left: f64 = self.held().map(|(_, request)| request.expected).sum();
        let spread = 0.75 + 0.5 * self.chance.unit();
        let clear = (self.running_left(now, 1.0) + left) / self.cores;
        let its = self.reads.samples.iter().filter(|read| read.caller == caller).count();
        let since = self.reads.samples.front().map_or(Duration::ZERO, |read| now - read.at).secs();
        let gap = since / its.max(1) as f64;
        Duration::from_secs(clear.min(gap)).scaled(spread).max(BEAT).min(most)
    }

    fn unline(&mut self, id: RequestId) {
        for line in &mut self.lines {
            line.retain(|held| *held != id);
        }
    }

    fn forget(&mut self, id: RequestId) {
        self.unline(id);
        self.requests.remove(&id);
    }
}
