//! The real `Logic` of many servers between the models, in virtual time. What a server's program does round
//! its module is done here as `hazelspur-server` does it: inputs are reported, decisions pulled until there
//! is none and carried out.

use crate::kernel::Kernel;
use crate::models::cores::Cores;
use crate::models::gateways::{Asked, Gateways, Habits};
use crate::models::ledger::Ledger;
use crate::models::list::{List, REPORT_EVERY};
use crate::town::START;
use hazelspur::pcg::Pcg;
use hazelspur::{CallerId, Decision, Fact, Facts, Logic, Moment, OpId, OpTypeId, Outcome, Span, TenantId};
use std::collections::BTreeMap;

/// The part of an op's work that comes before its call.
const BEFORE_CALL: f64 = 0.5;
/// From a gateway to a server, and back.
const ONE_WAY: Span = Span::from_us(500);

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub servers: usize,
    pub cores: f64,
    pub seed: u64,
    /// Of all servers' cores, without the time at calls.
    pub load: f64,
    /// Slots of the ledger for each server, and calls that each may have out by its settings.
    pub slots_each: f64,
    pub call: Span,
}

/// What happens to servers and ledger, by a script.
#[derive(Clone, Copy, Debug)]
pub enum Turn {
    LedgerDown(bool),
    LedgerSlow(f64),
    /// Ends at once; its ops are lost.
    Kill(usize),
    /// A new, cold life.
    Start(usize),
    /// How fast its cores are.
    Speed(usize, f64),
}

enum Event {
    Arrives,
    Reaches(usize, u64, OpId, Asked),
    Timer(usize, u64),
    Cores(usize, u64, Moment),
    CallEnds(usize, u64, OpId, Moment, Outcome),
    Report(usize, u64),
    Again(usize, Asked),
    Turn(Turn),
}

struct Running {
    asked: Asked,
    called: bool,
    answered: bool,
    /// When the call under way began.
    call: Option<Moment>,
}

struct Server {
    logic: Option<Logic>,
    life: u64,
    cores: Cores,
    ops: BTreeMap<OpId, Running>,
    /// When its cores are to be looked at.
    look: Option<Moment>,
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
    /// Served in each second of the run.
    pub by_second: Vec<u32>,
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
    pub figures: Figures,
}

fn facts(plan: &Plan) -> Facts {
    let mut facts = Facts::default();
    let mut num = |name: &str, n: f64| facts.0.insert(name.into(), Fact::Num(n));
    num("servers", plan.servers as f64);
    num("server.cores", plan.cores);
    num("server.memory_kb", 1e6);
    num("server.run_factor", 8.0);
    num("server.calls_bound", plan.slots_each);
    num("server.calls_over_us", 5e6);
    num("rules.crowd_multiple", 8.0);
    num("rules.cold_share", 0.2);
    num("rules.cold_us", 10e6);
    num("limits.retry_after", 1.0);
    num("limits.max_retry_after_us", 1e6);
    for (i, importance) in [1.0, 3.0].into_iter().enumerate() {
        num(&format!("op_types.{i}.target_latency_us"), 1e6);
        num(&format!("op_types.{i}.op_timeout_us"), 2e6);
        num(&format!("op_types.{i}.importance"), importance);
    }
    facts.0.insert("server.stop".into(), Fact::Text("drop".into()));
    for (i, repeats) in ["retryable", "non-retryable"].into_iter().enumerate() {
        facts.0.insert(format!("op_types.{i}.repeats"), Fact::Text(repeats.into()));
    }
    facts
}

impl Drive {
    pub fn new(plan: Plan) -> Self {
        // Two op types, 10 ms of work on average each.
        let work = vec![0.008, 0.012];
        let rate = plan.load * plan.cores * plan.servers as f64 / 0.010;
        let server = |_| Server {
            logic: None,
            life: 0,
            cores: Cores::new(plan.cores, 8.0),
            ops: BTreeMap::new(),
            look: None,
        };
        let mut drive = Self {
            kernel: Kernel::new(START),
            chance: Pcg::new(plan.seed),
            servers: (0..plan.servers).map(server).collect(),
            gateways: Gateways::new((plan.servers / 2).max(4), rate, Span::from_ms(2000), work),
            ledger: Ledger::new(plan.slots_each * plan.servers as f64, plan.call),
            list: List::new(plan.servers, Span::from_ms(1200)),
            ids: 0,
            figures: Figures::default(),
            plan,
        };
        (0..plan.servers).for_each(|of| drive.start(of, false));
        drive.kernel.at(START + Span::from_ms(2000), Event::Arrives);
        drive
    }

