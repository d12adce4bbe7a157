//! The table of all in-flight requests, the two run queues, and totals over them.
//!
//! Invariants: the queues hold exactly the requests whose state is queued or paused, in queue order; the
//! totals and the set of started requests agree with the requests. Therefore no figure needs a walk over the
//! table, and a request enters, leaves or changes in time logarithmic in the number of requests.

use crate::RequestId;
use crate::request::{Request, RequestState, RunLength};
use crate::request_totals::RequestTotals;
use crate::scheduling::queue_order::QueuePosition;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Positions of the requests of one run queue, each of which names its request by the sequence.
type RunQueue = BTreeSet<QueuePosition>;

/// The in-flight requests, and the run queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    /// Requests by their position in the order of receipt, which is quicker to compare than an id.
    requests: BTreeMap<u64, Request>,
    sequences: BTreeMap<RequestId, u64>,
    short_queue: RunQueue,
    long_queue: RunQueue,
    /// Sequences of the requests that the runtime has started.
    started: BTreeMap<RequestId, u64>,
    totals: RequestTotals,
    last_sequence: u64,
    /// Number of changes after which a rule may apply to a request to which it did not apply before.
    change_count: u64,
    /// Number of requests that iterators have yielded.
    examined_count: Cell<u64>,
}

impl RequestTable {
    /// Returns the position of the next request in the order of receipt.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Returns the number of changes after which a rule may apply to a request to which it did not apply
    /// before. Requests that leave their queue or the table are not among them, nor are steps in admission
    /// and idempotency: they only make rules apply to fewer requests.
    pub(crate) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the number of requests that the iterators of the table have yielded since its creation.
    pub(crate) fn examined_count(&self) -> u64 {
        self.examined_count.get()
    }

    /// Adds a request and queues it. A request with the same id is replaced.
    pub(crate) fn insert(&mut self, request: Request) {
        let id = request.id;
        self.remove(id);
        self.totals.add(&request);
        self.sequences.insert(id, request.sequence);
        self.requests.insert(request.sequence, request);
        self.enqueue(id);
    }

    /// Inserts a queued or paused request into its run queue.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.get(id) else { return };
        let (length, position) = (request.run_length, QueuePosition::of(request));
        self.queue_mut(length).insert(position);
        self.change_count += 1;
    }

    /// Removes a request from its run queue. Its state must still be that in which it was queued.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.get(id) else { return };
        let (length, position) = (request.run_length, QueuePosition::of(request));
        self.queue_mut(length).remove(&position);
    }

    fn queue_mut(&mut self, length: RunLength) -> &mut RunQueue {
        match length {
            RunLength::Short => &mut self.short_queue,
            RunLength::Long => &mut self.long_queue,
        }
    }

    /// Removes a request from its run queue and from the table.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(sequence) = self.sequences.remove(&id) else { return };
        let Some(request) = self.requests.remove(&sequence) else { return };
        self.started.remove(&id);
        self.totals.subtract(&request);
    }

    /// Changes an in-flight request and returns what `change` returns. A request whose state moves out of a
    /// queue must have been dequeued, and one whose state moves into a queue must be enqueued.
    pub(crate) fn update<T>(&mut self, id: RequestId, change: impl FnOnce(&mut Request) -> T) -> Option<T> {
        self.change_count += 1;
        self.update_without_new_candidates(id, change)
    }

    /// Changes an in-flight request like [`Self::update`], in a way after which no rule applies to a request
    /// to which it did not apply before.
    pub(crate) fn update_without_new_candidates<T>(
        &mut self,
        id: RequestId,
        change: impl FnOnce(&mut Request) -> T,
    ) -> Option<T> {
        let request = self.requests.get_mut(self.sequences.get(&id)?)?;
        self.totals.subtract(request);
        let result = change(request);
        self.totals.add(request);
        if request.state.is_started() {
            self.started.insert(id, request.sequence);
        } else {
            self.started.remove(&id);
        }
        Some(result)
    }

    /// Records that the idempotency key of a request is stored, or is not stored for want of memory.
    pub(crate) fn set_key_handled(&mut self, id: RequestId) {
        self.update_without_new_candidates(id, |request| request.is_key_handled = true);
    }

    /// Returns the in-flight request with this id.
    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(self.sequences.get(&id)?)
    }

    /// Returns the number of in-flight requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns totals over the in-flight requests.
    pub(crate) fn totals(&self) -> &RequestTotals {
        &self.totals
    }

    /// Iterates over the in-flight requests in the order of receipt.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Request> {
        self.requests.values().inspect(|_| self.count_examined())
    }

    /// Iterates over the requests that the runtime has started, in the order of ids.
    pub(crate) fn started(&self) -> impl Iterator<Item = &Request> + Clone {
        self.started.values().map(|sequence| &self.requests[sequence]).inspect(|_| self.count_examined())
    }

    /// Iterates over the requests that are on the cores or wait for disk, in the order of ids.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Request> + Clone {
        self.started().filter(|request| request.state == RequestState::Running)
    }

    /// Iterates over one run queue in queue order.
    pub(crate) fn queue(&self, length: RunLength) -> impl DoubleEndedIterator<Item = &Request> {
        let queue = match length {
            RunLength::Short => &self.short_queue,
            RunLength::Long => &self.long_queue,
        };
        queue.iter().map(|position| &self.requests[&position.sequence()]).inspect(|_| self.count_examined())
    }

    /// Iterates over the queue of short runs, then over that of long runs.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &Request> {
        self.queue(RunLength::Short).chain(self.queue(RunLength::Long))
    }

    /// Returns the last queued request in queue order that is not paused.
    pub(crate) fn last_queued(&self) -> Option<&Request> {
        let last = |length| self.queue(length).next_back().filter(|request| !request.is_paused());
        let lasts = [last(RunLength::Short), last(RunLength::Long)];
        lasts.into_iter().flatten().max_by_key(|request| QueuePosition::of(request))
    }

    /// Returns the matching requests, the first received first.
    pub(crate) fn matching_in_order_of_receipt(&self, matches: impl Fn(&Request) -> bool) -> Vec<RequestId> {
        self.iter().filter(|request| matches(request)).map(|request| request.id).collect()
    }

    /// Returns the number of requests in a state.
    pub(crate) fn count(&self, state: RequestState) -> f64 {
        self.totals.count(state) as f64
    }

    /// Returns the number of requests that the runtime has started.
    pub(crate) fn started_count(&self) -> f64 {
        self.started.len() as f64
    }

    fn count_examined(&self) {
        self.examined_count.set(self.examined_count.get() + 1);
    }
}
