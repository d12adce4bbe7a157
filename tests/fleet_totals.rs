//! What many servers do in total, in virtual time. Each is an `AdmissionController` with its part of the settings; none hears
//! of another, all start together and receive more than they can serve.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur::{
    AdmissionController, Catalog, ClientId, ControllerEvent, Decision, Duration, NewRequest, Outcome,
    RequestClassId, RequestId, RuntimeGauges, TenantId, Timestamp,
};
use helpers::flat_settings;
use std::collections::{BTreeMap, VecDeque};

/// The time between two steps.
const STEP: Duration = Duration::from_ms(5);
/// When the first servers start.
const START: Timestamp = Timestamp::from_us(50_000_000);
/// The period over which the dependency's limit is a mean (`calls_over_us` of the settings).
const OVERLOAD_TOLERANCE: Duration = Duration::from_ms(5000);
/// How long a cancelled call goes on loading the dependency (`lingers_us` of the settings).
const RESIDUAL_LOAD: Duration = Duration::from_ms(200);
/// How long the dependency is loaded.
const CALL_TEST_DURATION: Duration = Duration::from_ms(10_000);
/// Seeds of each setup with calls.
const SEED_COUNT: u64 = 3;
/// How long servers run that may change their mode together.
const MODE_TEST_DURATION: Duration = Duration::from_ms(20_000);
/// Servers that may change their mode together.
const MODE_TEST_SERVERS: usize = 30;
/// Retries and changes of the mode are counted in bins of this time.
const BIN_WIDTH: Duration = Duration::from_ms(100);

/// How calls are answered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Dependency {
    /// In 20 to 200 ms.
    Healthy,
    /// In 400 to 1,600 ms.
    Slow,
    /// Not at all: each call goes on until its timeout ends.
    Silent,
    /// It rejects every second call.
    Overloaded,
}

/// When a call ends, and how.
#[derive(Clone, Copy, Debug)]
struct CallEnd {
    at: Timestamp,
    outcome: Outcome,
}

impl Dependency {
    /// How a call that starts now ends.
    fn call_end(self, now: Timestamp, timeout: Duration, random: &mut Pcg) -> CallEnd {
        let (latency, outcome) = match self {
            Self::Healthy => (between_ms(random, 20, 200), Outcome::Ok),
            Self::Slow => (between_ms(random, 400, 1600), Outcome::Ok),
            Self::Silent => (CALL_TEST_DURATION, Outcome::Ok),
            Self::Overloaded if random.draw_fraction() < 0.5 => (STEP, Outcome::Rejected),
            Self::Overloaded => (between_ms(random, 20, 200), Outcome::Ok),
        };
        if latency < timeout {
            CallEnd { at: now + latency, outcome }
        } else {
            CallEnd { at: now + timeout, outcome: Outcome::TimedOut }
        }
    }
}

fn between_ms(random: &mut Pcg, min: u64, max: u64) -> Duration {
    Duration::from_ms(min + u64::from(random.draw()) % (max - min))
}

/// One server with what it has in progress.
struct Server {
    index: usize,
    controller: AdmissionController,
    starts_at: Timestamp,
    /// When each run ends or calls.
    run_ends: BTreeMap<RequestId, Timestamp>,
    calls: BTreeMap<RequestId, CallEnd>,
    /// Until when each cancelled call loads the dependency.
    residual_loads: Vec<Timestamp>,
    received: u64,
}

impl Server {
    fn new(index: usize, settings: &str, seed: u64, starts_at: Timestamp) -> Self {
        let catalog = Catalog::from_flat(flat_settings(settings)).expect("valid settings");
        Self {
            index,
            controller: AdmissionController::new(catalog, seed, starts_at),
            starts_at,
            run_ends: BTreeMap::new(),
            calls: BTreeMap::new(),
            residual_loads: Vec::new(),
            received: 0,
        }
    }

    /// Receives one more request, from one of `clients` clients in turn.
    fn receive(&mut self, now: Timestamp, clients: u64) {
        self.received += 1;
        let name = format!("{}x{}", self.index, self.received);
        let new = NewRequest {
            id: RequestId::parse(&format!("{name:-<36}")).expect("a short name"),
            class: RequestClassId(0),
            tenant: TenantId(0),
            session: None,
            client: ClientId(self.received % clients),
            deadline: None,
            cost: None,
            size_kb: 10.0,
            age: Duration::ZERO,
            read_after: Duration::ZERO,
            is_write: false,
            retry_of: None,
        };
        self.controller.request_received(now, new);
    }

