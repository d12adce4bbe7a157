//! The real `AdmissionController` of many servers between the models, in virtual time. What a server's program does round
//! its module is done here as `hazelspur-server` does it: inputs are reported, decisions pulled until there
//! is none and carried out.

pub mod together;

use crate::kernel::Kernel;
use crate::models::cores::Cores;
use crate::models::gateways::{Asked, Gateways, Habits};
use crate::models::ledger::Ledger;
use crate::models::list::{List, REPORT_EVERY};
use crate::network::{Cut, Network};
use crate::town::START;
use hazelspur::RuntimeGauges;
use hazelspur::config::entries::EntryVisitor;
use hazelspur::pcg::Pcg;
use hazelspur::{
    AdmissionController, Catalog, ClientId, ControllerSettings, Decision, Duration, Idempotency, NewRequest,
    Outcome, RequestClass, RequestClassId, RequestId, TenantId, Timestamp,
};
use hazelspur_fleet::Datagram;
use std::collections::BTreeMap;
use together::{ORACLE_LATE, Part, Truth};

/// The part of a request's work that comes before its call.
const BEFORE_CALL: f64 = 0.5;
/// From a gateway to a server, and back.
const ONE_WAY: Duration = Duration::from_us(500);

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub servers: usize,
    pub cores: f64,
    pub seed: u64,
    /// Of all servers' cores, without the time at calls.
    pub load: f64,
    /// Slots of the ledger for each server, and calls that each may have out by its settings.
    pub slots_each: f64,
    pub call: Duration,
    /// The share of all requests that seek out the first third of the servers.
    pub lean: f64,
    pub way: Way,
    /// The part of shared limits that is each server's for good.
    pub floor: f64,
    /// Servers that run from the start; others are started by the script.
    pub first: usize,
}

impl Plan {
    /// Two cores each, all from the start.
    pub fn new(servers: usize, seed: u64, load: f64) -> Self {
        let call = Duration::from_ms(10);
        let way = Way::Apart;
        Self {
            servers,
            cores: 2.0,
            seed,
            load,
            slots_each: 8.0,
            call,
            lean: 0.0,
            way,
            floor: 0.2,
            first: servers,
        }
    }
}

/// How servers choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each by what reaches it, by the settings of the start.
    Apart,
    /// The same, with the choices that need no talk.
    Alone,
    /// With talk.
    Talk,
    /// By the true state of all, a little late.
    Oracle,
}

impl Way {
    pub const ALL: [Self; 4] = [Self::Apart, Self::Alone, Self::Talk, Self::Oracle];

    pub fn name(self) -> &'static str {
        match self {
            Self::Apart => "apart",
            Self::Alone => "without talk",
            Self::Talk => "with talk",
            Self::Oracle => "oracle",
        }
    }
}

/// What happens to servers and ledger, by a script.
#[derive(Clone, Copy, Debug)]
pub enum Turn {
    LedgerDown(bool),
    LedgerSlow(f64),
    /// Ends at once; its requests are lost.
    Kill(usize),
    /// A new, cold life.
    Start(usize),
    /// How fast its cores are.
    Speed(usize, f64),
    /// Its process stands still for so long; its runs go on.
    Stop(usize, Duration),
    /// Its own link to the ledger: so many times as slow, or down.
    LinkSlow(usize, f64),
    LinkDown(usize, bool),
    /// Which servers' datagrams don't reach which others'.
    Cut(Option<Cut>),
}

/// A server's own way to the ledger.
#[derive(Clone, Copy, Debug)]
struct LedgerLink {
    slow: f64,
    down: bool,
}

enum Event {
    Arrives,
    Reaches(usize, u64, RequestId, Asked),
    Timer(usize, u64),
    Cores(usize, u64, Timestamp),
    CallEnds(usize, u64, RequestId, Timestamp, Outcome),
    Report(usize, u64),
    Again(usize, Asked),
    Turn(Turn),
    Tick(usize, u64, Timestamp),
    Datagram(usize, Box<Datagram>),
    Look(usize, u64),
    Oracle,
}

