//! One run from its start to its verdict.

use crate::checker::{Evidence, WorkerRecord};
use crate::observer::{FleetObserver, FleetView};
use crate::script::FaultKind;
use crate::test_fleet::{
    CALL_AVERAGING_WINDOW, CORES, GRACE_MS, INSTALLATION, KEY, Plan, RUNS_PER_CORE, STOP_MS, TestFleet,
};
use anyhow::Context;
use hazelspur_fleet::{LocalStatus, MemberStatus};
use hazelspur_test_doubles::gateway::Response;
use hazelspur_test_doubles::now_ms;
use std::collections::BTreeMap;
use std::time::Duration;

/// Servers come up and find each other within this, in ms; an event is waited for, so a quick machine waits
/// less.
const UP_MS: u64 = 60_000;
/// At last all show one picture: within this after the last fault.
const TOGETHER_MS: u64 = 120_000;
/// How often faults are applied.
const STEP: Duration = Duration::from_millis(5);
/// Pictures are looked at so often, in ms.
const LOOK_MS: u64 = 1000;
/// How long a server may take to answer a query.
const ASK: Duration = Duration::from_millis(120);
/// A server may take so much memory, in KB.
const MEMORY_KB: u64 = 64 * 1024;

/// What came out.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Breaches of the rules, in words.
    pub breaches: Vec<String>,
    /// What they were found in.
    pub evidence: Evidence,
    /// From the last fault's end until all showed one picture; none if that did not come.
    pub agreement_ms: Option<u64>,
    /// How long the start of all took, in milliseconds.
    pub startup_ms: u64,
    /// What each server's lives have logged; no part of the verdict.
    pub logs: Vec<String>,
}

impl Verdict {
    /// The figures of the run, in words.
    pub fn figures(&self) -> String {
        let of = &self.evidence;
        let tries: usize = of.attempts.iter().map(Vec::len).sum();
        let memory = of.process_incarnations.iter().map(|life| life.peak_memory_kb).max().unwrap_or(0);
        let together = self.agreement_ms.map_or("never".into(), |ms| format!("{:.1} s", ms as f64 / 1000.0));
        format!(
            "{} servers, {} lives; {tries} tries: {} acked, {} nacked, {} failed, {} late by over 50 ms; most calls at once {}, most memory {memory} KB; up after {:.1} s, one picture after {together}",
            of.servers,
            of.process_incarnations.len(),
            of.count_first_responses(Response::Succeeded),
            of.count_first_responses(Response::Rejected),
            of.count_first_responses(Response::Failed),
            of.count_late(),
            of.max_concurrent_calls,
            self.startup_ms as f64 / 1000.0,
        )
    }
}

/// What is told while it runs.
pub type OnViews<'a> = &'a mut dyn FnMut(u64, &[Option<FleetView>]);

/// Plays a run and judges it; `tell` gets each change of the servers' views.
pub fn play(plan: Plan, tell: OnViews<'_>) -> anyhow::Result<Verdict> {
    let servers = plan.servers;
    let mut bed = TestFleet::new(plan)?;
    let mut observer = FleetObserver::new(KEY, INSTALLATION)?;
    let (mut views, startup_ms) = start_and_wait_for_agreement(&mut bed, &mut observer)?;
    tell(0, &views);

    bed.start_gateways();
    bed.link_faults.start();
    let began_ms = now_ms();
    let script = bed.plan.script.clone();
    let mut moves: Vec<(u64, usize, bool)> = Vec::new();
    for (i, fault) in script.0.iter().enumerate().filter(|(_, fault)| !fault.kind.targets_link()) {
        if !matches!(fault.kind, FaultKind::ClockOffset(_)) {
            moves.extend([(fault.start_ms, i, true), (fault.end_ms(), i, false)]);
        }
    }
    moves.sort_by_key(|(at, i, begins)| (*at, !*begins, *i));
    moves.reverse();
    let end_ms = script.end_ms() + 3000;
    let (mut seen, mut next_look) = (Vec::new(), 0);
    loop {
        let at = now_ms() - began_ms;
        while let Some((_, i, begins)) = moves.pop_if(|(when, ..)| *when <= at) {
            bed.apply(&script.0[i], begins).with_context(|| script.0[i].to_string())?;
        }
        bed.reap();
        if at >= next_look {
            next_look = at + LOOK_MS;
            views = look(&mut bed, &mut observer);
            tell(at, &views);
            seen.extend(views.iter().flatten().cloned());
        }
        if at >= end_ms && moves.is_empty() {
            break;
        }
        std::thread::sleep(STEP);
    }
    let over = now_ms();
    let mut agreement_ms = None;
    while agreement_ms.is_none() && now_ms() < over + TOGETHER_MS {
        views = look(&mut bed, &mut observer);
        tell(now_ms() - began_ms, &views);
        seen.extend(views.iter().flatten().cloned());
        bed.reap();
        if views.iter().all(|view| whole(view, servers)) {
            agreement_ms = Some(now_ms() - over + 3000);
        } else {
            std::thread::sleep(Duration::from_millis(500));
        }
    }
    let last = views;
    bed.gateways.iter().for_each(|gateway| gateway.stop());
    let tries = bed.gateways.iter_mut().map(|gateway| gateway.finish()).collect();
    bed.stop_all();
    let evidence = evidence(&bed, (began_ms, tries, seen, last));
    let read = |of| std::fs::read_to_string(bed.log_file(of)).unwrap_or_default();
    let logs = (0..servers).map(read).collect();
    Ok(Verdict { breaches: evidence.breaches(), evidence, agreement_ms, startup_ms, logs })
}

