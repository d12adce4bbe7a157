//! Runs a plan from the start of its servers to the verdict: starts the fleet, applies the faults of the
//! script, queries the servers' views throughout, waits for agreement, stops the fleet and checks the
//! recorded evidence.

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

/// Longest time until all servers have started and found each other, in milliseconds; the run goes on as soon
/// as they have.
const STARTUP_TIMEOUT_MS: u64 = 60_000;
/// Longest time after the faults until the views of all servers are complete, in milliseconds.
const AGREEMENT_TIMEOUT_MS: u64 = 120_000;
/// Interval at which due faults are applied.
const STEP_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between queries of all servers, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 1000;
/// Time that a server may take to answer a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(120);
/// Memory that a server may use, in kB.
const SERVER_MEMORY_LIMIT_KB: u64 = 64 * 1024;

/// Outcome of a run.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Description of each breach of a rule; empty if all rules held.
    pub breaches: Vec<String>,
    /// Evidence that the rules were checked against.
    pub evidence: Evidence,
    /// Time from the end of the last fault until all views were complete, in milliseconds; `None` if they
    /// never were.
    pub agreement_ms: Option<u64>,
    /// Time until all servers had started and found each other, in milliseconds.
    pub startup_ms: u64,
    /// Log of each server over all its process incarnations, indexed by server; not part of the verdict.
    pub logs: Vec<String>,
}

impl Verdict {
    /// Returns the figures of the run as one line of text.
    pub fn figures(&self) -> String {
        let evidence = &self.evidence;
        let attempts: usize = evidence.attempts.iter().map(Vec::len).sum();
        let peak_memory_kb =
            evidence.process_incarnations.iter().map(|process| process.peak_memory_kb).max().unwrap_or(0);
        let agreement = self.agreement_ms.map_or("never".into(), |ms| format!("{:.1} s", ms as f64 / 1000.0));
        format!(
            "{} servers, {} lives; {attempts} tries: {} acked, {} nacked, {} failed, {} late by over 50 ms; most calls at once {}, most memory {peak_memory_kb} KB; up after {:.1} s, one picture after {agreement}",
            evidence.servers,
            evidence.process_incarnations.len(),
            evidence.count_first_responses(Response::Succeeded),
            evidence.count_first_responses(Response::Rejected),
            evidence.count_first_responses(Response::Failed),
            evidence.count_late(),
            evidence.max_concurrent_calls,
            self.startup_ms as f64 / 1000.0,
        )
    }
}

/// Callback for the servers' views: the time since the start of the script in milliseconds, and the view of
/// each server, `None` if it did not answer.
pub type OnViews<'a> = &'a mut dyn FnMut(u64, &[Option<FleetView>]);

/// Runs a plan and checks its evidence; `on_views` is called after each query of all servers.
///
/// # Errors
///
/// Fails if the fleet cannot be created, does not agree in time at its start, or a fault cannot be applied.
pub fn play(plan: Plan, on_views: OnViews<'_>) -> anyhow::Result<Verdict> {
    let servers = plan.servers;
    let mut fleet = TestFleet::new(plan)?;
    let mut observer = FleetObserver::new(KEY, INSTALLATION)?;
    let (mut views, startup_ms) = start_and_wait_for_agreement(&mut fleet, &mut observer)?;
    on_views(0, &views);

    fleet.start_gateways();
    fleet.link_faults.start();
    let script_started_ms = now_ms();
    let script = fleet.plan.script.clone();
    let mut transitions: Vec<(u64, usize, bool)> = Vec::new();
    for (index, fault) in script.0.iter().enumerate().filter(|(_, fault)| !fault.kind.targets_link()) {
        if !matches!(fault.kind, FaultKind::ClockOffset(_)) {
            transitions.extend([(fault.start_ms, index, true), (fault.end_ms(), index, false)]);
        }
    }
    transitions.sort_by_key(|(at_ms, index, begins)| (*at_ms, !*begins, *index));
    transitions.reverse();
    // The servers run on for 3 s after the last fault before agreement is awaited.
    let end_ms = script.end_ms() + 3000;
    let (mut all_views, mut next_query_ms) = (Vec::new(), 0);
    loop {
        let elapsed_ms = now_ms() - script_started_ms;
        while let Some((_, index, begins)) = transitions.pop_if(|(at_ms, ..)| *at_ms <= elapsed_ms) {
            fleet
                .apply(&script.0[index], begins)
                .with_context(|| format!("applying the fault {}", script.0[index]))?;
        }
        fleet.reap();
        if elapsed_ms >= next_query_ms {
            next_query_ms = elapsed_ms + QUERY_INTERVAL_MS;
            views = query_views(&mut fleet, &mut observer);
            on_views(elapsed_ms, &views);
            all_views.extend(views.iter().flatten().cloned());
        }
        if elapsed_ms >= end_ms && transitions.is_empty() {
            break;
        }
        std::thread::sleep(STEP_INTERVAL);
    }
    let faults_over_ms = now_ms();
    let mut agreement_ms = None;
    while agreement_ms.is_none() && now_ms() < faults_over_ms + AGREEMENT_TIMEOUT_MS {
        views = query_views(&mut fleet, &mut observer);
        on_views(now_ms() - script_started_ms, &views);
        all_views.extend(views.iter().flatten().cloned());
        fleet.reap();
        if views.iter().all(|view| is_complete(view, servers)) {
            agreement_ms = Some(now_ms() - faults_over_ms + 3000);
        } else {
            std::thread::sleep(Duration::from_millis(500));
        }
    }
    let last_views = views;
    fleet.gateways.iter().for_each(|gateway| gateway.stop());
    let attempts = fleet.gateways.iter_mut().map(|gateway| gateway.finish()).collect();
    fleet.stop_all();
    let evidence = collect_evidence(&fleet, (script_started_ms, attempts, all_views, last_views));
    let read_log = |server| std::fs::read_to_string(fleet.log_file(server)).unwrap_or_default();
    let logs = (0..servers).map(read_log).collect();
    Ok(Verdict { breaches: evidence.breaches(), evidence, agreement_ms, startup_ms, logs })
}

