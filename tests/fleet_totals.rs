//! What many cold servers come to in sum at the dependency that all share, in virtual time: each is a `AdmissionController`
//! with its part of the settings, none hears of another, all begin at once and are asked for more than the
//! dependency takes.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur::{
    AdmissionController, Catalog, ClientId, ControllerEvent, Decision, Duration, NewRequest, Outcome,
    RequestClassId, RequestId, RuntimeGauges, TenantId, Timestamp,
};
use helpers::flat_settings;
use std::collections::{BTreeMap, VecDeque};

const STEP: Duration = Duration::from_ms(5);
const BEGIN: Timestamp = Timestamp::from_us(50_000_000);
/// `calls_over_us` of the settings, and how long a call that was given up still counts.
const OVER: Duration = Duration::from_ms(5000);
const LINGERS: Duration = Duration::from_ms(200);
const LASTS: Duration = Duration::from_ms(10_000);
const SEEDS: u64 = 3;

/// How calls are answered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Dependency {
    /// In 20 to 200 ms.
    Well,
    /// In 400 to 1,600 ms.
    Slow,
    /// Not at all: each call goes on until its timeout ends.
    Silent,
    /// It turns each second call away.
    Full,
}

struct Server {
    controller: AdmissionController,
    begins: Timestamp,
    runs: BTreeMap<RequestId, Timestamp>,
    /// When each call comes back, and how.
    calls: BTreeMap<RequestId, (Timestamp, Outcome)>,
    /// Until when a call that was given up still counts.
    lingering: Vec<Timestamp>,
    requests: u64,
}

/// The most that all had out on average over `OVER`, as a part of the limit, and the most begun within it.
fn worst(servers: usize, limit: f64, dependency: Dependency, seed: u64) -> (f64, usize) {
    let mut chance = Pcg::new(seed);
    let share = limit / servers as f64;
    let settings = format!(
        "server.cold=1 server.calls_bound={share} server.calls_over_us={} server.lingers_us={}",
        OVER.us(),
        LINGERS.us()
    );
    let mut all: Vec<Server> = (0..servers)
        .map(|of| {
            let begins = BEGIN + Duration::from_ms(u64::from(chance.draw()) % 50);
            let controller = AdmissionController::new(
                Catalog::from_flat(flat_settings(&settings)).expect("valid settings"),
                seed ^ of as u64,
                begins,
            );
            let (runs, calls, lingering) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
            Server { controller, begins, runs, calls, lingering, requests: 0 }
        })
        .collect();
    let (mut out, mut begun) = (VecDeque::new(), VecDeque::new());
    let (mut most, mut most_begun) = (0.0f64, 0);
    let mut now = BEGIN;
    while now < BEGIN + LASTS {
        now = now + STEP;
        let mut begun_now = 0;
        for (of, server) in all.iter_mut().enumerate().filter(|(_, server)| server.begins <= now) {
            begun_now += step(server, of, now, dependency, &mut chance);
        }
        let in_hands: usize = all.iter().map(|server| server.calls.len() + server.lingering.len()).sum();
        out.push_back(in_hands as f64);
        begun.push_back(begun_now);
        if out.len() as u64 > OVER.us() / STEP.us() {
            out.pop_front();
            begun.pop_front();
        }
        most = most.max(out.iter().sum::<f64>() * STEP.us() as f64 / OVER.us() as f64);
        most_begun = most_begun.max(begun.iter().sum());
    }
    (most / limit, most_begun)
}

/// Requests come, runs want calls and end, decisions are carried out; how many calls began.
fn step(server: &mut Server, of: usize, now: Timestamp, dependency: Dependency, chance: &mut Pcg) -> usize {
    let Server { controller, runs, calls, lingering, requests, .. } = server;
    lingering.retain(|until| *until > now);
    if chance.unit() < 0.15 {
        *requests += 1;
        let id = RequestId::parse(&format!("{:-<36}", format!("{of}x{requests}"))).expect("a short name");
        let (user, caller) = (None, ClientId(*requests % 7));
        let new = NewRequest {
            id,
            class: RequestClassId(0),
            tenant: TenantId(0),
            session: user,
            client: caller,
            deadline: None,
            cost: None,
            size_kb: 10.0,
            age: Duration::ZERO,
            is_write: false,
            retry_of: None,
        };
        controller.request_received(now, new);
    }
    let came: Vec<(RequestId, Outcome)> =
        calls.iter().filter(|(_, call)| call.0 <= now).map(|(request, call)| (*request, call.1)).collect();
    for (request, outcome) in came {
        calls.remove(&request);
        if outcome == Outcome::TimedOut {
            lingering.push(now + LINGERS);
        }
        controller.call_finished(now, request, outcome);
        if outcome == Outcome::Ok {
            runs.insert(request, now + Duration::from_ms(5));
        }
    }
    let done: Vec<RequestId> =
        runs.iter().filter(|(_, at)| **at <= now).map(|(request, _)| *request).collect();
    for request in done {
        runs.remove(&request);
        // Its first part ends at a call; what is left after that ends the run.
        if chance.unit() < 0.6 {
            controller.call_requested(now, request)
        } else {
            controller.run_finished(now, request, Outcome::Ok)
        }
    }
    controller.timer_tick(now, RuntimeGauges::default());
    let mut begun = 0;
    while let Some(decision) = controller.next_decision(now) {
        match decision {
            Decision::Run(request) => {
                runs.insert(request, now + Duration::from_ms(20));
            }
            Decision::StartCall { request, timeout } => {
                begun += 1;
                let ms = |from: u64, to: u64, chance: &mut Pcg| {
                    Duration::from_ms(from + u64::from(chance.draw()) % (to - from))
                };
                let (takes, outcome) = match dependency {
                    Dependency::Well => (ms(20, 200, chance), Outcome::Ok),
                    Dependency::Slow => (ms(400, 1600, chance), Outcome::Ok),
                    Dependency::Silent => (LASTS, Outcome::Ok),
                    Dependency::Full if chance.unit() < 0.5 => (STEP, Outcome::Rejected),
                    Dependency::Full => (ms(20, 200, chance), Outcome::Ok),
                };
                let end = if takes < timeout { (takes, outcome) } else { (timeout, Outcome::TimedOut) };
                calls.insert(request, (now + end.0, end.1));
            }
            Decision::Fail(request) | Decision::Reject { request, .. } => {
                runs.remove(&request);
                if calls.remove(&request).is_some() {
                    lingering.push(now + LINGERS);
                }
                controller.run_finished(now, request, Outcome::Preempted);
            }
            Decision::Preempt(request) => {
                runs.remove(&request);
                controller.run_finished(now, request, Outcome::Preempted);
            }
            _ => {}
        }
    }
    begun
}

