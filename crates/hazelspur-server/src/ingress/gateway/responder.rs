//! Responses to the requests of a gateway's connection, each with the advertised capacity of the server if
//! there is one.

use super::connection::GatewayConnection;
use super::started_requests::StartedRequests;
use crate::request::responder::ResponseSink;
use hazelspur::{Duration, RequestId};
use hazelspur_parsers::rpc::{self, ErrorData, RpcId};
use std::rc::Rc;

/// Microseconds per millisecond.
const US_PER_MS: u64 = 1000;

/// Writes the response to one request to its connection.
pub(super) struct GatewayResponder {
    connection: Rc<GatewayConnection>,
    /// JSON-RPC id of the request.
    id: RpcId,
    request: RequestId,
    /// Table to which the id of the request is added at its start; `None` for a request that may run twice.
    started_requests: Option<Rc<StartedRequests>>,
}

impl GatewayResponder {
    /// Creates the responder of a request and adds the request to the open requests of its connection.
    pub(super) fn new(
        connection: Rc<GatewayConnection>,
        id: RpcId,
        request: RequestId,
        started_requests: Option<Rc<StartedRequests>>,
    ) -> Self {
        connection.request_opened(id, request);
        Self { connection, id, request, started_requests }
    }

    fn respond(&mut self, write: impl FnOnce(RpcId, &mut Vec<u8>, Option<f64>)) {
        let capacity = self.connection.dispatcher.advertised_capacity.get();
        self.connection.output.append(|out| write(self.id, out, capacity));
        self.ended_without_response();
    }
}

impl ResponseSink for GatewayResponder {
    fn success(&mut self, result: &[u8]) {
        self.respond(|id, out, capacity| rpc::write_result(out, id, result, capacity));
    }

    fn rejected(&mut self, retry_after: Duration, do_not_retry_elsewhere: bool) {
        let retry_after_ms = retry_after.us().div_ceil(US_PER_MS) as f64;
        let retry_after_ms = (retry_after > Duration::ZERO).then_some(retry_after_ms);
        self.respond(|id, out, capacity| {
            let message = "refused";
            let data = ErrorData { retry_after_ms, do_not_retry_elsewhere, advertised_capacity: capacity };
            rpc::write_error(out, Some(id), rpc::REJECTED, message, data);
        });
    }

    fn failed(&mut self) {
        self.respond(|id, out, capacity| {
            let data = ErrorData { advertised_capacity: capacity, ..ErrorData::default() };
            rpc::write_error(out, Some(id), rpc::FAILED, "failed", data);
        });
    }

    fn unknown_to_worker(&mut self) {
        if let Some(started_requests) = &self.started_requests {
            started_requests.remove(self.request);
        }
        self.connection.reputation.record_unknown_to_worker();
        self.failed();
    }

    fn confirm_start(&mut self) -> bool {
        if let Some(started_requests) = &self.started_requests {
            started_requests.record(self.request);
        }
        true
    }

    fn known_to_worker(&mut self) {
        self.connection.reputation.record_known_to_worker();
    }

    fn ended_without_response(&mut self) {
        self.connection.request_closed(self.id, self.request);
    }
}
