//! Tests of the total effect of many servers, in virtual time. Each server is an `AdmissionController` with
//! its part of the limits and no knowledge of the others. All start together and receive more than they can
//! serve.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur::{
    AdmissionController, Catalog, ClientId, ControllerEvent, Decision, Duration, NewRequest, Outcome,
    RequestClassId, RequestId, RuntimeGauges, TenantId, Timestamp,
};
use helpers::flat_settings;
use std::collections::{BTreeMap, VecDeque};

/// Virtual time between two steps.
const STEP: Duration = Duration::from_ms(5);
/// Time at which the first servers start.
const START: Timestamp = Timestamp::from_us(50_000_000);
/// Period over which the mean load of the dependency must not exceed its limit (`server.calls_over_us`).
const OVERLOAD_TOLERANCE: Duration = Duration::from_ms(5000);
/// Time for which a cancelled call still loads the dependency (`server.lingers_us`).
const RESIDUAL_LOAD: Duration = Duration::from_ms(200);
/// Duration of the test of dependency calls.
const CALL_TEST_DURATION: Duration = Duration::from_ms(10_000);
/// Number of seeds for each setup of the test of dependency calls.
const SEED_COUNT: u64 = 3;
/// Duration of the test of simultaneous mode changes.
const MODE_TEST_DURATION: Duration = Duration::from_ms(20_000);
/// Number of servers in the test of simultaneous mode changes.
const MODE_TEST_SERVERS: usize = 30;
/// Width of the bins in which retries and mode changes are counted.
const BIN_WIDTH: Duration = Duration::from_ms(100);

/// The behaviour of the dependency towards calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Dependency {
    /// Calls take 20 to 200 ms.
    Healthy,
    /// Calls take 400 to 1,600 ms.
    Slow,
    /// Calls are never answered and run into their timeout.
    Silent,
    /// Half of the calls, at random, are rejected; the others take 20 to 200 ms.
    Overloaded,
}

/// The time and outcome of the end of a call.
#[derive(Clone, Copy, Debug)]
struct CallEnd {
    at: Timestamp,
    outcome: Outcome,
}

impl Dependency {
    /// Returns the end of a call that starts now.
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

/// A server with its runs and calls in progress.
struct Server {
    index: usize,
    controller: AdmissionController,
    starts_at: Timestamp,
    /// Time at which each run ends or requests a call.
    run_ends: BTreeMap<RequestId, Timestamp>,
    calls: BTreeMap<RequestId, CallEnd>,
    /// Times until which cancelled or timed-out calls load the dependency.
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

    /// Receives one request, from each of `clients` clients in turn.
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
            read_offset: Duration::ZERO,
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

    /// Returns the number of calls that load the dependency.
    fn call_load(&self) -> usize {
        self.calls.len() + self.residual_loads.len()
    }

    /// Runs one step of a server with dependency calls and returns the number of calls started.
    fn step_with_calls(&mut self, now: Timestamp, dependency: Dependency, random: &mut Pcg) -> usize {
        self.residual_loads.retain(|until| *until > now);
        if random.draw_fraction() < 0.15 {
            self.receive(now, 7);
        }
        self.finish_due_calls(now);
        for request in self.take_due_runs(now) {
            // With a probability of 0.6 the run requests a call here, otherwise it ends.
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

    /// Runs one step of an overloaded server without calls.
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

/// The peak of the calls to the dependency over any period of [`OVERLOAD_TOLERANCE`].
#[derive(Clone, Copy, Debug)]
struct CallPeak {
    /// Largest mean number of concurrent calls, divided by the limit.
    load_over_limit: f64,
    /// Largest number of calls started.
    started: usize,
}

/// Runs cold servers that share a call limit equally and returns the peak of their calls.
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
fn cold_servers_together_stay_within_the_dependency_limit() {
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

/// Numbers of mode changes and retries of overloaded servers, by bin of [`BIN_WIDTH`] since [`START`].
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

/// Overloaded servers that start in the same instant would change their mode and let rejected clients retry
/// at the same time if nothing spread them. Guards the peak of both within 100 ms.
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