#[test]
fn cold_servers_together_keep_within_what_the_dependency_takes() {
    let mut seen = String::new();
    let mut over = Vec::new();
    for dependency in [Dependency::Well, Dependency::Slow, Dependency::Silent, Dependency::Full] {
        for servers in [1, 10, 20, 30] {
            for limit in [3.0, 12.0] {
                let runs: Vec<(f64, usize)> =
                    (0..SEEDS).map(|seed| worst(servers, limit, dependency, seed)).collect();
                let most = runs.iter().map(|run| run.0).fold(0.0, f64::max);
                let begun = runs.iter().map(|run| run.1).max().unwrap_or(0);
                seen +=
                    &format!("{dependency:?} {servers} servers, limit {limit}: {most:.2}, {begun} begun\n");
                if most > 1.0 {
                    over.push((dependency, servers, limit, most));
                }
            }
        }
    }
    println!("{seen}");
    assert!(over.is_empty(), "{over:?}\n{seen}");
}

/// Servers that begin in the same instant, each under more than it can do: how many of them change R's mode within
/// the same 100 ms, and how many of their nacked callers are to come back then, over the mean.
#[test]
fn servers_that_begin_together_do_not_keep_step() {
    let mut chance = Pcg::new(3);
    let began = |of: usize| {
        let catalog = Catalog::from_flat(flat_settings("server.cold=1")).expect("valid settings");
        let controller = AdmissionController::new(catalog, 1000 + of as u64, BEGIN);
        let (runs, calls, lingering) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        Server { controller, begins: BEGIN, runs, calls, lingering, requests: 0 }
    };
    let mut all: Vec<Server> = (0..30).map(began).collect();
    let (mut modes, mut backs) = (BTreeMap::<u64, u32>::new(), BTreeMap::<u64, u32>::new());
    let mut now = BEGIN;
    while now < BEGIN + Duration::from_ms(20_000) {
        now = now + STEP;
        for (of, server) in all.iter_mut().enumerate() {
            crowded(server, of, now, &mut chance, &mut modes, &mut backs);
        }
    }
    let later = backs.range(10..190).map(|(_, n)| *n);
    let mean = f64::from(later.clone().sum::<u32>()) / 180.0;
    let (back, mode) = (later.max().unwrap_or(0), modes.values().max().copied().unwrap_or(0));
    println!("come back: mean {mean:.1} most {back}; modes: most {mode} of {}", modes.values().sum::<u32>());
    assert!(f64::from(back) < 2.0 * mean && mode <= 4, "{back} of {mean}, {mode}");
}

fn crowded(
    server: &mut Server,
    of: usize,
    now: Timestamp,
    chance: &mut Pcg,
    modes: &mut BTreeMap<u64, u32>,
    backs: &mut BTreeMap<u64, u32>,
) {
    let bin = |at: Timestamp| (at - BEGIN).us() / 100_000;
    let Server { controller, runs, requests, .. } = server;
    if chance.unit() < 0.2 {
        *requests += 1;
        let id = RequestId::parse(&format!("{:-<36}", format!("{of}x{requests}"))).expect("a short name");
        let (caller, kb) = (ClientId(*requests % 17), 10.0);
        let (request_class, tenant) = (RequestClassId(0), TenantId(0));
        let new = NewRequest {
            id,
            class: request_class,
            tenant,
            session: None,
            client: caller,
            deadline: None,
            cost: None,
            size_kb: kb,
            age: Duration::ZERO,
            is_write: false,
            retry_of: None,
        };
        controller.request_received(now, new);
    }
    let done: Vec<RequestId> =
        runs.iter().filter(|(_, at)| **at <= now).map(|(request, _)| *request).collect();
    for request in done {
        runs.remove(&request);
        controller.run_finished(now, request, Outcome::Ok);
    }
    controller.timer_tick(now, RuntimeGauges::with_requests_on_cores(runs.len() as f64));
    while let Some(decision) = controller.next_decision(now) {
        match decision {
            Decision::Run(request) => {
                let crowd = (runs.len() as u64 + 1).max(2);
                let takes = Duration::from_ms((60 + u64::from(chance.draw()) % 200) * crowd / 2);
                runs.insert(request, now + takes);
            }
            Decision::Reject { retry_after, .. } => *backs.entry(bin(now + retry_after)).or_default() += 1,
            Decision::Fail(request) | Decision::Preempt(request) => {
                runs.remove(&request);
                controller.run_finished(now, request, Outcome::Preempted);
            }
            Decision::Log(ControllerEvent::RateLimited { .. } | ControllerEvent::Unlimited { .. }) => {
                *modes.entry(bin(now)).or_default() += 1;
            }
            _ => {}
        }
    }
}