    /// Does this so long after the start.
    pub fn script(&mut self, after: Span, turn: Turn) {
        self.kernel.at(START + after, Event::Turn(turn));
    }

    fn start(&mut self, of: usize, cold: bool) {
        let now = self.kernel.now;
        let mut facts = facts(&self.plan);
        facts.0.insert("server.cold".into(), Fact::Num(f64::from(u8::from(cold))));
        let seed = u64::from(self.chance.draw()) << 32 | u64::from(self.chance.draw());
        let server = &mut self.servers[of];
        server.life += 1;
        server.logic = Logic::new(facts, seed, now).ok();
        let speed = server.cores.speed;
        server.cores = Cores::new(self.plan.cores, 8.0);
        server.cores.speed = speed;
        server.ops.clear();
        server.look = None;
        let life = server.life;
        let first = REPORT_EVERY.scaled(self.chance.unit());
        self.kernel.at(now + first, Event::Report(of, life));
        self.pull(of);
    }

    pub fn play(&mut self, span: Span) {
        let end = self.kernel.now + span;
        while let Some(event) = self.kernel.next(end) {
            self.take(event);
        }
        (self.figures.calls, self.figures.most_calls) = (self.ledger.calls, self.ledger.most_out);
    }

    fn take(&mut self, event: Event) {
        let now = self.kernel.now;
        match event {
            Event::Arrives => {
                let asked = self.gateways.next(now, &mut self.chance);
                self.figures.asked += 1;
                self.send(asked, None);
                let gap = self.gateways.gap(&mut self.chance);
                self.kernel.at(now + gap, Event::Arrives);
            }
            Event::Again(not, asked) => self.send(asked, Some(not)),
            Event::Reaches(of, life, id, asked) => {
                if self.servers[of].life != life || self.servers[of].logic.is_none() {
                    // A refused connection proves that nothing ran.
                    return self.again(of, asked, Span::ZERO);
                }
                let running = Running { asked, called: false, answered: false, call: None };
                self.servers[of].ops.insert(id, running);
                let (op_type, caller) = (OpTypeId(asked.op_type), CallerId(asked.gateway as u64));
                let (due, age) = (Some(asked.due), ONE_WAY);
                self.tell(of, |logic| {
                    logic.op_read(
                        now,
                        id,
                        op_type,
                        TenantId(0),
                        None,
                        caller,
                        due,
                        None,
                        20.0,
                        age,
                        false,
                        None,
                    );
                });
            }
            Event::Timer(of, life) => {
                if self.servers[of].life == life {
                    let on = self.servers[of].cores.on() as f64;
                    self.tell(of, |logic| logic.timer(now, &[("on_cores", on)]));
                }
            }
            Event::Cores(of, life, at) => {
                if self.servers[of].life != life || self.servers[of].look != Some(at) {
                    return;
                }
                self.servers[of].look = None;
                for id in self.servers[of].cores.done(now) {
                    let Some(running) = self.servers[of].ops.get_mut(&id) else { continue };
                    if !running.called {
                        running.called = true;
                        self.tell(of, |logic| logic.call_wanted(now, id));
                        continue;
                    }
                    let running = self.servers[of].ops.remove(&id);
                    if let Some(running) = running.filter(|running| !running.answered) {
                        self.answered(&running.asked);
                    }
                    self.tell(of, |logic| logic.run_ended(now, id, Outcome::Ok));
                }
                self.look_at_cores(of);
            }
            Event::CallEnds(of, life, id, began, outcome) => {
                self.ledger.end();
                let server = &mut self.servers[of];
                let Some(running) = server.ops.get_mut(&id).filter(|_| server.life == life) else { return };
                if running.call.take_if(|at| *at == began).is_none() {
                    return;
                }
                if running.answered {
                    // The runtime ends a run at its call once nobody waits for it.
                    server.ops.remove(&id);
                    return self.tell(of, |logic| {
                        logic.call_ended(now, id, outcome);
                        logic.run_ended(now, id, Outcome::Stopped);
                    });
                }
                if outcome == Outcome::Ok {
                    server.cores.put(now, id, running.asked.work * (1.0 - BEFORE_CALL));
                }
                self.tell(of, |logic| logic.call_ended(now, id, outcome));
                self.look_at_cores(of);
            }
            Event::Report(of, life) => {
                if self.servers[of].life == life && self.servers[of].logic.is_some() {
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
                    server.logic = None;
                    server.life += 1;
                    let lost = std::mem::take(&mut server.ops).into_values().filter(|r| !r.answered).count();
                    self.figures.failed += lost as u64;
                }
                Turn::Start(of) => self.start(of, true),
            },
        }
    }

