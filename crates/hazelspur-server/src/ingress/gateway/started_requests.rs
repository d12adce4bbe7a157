//! Ids of gateways' requests that were started and must not run twice.
//!
//! A request whose client is gone is forgotten by the dispatcher once its run has ended. Invariant: a request
//! without an idempotency key that must run at most once does not start again under the same id, while the id
//! is among the last `STARTED_REQUESTS_CAPACITY / 2` or more.

use hazelspur::recently_seen::RecentlySeen;
use hazelspur::{Idempotency, RequestClass, RequestId};
use std::cell::RefCell;

/// Maximum number of ids that are kept; the older half is evicted when one more is recorded.
const STARTED_REQUESTS_CAPACITY: usize = 16 * 1024;

/// Table of the ids.
#[derive(Default)]
pub(super) struct StartedRequests {
    ids: RefCell<RecentlySeen<RequestId, (), STARTED_REQUESTS_CAPACITY>>,
}

impl StartedRequests {
    /// Returns whether only the id of a request can keep it from running twice.
    pub(super) fn protects(class: &RequestClass, idempotency_key: Option<&str>) -> bool {
        match class.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::IdempotentWithKey => idempotency_key.is_none(),
            Idempotency::NonIdempotent => true,
        }
    }

    /// Returns whether the request with this id was started.
    pub(super) fn contains(&self, request: RequestId) -> bool {
        self.ids.borrow().get(&request).is_some()
    }

    /// Records that a request is started now.
    pub(super) fn record(&self, request: RequestId) {
        self.ids.borrow_mut().touch(request);
    }

    /// Removes a request that turned out not to have run.
    pub(super) fn remove(&self, request: RequestId) {
        self.ids.borrow_mut().remove(&request);
    }
}
