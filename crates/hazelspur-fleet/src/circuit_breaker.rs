//! The circuit breaker of the shared dependency, one in each server. While it is open, no call leaves this
//! server but probes, and the fleet shares the probes out: a few designated probers of all sites probe often
//! while servers hear of each other, and each server probes in its time slot while they do not.
//!
//! Calls that could not connect or broke count as unreachable, calls that were connected and got no answer in time as
//! unanswered. Either opens the breaker where no answer comes in between. A breaker that unanswered calls opened is
//! closed by an answer only, since a dependency that hangs goes on accepting connections. Servers use it only where
//! the operator's file has `together = True`.
//!
//! Inputs: ended calls and probes (`call_finished`, `call_unanswered`, `probe_sent`), recoveries of others
//! (`recovery_hint`), and what the load reports of others say (`set_peer_view`). Outputs: whether calls may leave,
//! when and how to probe next, state changes.
//!
//! Invariant: only a call or probe of this server closes the breaker. What others report brings the next
//! probe forward, once a second at most, because the fault may be in this server's own link and a report may
//! be false.

use crate::hash::hash_to_unit_interval;
use crate::names::MemberName;
use crate::time_slots::SlotSchedule;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Consecutive unreachable calls that open the breaker, if they spread over `MIN_FAILURE_SPAN`.
const FAILURE_THRESHOLD: u32 = 6;
/// Time between the first and the last of the failures that open the breaker.
const MIN_FAILURE_SPAN: Duration = Duration::from_ms(200);
/// Consecutive unanswered calls that open the breaker, if they spread over `MIN_UNANSWERED_SPAN`.
const UNANSWERED_THRESHOLD: u32 = 6;
/// Time between the first and the last of the unanswered calls that open the breaker: a dependency may pause.
const MIN_UNANSWERED_SPAN: Duration = Duration::from_ms(1000);
/// Consecutive unreachable or unanswered calls that open the breaker while most others report the dependency unreachable.
const CONFIRMED_FAILURE_THRESHOLD: u32 = 2;
/// Mean time between probes of a designated prober.
const DESIGNATED_PROBE_INTERVAL: Duration = Duration::from_ms(250);
/// Mean time between probes of any other server while most report the dependency unreachable.
const OTHER_PROBE_INTERVAL: Duration = Duration::from_ms(4000);
/// Mean time between probes while only this server fails: no other server tests its link.
const LOCAL_FAULT_PROBE_INTERVAL: Duration = Duration::from_ms(1000);
/// Smallest factor by which an interval between probes varies.
const MIN_JITTER_FACTOR: f64 = 0.75;
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
    /// No call leaves this server from now on, since calls did not reach the dependency.
    Opened,
    /// No call leaves this server from now on, since the dependency accepts calls and does not answer them.
    OpenedUnanswered,
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

/// What a probe has to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// That a connection can be made.
    Connection,
    /// That a call is answered, whatever the answer.
    Answer,
}

/// Failed calls of one kind with no answer in between.
#[derive(Clone, Copy, Debug, Default)]
struct FailureRun {
    count: u32,
    first_at: Timestamp,
}

impl FailureRun {
    fn incremented(self, now: Timestamp) -> Self {
        let first_at = if self.count == 0 { now } else { self.first_at };
        Self { count: self.count.saturating_add(1), first_at }
    }

    fn reaches(self, now: Timestamp, count: u32, span: Duration) -> bool {
        self.count >= count && now - self.first_at >= span
    }
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed { unreachable: FailureRun, unanswered: FailureRun },
    Open { since: Timestamp, next_probe_at: Timestamp, probe_kind: ProbeKind },
}

impl State {
    fn closed() -> Self {
        Self::Closed { unreachable: FailureRun::default(), unanswered: FailureRun::default() }
    }
}

/// The breaker. Every time is of the wall clock, so that all servers share the time slots.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    server: MemberName,
    dependency: &'static str,
    slot_schedule: SlotSchedule,
    state: State,
    last_hint_at: Timestamp,
    /// None while too few others report.
    peer_view: Option<PeerView>,
    pending_changes: VecDeque<BreakerChange>,
    /// Probes since the start of the process.
    pub probe_attempts: u64,
}

