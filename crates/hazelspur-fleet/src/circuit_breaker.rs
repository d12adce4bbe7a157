//! The circuit breaker of the shared dependency, one in each server. While it is open, this server sends no
//! calls but only probes, and the fleet distributes the probes: while servers receive each other's load
//! reports, a few designated probers from all sites probe often; otherwise each server probes in its own
//! time slot.
//!
//! A call that could not connect, or whose connection broke, counts as unreachable. A call that was
//! connected and got no answer in time counts as unanswered. Several calls of either kind open the breaker
//! if no call is answered in between. If unanswered calls opened it, only an answer closes it, because a
//! dependency that hangs still accepts connections. Servers use the breaker only if the operator's file has
//! `together = True`.
//!
//! Inputs: ended calls and probes (`call_finished`, `call_unanswered`, `probe_sent`), recoveries that other
//! servers report (`recovery_hint`), and the load reports of other servers (`set_peer_view`). Outputs:
//! whether calls may be sent, when and how to probe next, and state changes.
//!
//! Invariant: only a call or probe of this server closes the breaker. Reports of other servers only bring the
//! next probe forward, because the fault may be in this server's own link and a report may be false;
//! recovery hints do so once a second at most.

use crate::hash::hash_to_unit_interval;
use crate::names::MemberName;
use crate::time_slots::SlotSchedule;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Number of consecutive unreachable calls that open the breaker if they span `MIN_FAILURE_SPAN` or more.
const FAILURE_THRESHOLD: u32 = 6;
/// Shortest time between the first and the last of the unreachable calls that open the breaker.
const MIN_FAILURE_SPAN: Duration = Duration::from_ms(200);
/// Number of consecutive unanswered calls that open the breaker if they span `MIN_UNANSWERED_SPAN` or more.
const UNANSWERED_THRESHOLD: u32 = 6;
/// Shortest time between the first and the last of the unanswered calls that open the breaker. It is longer
/// than `MIN_FAILURE_SPAN`, because a working dependency may pause.
const MIN_UNANSWERED_SPAN: Duration = Duration::from_ms(1000);
/// Number of consecutive unreachable or unanswered calls that open the breaker while most other servers
/// report the dependency as unreachable.
const CONFIRMED_FAILURE_THRESHOLD: u32 = 2;
/// Mean time between probes of a designated prober.
const DESIGNATED_PROBE_INTERVAL: Duration = Duration::from_ms(250);
/// Mean time between probes of any other server while most servers report the dependency as unreachable.
const OTHER_PROBE_INTERVAL: Duration = Duration::from_ms(4000);
/// Mean time between probes of a server that fails while most others do not. No other server can test its
/// link.
const LOCAL_FAULT_PROBE_INTERVAL: Duration = Duration::from_ms(1000);
/// Smallest pseudo-random factor on an interval between probes.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Width of the range of pseudo-random factors on an interval between probes.
const JITTER_RANGE: f64 = 0.5;
/// Probe rate of the whole fleet, per second, while servers do not receive each other's load reports.
const FLEET_PROBES_PER_SECOND: f64 = 100.0;
/// Longest period of the schedule of time slots.
const MAX_SLOT_PERIOD: Duration = Duration::from_ms(2000);
/// Longest delay of a probe after a recovery hint; each server's delay differs, so that probes are spread.
const HINT_SPREAD: Duration = Duration::from_ms(400);
/// Shortest time between two recovery hints that are not ignored.
const MIN_HINT_INTERVAL: Duration = Duration::from_ms(1000);
/// Capacity of the queue of state changes; the oldest is dropped when it is full.
const MAX_PENDING_CHANGES: usize = 8;
/// Number of servers of a fleet that are designated to probe often.
pub const DESIGNATED_PROBERS: usize = 6;

/// A change of the breaker's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// This server stops sending calls, because calls did not reach the dependency.
    Opened,
    /// This server stops sending calls, because the dependency accepts calls and does not answer them.
    OpenedUnanswered,
    /// This server sends calls again.
    Closed {
        /// Time for which the breaker was open.
        after: Duration,
    },
}

