//! Submits a gateway's request: decodes and checks it, checks the limits of its connection, then starts the
//! task of its lifecycle.

use super::connection::GatewayConnection;
use super::error::{EarlyRejection, ProtocolError, RequestError};
use super::request_params::RequestParams;
use super::responder::GatewayResponder;
use super::server::GatewayServer;
use super::started_requests::StartedRequests;
use crate::ingress::limits::MAX_CLOCK_LEAD;
use crate::request::deduplication::{DeduplicationKey, Lookup, Owner, ReceivedAttempt, RetryOf};
use crate::request::lifecycle::{ReceivedRequest, RequestLifecycle};
use crate::request::responder::Responder;
use hazelspur::{Duration, RequestClass, RequestClassId, SessionKey, Timestamp};
use hazelspur_parsers::Json;
use hazelspur_parsers::rpc::RpcId;
use std::rc::Rc;

/// Maximum number of open requests of a connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum time from receipt to deadline, as a multiple of the request timeout of the class.
pub const MAX_TIMEOUT_FACTOR: f64 = 1.5;
/// Time since the deadline after which a received request is rejected without being submitted.
pub const MAX_OVERDUE: Duration = Duration::from_ms(1000);
/// Milliseconds per second.
const MS_PER_S: f64 = 1000.0;
/// Microseconds per millisecond.
const US_PER_MS: u64 = 1000;

/// A request as it was received, with parameters not decoded yet.
pub(super) struct IncomingRequest<'a> {
    pub(super) id: RpcId,
    /// Name of the request class, from the message's `method`.
    pub(super) class: &'a str,
    pub(super) params: Option<Json<'a>>,
}

/// Times of a request by this server's clock.
struct RequestTimes {
    /// Time of receipt.
    now: Timestamp,
    sent_at: Timestamp,
    /// `None` if the request states no timeout.
    deadline: Option<Timestamp>,
}

/// A decoded request, with its class in the configuration in force at receipt.
struct DecodedRequest<'a> {
    id: RpcId,
    class_id: RequestClassId,
    class: Rc<RequestClass>,
    params: RequestParams<'a>,
    times: RequestTimes,
}

impl GatewayServer {
    /// Decodes and checks a request, and starts its lifecycle.
    ///
    /// # Errors
    /// Returns the reason for which the request is not submitted.
    pub(super) fn submit(
        &self,
        connection: &Rc<GatewayConnection>,
        incoming: &IncomingRequest<'_>,
    ) -> Result<(), RequestError> {
        let request = self.decode_request(incoming)?;
        check_open_requests(connection, incoming.id)?;
        if !self.services.dispatcher.is_started() {
            return Err(EarlyRejection::NotServing.into());
        }
        check_overdue(&request)?;
        Ok(self.start(connection, &request)?)
    }

