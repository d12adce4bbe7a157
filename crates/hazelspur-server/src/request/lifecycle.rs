//! Lifecycle of one request: queued, running with its dependency calls, finished.
//!
//! Inputs are `RequestEvent`s; outputs are commands to the worker, dependency calls and the final response.
//!
//! Invariant: the client gets at most one response, and the controller is notified of the end of each
//! request.

use crate::request::deduplication::RetryOf;
use crate::request::dispatcher::Dispatcher;
use crate::request::event::{Completion, RequestEvent};
use crate::request::responder::{Responder, RunPermission};
use crate::upstream::dependency::{Call, CallResult, DependencyClient};
use crate::upstream::worker::WorkerLink;
use hazelspur::{
    ClientId, Decision, Duration, Idempotency, NewRequest, Outcome, RequestClass, RequestClassId, RequestId,
    SessionKey, TenantId, Timestamp,
};
use std::future::{Future, pending};
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// Maximum length of the body of a request, in bytes.
pub const MAX_BODY_LENGTH: usize = 2048;

/// Shared objects that the tasks of requests use.
pub struct Services {
    /// Dispatcher, which owns the controller.
    pub dispatcher: Rc<Dispatcher>,
    /// Link to the worker process.
    pub worker: Rc<WorkerLink>,
    /// Client of the shared dependency.
    pub dependency: Rc<DependencyClient>,
}

/// Properties of a received request, without its body.
pub struct ReceivedRequest {
    /// Id of the request class.
    pub request_class: RequestClassId,
    /// Id of the tenant that the request belongs to.
    pub tenant: TenantId,
    /// Session; `None` if the request belongs to none.
    pub session: Option<SessionKey>,
    /// Client that sent the request.
    pub client: ClientId,
    /// Deadline; `None` if the request timeout of its class applies.
    pub deadline: Option<Timestamp>,
    /// Memory that the request takes while queued, in kB.
    pub size_kb: f64,
    /// Time at which the client sent the request.
    pub sent_at: Timestamp,
}

impl ReceivedRequest {
    /// Returns the deadline of the request: its own, or the request timeout of its class after the time of
    /// sending.
    pub fn response_due(&self, class: &RequestClass) -> Timestamp {
        self.deadline.unwrap_or(self.sent_at + class.request_timeout)
    }
}

/// State of one request from its receipt to its final response.
pub struct RequestLifecycle {
    /// Shared objects that the request's task uses.
    pub services: Rc<Services>,
    /// Id of the request.
    pub request: RequestId,
    /// Class as it was configured when the request was received.
    pub class: Rc<RequestClass>,
    /// Body, which is sent to the worker.
    pub body: Rc<[u8]>,
    /// Deadline of the response, after which the request is not started.
    pub deadline: Timestamp,
    /// Reference to the original attempt; `None` if the request is not a retry.
    pub retry_of: Option<RetryOf>,
    /// Whether the request may have run; if so, no other attempt with its key may run.
    pub may_have_run: bool,
    /// Sender of the final response.
    pub responder: Responder,
    /// Receiver of the request's events.
    pub events: UnboundedReceiver<RequestEvent>,
}

/// Stage of a request.
enum State {
    /// Waiting for the controller's decision, the first one or the one after a preemption.
    Queued,
    /// Waiting for the completion of the original attempt, whose response this request gets too.
    AwaitingOriginal,
    /// Waiting for the worker link, after the controller decided the run. The ingress has not been asked for
    /// its permission and nothing was sent, so that the request can still be rejected or expire.
    AwaitingWorker,
    /// Running in the worker.
    Running(Run),
    /// Finished: nothing is left to do.
    Finished,
}

type CallInProgress = Pin<Box<dyn Future<Output = CallResult>>>;

/// Run in the worker and its dependency call.
struct Run {
    /// Body of the last call that the run requested.
    call_body: Rc<[u8]>,
    /// Whether that call was attempted before.
    call_was_attempted: bool,
    /// Call in progress; never completes if there is none.
    call: CallInProgress,
}

impl Run {
    fn new() -> Self {
        Self { call_body: Rc::from([]), call_was_attempted: false, call: Box::pin(pending()) }
    }

    fn cancel_call(&mut self) {
        self.call = Box::pin(pending());
    }
}

impl RequestLifecycle {
    /// Submits the request to the controller at once, so that no change of the configuration comes between
    /// its receipt and its submission.
    pub fn submit(self, received: &ReceivedRequest) -> Self {
        let (request, retry_of) = (self.request, self.retry_of.as_ref().map(|retry| retry.original));
        let read_at = self.services.dispatcher.clock.now();
        self.services.dispatcher.report(|controller, now| {
            let new_request = NewRequest {
                id: request,
                class: received.request_class,
                tenant: received.tenant,
                session: received.session,
                client: received.client,
                deadline: received.deadline,
                cost: None,
                size_kb: received.size_kb,
                age: now - received.sent_at,
                read_offset: read_at - now,
                // No ingress provides this flag; the idempotency of the class decides.
                is_write: false,
                retry_of,
            };
            controller.request_received(now, new_request);
        });
        self
    }

