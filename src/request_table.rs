//! All requests in hand and the two run queues.
//!
//! Invariant: the queues hold exactly the requests whose state is queued or paused, best first.

use crate::RequestId;
use crate::request::{Request, RequestState, RunLength};
use crate::scheduling::queue_order;
use std::collections::BTreeMap;

/// The requests in hand by id, and the run queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    short_queue: Vec<RequestId>,
    long_queue: Vec<RequestId>,
    last_sequence: u64,
}

impl RequestTable {
    /// The place of the next request in the order of arrival.
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

    /// Puts a request into its run queue, behind its equals.
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

    /// Takes a request out of its run queue.
    pub(crate) fn dequeue(&mut self, id: RequestId) {
        self.short_queue.retain(|queued| *queued != id);
        self.long_queue.retain(|queued| *queued != id);
    }

    /// Removes a request from the queue and the table.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.dequeue(id);
        self.requests.remove(&id);
    }

    /// A request in hand.
    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// A request in hand, to be changed.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// The number of requests in hand.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Iterates in the order of ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Request> {
        self.requests.values()
    }

    /// Iterates over the requests on the cores, or waiting for disk, in the order of ids.
    pub(crate) fn running(&self) -> impl Iterator<Item = &Request> + Clone {
        self.requests.values().filter(|request| request.state == RequestState::Running)
    }

    /// Iterates over one queue, best first.
    pub(crate) fn queue(&self, length: RunLength) -> impl Iterator<Item = &Request> {
        let queue = match length {
            RunLength::Short => &self.short_queue,
            RunLength::Long => &self.long_queue,
        };
        queue.iter().map(|id| &self.requests[id])
    }

    /// Iterates over the short queue, then over the long one.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &Request> {
        self.queue(RunLength::Short).chain(self.queue(RunLength::Long))
    }

    /// The number of requests in a state.
    pub(crate) fn count(&self, state: RequestState) -> f64 {
        self.requests.values().filter(|request| request.state == state).count() as f64
    }

    /// The number of requests that the runtime has started.
    pub(crate) fn started_count(&self) -> f64 {
        self.requests.values().filter(|request| request.state.is_started()).count() as f64
    }

    /// The request received first among those that match.
    pub(crate) fn first_received(&self, matches: impl Fn(&Request) -> bool) -> Option<RequestId> {
        let matching = self.requests.values().filter(|request| matches(request));
        matching.min_by_key(|request| request.sequence).map(|request| request.id)
    }
}