    fn decode_request<'a>(
        &self,
        incoming: &IncomingRequest<'a>,
    ) -> Result<DecodedRequest<'a>, ProtocolError> {
        let catalog = self.catalog.borrow();
        let class = catalog.find_request_class(incoming.class);
        let (class_id, class) = class.ok_or(ProtocolError::UnknownMethod)?;
        let params = RequestParams::decode(incoming.params, &catalog)?;
        let times = self.request_times(&params, &class)?;
        Ok(DecodedRequest { id: incoming.id, class_id, class, params, times })
    }

    fn request_times(
        &self,
        params: &RequestParams<'_>,
        class: &RequestClass,
    ) -> Result<RequestTimes, ProtocolError> {
        let clock = &self.services.dispatcher.clock;
        let now = clock.now();
        let sent_at = Timestamp::from_us(params.sent_unix_ms.saturating_mul(US_PER_MS));
        let sent_at = clock.local_time_of(sent_at);
        let deadline = params.timeout_ms.map(|ms| sent_at + Duration::from_secs(ms / MS_PER_S));
        // The maximum counts from receipt, not from the send time: a request that was long in transit may
        // state a timeout that is long from its send time.
        let latest_deadline = now + class.request_timeout.scaled(MAX_TIMEOUT_FACTOR);
        let is_ahead = sent_at > now + MAX_CLOCK_LEAD;
        let is_too_long = deadline.is_some_and(|deadline| deadline > latest_deadline);
        if !params.level_is_valid || is_ahead || is_too_long {
            return Err(ProtocolError::TimeOutOfRange);
        }
        Ok(RequestTimes { now, sent_at, deadline })
    }

    /// Registers the request, looks up its deduplication key and spawns its lifecycle.
    fn start(
        &self,
        connection: &Rc<GatewayConnection>,
        decoded: &DecodedRequest<'_>,
    ) -> Result<(), ProtocolError> {
        let dispatcher = &self.services.dispatcher;
        let DecodedRequest { class, params, times, .. } = decoded;
        let request = params.request;
        let runs_once = StartedRequests::protects(class, params.idempotency_key.as_deref());
        let started_requests = runs_once.then(|| self.started_requests.clone());
        if started_requests.as_ref().is_some_and(|started| started.contains(request)) {
            return Err(ProtocolError::RequestStartedBefore);
        }
        let events = dispatcher.register(request).ok_or(ProtocolError::RequestInProgress)?;
        let retry_of = self.lookup_retry(connection, decoded).inspect_err(|_| dispatcher.remove(request))?;
        let responder = GatewayResponder::new(connection.clone(), decoded.id, request, started_requests);
        let received = ReceivedRequest {
            request_class: decoded.class_id,
            tenant: params.tenant,
            session: params.subject.as_deref().map(SessionKey::of),
            client: params.client,
            deadline: times.deadline,
            size_kb: params.size_kb,
            sent_at: times.sent_at,
        };
        let lifecycle = RequestLifecycle {
            services: self.services.clone(),
            request,
            class: class.clone(),
            body: params.body.clone(),
            deadline: received.response_due(class),
            retry_of,
            may_have_run: false,
            responder: Responder::new(responder, dispatcher.clone()),
            events,
        };
        tokio::task::spawn_local(lifecycle.submit(&received).run());
        Ok(())
    }

    /// Returns the earlier attempt with the same deduplication key, if any.
    ///
    /// # Errors
    /// Returns `IdempotencyKeyConflict` if the key belongs to a request with different content.
    fn lookup_retry(
        &self,
        connection: &GatewayConnection,
        decoded: &DecodedRequest<'_>,
    ) -> Result<Option<RetryOf>, ProtocolError> {
        let DecodedRequest { class_id, class, params, times, .. } = decoded;
        let (idempotency_key, subject) = (params.idempotency_key.as_deref(), params.subject.as_deref());
        let Some(key) = DeduplicationKey::of(class, &params.tenant_name, idempotency_key, subject) else {
            return Ok(None);
        };
        let attempt = ReceivedAttempt {
            request: params.request,
            key: key.clone(),
            owner: Owner { tenant: params.tenant, request_class: *class_id },
            sent_at: times.sent_at,
            body: params.body.clone(),
            trusted: connection.reputation.is_known_to_worker(),
        };
        let mut deduplication = self.services.dispatcher.deduplication.borrow_mut();
        match deduplication.received(times.now, attempt) {
            Lookup::First => Ok(None),
            Lookup::RetryOf(original) => Ok(Some(deduplication.retry_of(key, original))),
            Lookup::Conflict => Err(ProtocolError::IdempotencyKeyConflict),
        }
    }
}

/// Checks that the connection may open another request under this id.
///
/// # Errors
/// Returns a protocol error if too many requests or this id are open. A gateway that has sent requests known
/// to the worker may have given up many of them without an interrupt, so too many requests are a rejection
/// for it.
fn check_open_requests(connection: &GatewayConnection, id: RpcId) -> Result<(), RequestError> {
    let open_requests = connection.open_requests.borrow();
    let (is_full, id_is_open) = (open_requests.len() >= MAX_OPEN_REQUESTS, open_requests.contains_key(&id));
    if is_full && !id_is_open && connection.reputation.is_known_to_worker() {
        return Err(EarlyRejection::TooManyOpen.into());
    }
    if is_full || id_is_open {
        return Err(ProtocolError::TooManyOpenOrDuplicateId.into());
    }
    Ok(())
}

/// Rejects a request whose deadline passed longer ago than `MAX_OVERDUE`.
fn check_overdue(request: &DecodedRequest<'_>) -> Result<(), EarlyRejection> {
    let RequestTimes { now, sent_at, deadline } = request.times;
    let deadline = deadline.unwrap_or(sent_at + request.class.request_timeout);
    if deadline + MAX_OVERDUE <= now { Err(EarlyRejection::OverdueTooLong) } else { Ok(()) }
}