    fn send(&mut self, asked: Asked, not: Option<usize>) {
        let now = self.kernel.now;
        let (list, servers) = (&self.list, self.plan.servers);
        let Some(of) = self.gateways.pick(servers, not, |of| list.shows(now, of)) else {
            self.figures.failed += 1;
            return;
        };
        self.figures.tries += 1;
        self.ids += 1;
        let id = OpId::padded(&format!("{:x}", self.ids)).expect("under 36 characters");
        self.kernel.at(now + ONE_WAY, Event::Reaches(of, self.servers[of].life, id, asked));
    }

    /// What was turned away goes on to another server, if its gateway does that and there is time.
    fn again(&mut self, not: usize, mut asked: Asked, wait: Span) {
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
        let second = (now - START).us() as usize / 1_000_000;
        if self.figures.by_second.len() <= second {
            self.figures.by_second.resize(second + 1, 0);
        }
        self.figures.by_second[second] += 1;
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

    fn tell(&mut self, of: usize, input: impl FnOnce(&mut Logic)) {
        if let Some(logic) = &mut self.servers[of].logic {
            input(logic);
        }
        self.pull(of);
    }

    /// Pulls until there is no decision, and does each.
    fn pull(&mut self, of: usize) {
        let now = self.kernel.now;
        loop {
            let Some(logic) = &mut self.servers[of].logic else { return };
            let Some(decision) = logic.next_decision(now) else { break };
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
                if let Some(running) = server.ops.get(&id) {
                    server.cores.put(now, id, running.asked.work * BEFORE_CALL);
                }
            }
            Decision::Stop(id) => {
                server.cores.take(now, id);
                if server.ops.get(&id).is_some_and(|running| running.answered) {
                    server.ops.remove(&id);
                }
                if let Some(logic) = &mut server.logic {
                    logic.run_ended(now, id, Outcome::Stopped);
                }
            }
            Decision::Nack { op, come_back, nowhere_else } => {
                let Some(running) = server.ops.remove(&op) else { return };
                let habits = Habits::of(running.asked.gateway);
                if habits.heed && nowhere_else {
                    self.figures.refused += 1;
                } else {
                    self.again(of, running.asked, if habits.heed { come_back } else { Span::ZERO });
                }
            }
            Decision::Fail(id) => {
                let Some(running) = server.ops.get_mut(&id) else { return };
                let waits = !server.cores.has(id) && running.call.is_none();
                if !std::mem::replace(&mut running.answered, true) {
                    self.figures.failed += 1;
                }
                if waits {
                    server.ops.remove(&id);
                    if let Some(logic) = &mut server.logic {
                        logic.run_ended(now, id, Outcome::Stopped);
                    }
                }
            }
            Decision::Call { op, patience } => {
                let Some(running) = server.ops.get_mut(&op) else { return };
                match self.ledger.begin() {
                    Some(takes) => {
                        // A call is given up, and its slot free, when patience is over.
                        let outcome = if takes <= patience { Outcome::Ok } else { Outcome::TimedOut };
                        running.call = Some(now);
                        let end = now + takes.min(patience);
                        self.kernel.at(end, Event::CallEnds(of, life, op, now, outcome));
                    }
                    None => {
                        if let Some(logic) = &mut server.logic {
                            logic.call_ended(now, op, Outcome::Unreached);
                        }
                    }
                }
            }
            Decision::SkipCall(id) => {
                if let Some(running) = server.ops.get(&id) {
                    server.cores.put(now, id, running.asked.work * (1.0 - BEFORE_CALL));
                }
            }
            Decision::Wake(at) => self.kernel.at(at, Event::Timer(of, life)),
            _ => {}
        }
    }
}
