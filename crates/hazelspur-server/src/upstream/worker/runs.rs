//! Table of the runs that were started and have not ended, with their commands that no notice has answered
//! yet.
//!
//! Invariant: after the replay of a new connection, exactly the commands that are unanswered and that the
//! worker may not have read are sent again.

use hazelspur::RequestId;
use hazelspur_parsers::runtime;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Reply to the last dependency call of a run.
struct CallReply {
    body: Vec<u8>,
    /// Number of the latest gauge query when the reply was recorded. The answer to a later query shows that
    /// the worker has read the reply.
    latest_gauge_query: u64,
}

/// Run and its unanswered commands.
struct Run {
    class: Arc<str>,
    body: Rc<[u8]>,
    /// Whether no notice has shown yet that the worker has read the start.
    start_unanswered: bool,
    /// Whether the start was sent over any connection.
    start_sent: bool,
    /// Reply to the last dependency call; `None` once the run requests another.
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
        // A reply that was read must not be sent again, since the run may have requested another call since.
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

/// Table of all runs that have not ended.
#[derive(Default)]
pub(super) struct RunTable {
    runs: BTreeMap<RequestId, Run>,
}

impl RunTable {
    /// Returns the number of runs.
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Records the start of a run; `start_sent` tells whether the command was sent.
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

    /// Records the command to stop a run.
    pub(super) fn record_stop(&mut self, request: RequestId) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.stop_requested = true;
        }
    }

    /// Records the reply to a dependency call of a run, with the number of the latest gauge query.
    pub(super) fn record_call_reply(&mut self, request: RequestId, body: Vec<u8>, latest_gauge_query: u64) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.call_reply = Some(CallReply { body, latest_gauge_query });
        }
    }

    /// Records that a run requested a dependency call, which answers all its commands but a stop.
    pub(super) fn record_call_request(&mut self, request: RequestId) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.start_unanswered = false;
            run.call_reply = None;
        }
    }

    /// Removes a run that ended. Returns whether it was in the table.
    pub(super) fn remove(&mut self, request: RequestId) -> bool {
        self.runs.remove(&request).is_some()
    }

    /// Removes all runs whose start was sent. Returns the ids of their requests in ascending order.
    pub(super) fn remove_sent(&mut self) -> Vec<RequestId> {
        let sent = self.runs.iter().filter(|(_, run)| run.start_sent).map(|(request, _)| *request).collect();
        self.runs.retain(|_, run| !run.start_sent);
        sent
    }

    /// Writes the commands to be sent again after a replay. Returns the number of runs that they are for.
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