    /// Handles events until the request is finished.
    pub async fn run(mut self) {
        let mut state = State::Queued;
        loop {
            state = match state {
                State::Queued | State::AwaitingOriginal => self.advance_queued(state).await,
                State::AwaitingWorker => self.advance_awaiting_worker().await,
                State::Running(run) => self.advance_running(run).await,
                State::Finished => return,
            };
        }
    }

    async fn advance_queued(&mut self, state: State) -> State {
        let Some(event) = self.events.recv().await else { return State::Finished };
        match event {
            RequestEvent::Decided(Decision::Run(_)) => self.start_if_permitted().await,
            RequestEvent::Decided(Decision::AnswerFromOriginal(_)) => self.await_original(),
            RequestEvent::Decided(decision) => self.respond_while_queued(&decision, state),
            RequestEvent::ClientGone => self.client_gone_while_queued(),
            RequestEvent::Finished(original) if matches!(state, State::AwaitingOriginal) => {
                self.respond_as_original(&original)
            }
            RequestEvent::CallRequested(_) | RequestEvent::Finished(_) | RequestEvent::UnknownToWorker => {
                state
            }
        }
    }

    async fn advance_awaiting_worker(&mut self) -> State {
        let event = tokio::select! {
            biased;
            event = self.events.recv() => event,
            () = self.services.worker.synchronized() => return self.start_if_permitted().await,
        };
        match event {
            None => State::Finished,
            Some(RequestEvent::ClientGone) => self.client_gone_while_queued(),
            Some(RequestEvent::Decided(_)) => self.end_unstarted(),
            Some(_) => State::AwaitingWorker,
        }
    }

    /// Ends a request whose run was decided but not started. The controller counts it as running, so the end
    /// of the run is reported too. The request is rejected, since it is known not to have run, or failed if
    /// an earlier run of it was preempted.
    fn end_unstarted(&mut self) -> State {
        self.report_run_finished(Outcome::NeverStarted);
        if self.may_have_run {
            self.responder.failed();
        } else {
            self.responder.rejected(Duration::ZERO, false);
        }
        State::Finished
    }

    async fn advance_running(&mut self, mut run: Run) -> State {
        let event = tokio::select! {
            biased;
            event = self.events.recv() => event,
            result = &mut run.call => {
                run.cancel_call();
                self.call_finished(result);
                return State::Running(run);
            }
        };
        match event {
            None => return State::Finished,
            Some(RequestEvent::Finished(completion)) => return self.run_finished(&completion),
            Some(RequestEvent::UnknownToWorker) => return self.unknown_to_worker(),
            Some(RequestEvent::CallRequested(body)) => self.call_requested(&mut run, body),
            Some(RequestEvent::Decided(decision)) => self.decided_while_running(&mut run, &decision),
            Some(RequestEvent::ClientGone) => {
                // The run goes on, while its call is cancelled.
                self.abandon();
                run.cancel_call();
            }
        }
        State::Running(run)
    }

    /// Starts the run once the ingress permits it; without permission the request never runs. The deadline is
    /// checked here after the decision, and by the ingress after its permission, since the process may have
    /// been suspended in between.
    async fn start_if_permitted(&mut self) -> State {
        if !self.services.worker.is_synchronized() {
            return State::AwaitingWorker;
        }
        if self.services.dispatcher.clock.now() >= self.deadline {
            return self.end_unstarted();
        }
        let is_permitted = match self.responder.run_permission() {
            RunPermission::Granted => true,
            RunPermission::Awaiting(permission) => permission.await.unwrap_or(false),
        };
        if !is_permitted || !self.may_have_run && !self.responder.confirm_start() {
            return self.withdraw_unstarted();
        }
        self.may_have_run = true;
        self.services.worker.start(self.request, self.class.name.clone(), self.body.clone());
        State::Running(Run::new())
    }

    /// Ends a request that its ingress did not permit to run and has settled itself.
    fn withdraw_unstarted(&mut self) -> State {
        let request = self.request;
        self.services.dispatcher.report(|controller, now| {
            controller.request_abandoned(request);
            controller.run_finished(now, request, Outcome::NeverStarted);
        });
        self.responder.end_without_response();
        State::Finished
    }