impl Event {
    /// Whose process has to run for it.
    fn of(&self) -> Option<usize> {
        match self {
            Self::Reaches(of, ..)
            | Self::Timer(of, _)
            | Self::Cores(of, ..)
            | Self::CallEnds(of, ..)
            | Self::Report(of, _)
            | Self::Tick(of, ..)
            | Self::Datagram(of, _)
            | Self::Look(of, _) => Some(*of),
            Self::Arrives | Self::Again(..) | Self::Turn(_) | Self::Oracle => None,
        }
    }
}

struct Running {
    asked: Asked,
    called: bool,
    answered: bool,
    /// When the call under way began.
    call: Option<Timestamp>,
}

struct Server {
    controller: Option<AdmissionController>,
    life: u64,
    cores: Cores,
    requests: BTreeMap<RequestId, Running>,
    /// When its cores are to be looked at.
    look: Option<Timestamp>,
    stopped: Option<Timestamp>,
}

/// What came out, for all servers together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    pub asked: u64,
    /// Acked in time.
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Without an answer when it was due, or later.
    pub late: u64,
    pub tries: u64,
    pub calls: u64,
    pub most_calls: usize,
    /// Tries at a ledger that nobody reached.
    pub vain: u64,
    pub datagrams: u64,
    /// Served in each second of the run.
    pub by_second: Vec<u32>,
}

fn count(of: &mut Vec<u32>, now: Timestamp) {
    let second = (now - START).us() as usize / 1_000_000;
    if of.len() <= second {
        of.resize(second + 1, 0);
    }
    of[second] += 1;
}

