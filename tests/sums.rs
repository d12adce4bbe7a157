//! What many cold servers come to in sum at the dependency that all share, in virtual time: each is a `Logic`
//! with its part of the settings, none hears of another, all begin at once and are asked for more than the
//! dependency takes.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur::{CallerId, Decision, Logic, Moment, OpId, OpTypeId, Outcome, Span, TenantId};
use helpers::facts;
use std::collections::{BTreeMap, VecDeque};

const STEP: Span = Span::from_ms(5);
const BEGIN: Moment = Moment::from_us(50_000_000);
/// `calls_over_us` of the settings, and how long a call that was given up still counts.
const OVER: Span = Span::from_ms(5000);
const LINGERS: Span = Span::from_ms(200);
const LASTS: Span = Span::from_ms(10_000);
const SEEDS: u64 = 3;

/// How calls are answered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Dependency {
    /// In 20 to 200 ms.
    Well,
    /// In 400 to 1,600 ms.
    Slow,
    /// Not at all: each call goes on until its patience ends.
    Silent,
    /// It turns each second call away.
    Full,
}

struct Server {
    logic: Logic,
    begins: Moment,
    runs: BTreeMap<OpId, Moment>,
    /// When each call comes back, and how.
    calls: BTreeMap<OpId, (Moment, Outcome)>,
    /// Until when a call that was given up still counts.
    lingering: Vec<Moment>,
    ops: u64,
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
            let begins = BEGIN + Span::from_ms(u64::from(chance.draw()) % 50);
            let logic = Logic::new(facts(&settings), seed ^ of as u64, begins).expect("sound settings");
            let (runs, calls, lingering) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
            Server { logic, begins, runs, calls, lingering, ops: 0 }
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

/// Ops come, runs want calls and end, decisions are carried out; how many calls began.
fn step(server: &mut Server, of: usize, now: Moment, dependency: Dependency, chance: &mut Pcg) -> usize {
    let Server { logic, runs, calls, lingering, ops, .. } = server;
    lingering.retain(|until| *until > now);
    if chance.unit() < 0.15 {
        *ops += 1;
        let id = OpId::parse(&format!("{:-<36}", format!("{of}x{ops}"))).expect("a short name");
        let (user, caller) = (None, CallerId(*ops % 7));
        logic.op_read(
            now,
            id,
            OpTypeId(0),
            TenantId(0),
            user,
            caller,
            None,
            None,
            10.0,
            Span::ZERO,
            false,
            None,
        );
    }
    let came: Vec<(OpId, Outcome)> =
        calls.iter().filter(|(_, call)| call.0 <= now).map(|(op, call)| (*op, call.1)).collect();
    for (op, outcome) in came {
        calls.remove(&op);
        if outcome == Outcome::TimedOut {
            lingering.push(now + LINGERS);
        }
        logic.call_ended(now, op, outcome);
        if outcome == Outcome::Ok {
            runs.insert(op, now + Span::from_ms(5));
        }
    }
    let done: Vec<OpId> = runs.iter().filter(|(_, at)| **at <= now).map(|(op, _)| *op).collect();
    for op in done {
        runs.remove(&op);
        // Its first part ends at a call; what is left after that ends the run.
        if chance.unit() < 0.6 { logic.call_wanted(now, op) } else { logic.run_ended(now, op, Outcome::Ok) }
    }
    logic.timer(now, &[]);
    let mut begun = 0;
    while let Some(decision) = logic.next_decision(now) {
        match decision {
            Decision::Run(op) => {
                runs.insert(op, now + Span::from_ms(20));
            }
            Decision::Call { op, patience } => {
                begun += 1;
                let ms = |from: u64, to: u64, chance: &mut Pcg| {
                    Span::from_ms(from + u64::from(chance.draw()) % (to - from))
                };
                let (takes, outcome) = match dependency {
                    Dependency::Well => (ms(20, 200, chance), Outcome::Ok),
                    Dependency::Slow => (ms(400, 1600, chance), Outcome::Ok),
                    Dependency::Silent => (LASTS, Outcome::Ok),
                    Dependency::Full if chance.unit() < 0.5 => (STEP, Outcome::Full),
                    Dependency::Full => (ms(20, 200, chance), Outcome::Ok),
                };
                let end = if takes < patience { (takes, outcome) } else { (patience, Outcome::TimedOut) };
                calls.insert(op, (now + end.0, end.1));
            }
            Decision::Fail(op) | Decision::Nack { op, .. } => {
                runs.remove(&op);
                if calls.remove(&op).is_some() {
                    lingering.push(now + LINGERS);
                }
                logic.run_ended(now, op, Outcome::Stopped);
            }
            Decision::Stop(op) => {
                runs.remove(&op);
                logic.run_ended(now, op, Outcome::Stopped);
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
        let logic = Logic::new(facts("server.cold=1"), 1000 + of as u64, BEGIN).expect("sound settings");
        let (runs, calls, lingering) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        Server { logic, begins: BEGIN, runs, calls, lingering, ops: 0 }
    };
    let mut all: Vec<Server> = (0..30).map(began).collect();
    let (mut modes, mut backs) = (BTreeMap::<u64, u32>::new(), BTreeMap::<u64, u32>::new());
    let mut now = BEGIN;
    while now < BEGIN + Span::from_ms(20_000) {
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
    now: Moment,
    chance: &mut Pcg,
    modes: &mut BTreeMap<u64, u32>,
    backs: &mut BTreeMap<u64, u32>,
) {
    let bin = |at: Moment| (at - BEGIN).us() / 100_000;
    let Server { logic, runs, ops, .. } = server;
    if chance.unit() < 0.2 {
        *ops += 1;
        let id = OpId::parse(&format!("{:-<36}", format!("{of}x{ops}"))).expect("a short name");
        let (caller, kb) = (CallerId(*ops % 17), 10.0);
        let (op_type, tenant) = (OpTypeId(0), TenantId(0));
        logic.op_read(now, id, op_type, tenant, None, caller, None, None, kb, Span::ZERO, false, None);
    }
    let done: Vec<OpId> = runs.iter().filter(|(_, at)| **at <= now).map(|(op, _)| *op).collect();
    for op in done {
        runs.remove(&op);
        logic.run_ended(now, op, Outcome::Ok);
    }
    logic.timer(now, &[("on_cores", runs.len() as f64)]);
    while let Some(decision) = logic.next_decision(now) {
        match decision {
            Decision::Run(op) => {
                let crowd = (runs.len() as u64 + 1).max(2);
                let takes = Span::from_ms((60 + u64::from(chance.draw()) % 200) * crowd / 2);
                runs.insert(op, now + takes);
            }
            Decision::Nack { come_back, .. } => *backs.entry(bin(now + come_back)).or_default() += 1,
            Decision::Fail(op) | Decision::Stop(op) => {
                runs.remove(&op);
                logic.run_ended(now, op, Outcome::Stopped);
            }
            Decision::Log(line) if line.starts_with("mode bound") || line.starts_with("mode open") => {
                *modes.entry(bin(now)).or_default() += 1;
            }
            _ => {}
        }
    }
}