impl CircuitBreaker {
    /// A closed breaker of `server` in a fleet of up to `max_servers`.
    pub fn new(server: MemberName, dependency: &'static str, max_servers: usize) -> Self {
        Self {
            server,
            dependency,
            slot_schedule: SlotSchedule::new(max_servers, FLEET_PROBES_PER_SECOND, MAX_SLOT_PERIOD),
            state: State::closed(),
            last_hint_at: Timestamp::default(),
            peer_view: None,
            pending_changes: VecDeque::new(),
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
            (State::Closed { unreachable, unanswered }, false) => {
                let unreachable = unreachable.incremented(now);
                self.state = State::Closed { unreachable, unanswered };
                if unreachable.reaches(now, FAILURE_THRESHOLD, MIN_FAILURE_SPAN)
                    || self.is_confirmed(unreachable)
                {
                    self.open(now, ProbeKind::Connection, BreakerChange::Opened);
                }
            }
            (State::Open { .. }, false) => {}
        }
    }

    /// Notes a call that the dependency accepted and did not answer in time.
    pub fn call_unanswered(&mut self, now: Timestamp) {
        let State::Closed { unreachable, unanswered } = self.state else { return };
        let unanswered = unanswered.incremented(now);
        self.state = State::Closed { unreachable, unanswered };
        if unanswered.reaches(now, UNANSWERED_THRESHOLD, MIN_UNANSWERED_SPAN) || self.is_confirmed(unanswered)
        {
            self.open(now, ProbeKind::Answer, BreakerChange::OpenedUnanswered);
        }
    }

    /// Another server has just reached the dependency: brings the next probe forward.
    pub fn recovery_hint(&mut self, now: Timestamp) {
        if self.is_closed() || now - self.last_hint_at < MIN_HINT_INTERVAL {
            return;
        }
        self.last_hint_at = now;
        self.probe_no_later_than(now + HINT_SPREAD.scaled(self.pseudo_random_fraction(now)));
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

    /// What the next probe has to show.
    pub fn probe_kind(&self) -> ProbeKind {
        match self.state {
            State::Closed { .. } => ProbeKind::Connection,
            State::Open { probe_kind, .. } => probe_kind,
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
        self.pending_changes.pop_front()
    }

    /// Whether most others report the dependency unreachable too.
    fn is_confirmed(&self, failures: FailureRun) -> bool {
        let confirmed = self.peer_view.is_some_and(|view| view.mostly_unreachable);
        confirmed && failures.count >= CONFIRMED_FAILURE_THRESHOLD
    }

    fn open(&mut self, now: Timestamp, probe_kind: ProbeKind, change: BreakerChange) {
        self.state = State::Open { since: now, next_probe_at: self.scheduled_probe(now), probe_kind };
        self.push_change(change);
    }

    fn probe_no_later_than(&mut self, latest: Timestamp) {
        if let State::Open { next_probe_at, .. } = &mut self.state {
            *next_probe_at = latest.min(*next_probe_at);
        }
    }

    fn scheduled_probe(&self, now: Timestamp) -> Timestamp {
        let Some(PeerView { designated, mostly_unreachable }) = self.peer_view else {
            return self.slot_schedule.next_slot(self.server, self.dependency, now);
        };
        let interval = match (designated, mostly_unreachable) {
            (true, _) => DESIGNATED_PROBE_INTERVAL,
            (false, true) => OTHER_PROBE_INTERVAL,
            (false, false) => LOCAL_FAULT_PROBE_INTERVAL,
        };
        now + interval.scaled(MIN_JITTER_FACTOR + JITTER_RANGE * self.pseudo_random_fraction(now))
    }

    fn pseudo_random_fraction(&self, now: Timestamp) -> f64 {
        hash_to_unit_interval(self.dependency, self.server.as_str(), now.us())
    }

    fn push_change(&mut self, change: BreakerChange) {
        if self.pending_changes.len() >= MAX_PENDING_CHANGES {
            self.pending_changes.pop_front();
        }
        self.pending_changes.push_back(change);
    }
}
