//! The table of all in-flight requests, and the two run queues.
//!
//! Invariant: the queues hold exactly the requests whose state is queued or paused, in queue order.

use crate::RequestId;
use crate::request::{Request, RequestState, RunLength};
use crate::scheduling::queue_order;
use std::collections::BTreeMap;

/// The in-flight requests by id, and the run queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    short_queue: Vec<RequestId>,
    long_queue: Vec<RequestId>,
    last_sequence: u64,
}

impl RequestTable {
    /// Returns the position of the next request in the order of receipt.
    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Adds a request and queues it.
    pub(crate) fn insert(&mut self, request: Request) {
        let id = request.id;
        self.requests.insert(id, request);
        self.enqueue(id);
    }

    /// Inserts a request into its run queue, behind requests that compare as equal.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let queue = match request.run_length {
            RunLength::Short => &mut self.short_queue,
            RunLength::Long => &mut self.long_queue,
        };
        let position =
            queue.partition_point(|other| queue_order::compare(&self.requests[other], request).is_lt());
        queue.insert(position, id);
    }

    /// Removes a request from its run queue.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        self.short_queue.retain(|queued| *queued != id);
        self.long_queue.retain(|queued| *queued != id);
    }

    /// Removes a request from its run queue and from the table.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.dequeue(id);
        self.requests.remove(&id);
    }

    /// Returns the in-flight request with this id.
    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Returns the in-flight request with this id, for changes.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// Returns the number of in-flight requests.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Iterates over the in-flight requests in the order of ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Request> {
        self.requests.values()
    }

    /// Iterates over the requests that are on the cores or wait for disk, in the order of ids.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Request> + Clone {
        self.requests.values().filter(|request| request.state == RequestState::Running)
    }

    /// Iterates over one run queue in queue order.
    pub(crate) fn queue(&self, length: RunLength) -> impl Iterator<Item = &Request> {
        let queue = match length {
            RunLength::Short => &self.short_queue,
            RunLength::Long => &self.long_queue,
        };
        queue.iter().map(|id| &self.requests[id])
    }

    /// Iterates over the queue of short runs, then over that of long runs.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &Request> {
        self.queue(RunLength::Short).chain(self.queue(RunLength::Long))
    }

    /// Returns the number of requests in a state.
    pub(crate) fn count(&self, state: RequestState) -> f64 {
        self.requests.values().filter(|request| request.state == state).count() as f64
    }

    /// Returns the number of requests that the runtime has started.
    pub(crate) fn started_count(&self) -> f64 {
        self.requests.values().filter(|request| request.state.is_started()).count() as f64
    }

    /// Returns the matching request that was received first.
    pub(crate) fn first_received(&self, matches: impl Fn(&Request) -> bool) -> Option<RequestId> {
        let matching = self.requests.values().filter(|request| matches(request));
        matching.min_by_key(|request| request.sequence).map(|request| request.id)
    }
}