    fn take_due_runs(&mut self, now: Timestamp) -> Vec<RequestId> {
        let due: Vec<RequestId> =
            self.run_ends.iter().filter(|(_, at)| **at <= now).map(|(request, _)| *request).collect();
        for request in &due {
            self.run_ends.remove(request);
        }
        due
    }

    /// The calls that load the dependency.
    fn call_load(&self) -> usize {
        self.calls.len() + self.residual_loads.len()
    }

    /// One step of a server that calls a dependency; returns how many calls started.
    fn step_with_calls(&mut self, now: Timestamp, dependency: Dependency, random: &mut Pcg) -> usize {
        self.residual_loads.retain(|until| *until > now);
        if random.draw_fraction() < 0.15 {
            self.receive(now, 7);
        }
        self.finish_due_calls(now);
        for request in self.take_due_runs(now) {
            // The first part of a run ends at a call; what is left after that ends the run.
            if random.draw_fraction() < 0.6 {
                self.controller.call_requested(now, request);
            } else {
                self.controller.run_finished(now, request, Outcome::Ok);
            }
        }
        self.controller.timer_tick(now, RuntimeGauges::default());
        let mut started_calls = 0;
        while let Some(decision) = self.controller.next_decision(now) {
            started_calls += usize::from(matches!(decision, Decision::StartCall { .. }));
            self.carry_out(now, decision, dependency, random);
        }
        started_calls
    }

    fn finish_due_calls(&mut self, now: Timestamp) {
        let due: Vec<(RequestId, Outcome)> = (self.calls.iter())
            .filter(|(_, end)| end.at <= now)
            .map(|(request, end)| (*request, end.outcome))
            .collect();
        for (request, outcome) in due {
            self.calls.remove(&request);
            if outcome == Outcome::TimedOut {
                self.residual_loads.push(now + RESIDUAL_LOAD);
            }
            self.controller.call_finished(now, request, outcome);
            if outcome == Outcome::Ok {
                self.run_ends.insert(request, now + Duration::from_ms(5));
            }
        }
    }

    fn carry_out(&mut self, now: Timestamp, decision: Decision, dependency: Dependency, random: &mut Pcg) {
        match decision {
            Decision::Run(request) => {
                self.run_ends.insert(request, now + Duration::from_ms(20));
            }
            Decision::StartCall { request, timeout } => {
                self.calls.insert(request, dependency.call_end(now, timeout, random));
            }
            Decision::Fail(request) | Decision::Reject { request, .. } => {
                self.run_ends.remove(&request);
                if self.calls.remove(&request).is_some() {
                    self.residual_loads.push(now + RESIDUAL_LOAD);
                }
                self.controller.run_finished(now, request, Outcome::Preempted);
            }
            Decision::Preempt(request) => {
                self.run_ends.remove(&request);
                self.controller.run_finished(now, request, Outcome::Preempted);
            }
            _ => {}
        }
    }

    /// One step of an overloaded server without calls.
    fn step_overloaded(&mut self, now: Timestamp, random: &mut Pcg, counts: &mut BinCounts) {
        if random.draw_fraction() < 0.2 {
            self.receive(now, 17);
        }
        for request in self.take_due_runs(now) {
            self.controller.run_finished(now, request, Outcome::Ok);
        }
        let gauges = RuntimeGauges::with_requests_on_cores(self.run_ends.len() as f64);
        self.controller.timer_tick(now, gauges);
        while let Some(decision) = self.controller.next_decision(now) {
            match decision {
                Decision::Run(request) => {
                    let running = (self.run_ends.len() as u64 + 1).max(2);
                    let run_ms = (60 + u64::from(random.draw()) % 200) * running / 2;
                    self.run_ends.insert(request, now + Duration::from_ms(run_ms));
                }
                Decision::Reject { retry_after, .. } => counts.record_retry(now + retry_after),
                Decision::Fail(request) | Decision::Preempt(request) => {
                    self.run_ends.remove(&request);
                    self.controller.run_finished(now, request, Outcome::Preempted);
                }
                Decision::Log(ControllerEvent::RateLimited { .. } | ControllerEvent::Unlimited { .. }) => {
                    counts.record_mode_change(now);
                }
                _ => {}
            }
        }
    }
}

/// The largest load of the dependency over [`OVERLOAD_TOLERANCE`].
#[derive(Clone, Copy, Debug)]
struct CallPeak {
    /// Mean calls at once, over the limit.
    load_over_limit: f64,
    /// Calls started.
    started: usize,
}

