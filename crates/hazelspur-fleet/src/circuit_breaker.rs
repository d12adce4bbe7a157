//! The circuit breaker of the shared dependency, one in each server. While it is open, no call leaves this
//! server but probes, and the fleet shares the probes out: a few designated probers of all sites probe often
//! while servers hear of each other, and each server probes in its time slot while they do not.
//!
//! Calls that could not connect or broke count as failures; a call that timed out counts neither way. Servers use it
//! only where the operator's file has `together = True`.
//!
//! Inputs: ended calls and probes (`call_finished`, `probe_sent`), recoveries of others (`recovery_hint`),
//! and what the load reports of others say (`set_peer_view`). Outputs: whether calls may leave, when to probe
//! next, state changes.
//!
//! Invariant: only a call or probe of this server closes the breaker. What others report brings the next
//! probe forward, once a second at most, because the fault may be in this server's own link and a report may
//! be false.

use crate::hash::unit_interval;
use crate::names::MemberName;
use crate::time_slots::SlotSchedule;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Consecutive unreachable calls that open the breaker, if they spread over `MIN_FAILURE_SPAN`.
const FAILURE_THRESHOLD: u32 = 6;
/// Time between the first and the last of the failures that open the breaker.
const MIN_FAILURE_SPAN: Duration = Duration::from_ms(200);
/// Consecutive unreachable calls that open the breaker while most others report the dependency unreachable.
const CONFIRMED_FAILURE_THRESHOLD: u32 = 2;
/// Mean time between probes of a designated prober.
const DESIGNATED_PROBE_INTERVAL: Duration = Duration::from_ms(250);
/// Mean time between probes of any other server while most report the dependency unreachable.
const OTHER_PROBE_INTERVAL: Duration = Duration::from_ms(4000);
/// Mean time between probes while only this server fails: no other server tests its link.
const LOCAL_FAULT_PROBE_INTERVAL: Duration = Duration::from_ms(1000);
/// Smallest factor by which an interval between probes varies.
const MIN_JITTER: f64 = 0.75;
/// Width of the range of factors by which an interval between probes varies.
const JITTER_RANGE: f64 = 0.5;
/// Probes of the whole fleet in a second while servers do not hear of each other.
const FLEET_PROBES_PER_SECOND: f64 = 100.0;
/// Longest period of the slot schedule.
const MAX_SLOT_PERIOD: Duration = Duration::from_ms(2000);
/// Time over which servers spread their probes after a recovery hint.
const HINT_SPREAD: Duration = Duration::from_ms(400);
/// Shortest time between two recovery hints that count.
const MIN_HINT_INTERVAL: Duration = Duration::from_ms(1000);
/// State changes that wait to be read.
const MAX_PENDING_CHANGES: usize = 8;
/// Servers of a fleet that are designated to probe.
pub const DESIGNATED_PROBERS: usize = 6;

/// A change of the breaker's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// No call leaves this server from now on.
    Opened,
    /// Calls leave this server again.
    Closed {
        /// How long the breaker was open.
        after: Duration,
    },
}

/// What the load reports of other servers say about the dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// This server is one of the designated probers.
    pub designated: bool,
    /// Most others report that they do not reach the dependency.
    pub mostly_unreachable: bool,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed { failures: u32, first_failure_at: Timestamp },
    Open { since: Timestamp, next_probe_at: Timestamp },
}

impl State {
    fn closed() -> Self {
        Self::Closed { failures: 0, first_failure_at: Timestamp::default() }
    }
}

/// The breaker. Every time is of the wall clock, so that all servers share the time slots.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    server: MemberName,
    dependency: &'static str,
    schedule: SlotSchedule,
    state: State,
    last_hint_at: Timestamp,
    /// None while too few others report.
    peer_view: Option<PeerView>,
    changes: VecDeque<BreakerChange>,
    /// Probes since the start of the process.
    pub probe_attempts: u64,
}

impl CircuitBreaker {
    /// A closed breaker of `server` in a fleet of up to `max_servers`.
    pub fn new(server: MemberName, dependency: &'static str, max_servers: usize) -> Self {
        Self {
            server,
            dependency,
            schedule: SlotSchedule::new(max_servers, FLEET_PROBES_PER_SECOND, MAX_SLOT_PERIOD),
            state: State::closed(),
            last_hint_at: Timestamp::default(),
            peer_view: None,
            changes: VecDeque::new(),
            probe_attempts: 0,
        }
    }