/// Starts all servers and waits until they are listed and show one picture; the pictures, and how long that
/// took in ms.
pub fn start_and_wait_for_agreement(
    bed: &mut TestFleet,
    observer: &mut FleetObserver,
) -> anyhow::Result<(Vec<Option<FleetView>>, u64)> {
    let (began, servers) = (now_ms(), bed.plan.servers);
    for of in 0..servers {
        bed.start_server(of)?;
    }
    loop {
        std::thread::sleep(Duration::from_millis(200));
        bed.reap();
        let views = look(bed, observer);
        let all = views.iter().all(|view| whole(view, servers));
        if all && bed.registry.list.listed(0).len() == servers {
            return Ok((views, now_ms() - began));
        }
        let why = || format!("the fleet did not come up: {}\n{}", summary(&views), bed.last_log_lines());
        anyhow::ensure!(now_ms() < began + UP_MS, why());
    }
}

type Seen = (u64, Vec<Vec<hazelspur_test_doubles::gateway::Attempt>>, Vec<FleetView>, Vec<Option<FleetView>>);

fn evidence(bed: &TestFleet, (began_ms, tries, views, last): Seen) -> Evidence {
    let ran = bed.workers.iter().map(|runtime| {
        let worker_state = runtime.state();
        let name = |body: &Vec<u8>| String::from_utf8_lossy(body).into_owned();
        WorkerRecord {
            run_started_ms: worker_state.started.clone(),
            runs_by_request: worker_state.runs.iter().map(|(body, runs)| (name(body), runs.len())).collect(),
            max_concurrent_runs: worker_state.max_concurrent_runs,
        }
    });
    let state = bed.dependency.state();
    Evidence {
        servers: bed.plan.servers,
        faults: bed.plan.script.0.clone(),
        script_started_ms: began_ms,
        attempts: tries,
        refusals: bed.refusals.lock().expect("no panic before").clone(),
        worker_records: ran.collect(),
        process_incarnations: bed.process_incarnations.clone(),
        views,
        last_views: last,
        effects: state.effects.clone(),
        max_concurrent_calls: state.max_concurrent_calls,
        max_mean_concurrent_calls: state.max_mean_concurrency(CALL_AVERAGING_WINDOW),
        grace_ms: GRACE_MS,
        stop_ms: STOP_MS,
        memory_limit_kb: MEMORY_KB,
        run_limit: CORES * RUNS_PER_CORE,
        call_limit: if bed.plan.coordinated {
            bed.plan.slots()
        } else {
            // One at a time is each server's, whatever its part is, and one that it has just given up.
            ((bed.plan.calls_per_server * bed.plan.servers as f64) as usize).max(2 * bed.plan.servers)
        },
    }
}

fn look(bed: &mut TestFleet, observer: &mut FleetObserver) -> Vec<Option<FleetView>> {
    (0..bed.plan.servers)
        .map(|of| if bed.is_running(of) { observer.query(of, bed.membership_address(of), ASK) } else { None })
        .collect()
}

fn whole(view: &Option<FleetView>, servers: usize) -> bool {
    view.as_ref().is_some_and(|view| {
        let alive =
            view.other_members.iter().filter(|(_, standing)| *standing == MemberStatus::Alive).count();
        view.local_status == LocalStatus::Healthy && alive + 1 == servers && view.fleet_size.max == servers
    })
}

/// How many servers show what, in one line.
pub fn summary(views: &[Option<FleetView>]) -> String {
    let mut by: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (of, view) in views.iter().enumerate() {
        let text = view.as_ref().map_or("does not answer".into(), |view| {
            let count = |standing| view.other_members.iter().filter(|(_, other)| *other == standing).count();
            let bad = [
                (MemberStatus::Suspected, "suspected"),
                (MemberStatus::Dead, "lost"),
                (MemberStatus::Leaving, "leaving"),
            ];
            let bad = bad.map(|(s, name)| (count(s), name)).into_iter().filter(|(n, _)| *n > 0);
            let bad: String = bad.map(|(n, name)| format!(", {n} {name}")).collect();
            format!("{} {} to {}{bad}", view.local_status.name(), view.fleet_size.min, view.fleet_size.max)
        });
        by.entry(text).or_default().push(format!("n{of}"));
    }
    let parts: Vec<String> = by.iter().map(|(text, who)| format!("{}: {text}", who.join(" "))).collect();
    parts.join(" | ")
}