/// Lets cold servers share a call limit and returns the peak of their calls.
fn call_peak(servers: usize, limit: f64, dependency: Dependency, seed: u64) -> CallPeak {
    let mut random = Pcg::new(seed);
    let settings = format!(
        "server.cold=1 server.calls_bound={} server.calls_over_us={} server.lingers_us={}",
        limit / servers as f64,
        OVERLOAD_TOLERANCE.us(),
        RESIDUAL_LOAD.us()
    );
    let mut fleet: Vec<Server> = (0..servers)
        .map(|index| {
            let starts_at = START + Duration::from_ms(u64::from(random.draw()) % 50);
            Server::new(index, &settings, seed ^ index as u64, starts_at)
        })
        .collect();
    let (mut loads, mut started) = (VecDeque::new(), VecDeque::new());
    let (mut max_load, mut max_started) = (0.0f64, 0);
    let mut now = START;
    while now < START + CALL_TEST_DURATION {
        now = now + STEP;
        let started_servers = fleet.iter_mut().filter(|server| server.starts_at <= now);
        let started_now: usize =
            started_servers.map(|server| server.step_with_calls(now, dependency, &mut random)).sum();
        loads.push_back(fleet.iter().map(Server::call_load).sum::<usize>() as f64);
        started.push_back(started_now);
        if loads.len() as u64 > OVERLOAD_TOLERANCE.us() / STEP.us() {
            loads.pop_front();
            started.pop_front();
        }
        let mean_load = loads.iter().sum::<f64>() * STEP.us() as f64 / OVERLOAD_TOLERANCE.us() as f64;
        max_load = max_load.max(mean_load);
        max_started = max_started.max(started.iter().sum());
    }
    CallPeak { load_over_limit: max_load / limit, started: max_started }
}

#[test]
fn cold_servers_together_stay_within_the_limit_of_the_dependency() {
    let mut report = String::new();
    let mut over_limit = Vec::new();
    for dependency in [Dependency::Healthy, Dependency::Slow, Dependency::Silent, Dependency::Overloaded] {
        for servers in [1, 10, 20, 30] {
            for limit in [3.0, 12.0] {
                let peaks: Vec<CallPeak> =
                    (0..SEED_COUNT).map(|seed| call_peak(servers, limit, dependency, seed)).collect();
                let load = peaks.iter().map(|peak| peak.load_over_limit).fold(0.0, f64::max);
                let started = peaks.iter().map(|peak| peak.started).max().unwrap_or(0);
                let line = format!(
                    "{dependency:?} {servers} servers, limit {limit}: {load:.2}, {started} started\n"
                );
                if load > 1.0 {
                    over_limit.push(line.clone());
                }
                report += &line;
            }
        }
    }
    println!("{report}");
    assert!(over_limit.is_empty(), "{over_limit:?}\n{report}");
}

/// What overloaded servers do in each bin of time.
#[derive(Default)]
struct BinCounts {
    mode_changes: BTreeMap<u64, u32>,
    retries: BTreeMap<u64, u32>,
}

impl BinCounts {
    fn bin(at: Timestamp) -> u64 {
        (at - START).us() / BIN_WIDTH.us()
    }

    fn record_mode_change(&mut self, at: Timestamp) {
        *self.mode_changes.entry(Self::bin(at)).or_default() += 1;
    }

    fn record_retry(&mut self, at: Timestamp) {
        *self.retries.entry(Self::bin(at)).or_default() += 1;
    }
}

/// Of servers that start in the same instant, each overloaded: how many change their mode within the same 100 ms, and how many
/// rejected clients are to retry then, over the mean.
#[test]
fn servers_started_together_do_not_act_in_step() {
    let mut random = Pcg::new(3);
    let mut fleet: Vec<Server> = (0..MODE_TEST_SERVERS)
        .map(|index| Server::new(index, "server.cold=1", 1000 + index as u64, START))
        .collect();
    let mut counts = BinCounts::default();
    let mut now = START;
    while now < START + MODE_TEST_DURATION {
        now = now + STEP;
        for server in &mut fleet {
            server.step_overloaded(now, &mut random, &mut counts);
        }
    }
    let retries = counts.retries.range(10..190).map(|(_, count)| *count);
    let mean = f64::from(retries.clone().sum::<u32>()) / 180.0;
    let max_retries = retries.max().unwrap_or(0);
    let max_changes = counts.mode_changes.values().max().copied().unwrap_or(0);
    let changes = counts.mode_changes.values().sum::<u32>();
    println!("retries: mean {mean:.1} max {max_retries}; mode changes: max {max_changes} of {changes}");
    assert!(
        f64::from(max_retries) < 2.0 * mean && max_changes <= 4,
        "{max_retries} of {mean}, {max_changes}"
    );
}