/// Summary of the other servers' load reports, as far as the breaker depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Whether this server is one of the designated probers.
    pub designated: bool,
    /// Whether most other servers report that they do not reach the dependency.
    pub mostly_unreachable: bool,
}

/// Kind of probe that is needed to close the breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// Probe that succeeds if a connection can be made.
    Connection,
    /// Probe that succeeds if a call is answered, whatever the answer.
    Answer,
}

/// Consecutive failed calls of one kind, without an answered call in between.
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

/// The circuit breaker. All times are of the wall clock, because servers must agree on the time slots.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    server: MemberName,
    dependency: &'static str,
    slot_schedule: SlotSchedule,
    state: State,
    last_hint_at: Timestamp,
    /// None while too few other servers report.
    peer_view: Option<PeerView>,
    pending_changes: VecDeque<BreakerChange>,
    /// Number of probes sent since the start of the process.
    pub probe_attempts: u64,
}

impl CircuitBreaker {
    /// Creates a closed breaker of `server` for `dependency`, in a fleet of up to `max_servers`.
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

    /// Returns whether this server may send calls.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Records the end of a call or probe. `reached` tells whether it reached the dependency, whatever the
    /// reply.
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

    /// Records a call that the dependency accepted and did not answer in time.
    pub fn call_unanswered(&mut self, now: Timestamp) {
        let State::Closed { unreachable, unanswered } = self.state else { return };
        let unanswered = unanswered.incremented(now);
        self.state = State::Closed { unreachable, unanswered };
        if unanswered.reaches(now, UNANSWERED_THRESHOLD, MIN_UNANSWERED_SPAN) || self.is_confirmed(unanswered)
        {
            self.open(now, ProbeKind::Answer, BreakerChange::OpenedUnanswered);
        }
    }

    /// Brings the next probe forward, because another server has just reached the dependency. Ignored while
    /// the breaker is closed, and within `MIN_HINT_INTERVAL` after the last hint that was not ignored.
    pub fn recovery_hint(&mut self, now: Timestamp) {
        if self.is_closed() || now - self.last_hint_at < MIN_HINT_INTERVAL {
            return;
        }
        self.last_hint_at = now;
        self.probe_no_later_than(now + HINT_SPREAD.scaled(self.pseudo_random_fraction(now)));
    }

    /// Sets the summary of the other servers' load reports; `None` if too few report. A change may bring
    /// the next probe forward.
    pub fn set_peer_view(&mut self, now: Timestamp, view: Option<PeerView>) {
        let changed = std::mem::replace(&mut self.peer_view, view) != view;
        if changed && !self.is_closed() {
            self.probe_no_later_than(self.scheduled_probe(now));
        }
    }

    /// Returns when this server is to probe next; `None` while the breaker is closed.
    pub fn next_probe(&self) -> Option<Timestamp> {
        match self.state {
            State::Closed { .. } => None,
            State::Open { next_probe_at, .. } => Some(next_probe_at),
        }
    }

    /// Returns the kind of the next probe.
    pub fn probe_kind(&self) -> ProbeKind {
        match self.state {
            State::Closed { .. } => ProbeKind::Connection,
            State::Open { probe_kind, .. } => probe_kind,
        }
    }

    /// Records that a probe is being sent and schedules the next one. Its end is reported to `call_finished`.
    pub fn probe_sent(&mut self, now: Timestamp) {
        self.probe_attempts += 1;
        let scheduled = self.scheduled_probe(now + Duration::from_us(1));
        if let State::Open { next_probe_at, .. } = &mut self.state {
            *next_probe_at = scheduled;
        }
    }

    /// Removes and returns the oldest state change that has not been read.
    pub fn next_change(&mut self) -> Option<BreakerChange> {
        self.pending_changes.pop_front()
    }

    /// Returns whether the failures suffice to open the breaker because most other servers also report the
    /// dependency as unreachable.
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

    /// Returns a number above 0 and below 1 that differs between servers and from one time to the next.
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
