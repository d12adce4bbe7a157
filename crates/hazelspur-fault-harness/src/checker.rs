//! Checks the rules that a run must keep, from what the test doubles recorded and what was done to the
//! processes:
//!
//! 1. each attempt gets one response in time, unless a fault on its path excuses it;
//! 2. a request that is not safe to repeat takes effect at most once, and a rejected attempt never ran;
//! 3. a draining server runs nothing that arrives after the grace period, and exits in time with status 0;
//! 4. memory, concurrent runs and concurrent calls stay within their limits.
//!
//! The servers' views of the fleet are checked too; nothing else that a server reports about itself counts.

use crate::observer::FleetView;
use crate::script::{Fault, Party, site};
use hazelspur_fleet::{LocalStatus, MemberStatus};
use hazelspur_test_doubles::gateway::{Attempt, Response};
use std::collections::BTreeMap;

/// Time after which a late response, or a late exit of a process, is a breach, in milliseconds. The protocol
/// allows responses 50 ms, but the machine that runs the tests may be busy, which must not decide the
/// verdict; [`Evidence::count_late`] counts the responses that were later than the 50 ms.
pub const RESPONSE_SLACK_MS: u64 = 5000;
/// Tolerance between the time of a fault and the attempts that it excuses, in milliseconds.
const MARGIN_MS: u64 = 300;
/// Time after the grace period of a drain in which an arriving attempt may still run, in milliseconds.
const GRACE_SLACK_MS: u64 = 1000;
/// Time after the end of its process in which a server may still be counted in views, in milliseconds.
pub const REMOVAL_MS: u64 = 90_000;
/// Time after the start of its process in which a server may be missing from views, in milliseconds.
pub const JOIN_MS: u64 = 30_000;

/// One process incarnation of a server.
#[derive(Clone, Debug, Default)]
pub struct ProcessIncarnation {
    /// Number of the server.
    pub server: usize,
    /// Time of the start, in Unix milliseconds.
    pub started_ms: u64,
    /// Time at which SIGTERM was sent, in Unix milliseconds; `None` if it was not sent.
    pub notice_ms: Option<u64>,
    /// Time at which the exit was observed, in Unix milliseconds; `None` while the process runs.
    pub ended_ms: Option<u64>,
    /// Whether the script killed the process with SIGKILL.
    pub killed: bool,
    /// Exit status; `None` while the process runs, or if a signal ended it.
    pub exit_status: Option<i32>,
    /// Periods between SIGSTOP and SIGCONT, as start and end in Unix milliseconds.
    pub suspensions: Vec<(u64, u64)>,
    /// Peak resident memory, in kB.
    pub peak_memory_kb: u64,
}

/// Runs that the worker of one server recorded.
#[derive(Clone, Debug, Default)]
pub struct WorkerRecord {
    /// Start of each run in Unix milliseconds, by the id of the attempt that it was started for.
    pub run_started_ms: BTreeMap<String, u64>,
    /// Number of runs of each request.
    pub runs_by_request: BTreeMap<String, usize>,
    /// Highest number of concurrent runs.
    pub max_concurrent_runs: usize,
}

/// Records of a run that the rules are checked against, and the limits that apply.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Number of servers.
    pub servers: usize,
    /// Faults of the script.
    pub faults: Vec<Fault>,
    /// Start of the script, in Unix milliseconds.
    pub script_started_ms: u64,
    /// Attempts of each gateway, indexed by gateway.
    pub attempts: Vec<Vec<Attempt>>,
    /// Connections that a relay accepted but whose target refused them: client, server and time in Unix
    /// milliseconds.
    pub refusals: Vec<(Party, Party, u64)>,
    /// Runs that each worker recorded, indexed by server.
    pub worker_records: Vec<WorkerRecord>,
    /// All process incarnations of all servers, in the order of their starts.
    pub process_incarnations: Vec<ProcessIncarnation>,
    /// Views of the fleet during the run.
    pub views: Vec<FleetView>,
    /// Last view of each server after all faults, indexed by server; `None` if it did not answer.
    pub last_views: Vec<Option<FleetView>>,
    /// Number of dependency calls that took effect, by attempt id.
    pub effects: BTreeMap<String, u32>,
    /// Highest number of concurrent dependency calls.
    pub max_concurrent_calls: usize,
    /// Highest mean number of concurrent dependency calls over any
    /// [`CALL_AVERAGING_WINDOW`](crate::test_fleet::CALL_AVERAGING_WINDOW).
    pub max_mean_concurrent_calls: f64,
    /// Grace period of a drain, in milliseconds.
    pub grace_ms: u64,
    /// Time that a server may take from the shutdown notice to its exit, in milliseconds.
    pub stop_ms: u64,
    /// Memory that a server may use, in kB.
    pub memory_limit_kb: u64,
    /// Highest allowed number of concurrent runs of a worker.
    pub run_limit: usize,
    /// Highest allowed number of concurrent calls of the dependency.
    pub call_limit: usize,
}

