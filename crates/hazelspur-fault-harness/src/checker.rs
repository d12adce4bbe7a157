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
        let mut found = Vec::new();
        self.answers(&mut found);
        self.effects_once(&mut found);
        self.drains(&mut found);
        self.limits(&mut found);
        self.pictures(&mut found);
        found
    }

    /// Answers that were later than the protocol's 50 ms, though not so late as to count here.
    pub fn count_late(&self) -> usize {
        let late = |of: &&Attempt| of.responses.first().is_some_and(|(_, at)| *at > of.due_ms + 50);
        self.attempts.iter().flatten().filter(late).count()
    }

    /// Attempts whose first response is this one.
    pub fn count_first_responses(&self, of: Response) -> usize {
        let first = |t: &&Attempt| t.responses.first().is_some_and(|(answer, _)| *answer == of);
        self.attempts.iter().flatten().filter(first).count()
    }

    /// Rule 1: each try that was read gets one answer in time.
    fn answers(&self, found: &mut Vec<String>) {
        for (gateway, tries) in self.attempts.iter().enumerate() {
            for of in tries {
                let name = format!("{} ({}) of g{gateway} at n{}", of.request, of.attempt_id, of.server);
                if of.responses.len() > 1 {
                    found.push(format!("{name} has {} answers", of.responses.len()));
                }
                if of.corrupted {
                    found.push(format!("{name} was acked with what no run made"));
                }
                if self.excused(gateway, of) {
                    continue;
                }
                let after = |at: u64| at.saturating_sub(of.sent_ms);
                match of.responses.first() {
                    None if of.disconnected_ms.is_some() => {
                        let started = self
                            .worker_records
                            .get(of.server)
                            .is_some_and(|r| r.run_started_ms.contains_key(&of.attempt_id));
                        found.push(format!(
                            "{name} was lost with its connection: sent at {} ms, broke after {} ms, started: {started}, farewell: {}",
                            of.sent_ms.saturating_sub(self.script_started_ms),
                            of.disconnected_ms.map_or(0, after),
                            of.crossed_goodbye
                        ))
                    }
                    None => found.push(format!("{name} has no answer")),
                    Some((_, at)) if *at > of.due_ms + RESPONSE_SLACK_MS => {
                        found.push(format!("{name} was answered {} ms late", at - of.due_ms));
                    }
                    _ => {}
                }
            }
        }
    }

    /// A fault between gateway and server, or of the server's process, while the try was open. Faults
    /// elsewhere excuse nothing.
    fn excused(&self, gateway: usize, of: &Attempt) -> bool {
        let end = of.responses.first().map_or(of.due_ms + RESPONSE_SLACK_MS, |(_, at)| *at);
        let open = of.sent_ms.saturating_sub(MARGIN_MS)..=end;
        let meets = |from: u64, to: u64| from <= *open.end() && to + MARGIN_MS >= *open.start();
        let between = |fault: &Fault| {
            let (gateway, server) = (Party::Gateway(gateway), Party::Server(of.server));
            let Some(to) = fault.peer else { return false };
            fault.target.covers(gateway) && to.covers(server)
                || fault.target.covers(server) && to.covers(gateway)
        };
        let began = |fault: &Fault| {
            (self.script_started_ms + fault.start_ms, self.script_started_ms + fault.end_ms())
        };
        let targets_link =
            self.faults.iter().filter(|fault| between(fault)).map(began).any(|(from, to)| meets(from, to));
        let in_process =
            self.process_incarnations.iter().filter(|life| life.server == of.server).any(|life| {
                let stopped = life.suspensions.iter().any(|(from, to)| meets(*from, *to));
                let killed = life.killed && life.ended_ms.is_some_and(|at| meets(at, at));
                // What is read before the notice is answered; what comes later may meet a closed door.
                let leaves = life.notice_ms.is_some_and(|at| {
                    of.sent_ms + MARGIN_MS >= at
                        && life.ended_ms.is_none_or(|end| of.sent_ms <= end + MARGIN_MS)
                });
                stopped || killed || leaves
            });
        let refused = |(client, server, at): &(Party, Party, u64)| {
            let meant = (*client, *server) == (Party::Gateway(gateway), Party::Server(of.server));
            meant && *at + 20 >= of.sent_ms && of.disconnected_ms.is_some_and(|broke| *at <= broke + 20)
        };
        // Sent while the server's farewell was under way: it closed what had nothing open, and never read
        // this.
        let unread = self
            .worker_records
            .get(of.server)
            .is_none_or(|ran| !ran.run_started_ms.contains_key(&of.attempt_id));
        targets_link || in_process || of.crossed_goodbye && unread || self.refusals.iter().any(refused)
    }

    /// Rule 2, over all servers together.
    fn effects_once(&self, found: &mut Vec<String>) {
        let mut kinds: BTreeMap<&str, &str> = BTreeMap::new();
        for of in self.attempts.iter().flatten() {
            kinds.insert(&of.request, of.request_class);
            let started = self
                .worker_records
                .get(of.server)
                .is_some_and(|ran| ran.run_started_ms.contains_key(&of.attempt_id));
            if started && of.responses.iter().any(|(answer, _)| *answer == Response::Rejected) {
                found.push(format!(
                    "{} ({}) was nacked at n{} after it ran",
                    of.request, of.attempt_id, of.server
                ));
            }
        }
        let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
        for ran in &self.worker_records {
            ran.runs_by_request
                .iter()
                .for_each(|(request, times)| *runs.entry(request).or_default() += times);
        }
        for (request, times) in runs.into_iter().filter(|(_, times)| *times > 1) {
            if kinds.get(request).is_some_and(|kind| *kind != "view") {
                found.push(format!("{request}, which is not to run twice, ran {times} times"));
            }
        }
        for (reference, times) in self.effects.iter().filter(|(_, times)| **times > 1) {
            let of = self.attempts.iter().flatten().find(|of| of.attempt_id == *reference);
            if of.is_some_and(|of| of.request_class != "view") {
                found.push(format!("the call for {reference} was made {times} times"));
            }
        }
    }

    /// Rule 3.
    fn drains(&self, found: &mut Vec<String>) {
        for life in &self.process_incarnations {
            let Some(notice) = life.notice_ms else { continue };
            let last = notice + self.grace_ms + GRACE_SLACK_MS;
            let ended = life.ended_ms.unwrap_or(u64::MAX);
            let here = |of: &&Attempt| of.server == life.server && of.sent_ms > last && of.sent_ms < ended;
            for of in self.attempts.iter().flatten().filter(here) {
                if self
                    .worker_records
                    .get(life.server)
                    .is_some_and(|ran| ran.run_started_ms.contains_key(&of.attempt_id))
                {
                    let by = of.sent_ms - notice;
                    found.push(format!(
                        "{} came to n{} {by} ms into its drain, and ran",
                        of.request, life.server
                    ));
                }
            }
            let stopped = life.suspensions.iter().any(|(_, to)| *to >= notice);
            if life.killed || stopped {
                continue;
            }
            if life.exit_status != Some(0) || ended > notice + self.stop_ms + RESPONSE_SLACK_MS {
                let took = ended.saturating_sub(notice);
                found.push(format!(
                    "n{} ended with {:?}, {took} ms after its notice",
                    life.server, life.exit_status
                ));
            }
        }
        for life in self.process_incarnations.iter().filter(|life| life.notice_ms.is_none() && !life.killed) {
            if life.ended_ms.is_some() {
                found.push(format!("n{} ended by itself with {:?}", life.server, life.exit_status));
            }
        }
    }

    /// Rule 4.
    fn limits(&self, found: &mut Vec<String>) {
        for life in self.process_incarnations.iter().filter(|life| life.peak_memory_kb > self.memory_limit_kb)
        {
            found.push(format!(
                "n{} took {} KB of {}",
                life.server, life.peak_memory_kb, self.memory_limit_kb
            ));
        }
        for (server, ran) in
            self.worker_records.iter().enumerate().filter(|(_, r)| r.max_concurrent_runs > self.run_limit)
        {
            found.push(format!(
                "{} ran at once at n{server}, {} may",
                ran.max_concurrent_runs, self.run_limit
            ));
        }
        if self.max_concurrent_calls > self.call_limit {
            found.push(format!(
                "{} calls at once at the ledger, {} may",
                self.max_concurrent_calls, self.call_limit
            ));
        }
    }

    /// At all times no picture counts more for sure than there can be, or fewer at most than there surely
    /// are; at last all show the same.
    fn pictures(&self, found: &mut Vec<String>) {
        for view in &self.views {
            let at = view.at_ms;
            let lived = |life: &&ProcessIncarnation| {
                life.started_ms <= at && life.ended_ms.is_none_or(|ended| ended + REMOVAL_MS >= at)
            };
            let mut may: Vec<usize> =
                self.process_incarnations.iter().filter(lived).map(|life| life.server).collect();
            may.sort_unstable();
            may.dedup();
            let steady = |life: &&ProcessIncarnation| {
                life.started_ms + JOIN_MS <= at
                    && life.ended_ms.is_none_or(|ended| ended > at)
                    && life.notice_ms.is_none_or(|notice| notice > at)
            };
            let surely = self.process_incarnations.iter().filter(steady).count();
            let (least, most) = (view.fleet_size.min, view.fleet_size.max);
            if least > may.len() || most < surely {
                found.push(format!(
                    "n{} said {least} to {most} where {surely} to {} were",
                    view.server,
                    may.len()
                ));
            }
        }
        for (server, view) in self.last_views.iter().enumerate() {
            let whole = |view: &FleetView| {
                let alive = view
                    .other_members
                    .iter()
                    .filter(|(_, standing)| *standing == MemberStatus::Alive)
                    .count();
                let sizes = (view.fleet_size.min, view.fleet_size.max) == (self.servers, self.servers);
                sizes && alive + 1 == self.servers && view.local_status == LocalStatus::Healthy
            };
            if !view.as_ref().is_some_and(whole) {
                let said = view.as_ref().map(|view| (view.local_status, view.fleet_size));
                found.push(format!(
                    "at last n{server} ({}) says {said:?}",
                    crate::script::SITES[site(server)]
                ));
            }
        }
    }
}
