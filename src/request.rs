//! A request in hand: what was known when it arrived, its state, and the transitions between states.
//!
//! ```text
//! Queued -> Running <-> AwaitingCall <-> Calling
//! Queued -> AwaitingOriginal
//! Running, AwaitingCall, Calling -> Queued or Paused (preempted) -> Running
//! ```
//! Invariant: a paused request has run; a request that awaits its original never has.

use crate::config::request_class::{Idempotency, RequestClass};
use crate::config::settings::Preemption;
use crate::{ClientId, Duration, RequestClassId, RequestId, SessionKey, TenantId, Timestamp};
use std::rc::Rc;

/// A request as it was received, before anything is decided about it.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// Its id, unique among the requests in hand.
    pub id: RequestId,
    /// Its class.
    pub class: RequestClassId,
    /// The tenant that it counts for.
    pub tenant: TenantId,
    /// The session that it belongs to, if it names one.
    pub session: Option<SessionKey>,
    /// The client that sent it.
    pub client: ClientId,
    /// When the client needs the response; by the class's timeout where it did not say.
    pub deadline: Option<Timestamp>,
    /// The work that the client expects of it.
    pub cost: Option<Duration>,
    /// Memory that it takes while queued, in kB.
    pub size_kb: f64,
    /// How long ago it arrived.
    pub age: Duration,
    /// How long after the present time, at which an event loop's turn began, the last of it was read; whether it
    /// came within the grace period of a shutdown goes by that.
    pub read_offset: Duration,
    /// Whether it changes data.
    pub is_write: bool,
    /// The request in hand that this one retries.
    pub retry_of: Option<RequestId>,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestState {
    /// In a run queue, with nothing of its run kept.
    Queued,
    /// In a run queue, with the work of its preempted run kept in memory.
    Paused,
    /// Waits for the result of the request that it retries.
    AwaitingOriginal,
    /// On the cores, or waiting for disk.
    Running,
    /// Its run waits for a dependency call to start.
    AwaitingCall,
    /// Its run waits for a dependency call to end.
    Calling,
}

impl RequestState {
    /// Whether the request is in a run queue.
    pub(crate) fn is_queued(self) -> bool {
        matches!(self, Self::Queued | Self::Paused)
    }

    /// Whether the runtime has started the request and not yet ended or preempted it.
    pub(crate) fn is_started(self) -> bool {
        matches!(self, Self::Running | Self::AwaitingCall | Self::Calling)
    }
}

/// Which run queue a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunLength {
    /// An ordinary run.
    Short,
    /// A run far longer than those of the last requests.
    Long,
}

/// The dependency call that a run waits for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallProgress {
    /// When the run asked for the call.
    pub(crate) requested_at: Timestamp,
    /// No attempt starts before this.
    pub(crate) not_before: Timestamp,
    /// When the attempt under way started.
    pub(crate) started_at: Timestamp,
    /// Attempts made so far.
    pub(crate) attempts: u32,
}

/// A request in hand.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Its id.
    pub(crate) id: RequestId,
    /// Its place in the order of arrival.
    pub(crate) sequence: u64,
    /// Its class.
    pub(crate) class_id: RequestClassId,
    /// The class as it was when the request arrived.
    pub(crate) class: Rc<RequestClass>,
    /// The session that it names.
    pub(crate) session: Option<SessionKey>,
    /// The client that sent it.
    pub(crate) client: ClientId,
    /// When it arrived at the machine, as its client stamped it.
    pub(crate) sent_at: Timestamp,
    /// When this server had received all of it.
    pub(crate) received_at: Timestamp,
    /// When the client needs the response.
    pub(crate) deadline: Timestamp,
    /// When its latency objective ends.
    pub(crate) objective_at: Timestamp,
    /// Memory that it takes while queued, in kB.
    pub(crate) size_kb: f64,
    /// Cost that the client expects, in seconds; 1 where it did not say.
    pub(crate) cost_s: f64,
    /// Run time expected at its arrival, in seconds.
    pub(crate) expected_run_s: f64,
    /// The run queue that it belongs to.
    pub(crate) run_length: RunLength,
    /// Its rank in the queue, in half octaves of value; higher runs first.
    pub(crate) rank: f64,
    /// The request in hand that this one retries.
    pub(crate) retry_of: Option<RequestId>,
    /// Whether it changes data.
    pub(crate) is_write: bool,
    /// Where it stands.
    pub(crate) state: RequestState,
    /// Whether its session was active when it arrived.
    pub(crate) has_active_session: bool,
    /// Whether admission control let it pass.
    pub(crate) is_admitted: bool,
    /// Whether its idempotency key is stored, or goes without since memory is short.
    pub(crate) is_key_handled: bool,
    /// Whether it has run at all.
    pub(crate) has_run: bool,
    /// Whether the client still waits for its response.
    pub(crate) awaits_response: bool,
    /// When its run started.
    pub(crate) started_at: Timestamp,
    /// Time that its run spent in finished calls.
    pub(crate) time_in_calls: Duration,
    /// Its dependency call.
    pub(crate) call: CallProgress,
    /// When its preemption was last ordered.
    pub(crate) preempted_at: Option<Timestamp>,
}

impl Request {
    /// Seconds since the run started, less those in finished calls.
    pub(crate) fn run_time_s(&self, now: Timestamp) -> f64 {
        (now - self.started_at - self.time_in_calls).secs()
    }

    /// Whether it is queued with the work of its preempted run kept.
    pub(crate) fn is_paused(&self) -> bool {
        self.state == RequestState::Paused
    }

    /// Whether a retry may run again without harm.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.class.idempotency == Idempotency::Idempotent
    }

    /// Whether its class identifies retries by a stored key.
    pub(crate) fn is_keyed(&self) -> bool {
        self.class.stores_keys()
    }

    /// Whether a response without the dependency call has value.
    pub(crate) fn allows_degraded_response(&self) -> bool {
        self.class.degraded_value > 0.0
    }

    /// Whether a response past the latency objective has value.
    pub(crate) fn allows_late_response(&self) -> bool {
        self.class.late_value > 0.0
    }

    /// Queued or paused to running; returns whether the run starts anew.
    pub(crate) fn start_run(&mut self, now: Timestamp) -> bool {
        let is_new_run = self.state != RequestState::Paused;
        if is_new_run {
            self.started_at = now;
        }
        self.state = RequestState::Running;
        self.has_run = true;
        is_new_run
    }

    /// Back to the run queue after a preemption.
    pub(crate) fn return_to_queue(&mut self, preemption: Preemption) {
        self.state = match preemption {
            Preemption::Pause => RequestState::Paused,
            Preemption::Drop | Preemption::Unsupported => RequestState::Queued,
        };
        self.preempted_at = None;
    }

    /// Running to awaiting a call.
    pub(crate) fn await_call(&mut self, now: Timestamp) {
        self.state = RequestState::AwaitingCall;
        self.call = CallProgress { requested_at: now, not_before: now, started_at: now, attempts: 0 };
    }

    /// Awaiting a call to calling.
    pub(crate) fn start_call(&mut self, now: Timestamp) {
        self.state = RequestState::Calling;
        self.call.started_at = now;
        self.call.attempts += 1;
    }

    /// Goes on running: the call succeeded or is skipped.
    pub(crate) fn resume_after_call(&mut self, now: Timestamp) {
        self.time_in_calls = self.time_in_calls + (now - self.call.requested_at);
        self.state = RequestState::Running;
    }
}