impl Evidence {
    /// Checks all rules and returns a description of each breach.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        self.check_responses(&mut breaches);
        self.check_single_effects(&mut breaches);
        self.check_drains(&mut breaches);
        self.check_limits(&mut breaches);
        self.check_views(&mut breaches);
        breaches
    }

    /// Returns the number of attempts whose first response came more than 50 ms after it was due, which the
    /// protocol does not allow. Only those later than [`RESPONSE_SLACK_MS`] are breaches.
    pub fn count_late(&self) -> usize {
        let late =
            |attempt: &&Attempt| attempt.responses.first().is_some_and(|(_, at)| *at > attempt.due_ms + 50);
        self.attempts.iter().flatten().filter(late).count()
    }

    /// Returns the number of attempts whose first response is this one.
    pub fn count_first_responses(&self, response: Response) -> usize {
        let first =
            |attempt: &&Attempt| attempt.responses.first().is_some_and(|(first, _)| *first == response);
        self.attempts.iter().flatten().filter(first).count()
    }

    /// Checks rule 1: one response in time for each attempt, with the data of a run.
    fn check_responses(&self, breaches: &mut Vec<String>) {
        for (gateway, attempts) in self.attempts.iter().enumerate() {
            for attempt in attempts {
                let name = format!(
                    "{} ({}) of g{gateway} at n{}",
                    attempt.request, attempt.attempt_id, attempt.server
                );
                if attempt.responses.len() > 1 {
                    breaches.push(format!("{name} has {} answers", attempt.responses.len()));
                }
                if attempt.corrupted {
                    breaches.push(format!("{name} was acked with what no run made"));
                }
                if self.excused(gateway, attempt) {
                    continue;
                }
                let ms_after_sending = |at: u64| at.saturating_sub(attempt.sent_ms);
                match attempt.responses.first() {
                    None if attempt.disconnected_ms.is_some() => {
                        let started = self
                            .worker_records
                            .get(attempt.server)
                            .is_some_and(|record| record.run_started_ms.contains_key(&attempt.attempt_id));
                        breaches.push(format!(
                            "{name} was lost with its connection: sent at {} ms, broke after {} ms, started: {started}, farewell: {}",
                            attempt.sent_ms.saturating_sub(self.script_started_ms),
                            attempt.disconnected_ms.map_or(0, ms_after_sending),
                            attempt.crossed_goodbye
                        ))
                    }
                    None => breaches.push(format!("{name} has no answer")),
                    Some((_, at)) if *at > attempt.due_ms + RESPONSE_SLACK_MS => {
                        breaches.push(format!("{name} was answered {} ms late", at - attempt.due_ms));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Returns whether an attempt may stay without a response: while it was open, the link between its
    /// gateway and its server had a fault, or the server's process was suspended, killed or draining, or the
    /// server refused the connection, or the attempt crossed the server's goodbye message. Faults elsewhere
    /// excuse nothing.
    fn excused(&self, gateway: usize, attempt: &Attempt) -> bool {
        let end = attempt.responses.first().map_or(attempt.due_ms + RESPONSE_SLACK_MS, |(_, at)| *at);
        let open_period = attempt.sent_ms.saturating_sub(MARGIN_MS)..=end;
        let overlaps =
            |from: u64, to: u64| from <= *open_period.end() && to + MARGIN_MS >= *open_period.start();
        let on_path = |fault: &Fault| {
            let (gateway, server) = (Party::Gateway(gateway), Party::Server(attempt.server));
            let Some(peer) = fault.peer else { return false };
            fault.target.covers(gateway) && peer.covers(server)
                || fault.target.covers(server) && peer.covers(gateway)
        };
        let period = |fault: &Fault| {
            (self.script_started_ms + fault.start_ms, self.script_started_ms + fault.end_ms())
        };
        let link_faulty = self
            .faults
            .iter()
            .filter(|fault| on_path(fault))
            .map(period)
            .any(|(from, to)| overlaps(from, to));
        let process_faulty =
            self.process_incarnations.iter().filter(|process| process.server == attempt.server).any(
                |process| {
                    let suspended = process.suspensions.iter().any(|(from, to)| overlaps(*from, *to));
                    let killed = process.killed && process.ended_ms.is_some_and(|at| overlaps(at, at));
                    // A server answers what it read before the shutdown notice; later attempts may find it
                    // closed.
                    let draining = process.notice_ms.is_some_and(|at| {
                        attempt.sent_ms + MARGIN_MS >= at
                            && process.ended_ms.is_none_or(|end| attempt.sent_ms <= end + MARGIN_MS)
                    });
                    suspended || killed || draining
                },
            );
        let refused_onward = |(client, server, at): &(Party, Party, u64)| {
            let same_link = (*client, *server) == (Party::Gateway(gateway), Party::Server(attempt.server));
            same_link
                && *at + 20 >= attempt.sent_ms
                && attempt.disconnected_ms.is_some_and(|disconnected_ms| *at <= disconnected_ms + 20)
        };
        // An attempt that was sent while the goodbye message was on its way is never read: the server had
        // already closed the connection, on which nothing was open.
        let never_ran = self
            .worker_records
            .get(attempt.server)
            .is_none_or(|record| !record.run_started_ms.contains_key(&attempt.attempt_id));
        link_faulty
            || process_faulty
            || attempt.crossed_goodbye && never_ran
            || self.refusals.iter().any(refused_onward)
    }

    /// Checks rule 2 over all servers together: a rejected attempt never ran, and requests of all classes but
    /// `view` ran at most once and made at most one dependency call.
    fn check_single_effects(&self, breaches: &mut Vec<String>) {
        let mut request_classes: BTreeMap<&str, &str> = BTreeMap::new();
        for attempt in self.attempts.iter().flatten() {
            request_classes.insert(&attempt.request, attempt.request_class);
            let started = self
                .worker_records
                .get(attempt.server)
                .is_some_and(|record| record.run_started_ms.contains_key(&attempt.attempt_id));
            if started && attempt.responses.iter().any(|(response, _)| *response == Response::Rejected) {
                breaches.push(format!(
                    "{} ({}) was nacked at n{} after it ran",
                    attempt.request, attempt.attempt_id, attempt.server
                ));
            }
        }
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for record in &self.worker_records {
            record
                .runs_by_request
                .iter()
                .for_each(|(request, times)| *runs.entry(request).or_default() += times);
        }
        for (request, times) in runs.into_iter().filter(|(_, times)| *times > 1) {
            if request_classes.get(request).is_some_and(|class| *class != "view") {
                breaches.push(format!("{request}, which is not to run twice, ran {times} times"));
            }
        }
        for (reference, times) in self.effects.iter().filter(|(_, times)| **times > 1) {
            let attempt = self.attempts.iter().flatten().find(|attempt| attempt.attempt_id == *reference);
            if attempt.is_some_and(|attempt| attempt.request_class != "view") {
                breaches.push(format!("the call for {reference} was made {times} times"));
            }
        }
    }

    /// Checks rule 3: no runs for attempts sent after the grace period, an exit in time with status 0 after
    /// the shutdown notice, and no exit without a notice or a kill. A process that was killed or suspended
    /// during its drain need not exit in time.
    fn check_drains(&self, breaches: &mut Vec<String>) {
        for process in &self.process_incarnations {
            let Some(notice_ms) = process.notice_ms else { continue };
            let grace_end_ms = notice_ms + self.grace_ms + GRACE_SLACK_MS;
            let ended_ms = process.ended_ms.unwrap_or(u64::MAX);
            let after_grace = |attempt: &&Attempt| {
                attempt.server == process.server
                    && attempt.sent_ms > grace_end_ms
                    && attempt.sent_ms < ended_ms
            };
            for attempt in self.attempts.iter().flatten().filter(after_grace) {
                if self
                    .worker_records
                    .get(process.server)
                    .is_some_and(|record| record.run_started_ms.contains_key(&attempt.attempt_id))
                {
                    let into_drain_ms = attempt.sent_ms - notice_ms;
                    breaches.push(format!(
                        "{} came to n{} {into_drain_ms} ms into its drain, and ran",
                        attempt.request, process.server
                    ));
                }
            }
            let suspended = process.suspensions.iter().any(|(_, to)| *to >= notice_ms);
            if process.killed || suspended {
                continue;
            }
            if process.exit_status != Some(0) || ended_ms > notice_ms + self.stop_ms + RESPONSE_SLACK_MS {
                let after_notice_ms = ended_ms.saturating_sub(notice_ms);
                breaches.push(format!(
                    "n{} ended with {:?}, {after_notice_ms} ms after its notice",
                    process.server, process.exit_status
                ));
            }
        }
        for process in
            self.process_incarnations.iter().filter(|process| process.notice_ms.is_none() && !process.killed)
        {
            if process.ended_ms.is_some() {
                breaches.push(format!("n{} ended by itself with {:?}", process.server, process.exit_status));
            }
        }
    }

    /// Checks rule 4: limits of memory, concurrent runs and concurrent calls.
    fn check_limits(&self, breaches: &mut Vec<String>) {
        for process in
            self.process_incarnations.iter().filter(|process| process.peak_memory_kb > self.memory_limit_kb)
        {
            breaches.push(format!(
                "n{} took {} KB of {}",
                process.server, process.peak_memory_kb, self.memory_limit_kb
            ));
        }
        for (server, record) in self
            .worker_records
            .iter()
            .enumerate()
            .filter(|(_, record)| record.max_concurrent_runs > self.run_limit)
        {
            breaches.push(format!(
                "{} ran at once at n{server}, {} may",
                record.max_concurrent_runs, self.run_limit
            ));
        }
        if self.max_concurrent_calls > self.call_limit {
            breaches.push(format!(
                "{} calls at once at the ledger, {} may",
                self.max_concurrent_calls, self.call_limit
            ));
        }
    }

    /// Checks the servers' views. During the run, the lower bound of a view's fleet size must not exceed the
    /// servers that may be members, nor its upper bound fall short of those that must be. At the end each
    /// server must be healthy and see all others as alive.
    fn check_views(&self, breaches: &mut Vec<String>) {
        for view in &self.views {
            let at = view.at_ms;
            let possibly_member = |process: &&ProcessIncarnation| {
                process.started_ms <= at
                    && process.ended_ms.is_none_or(|ended_ms| ended_ms + REMOVAL_MS >= at)
            };
            let mut possible_servers: Vec<usize> = self
                .process_incarnations
                .iter()
                .filter(possibly_member)
                .map(|process| process.server)
                .collect();
            possible_servers.sort_unstable();
            possible_servers.dedup();
            let certainly_member = |process: &&ProcessIncarnation| {
                process.started_ms + JOIN_MS <= at
                    && process.ended_ms.is_none_or(|ended_ms| ended_ms > at)
                    && process.notice_ms.is_none_or(|notice_ms| notice_ms > at)
            };
            let certain_members = self.process_incarnations.iter().filter(certainly_member).count();
            let (min, max) = (view.fleet_size.min, view.fleet_size.max);
            if min > possible_servers.len() || max < certain_members {
                breaches.push(format!(
                    "n{} said {min} to {max} where {certain_members} to {} were",
                    view.server,
                    possible_servers.len()
                ));
            }
        }
        for (server, view) in self.last_views.iter().enumerate() {
            let complete = |view: &FleetView| {
                let alive =
                    view.other_members.iter().filter(|(_, status)| *status == MemberStatus::Alive).count();
                let size_correct = (view.fleet_size.min, view.fleet_size.max) == (self.servers, self.servers);
                size_correct && alive + 1 == self.servers && view.local_status == LocalStatus::Healthy
            };
            if !view.as_ref().is_some_and(complete) {
                let shown = view.as_ref().map(|view| (view.local_status, view.fleet_size));
                breaches.push(format!(
                    "at last n{server} ({}) says {shown:?}",
                    crate::script::SITES[site(server)]
                ));
            }
        }
    }
}
