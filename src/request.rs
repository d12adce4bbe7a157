//! An in-flight request, from its receipt to its end: what was known at its receipt, its state, and the
//! transitions between states.
//!
//! ```text
//! Queued -> Running <-> AwaitingCall <-> Calling
//! Queued -> AwaitingOriginal
//! Running, AwaitingCall, Calling -> Queued or Paused (preempted) -> Running
//! ```
//!
//! Invariant: a paused request has run; a request that awaits its original never has.

use crate::config::request_class::{Idempotency, RequestClass};
use crate::config::settings::Preemption;
use crate::{ClientId, Duration, RequestClassId, RequestId, SessionKey, TenantId, Timestamp};
use std::rc::Rc;

/// A request as it was received, before any decision about it.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Id, unique among the in-flight requests.
    pub id: RequestId,
    /// Request class.
    pub class: RequestClassId,
    /// Tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// Session to which the request belongs; `None` if it names none.
    pub session: Option<SessionKey>,
    /// Client that sent the request.
    pub client: ClientId,
    /// Time by which the client needs the response; `None` if not stated, in which case the request timeout
    /// of the class applies.
    pub deadline: Option<Timestamp>,
    /// Work that the client expects of the request; `None` if not stated.
    pub cost: Option<Duration>,
    /// Memory that the request takes while it is queued, in kB.
    pub size_kb: f64,
    /// Time since the client sent the request.
    pub age: Duration,
    /// Time from the `now` of `request_received`, at which a turn of the event loop began, until the request
    /// had been read completely. It decides whether the request came within the grace period of a shutdown.
    pub read_offset: Duration,
    /// Whether the request changes data.
    pub is_write: bool,
    /// Original that this request retries; `None` if it is no retry.
    pub retry_of: Option<RequestId>,
}

/// State of an in-flight request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// In a run queue, without work of an earlier run.
    Queued,
    /// In a run queue, with the work of its preempted run kept in memory.
    Paused,
    /// Waiting for the result of the request that it retries.
    AwaitingOriginal,
    /// On the cores, or waiting for disk.
    Running,
    /// Started; waiting until an attempt of its dependency call may start.
    AwaitingCall,
    /// Started; waiting for an attempt of its dependency call to end. The last state, see [`Self::COUNT`].
    Calling,
}

impl RequestState {
    /// Number of states.
    pub(crate) const COUNT: usize = Self::Calling as usize + 1;

    /// Returns whether the request is in a run queue.
    pub(crate) fn is_queued(self) -> bool {
        matches!(self, Self::Queued | Self::Paused)
    }

    /// Returns whether the runtime has started the request and has neither ended nor preempted it.
    pub(crate) fn is_started(self) -> bool {
        matches!(self, Self::Running | Self::AwaitingCall | Self::Calling)
    }
}

/// Run queue of a request, by its expected run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunLength {
    /// Queue of ordinary runs.
    Short,
    /// Queue of runs that take far longer than those of the last requests.
    Long,
}

/// Progress of the dependency call that a run waits for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallProgress {
    /// Time at which the run requested the call.
    pub(crate) requested_at: Timestamp,
    /// Earliest start of the next attempt.
    pub(crate) not_before: Timestamp,
    /// Start of the last attempt.
    pub(crate) started_at: Timestamp,
    /// Number of attempts started so far.
    pub(crate) attempts: u32,
}

