//! Checks the evidence of one run against the rules of the service. The evidence comes from the clients, the
//! test doubles and the operating system. From the log of the server only its errors and its count of lost
//! deliveries are used.

use super::client::{Answer, Connection, Sent};
use super::plan::{Class, GRACE_PERIOD_MS};
use super::server::{End, MAX_DESCRIPTORS, MAX_MEMORY_MB};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Longest time from the writing of a request to the close of its connection for which the two may have
/// crossed on the way, in milliseconds.
const MAX_CROSSING_MS: u64 = 50;
/// Tolerance added to each time limit for the delay of sockets, in milliseconds.
const TOLERANCE_MS: u64 = 50;

/// Rule of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final response in time, and no response belongs to no request.
    OneResponse,
    /// No effect takes place twice, and no request that ran is answered as rejected.
    OneEffect,
    /// No request that arrived after the end of the grace period runs.
    GracePeriod,
    /// Each delivery is settled once, or is still at the broker.
    Deliveries,
    /// The process exits with status 0 before its kill, without an error in its log.
    End,
    /// Memory and file descriptors stay within their limits, and no temporary files are left.
    Limits,
}

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Rule that was violated.
    pub rule: Rule,
    /// Id of the request at the worker; `None` for a breach by the server as a whole.
    pub request: Option<String>,
    /// Description of the observation that violates the rule.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {} {}", self.rule, self.request.as_deref().unwrap_or("server"), self.seen)
    }
}

/// Observations of one run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Time just after SIGTERM was sent, in Unix milliseconds.
    pub notice_ms: u64,
    /// Time at which SIGKILL was due, in Unix milliseconds.
    pub kill_ms: u64,
    /// Connections of the clients.
    pub connections: Vec<Connection>,
    /// Time at which the worker started each request, in Unix milliseconds, by the id of the request.
    pub started_ms: BTreeMap<String, u64>,
    /// Number of times that the worker ran each request body.
    pub runs_by_body: BTreeMap<String, usize>,
    /// Breaches that the checker of the broker found.
    pub queue_breaches: Vec<String>,
    /// Exit of the process and its use of resources.
    pub end: End,
    /// Time from the restart of the server until it was ready; `None` if it did not become ready or was not
    /// restarted.
    pub ready_after: Option<Duration>,
    /// Log of the server.
    pub log: String,
}

impl Evidence {
    /// Returns all breaches.
    pub fn breaches(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for connection in &self.connections {
            self.check_connection(connection, &mut breaches);
        }
        self.check_effects(&mut breaches);
        let queue_breach =
            |seen: &String| Breach { rule: Rule::Deliveries, request: None, seen: seen.clone() };
        breaches.extend(self.queue_breaches.iter().map(queue_breach));
        self.check_process(&mut breaches);
        breaches
    }

    /// Returns the requests that were written completely, without health checks.
    pub fn requests(&self) -> impl Iterator<Item = &Sent> {
        let sent = self.connections.iter().flat_map(|connection| &connection.sent);
        sent.filter(|sent| sent.class.is_some() && sent.sent_ms != u64::MAX)
    }

    /// Returns the number of requests whose first answer was this one.
    pub fn count_answered(&self, answer: Answer) -> usize {
        self.requests().filter(|sent| sent.answers.first().is_some_and(|(first, _)| *first == answer)).count()
    }

    fn check_connection(&self, connection: &Connection, breaches: &mut Vec<Breach>) {
        for sent in connection.sent.iter().filter(|sent| sent.sent_ms != u64::MAX) {
            let mut report = |rule, seen: String| {
                let request = Some(sent.request.clone());
                breaches.push(Breach { rule, request, seen });
            };
            match &sent.answers[..] {
                [] if self.started_ms.contains_key(&sent.request) => {
                    report(Rule::OneResponse, "ran, and had no answer".into());
                }
                [] if self.crossed_close(connection, sent) => {}
                [] => {
                    let sent_at = sent.sent_ms as i64 - self.notice_ms as i64;
                    let closed = connection.closed_ms.map(|closed| closed as i64 - self.notice_ms as i64);
                    let reset = connection.reset;
                    report(
                        Rule::OneResponse,
                        format!("sent at {sent_at} ms, closed {closed:?}, reset {reset}: no answer"),
                    );
                }
                [(_, answered_ms)] if *answered_ms > sent.due_ms + TOLERANCE_MS => {
                    report(Rule::OneResponse, format!("answered {} ms late", answered_ms - sent.due_ms));
                }
                [_] => {}
                answers => report(Rule::OneResponse, format!("{} answers", answers.len())),
            }
            let was_rejected = sent.answers.iter().any(|(answer, _)| *answer == Answer::Rejected);
            if was_rejected && self.started_ms.contains_key(&sent.request) {
                report(Rule::OneEffect, "rejected though it ran".into());
            }
            let grace_ends_ms = self.notice_ms.saturating_add_signed(GRACE_PERIOD_MS) + TOLERANCE_MS;
            if sent.sent_ms > grace_ends_ms && self.started_ms.contains_key(&sent.request) {
                let past_ms = sent.sent_ms - grace_ends_ms;
                report(
                    Rule::GracePeriod,
                    format!("ran, though it arrived {past_ms} ms past the grace period"),
                );
            }
        }
        if connection.unmatched_answers > 0 {
            let seen = format!("{} answers to nothing that was sent", connection.unmatched_answers);
            breaches.push(Breach { rule: Rule::OneResponse, request: None, seen });
        }
    }

    /// Returns whether a request without an answer may have crossed the close of its connection, so that the
    /// server never read it.
    fn crossed_close(&self, connection: &Connection, sent: &Sent) -> bool {
        // A close by the kill counts as well: `Rule::End` covers the kill.
        connection.closed_ms.is_some_and(|closed| closed <= sent.sent_ms + MAX_CROSSING_MS)
    }

    fn check_effects(&self, breaches: &mut Vec<Breach>) {
        for sent in self.requests().filter(|sent| sent.class != Some(Class::View)) {
            let runs = self.runs_by_body.get(&sent.effect).copied().unwrap_or(0);
            if runs > 1 {
                let (request, seen) =
                    (Some(sent.request.clone()), format!("{} ran {runs} times", sent.effect));
                breaches.push(Breach { rule: Rule::OneEffect, request, seen });
            }
        }
    }

    fn check_process(&self, breaches: &mut Vec<Breach>) {
        let End { killed, status, memory_kb, descriptors, files_left } = self.end;
        let mut report = |rule, seen| breaches.push(Breach { rule, request: None, seen });
        if killed {
            report(Rule::End, "alive when its kill was due".into());
        } else if status != Some(0) {
            report(Rule::End, format!("ended with {status:?}"));
        }
        if memory_kb > MAX_MEMORY_MB * 1024 {
            report(Rule::Limits, format!("{memory_kb} kB of memory"));
        }
        if descriptors > MAX_DESCRIPTORS {
            report(Rule::Limits, format!("{descriptors} descriptors"));
        }
        if files_left > 0 {
            report(Rule::Limits, format!("{files_left} files left"));
        }
        // The plan writes incomplete configuration files, so a rejected reload is expected.
        let is_fault =
            |line: &&str| line.split(' ').nth(1) == Some("error") && !line.contains("reload refused");
        for line in self.log.lines().filter(is_fault) {
            report(Rule::End, format!("logged {line}"));
        }
    }
}