/// Starts all servers and waits until the registry lists them and their views are complete. Returns the views
/// and the time that it took, in milliseconds.
///
/// # Errors
///
/// Fails if a server cannot be started, or if the servers do not agree in time; the error holds the last
/// views, and the last log lines of servers that do not run.
pub fn start_and_wait_for_agreement(
    fleet: &mut TestFleet,
    observer: &mut FleetObserver,
) -> anyhow::Result<(Vec<Option<FleetView>>, u64)> {
    let (started_ms, servers) = (now_ms(), fleet.plan.servers);
    for server in 0..servers {
        fleet.start_server(server)?;
    }
    loop {
        std::thread::sleep(Duration::from_millis(200));
        fleet.reap();
        let views = query_views(fleet, observer);
        let all_complete = views.iter().all(|view| is_complete(view, servers));
        if all_complete && fleet.registry.list.listed(0).len() == servers {
            return Ok((views, now_ms() - started_ms));
        }
        let error = || {
            format!(
                "servers did not agree on the fleet within {STARTUP_TIMEOUT_MS} ms: {}\n{}",
                summary(&views),
                fleet.last_log_lines()
            )
        };
        anyhow::ensure!(now_ms() < started_ms + STARTUP_TIMEOUT_MS, error());
    }
}

/// Start of the script in Unix milliseconds, attempts by gateway, views during the run, and last view of each
/// server.
type Observations =
    (u64, Vec<Vec<hazelspur_test_doubles::gateway::Attempt>>, Vec<FleetView>, Vec<Option<FleetView>>);

fn collect_evidence(
    fleet: &TestFleet,
    (script_started_ms, attempts, views, last_views): Observations,
) -> Evidence {
    let worker_records = fleet.workers.iter().map(|worker| {
        let worker_state = worker.state();
        let name = |body: &Vec<u8>| String::from_utf8_lossy(body).into_owned();
        WorkerRecord {
            run_started_ms: worker_state.started.clone(),
            runs_by_request: worker_state.runs.iter().map(|(body, runs)| (name(body), runs.len())).collect(),
            max_concurrent_runs: worker_state.max_concurrent_runs,
        }
    });
    let dependency_state = fleet.dependency.state();
    Evidence {
        servers: fleet.plan.servers,
        faults: fleet.plan.script.0.clone(),
        script_started_ms,
        attempts,
        refusals: fleet.refusals.lock().expect("lock not poisoned").clone(),
        worker_records: worker_records.collect(),
        process_incarnations: fleet.process_incarnations.clone(),
        views,
        last_views,
        effects: dependency_state.effects.clone(),
        max_concurrent_calls: dependency_state.max_concurrent_calls,
        max_mean_concurrent_calls: dependency_state.max_mean_concurrency(CALL_AVERAGING_WINDOW),
        grace_ms: GRACE_MS,
        stop_ms: STOP_MS,
        memory_limit_kb: SERVER_MEMORY_LIMIT_KB,
        run_limit: CORES * RUNS_PER_CORE,
        call_limit: if fleet.plan.coordinated {
            fleet.plan.slots()
        } else {
            // Each server may have one call open however small its part is, and another one that it has just
            // given up while the dependency still works on it.
            ((fleet.plan.calls_per_server * fleet.plan.servers as f64) as usize).max(2 * fleet.plan.servers)
        },
    }
}

/// Queries the view of each server that runs; `None` for those that do not run or do not answer.
fn query_views(fleet: &mut TestFleet, observer: &mut FleetObserver) -> Vec<Option<FleetView>> {
    (0..fleet.plan.servers)
        .map(|server| {
            if fleet.is_running(server) {
                observer.query(server, fleet.membership_address(server), QUERY_TIMEOUT)
            } else {
                None
            }
        })
        .collect()
}

/// Returns whether a server answered, is healthy and sees all other servers as alive.
fn is_complete(view: &Option<FleetView>, servers: usize) -> bool {
    view.as_ref().is_some_and(|view| {
        let alive = view.other_members.iter().filter(|(_, status)| *status == MemberStatus::Alive).count();
        view.local_status == LocalStatus::Healthy && alive + 1 == servers && view.fleet_size.max == servers
    })
}

/// Returns one line that groups the servers by the content of their views.
pub fn summary(views: &[Option<FleetView>]) -> String {
    let mut servers_by_text: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (server, view) in views.iter().enumerate() {
        let text = view.as_ref().map_or("does not answer".into(), |view| {
            let count = |status| view.other_members.iter().filter(|(_, other)| *other == status).count();
            let not_alive = [
                (MemberStatus::Suspected, "suspected"),
                (MemberStatus::Dead, "lost"),
                (MemberStatus::Leaving, "leaving"),
            ];
            let not_alive =
                not_alive.map(|(status, name)| (count(status), name)).into_iter().filter(|(n, _)| *n > 0);
            let not_alive: String = not_alive.map(|(n, name)| format!(", {n} {name}")).collect();
            format!(
                "{} {} to {}{not_alive}",
                view.local_status.name(),
                view.fleet_size.min,
                view.fleet_size.max
            )
        });
        servers_by_text.entry(text).or_default().push(format!("n{server}"));
    }
    let parts: Vec<String> =
        servers_by_text.iter().map(|(text, servers)| format!("{}: {text}", servers.join(" "))).collect();
    parts.join(" | ")
}