/// An in-flight request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Id, unique among the in-flight requests.
    pub(crate) id: RequestId,
    /// Position in the order of receipt.
    pub(crate) sequence: u64,
    /// Id of the request class.
    pub(crate) class_id: RequestClassId,
    /// Settings of the request class at the time of receipt.
    pub(crate) class: Rc<RequestClass>,
    /// Session to which the request belongs; `None` if it names none.
    pub(crate) session: Option<SessionKey>,
    /// Client that sent the request.
    pub(crate) client: ClientId,
    /// Time at which the client sent the request.
    pub(crate) sent_at: Timestamp,
    /// Time at which this server had read the request completely.
    pub(crate) received_at: Timestamp,
    /// Time by which the client needs the response.
    pub(crate) deadline: Timestamp,
    /// End of the latency objective.
    pub(crate) objective_at: Timestamp,
    /// Memory that the request takes while it is queued, in kB.
    pub(crate) size_kb: f64,
    /// Cost that the client expects, in seconds; 1 if not stated.
    pub(crate) cost_s: f64,
    /// Run time expected at the time of receipt, in seconds.
    pub(crate) expected_run_s: f64,
    /// Run queue to which the request belongs.
    pub(crate) run_length: RunLength,
    /// Rank in the queue, by value per expected work in steps of half an octave (two for each doubling); a
    /// higher rank runs first.
    pub(crate) rank: f64,
    /// Original that this request retries; `None` if it is no retry or counts as an original.
    pub(crate) retry_of: Option<RequestId>,
    /// Whether the request changes data.
    pub(crate) is_write: bool,
    /// State of the request.
    pub(crate) state: RequestState,
    /// Whether the session was active at the time of receipt.
    pub(crate) has_active_session: bool,
    /// Whether the request has passed admission control.
    pub(crate) is_admitted: bool,
    /// Whether the idempotency key is stored, or is not stored for want of memory.
    pub(crate) is_key_handled: bool,
    /// Whether the request has ever started to run.
    pub(crate) has_run: bool,
    /// Whether a response is still due: the client waits for it, and the request has not been failed.
    pub(crate) awaits_response: bool,
    /// Start of the run.
    pub(crate) started_at: Timestamp,
    /// Total time of the run's finished calls, each from its request to its end.
    pub(crate) time_in_calls: Duration,
    /// Progress of the current dependency call, or of the last one.
    pub(crate) call: CallProgress,
    /// Time at which the preemption of the run was last ordered; `None` if it is not ordered.
    pub(crate) preempted_at: Option<Timestamp>,
}

impl Request {
    /// Returns the time since the run started, without its finished calls, in seconds.
    pub(crate) fn run_time_s(&self, now: Timestamp) -> f64 {
        (now - self.started_at - self.time_in_calls).secs()
    }

    /// Returns whether the request is queued with the work of its preempted run kept.
    pub(crate) fn is_paused(&self) -> bool {
        self.state == RequestState::Paused
    }

    /// Returns whether the request may run again without harm.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.class.idempotency == Idempotency::Idempotent
    }

    /// Returns whether retries of the class are recognized by a stored key.
    pub(crate) fn is_keyed(&self) -> bool {
        self.class.stores_keys()
    }

    /// Returns whether a response without the dependency call has value.
    pub(crate) fn allows_degraded_response(&self) -> bool {
        self.class.degraded_value > 0.0
    }

    /// Returns whether a response past the latency objective has value.
    pub(crate) fn allows_late_response(&self) -> bool {
        self.class.late_value > 0.0
    }

    /// Moves a queued or paused request to `Running`; returns whether the run starts anew.
    pub(crate) fn start_run(&mut self, now: Timestamp) -> bool {
        let is_new_run = self.state != RequestState::Paused;
        if is_new_run {
            self.started_at = now;
        }
        self.state = RequestState::Running;
        self.has_run = true;
        is_new_run
    }

    /// Moves a preempted request back to the run queue: to `Paused` if its work is kept, to `Queued` if not.
    pub(crate) fn return_to_queue(&mut self, preemption: Preemption) {
        self.state = match preemption {
            Preemption::Pause => RequestState::Paused,
            Preemption::Drop | Preemption::Unsupported => RequestState::Queued,
        };
        self.preempted_at = None;
    }

    /// Moves a running request to `AwaitingCall`.
    pub(crate) fn await_call(&mut self, now: Timestamp) {
        self.state = RequestState::AwaitingCall;
        self.call = CallProgress { requested_at: now, not_before: now, started_at: now, attempts: 0 };
    }

    /// Moves a request that awaits a call to `Calling`, and counts the attempt.
    pub(crate) fn start_call(&mut self, now: Timestamp) {
        self.state = RequestState::Calling;
        self.call.started_at = now;
        self.call.attempts += 1;
    }

    /// Moves a request back to `Running` after its call has succeeded or is skipped.
    pub(crate) fn resume_after_call(&mut self, now: Timestamp) {
        self.time_in_calls = self.time_in_calls + (now - self.call.requested_at);
        self.state = RequestState::Running;
    }
}
