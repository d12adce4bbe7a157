//! The runs that were started and have not ended, with the commands that no notice has answered yet.
//!
//! Invariant: after a new connection has replayed its notices, exactly these commands go out again.

use hazelspur::RequestId;
use hazelspur_parsers::runtime;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// The reply that a run was last given.
struct CallReply {
    body: Vec<u8>,
    /// The gauge query that was the latest then; its answer shows that the worker has read the reply.
    latest_gauge_query: u64,
}

/// A run and its unanswered commands.
struct Run {
    class: Arc<str>,
    body: Rc<[u8]>,
    start_unanswered: bool,
    /// Whether its start was sent over any connection.
    start_sent: bool,
    call_reply: Option<CallReply>,
    stop_requested: bool,
}

impl Run {
    /// Writes the commands that the worker has not answered and may not have read.
    fn resend(&mut self, out: &mut Vec<u8>, request: RequestId, last_answered_gauge_query: u64) {
        let id = request.to_string();
        self.start_sent = true;
        if self.start_unanswered {
            runtime::write_start(out, &id, &self.class, &self.body);
        }
        // A reply that was read must not be given again: the run may have made another call since.
        if let Some(call_reply) = &self.call_reply
            && call_reply.latest_gauge_query >= last_answered_gauge_query
        {
            runtime::write_call_reply(out, &id, &call_reply.body);
        }
        if self.stop_requested {
            runtime::write_stop(out, &id);
        }
    }
}

/// All runs that have not ended.
#[derive(Default)]
pub(super) struct RunTable {
    runs: BTreeMap<RequestId, Run>,
}

impl RunTable {
    /// How many runs there are.
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Records the start of a run, and whether it was sent.
    pub(super) fn record_start(
        &mut self,
        request: RequestId,
        class: Arc<str>,
        body: Rc<[u8]>,
        start_sent: bool,
    ) {
        let run =
            Run { class, body, start_unanswered: true, start_sent, call_reply: None, stop_requested: false };
        self.runs.insert(request, run);
    }

    /// Records that a run was told to stop.
    pub(super) fn record_stop(&mut self, request: RequestId) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.stop_requested = true;
        }
    }

    /// Records a reply for a run, and the latest gauge query.
    pub(super) fn record_call_reply(&mut self, request: RequestId, body: Vec<u8>, latest_gauge_query: u64) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.call_reply = Some(CallReply { body, latest_gauge_query });
        }
    }

    /// Records that a run asked for a call, which answers all commands but a stop.
    pub(super) fn record_call_request(&mut self, request: RequestId) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.start_unanswered = false;
            run.call_reply = None;
        }
    }

    /// Removes a run that ended; says whether it was there.
    pub(super) fn remove(&mut self, request: RequestId) -> bool {
        self.runs.remove(&request).is_some()
    }

    /// Removes all runs whose start was sent, and returns their ids in order.
    pub(super) fn remove_sent(&mut self) -> Vec<RequestId> {
        let sent = self.runs.iter().filter(|(_, run)| run.start_sent).map(|(request, _)| *request).collect();
        self.runs.retain(|_, run| !run.start_sent);
        sent
    }

    /// Writes every unanswered command; returns of how many runs.
    pub(super) fn resend(&mut self, out: &mut Vec<u8>, last_answered_gauge_query: u64) -> usize {
        let mut resent = 0;
        for (request, run) in &mut self.runs {
            let length_before = out.len();
            run.resend(out, *request, last_answered_gauge_query);
            resent += usize::from(out.len() > length_before);
        }
        resent
    }
}
