//! Judges the four rules over the whole fleet by what the test doubles saw and what was done to the processes. What a
//! server says of itself does not count, except for its view of the fleet, which is judged too.

use crate::observer::FleetView;
use crate::script::{Fault, Party, site};
use hazelspur_fleet::{LocalStatus, MemberStatus};
use hazelspur_test_doubles::gateway::{Attempt, Response};
use std::collections::BTreeMap;

/// An answer may be so late before that counts, in ms: the machine that tests run on may be busy, and the
/// verdict is not to hang on that. How many were later than the protocol allows is a figure of the report.
pub const RESPONSE_SLACK_MS: u64 = 5000;
/// A fault reaches so far beyond its own time, in ms.
const MARGIN_MS: u64 = 300;
/// The same for runs after the grace of a drain.
const GRACE_SLACK_MS: u64 = 1000;
/// A picture may count those who ended less than this long ago, and miss those who began less than that long
/// ago.
pub const REMOVAL_MS: u64 = 90_000;
/// Time after its start in which a server may be missing from views, in milliseconds.
pub const JOIN_MS: u64 = 30_000;

/// One life of a server's process.
#[derive(Clone, Debug, Default)]
pub struct ProcessIncarnation {
    /// The server.
    pub server: usize,
    /// When it started, in Unix milliseconds.
    pub started_ms: u64,
    /// When it got SIGTERM, and how it ended.
    pub notice_ms: Option<u64>,
    /// When it ended, in Unix milliseconds.
    pub ended_ms: Option<u64>,
    /// Whether it was killed.
    pub killed: bool,
    /// Its exit status.
    pub exit_status: Option<i32>,
    /// When it stood still.
    pub suspensions: Vec<(u64, u64)>,
    /// The most memory that it took, in kB.
    pub peak_memory_kb: u64,
}

/// What a runtime saw.
#[derive(Clone, Debug, Default)]
pub struct WorkerRecord {
    /// When a run began, by the try that it was started for.
    pub run_started_ms: BTreeMap<String, u64>,
    /// How often each request ran.
    pub runs_by_request: BTreeMap<String, usize>,
    /// The highest number of concurrent runs.
    pub max_concurrent_runs: usize,
}

/// What a run left to be judged.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Servers.
    pub servers: usize,
    /// The script, and when it began; milliseconds since 1970.
    pub faults: Vec<Fault>,
    /// When the script began, in Unix milliseconds.
    pub script_started_ms: u64,
    /// By gateway.
    pub attempts: Vec<Vec<Attempt>>,
    /// Connections that were refused behind a relay.
    pub refusals: Vec<(Party, Party, u64)>,
    /// By server.
    pub worker_records: Vec<WorkerRecord>,
    /// All processes of servers.
    pub process_incarnations: Vec<ProcessIncarnation>,
    /// Views of the fleet during the run.
    pub views: Vec<FleetView>,
    /// At the very end, with all faults over: the last picture of each.
    pub last_views: Vec<Option<FleetView>>,
    /// Calls that took effect, by the request's reference.
    pub effects: BTreeMap<String, u32>,
    /// The highest number of concurrent calls.
    pub max_concurrent_calls: usize,
    /// The most that were in hand on average over the time that the settings name.
    pub max_mean_concurrent_calls: f64,
    /// Grace period, in milliseconds.
    pub grace_ms: u64,
    /// Time to the end of a process, in milliseconds.
    pub stop_ms: u64,
    /// Memory that a server may take, in kB.
    pub memory_limit_kb: u64,
    /// Concurrent runs that a worker may have.
    pub run_limit: usize,
    /// Concurrent calls that the dependency may have.
    pub call_limit: usize,
}

impl Evidence {
    /// All breaches of the rules, in words.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = Vec::new();
        self.check_responses(&mut breaches);
        self.check_single_effects(&mut breaches);
        self.check_drains(&mut breaches);
        self.check_limits(&mut breaches);
        self.check_views(&mut breaches);
        breaches
    }

    /// Answers that were later than the protocol's 50 ms, though not so late as to count here.
    pub fn count_late(&self) -> usize {
        let late =
            |attempt: &&Attempt| attempt.responses.first().is_some_and(|(_, at)| *at > attempt.due_ms + 50);
        self.attempts.iter().flatten().filter(late).count()
    }

    /// Attempts whose first response is this one.
    pub fn count_first_responses(&self, response: Response) -> usize {
        let first =
            |attempt: &&Attempt| attempt.responses.first().is_some_and(|(first, _)| *first == response);
        self.attempts.iter().flatten().filter(first).count()
    }

    /// Rule 1: each try that was read gets one answer in time.
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

    /// A fault between gateway and server, or of the server's process, while the try was open. Faults
    /// elsewhere excuse nothing.
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
                    // What is read before the notice is answered; what comes later may meet a closed door.
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
        // Sent while the server's farewell was under way: it closed what had nothing open, and never read
        // this.
        let never_ran = self
            .worker_records
            .get(attempt.server)
            .is_none_or(|record| !record.run_started_ms.contains_key(&attempt.attempt_id));
        link_faulty
            || process_faulty
            || attempt.crossed_goodbye && never_ran
            || self.refusals.iter().any(refused_onward)
    }

    /// Rule 2, over all servers together.
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

    /// Rule 3.
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

    /// Rule 4.
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

    /// At all times no picture counts more for sure than there can be, or fewer at most than there surely
    /// are; at last all show the same.
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