    /// Whether calls may leave this server.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Notes the end of a call or probe: whether it reached the dependency, whatever the reply was.
    pub fn call_finished(&mut self, now: Timestamp, reached: bool) {
        match (self.state, reached) {
            (State::Open { since, .. }, true) => {
                self.state = State::closed();
                self.push_change(BreakerChange::Closed { after: now - since });
            }
            (State::Closed { .. }, true) => self.state = State::closed(),
            (State::Closed { failures: 0, .. }, false) => self.count_failure(now, 0, now),
            (State::Closed { failures, first_failure_at }, false) => {
                self.count_failure(now, failures, first_failure_at);
            }
            (State::Open { .. }, false) => {}
        }
    }

    /// Another server has just reached the dependency: brings the next probe forward.
    pub fn recovery_hint(&mut self, now: Timestamp) {
        if self.is_closed() || now - self.last_hint_at < MIN_HINT_INTERVAL {
            return;
        }
        self.last_hint_at = now;
        self.probe_no_later_than(now + HINT_SPREAD.scaled(self.random_fraction(now)));
    }

    /// Takes over what others report; `None` where too few report.
    pub fn set_peer_view(&mut self, now: Timestamp, view: Option<PeerView>) {
        let changed = std::mem::replace(&mut self.peer_view, view) != view;
        if changed && !self.is_closed() {
            self.probe_no_later_than(self.scheduled_probe(now));
        }
    }

    /// When this server is to probe next; none while the breaker is closed.
    pub fn next_probe(&self) -> Option<Timestamp> {
        match self.state {
            State::Closed { .. } => None,
            State::Open { next_probe_at, .. } => Some(next_probe_at),
        }
    }

    /// Notes that a probe goes out now; `call_finished` reports its end.
    pub fn probe_sent(&mut self, now: Timestamp) {
        self.probe_attempts += 1;
        let scheduled = self.scheduled_probe(now + Duration::from_us(1));
        if let State::Open { next_probe_at, .. } = &mut self.state {
            *next_probe_at = scheduled;
        }
    }

    /// The oldest state change that was not read yet.
    pub fn next_change(&mut self) -> Option<BreakerChange> {
        self.changes.pop_front()
    }

    fn count_failure(&mut self, now: Timestamp, failures: u32, first_failure_at: Timestamp) {
        let failures = failures.saturating_add(1);
        let confirmed = self.peer_view.is_some_and(|view| view.mostly_unreachable);
        let by_itself = failures >= FAILURE_THRESHOLD && now - first_failure_at >= MIN_FAILURE_SPAN;
        if by_itself || confirmed && failures >= CONFIRMED_FAILURE_THRESHOLD {
            self.state = State::Open { since: now, next_probe_at: self.scheduled_probe(now) };
            self.push_change(BreakerChange::Opened);
        } else {
            self.state = State::Closed { failures, first_failure_at };
        }
    }

    fn probe_no_later_than(&mut self, latest: Timestamp) {
        if let State::Open { next_probe_at, .. } = &mut self.state {
            *next_probe_at = latest.min(*next_probe_at);
        }
    }

    fn scheduled_probe(&self, now: Timestamp) -> Timestamp {
        let Some(PeerView { designated, mostly_unreachable }) = self.peer_view else {
            return self.schedule.next_slot(self.server, self.dependency, now);
        };
        let interval = match (designated, mostly_unreachable) {
            (true, _) => DESIGNATED_PROBE_INTERVAL,
            (false, true) => OTHER_PROBE_INTERVAL,
            (false, false) => LOCAL_FAULT_PROBE_INTERVAL,
        };
        now + interval.scaled(MIN_JITTER + JITTER_RANGE * self.random_fraction(now))
    }

    fn random_fraction(&self, now: Timestamp) -> f64 {
        unit_interval(self.dependency, self.server.as_str(), now.us())
    }

    fn push_change(&mut self, change: BreakerChange) {
        if self.changes.len() >= MAX_PENDING_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}