    fn await_original(&self) -> State {
        let dispatcher = &self.services.dispatcher;
        let completion = match &self.retry_of {
            None => Some(Completion::failed()),
            Some(retry) => dispatcher.deduplication.borrow_mut().subscribe(retry, self.request),
        };
        if let Some(completion) = completion {
            dispatcher.deliver(self.request, RequestEvent::Finished(completion));
        }
        State::AwaitingOriginal
    }

    fn respond_while_queued(&mut self, decision: &Decision, state: State) -> State {
        self.respond_as_decided(decision);
        if self.responder.is_pending() { state } else { State::Finished }
    }

    fn client_gone_while_queued(&mut self) -> State {
        self.abandon();
        // A run that was decided just before would otherwise count as running forever.
        self.report_run_finished(Outcome::NeverStarted);
        State::Finished
    }

    fn respond_as_original(&mut self, original: &Completion) -> State {
        self.report_run_finished(original.outcome);
        match original.outcome {
            Outcome::Ok => self.responder.success(&original.result),
            Outcome::NeverStarted if !self.may_have_run => self.responder.rejected(Duration::ZERO, false),
            _ => self.responder.failed(),
        }
        State::Finished
    }

    fn call_requested(&mut self, run: &mut Run, body: Vec<u8>) {
        self.responder.known_to_worker();
        run.call_body = body.into();
        run.call_was_attempted = false;
        let request = self.request;
        self.services.dispatcher.report(|controller, now| controller.call_requested(now, request));
    }

    fn decided_while_running(&mut self, run: &mut Run, decision: &Decision) {
        match decision {
            Decision::StartCall { timeout, .. } => self.start_call(run, *timeout),
            Decision::Preempt(_) => self.services.worker.stop(self.request),
            _ => {
                // The run goes on after its response, while its call is cancelled.
                self.respond_as_decided(decision);
                run.cancel_call();
            }
        }
    }

    fn start_call(&self, run: &mut Run, timeout: Duration) {
        let (services, request, body) = (self.services.clone(), self.request, run.call_body.clone());
        // A reused connection may break after the call took effect, so only idempotent requests may use one.
        let new_connection = run.call_was_attempted || self.class.idempotency != Idempotency::Idempotent;
        run.call = Box::pin(async move {
            let call = Call { request, timeout, body: &body, new_connection };
            services.dependency.call(&services.dispatcher.clock, call).await
        });
        run.call_was_attempted = true;
    }

    fn call_finished(&self, result: CallResult) {
        let (request, outcome) = (self.request, result.outcome);
        if outcome == Outcome::Ok {
            self.services.worker.send_call_reply(request, result.reply);
        }
        self.services.dispatcher.report(|controller, now| controller.call_finished(now, request, outcome));
    }

    fn run_finished(&mut self, completion: &Completion) -> State {
        let Completion { outcome, result } = completion;
        self.report_run_finished(*outcome);
        self.may_have_run &= *outcome != Outcome::NeverStarted;
        match outcome {
            Outcome::Ok => {
                self.responder.known_to_worker();
                self.services.dispatcher.attempt_finished(self.request, completion);
                self.responder.success(result);
            }
            Outcome::Preempted if self.responder.is_pending() => return State::Queued,
            _ => self.responder.failed(),
        }
        State::Finished
    }

    fn unknown_to_worker(&mut self) -> State {
        self.may_have_run = false;
        self.report_run_finished(Outcome::Error);
        self.responder.unknown_to_worker();
        State::Finished
    }

    fn report_run_finished(&self, outcome: Outcome) {
        let request = self.request;
        self.services.dispatcher.report(|controller, now| controller.run_finished(now, request, outcome));
    }

    fn abandon(&mut self) {
        let request = self.request;
        self.services.dispatcher.report(|controller, _| controller.request_abandoned(request));
        self.responder.end_without_response();
    }

    /// Sends the response that a decision requires.
    fn respond_as_decided(&mut self, decision: &Decision) {
        match decision {
            Decision::Reject { retry_after, do_not_retry_elsewhere, .. } => {
                self.responder.rejected(*retry_after, *do_not_retry_elsewhere)
            }
            Decision::Fail(_) => self.responder.failed(),
            _ => log::warn!(decision:?; "decision does not apply to the request's state"),
        }
    }
}

impl Drop for RequestLifecycle {
    fn drop(&mut self) {
        if self.responder.is_pending() {
            log::error!(op:% = self.request; "request ended without a response");
            self.responder.failed();
            self.abandon();
        }
        if std::thread::panicking() {
            self.report_run_finished(Outcome::Error);
        }
        if self.may_have_run {
            self.services.dispatcher.attempt_finished(self.request, &Completion::failed());
        } else {
            self.services.dispatcher.attempt_never_ran(self.request);
        }
        self.services.dispatcher.remove(self.request);
    }
}
