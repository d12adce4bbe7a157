//! Table of the runs that were started and have not ended, with their commands that no notice has answered
//! yet.
//!
//! Invariant: after the replay of a new connection, all unanswered starts and stops are sent again, which
//! have no further effect on a worker that has read them. A call reply has: `give` names the run and not the
//! call, so that a run that has read one takes the next for the reply to its next call. Therefore a reply is
//! written to one connection at most.

use super::command_queue::BatchNumber;
use hazelspur::RequestId;
use hazelspur_parsers::runtime;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Reply to the last dependency call of a run.
pub(super) struct CallReply {
    pub(super) body: Vec<u8>,
    /// Batch of commands that contains the reply. Until it is taken, the worker cannot have read the reply.
    pub(super) batch: BatchNumber,
    /// Number of the latest gauge query when the reply was recorded. The answer to a later query shows that
    /// the worker has read the reply.
    pub(super) latest_gauge_query: u64,
}

/// Progress of the link at the time of a resend.
pub(super) struct LinkProgress {
    /// Batch that is not taken yet.
    pub(super) current_batch: BatchNumber,
    /// Number of the last gauge query that was answered.
    pub(super) last_answered_gauge_query: u64,
}

/// Numbers of runs after a resend.
#[derive(Default)]
pub(super) struct ResendCounts {
    /// Number of runs with commands that were sent again.
    pub(super) resent: usize,
    /// Number of runs whose call reply may have been lost with a connection. Such a run either proceeds or
    /// waits until its request is answered without it.
    pub(super) unproven_replies: usize,
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
    /// Writes the unanswered start and stop, and a call reply that was not written before.
    fn resend(&mut self, out: &mut Vec<u8>, request: RequestId, current_batch: BatchNumber) {
        let id = request.to_string();
        self.start_sent = true;
        if self.start_unanswered {
            runtime::write_start(out, &id, &self.class, &self.body);
        }
        let unwritten = self.call_reply.as_ref().filter(|reply| reply.batch >= current_batch);
        if let Some(reply) = unwritten {
            runtime::write_call_reply(out, &id, &reply.body);
        }
        if self.stop_requested {
            runtime::write_stop(out, &id);
        }
    }

    /// Returns whether the last call reply was written, and nothing has shown that the worker has read it.
    fn has_unproven_reply(&self, progress: &LinkProgress) -> bool {
        self.call_reply.as_ref().is_some_and(|reply| {
            reply.batch < progress.current_batch
                && reply.latest_gauge_query >= progress.last_answered_gauge_query
        })
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

    /// Records the reply to a dependency call of a run.
    pub(super) fn record_call_reply(&mut self, request: RequestId, reply: CallReply) {
        if let Some(run) = self.runs.get_mut(&request) {
            run.call_reply = Some(reply);
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

    /// Writes the commands to be sent again after a replay.
    pub(super) fn resend(&mut self, out: &mut Vec<u8>, progress: &LinkProgress) -> ResendCounts {
        let mut counts = ResendCounts::default();
        for (request, run) in &mut self.runs {
            let length_before = out.len();
            run.resend(out, *request, progress.current_batch);
            counts.resent += usize::from(out.len() > length_before);
            counts.unproven_replies += usize::from(run.has_unproven_reply(progress));
        }
        counts
    }
}
