//! Handling of the worker's notices: updates the state of the link and delivers events to the tasks of
//! requests.

use super::state::{LinkState, WorkerStatus};
use crate::request::event::{Completion, RequestEvent};
use hazelspur::{Duration, Outcome, RequestId};
use hazelspur_parsers::runtime::MessageHandler;

/// Handler of the notices that are decoded from one connection.
pub(super) struct Notices<'a>(pub(super) &'a LinkState);

impl Notices<'_> {
    /// Returns the request of a notice; `None` if its id is invalid, or if the notice was received before
    /// over this or an earlier connection.
    fn request_of_new_notice(&self, number: u64, id: &str) -> Option<RequestId> {
        let request = RequestId::padded(id)?;
        self.0.is_new_notice(number).then_some(request)
    }
}

impl MessageHandler for Notices<'_> {
    fn ready(&mut self, is_warm: bool, uptime_ms: u64) {
        self.0.worker_ready(WorkerStatus { is_warm, uptime: Duration::from_ms(uptime_ms) });
    }

    fn run_ended(&mut self, number: u64, id: &str, outcome: &str, result: &[u8]) {
        let Some(request) = self.request_of_new_notice(number, id) else { return };
        let completion = Completion { outcome: parse_outcome(outcome), result: result.into() };
        self.0.runs.borrow_mut().remove(request);
        self.0.dispatcher.deliver(request, RequestEvent::Finished(completion));
    }

    fn call_requested(&mut self, number: u64, id: &str, body: &[u8]) {
        let Some(request) = self.request_of_new_notice(number, id) else { return };
        self.0.runs.borrow_mut().record_call_request(request);
        self.0.dispatcher.deliver(request, RequestEvent::CallRequested(body.to_vec()));
    }

    fn gauges_received(&mut self, tag: &str, values: &[f64]) {
        if !self.0.replay.answered(tag) {
            self.0.gauge_query.answer(tag, values);
        }
    }

    fn command_rejected(&mut self, command: &str, id: &str) {
        // Logged at debug level only, since any client can send requests that the worker rejects.
        log::debug!(command, id; "worker rejected a command");
        let Some(request) = RequestId::padded(id) else { return };
        if command == "start" && self.0.runs.borrow_mut().remove(request) {
            self.0.dispatcher.deliver(request, RequestEvent::UnknownToWorker);
        }
    }

    fn info(&mut self, number: u64, text: &str) {
        if self.0.is_new_notice(number) {
            log::debug!("worker info {text}");
        }
    }
}

fn parse_outcome(outcome: &str) -> Outcome {
    match outcome {
        "complete" => Outcome::Ok,
        "cancelled" => Outcome::Preempted,
        "unknown" => Outcome::NeverStarted,
        _ => Outcome::Error,
    }
}