impl Figures {
    pub fn service(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

pub struct Drive {
    plan: Plan,
    kernel: Kernel<Event>,
    chance: Pcg,
    servers: Vec<Server>,
    gateways: Gateways,
    pub ledger: Ledger,
    list: List,
    ids: u64,
    parts: Vec<Option<Part>>,
    links: Vec<LedgerLink>,
    pub network: Network,
    truth: Truth,
    pub figures: Figures,
}

/// The configuration of each simulated server: two request classes, one idempotent and one not.
fn catalog(plan: &Plan, cold: bool) -> Catalog {
    let settings = ControllerSettings {
        servers: plan.servers as f64,
        cores: plan.cores,
        memory_kb: 1e6,
        run_memory_factor: 8.0,
        starts_cold: cold,
        call_concurrency_limit: plan.slots_each,
        call_overload_tolerance: Duration::from_ms(5000),
        concurrency_limit_per_core: 8.0,
        warm_up_initial_share: 0.2,
        warm_up: Duration::from_ms(10_000),
        retry_after_supported: true,
        max_retry_after: Duration::from_ms(1000),
        ..ControllerSettings::default()
    };
    let request_class = |priority_weight: f64, idempotency: Idempotency| RequestClass {
        latency_objective: Duration::from_ms(1000),
        request_timeout: Duration::from_ms(2000),
        priority_weight,
        idempotency,
        ..RequestClass::default()
    };
    let mut catalog = Catalog::with_settings(settings);
    for class in [request_class(1.0, Idempotency::Idempotent), request_class(3.0, Idempotency::NonIdempotent)]
    {
        catalog.visit_request_class(class).expect("two request classes are within the bound");
    }
    catalog
}

impl Drive {
    pub fn new(plan: Plan) -> Self {
        // Two request classes, 10 ms of work on average each.
        let work = vec![0.008, 0.012];
        let rate = plan.load * plan.cores * plan.servers as f64 / 0.010;
        let server = |_| Server {
            controller: None,
            life: 0,
            cores: Cores::new(plan.cores, 8.0),
            requests: BTreeMap::new(),
            look: None,
            stopped: None,
        };
        let mut drive = Self {
            kernel: Kernel::new(START),
            chance: Pcg::new(plan.seed),
            servers: (0..plan.servers).map(server).collect(),
            gateways: Gateways::new(
                (plan.servers / 2).max(4),
                plan.servers,
                rate,
                Duration::from_ms(2000),
                work,
            ),
            ledger: Ledger::new(plan.slots_each * plan.servers as f64, plan.call),
            list: List::new(plan.servers, Duration::from_ms(1200)),
            ids: 0,
            parts: (0..plan.servers).map(|_| None).collect(),
            links: vec![LedgerLink { slow: 1.0, down: false }; plan.servers],
            network: Network::new(3),
            truth: Truth::default(),
            figures: Figures::default(),
            plan,
        };
        (0..plan.first.min(plan.servers)).for_each(|of| drive.start(of, false));
        if plan.way == Way::Oracle {
            drive.kernel.at(START + ORACLE_LATE, Event::Oracle);
        }
        drive.kernel.at(START + Duration::from_ms(2000), Event::Arrives);
        drive
    }

    /// Does this so long after the start.
    pub fn script(&mut self, after: Duration, turn: Turn) {
        self.kernel.at(START + after, Event::Turn(turn));
    }

    fn start(&mut self, of: usize, cold: bool) {
        let now = self.kernel.now;
        let catalog = catalog(&self.plan, cold);
        let seed = u64::from(self.chance.draw()) << 32 | u64::from(self.chance.draw());
        let server = &mut self.servers[of];
        server.life += 1;
        server.controller = Some(AdmissionController::new(catalog, seed, now));
        let speed = server.cores.speed;
        server.cores = Cores::new(self.plan.cores, 8.0);
        server.cores.speed = speed;
        server.requests.clear();
        server.look = None;
        server.stopped = None;
        let life = server.life;
        self.begin_part(of, seed);
        let first = REPORT_EVERY.scaled(self.chance.unit());
        self.kernel.at(now + first, Event::Report(of, life));
        self.pull(of);
    }

    /// What came out so far counts no more, but for its seconds.
    pub fn forget(&mut self) {
        let by_second = std::mem::take(&mut self.figures).by_second;
        self.figures.by_second = by_second;
        (self.ledger.calls, self.ledger.most_out) = (0, 0);
    }

    pub fn play(&mut self, span: Duration) {
        let end = self.kernel.now + span;
        while let Some(event) = self.kernel.next(end) {
            self.take(event);
        }
        (self.figures.calls, self.figures.most_calls) = (self.ledger.calls, self.ledger.most_out);
    }

    fn take(&mut self, event: Event) {
        let now = self.kernel.now;
        if let Some(until) = event.of().and_then(|of| self.servers[of].stopped).filter(|until| now < *until) {
            return self.kernel.at(until, event);
        }
        match event {
            Event::Tick(of, life, at) => {
                if self.servers[of].life == life && self.is_set(of, at) {
                    self.ticks(of);
                }
            }
            Event::Datagram(of, came) => self.hears(of, &came),
            Event::Look(of, life) => {
                if self.servers[of].life == life {
                    self.look(of);
                }
            }
            Event::Oracle => self.oracle(),
            Event::Arrives => {
                let asked = self.gateways.next(now, &mut self.chance);
                self.figures.asked += 1;
                self.send(asked, None);
                let gap = self.gateways.gap(&mut self.chance);
                self.kernel.at(now + gap, Event::Arrives);
            }
            Event::Again(not, asked) => self.send(asked, Some(not)),
            Event::Reaches(of, life, id, asked) => {
                if self.servers[of].life != life || self.servers[of].controller.is_none() {
                    // A refused connection proves that nothing ran.
                    return self.again(of, asked, Duration::ZERO);
                }
                let running = Running { asked, called: false, answered: false, call: None };
                self.servers[of].requests.insert(id, running);
                let (request_class, caller) =
                    (RequestClassId(asked.request_class), ClientId(asked.gateway as u64));
                let (due, age) = (Some(asked.due), ONE_WAY);
                self.tell(of, |controller| {
                    controller.request_received(
                        now,
                        NewRequest {
                            id,
                            class: request_class,
                            tenant: TenantId(0),
                            session: None,
                            client: caller,
                            deadline: due,
                            cost: None,
                            size_kb: 20.0,
                            age,
                            is_write: false,
                            retry_of: None,
                        },
                    );
                });
            }
            Event::Timer(of, life) => {
                if self.servers[of].life == life {
                    let on = self.servers[of].cores.on() as f64;
                    self.tell(of, |controller| {
                        controller.timer_tick(now, RuntimeGauges::with_requests_on_cores(on))
                    });
                }
            }
            Event::Cores(of, life, at) => {
                if self.servers[of].life != life || self.servers[of].look != Some(at) {
                    return;
                }
                self.servers[of].look = None;
                for id in self.servers[of].cores.done(now) {
                    let Some(running) = self.servers[of].requests.get_mut(&id) else { continue };
                    if !running.called {
                        running.called = true;
                        self.tell(of, |controller| controller.call_requested(now, id));
                        continue;
                    }
                    let running = self.servers[of].requests.remove(&id);
                    if let Some(running) = running.filter(|running| !running.answered) {
                        self.answered(&running.asked);
                    }
                    self.tell(of, |controller| controller.run_finished(now, id, Outcome::Ok));
                }
                self.look_at_cores(of);
            }
            Event::CallEnds(of, life, id, began, outcome) => {
                self.ledger.end();
                if outcome == Outcome::Ok && self.servers[of].life == life {
                    self.reached(of, true);
                }
                let server = &mut self.servers[of];
                let Some(running) = server.requests.get_mut(&id).filter(|_| server.life == life) else {
                    return;
                };
                if running.call.take_if(|at| *at == began).is_none() {
                    return;
                }
                if running.answered {
                    // The runtime ends a run at its call once nobody waits for it.
                    server.requests.remove(&id);
                    return self.tell(of, |controller| {
                        controller.call_finished(now, id, outcome);
                        controller.run_finished(now, id, Outcome::Preempted);
                    });
                }
                if outcome == Outcome::Ok {
                    server.cores.put(now, id, running.asked.work * (1.0 - BEFORE_CALL));
                }
                self.tell(of, |controller| controller.call_finished(now, id, outcome));
                self.look_at_cores(of);
            }
            Event::Report(of, life) => {
                if self.servers[of].life == life && self.servers[of].controller.is_some() {
                    self.list.report(now, of);
                    self.kernel.at(now + REPORT_EVERY, Event::Report(of, life));
                }
            }
            Event::Turn(turn) => match turn {
                Turn::LedgerDown(down) => self.ledger.down = down,
                Turn::LedgerSlow(by) => self.ledger.slow = by,
                Turn::Speed(of, speed) => {
                    // What ran until now ran as fast as before.
                    let _ = self.servers[of].cores.done(now);
                    self.servers[of].cores.speed = speed;
                    self.look_at_cores(of);
                }
                Turn::Kill(of) => {
                    let server = &mut self.servers[of];
                    server.controller = None;
                    server.life += 1;
                    self.parts[of] = None;
                    let lost =
                        std::mem::take(&mut server.requests).into_values().filter(|r| !r.answered).count();
                    self.figures.failed += lost as u64;
                }
                Turn::Start(of) => self.start(of, true),
                Turn::Stop(of, span) => self.servers[of].stopped = Some(now + span),
                Turn::LinkSlow(of, slow) => self.links[of].slow = slow,
                Turn::LinkDown(of, down) => self.links[of].down = down,
                Turn::Cut(cut) => self.network.cut = cut,
            },
        }
    }

    fn send(&mut self, asked: Asked, not: Option<usize>) {
        let now = self.kernel.now;
        let (list, servers) = (&self.list, self.plan.servers);
        let leans = self.plan.lean > 0.0 && not.is_none() && self.chance.unit() < self.plan.lean;
        let among = if leans { servers.div_ceil(3) } else { servers };
        let Some(of) = self.gateways.pick(among, not, |of| list.shows(now, of)) else {
            self.figures.failed += 1;
            return;
        };
        self.figures.tries += 1;
        self.ids += 1;
        let id = RequestId::padded(&format!("{:x}", self.ids)).expect("under 36 characters");
        self.kernel.at(now + ONE_WAY, Event::Reaches(of, self.servers[of].life, id, asked));
    }

    /// What was turned away goes on to another server, if its gateway does that and there is time.
    fn again(&mut self, not: usize, mut asked: Asked, wait: Duration) {
        let at = self.kernel.now + wait + ONE_WAY;
        if Habits::of(asked.gateway).walk_on && asked.left > 0 && at < asked.due {
            asked.left -= 1;
            self.kernel.at(at, Event::Again(not, asked));
        } else {
            self.figures.refused += 1;
        }
    }

    fn answered(&mut self, asked: &Asked) {
        let now = self.kernel.now + ONE_WAY;
        if now > asked.due {
            self.figures.late += 1;
            return;
        }
        self.figures.served += 1;
        count(&mut self.figures.by_second, now);
    }

    fn look_at_cores(&mut self, of: usize) {
        let server = &mut self.servers[of];
        if let Some(at) = server.cores.next_done()
            && server.look != Some(at)
        {
            server.look = Some(at);
            self.kernel.at(at, Event::Cores(of, server.life, at));
        }
    }

    fn tell(&mut self, of: usize, input: impl FnOnce(&mut AdmissionController)) {
        if let Some(controller) = &mut self.servers[of].controller {
            input(controller);
        }
        self.pull(of);
    }

    /// Pulls until there is no decision, and does each.
    fn pull(&mut self, of: usize) {
        let now = self.kernel.now;
        self.end_leases(of);
        loop {
            let Some(controller) = &mut self.servers[of].controller else { return };
            let Some(decision) = controller.next_decision(now) else { break };
            self.carry_out(of, decision);
        }
        self.look_at_cores(of);
    }

    fn carry_out(&mut self, of: usize, decision: Decision) {
        let now = self.kernel.now;
        let server = &mut self.servers[of];
        let life = server.life;
        match decision {
            Decision::Run(id) => {
                if let Some(running) = server.requests.get(&id) {
                    server.cores.put(now, id, running.asked.work * BEFORE_CALL);
                }
            }
            Decision::Preempt(id) => {
                server.cores.take(now, id);
                if server.requests.get(&id).is_some_and(|running| running.answered) {
                    server.requests.remove(&id);
                }
                if let Some(controller) = &mut server.controller {
                    controller.run_finished(now, id, Outcome::Preempted);
                }
            }
            Decision::Reject { request, retry_after, do_not_retry_elsewhere } => {
                let Some(running) = server.requests.remove(&request) else { return };
                let habits = Habits::of(running.asked.gateway);
                if habits.heed && do_not_retry_elsewhere {
                    self.figures.refused += 1;
                } else {
                    self.again(of, running.asked, if habits.heed { retry_after } else { Duration::ZERO });
                }
            }
            Decision::Fail(id) => {
                let Some(running) = server.requests.get_mut(&id) else { return };
                let waits = !server.cores.has(id) && running.call.is_none();
                if !std::mem::replace(&mut running.answered, true) {
                    self.figures.failed += 1;
                }
                if waits {
                    server.requests.remove(&id);
                    if let Some(controller) = &mut server.controller {
                        controller.run_finished(now, id, Outcome::Preempted);
                    }
                }
            }
            Decision::StartCall { request, timeout } => {
                let Some(running) = server.requests.get_mut(&request) else { return };
                let link = self.links[of];
                let begun = if link.down { None } else { self.ledger.begin() };
                match begun.map(|takes| takes.scaled(link.slow)) {
                    Some(takes) => {
                        // A call is given up, and its slot free, when its timeout is over.
                        let outcome = if takes <= timeout { Outcome::Ok } else { Outcome::TimedOut };
                        running.call = Some(now);
                        let end = now + takes.min(timeout);
                        self.kernel.at(end, Event::CallEnds(of, life, request, now, outcome));
                    }
                    None => {
                        if let Some(controller) = &mut server.controller {
                            controller.call_finished(now, request, Outcome::Unreachable);
                        }
                        self.reached(of, false);
                    }
                }
            }
            Decision::SkipCall(id) => {
                if let Some(running) = server.requests.get(&id) {
                    server.cores.put(now, id, running.asked.work * (1.0 - BEFORE_CALL));
                }
            }
            Decision::SetTimer(at) => self.kernel.at(at, Event::Timer(of, life)),
            _ => {}
        }
    }
}
