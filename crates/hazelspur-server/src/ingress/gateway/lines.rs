//! Processing of the lines that a connection receives. A line is a health check, an interrupt (which abandons
//! a request) or a request; invalid lines are answered with an error and counted.

use super::connection::GatewayConnection;
use super::error::{ProtocolError, RequestError};
use super::request::IncomingRequest;
use super::server::GatewayServer;
use crate::request::event::RequestEvent;
use hazelspur::RequestId;
use hazelspur_parsers::rpc::{self, RpcId};
use hazelspur_parsers::{Buffer, Json};
use std::borrow::Cow;
use std::rc::Rc;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Value of `jsonrpc` in each message.
const JSON_RPC_VERSION: &str = "2.0";
/// `method` of a health check.
const CHECK_METHOD: &str = "check";
/// `method` of an interrupt, with which the client abandons a request.
const INTERRUPT_METHOD: &str = "interrupt";

/// A decoded line.
struct Message<'a> {
    method: Cow<'a, str>,
    id: Option<RpcId>,
    params: Option<Json<'a>>,
}

/// Error in a line that is not a valid message.
struct InvalidMessage {
    /// Id of the error response; `None` if the line has no valid id.
    id: Option<RpcId>,
    error: ProtocolError,
}

impl<'a> Message<'a> {
    fn decode(line: &'a [u8]) -> Result<Self, InvalidMessage> {
        let invalid = |id, error| InvalidMessage { id, error };
        let json = Json::parse(line).filter(|json| json.is_object());
        let fields = json.ok_or(invalid(None, ProtocolError::NotJson))?.table();
        let version = fields.get("jsonrpc").and_then(Json::text);
        if version.as_deref() != Some(JSON_RPC_VERSION) {
            return Err(invalid(None, ProtocolError::NotJsonRpc));
        }
        let id = fields.get("id").and_then(Json::unsigned).filter(|id| *id > 0).map(RpcId);
        let method = fields.get("method").and_then(Json::text);
        let method = method.ok_or(invalid(id, ProtocolError::MissingMethod))?;
        Ok(Self { method, id, params: fields.get("params") })
    }
}

impl GatewayServer {
    /// Processes all complete lines in the input buffer, until the client is blocked. An incomplete line
    /// stays in the buffer; the time of its first part is kept.
    pub(super) fn process_lines(&self, connection: &Rc<GatewayConnection>, input: &mut Buffer) {
        while !connection.reputation.is_blocked() {
            let length = input.line_length();
            if length.unwrap_or(input.unread().len()) > MAX_LINE_BYTES {
                return reject_long_line(connection, input);
            }
            let Some(length) = length else { break };
            self.process_line(connection, input.unread()[..length].trim_ascii_end());
            input.consume(length + 1);
            connection.partial_line_since.set(None);
        }
        if !input.unread().is_empty() && connection.partial_line_since.get().is_none() {
            connection.partial_line_since.set(Some(self.services.dispatcher.clock.now()));
        }
    }

    fn process_line(&self, connection: &Rc<GatewayConnection>, line: &[u8]) {
        if line.is_empty() {
            return;
        }
        let message = match Message::decode(line) {
            Ok(message) => message,
            Err(invalid) => return connection.reject_input(invalid.id, invalid.error),
        };
        match (&*message.method, message.id) {
            (INTERRUPT_METHOD, id) => self.interrupt(connection, id, message.params),
            (_, None) => connection.reject_input(None, ProtocolError::MissingId),
            (CHECK_METHOD, Some(id)) => self.answer_health_check(connection, id),
            (class, Some(id)) => {
                self.process_request(connection, &IncomingRequest { id, class, params: message.params });
            }
        }
    }

    fn answer_health_check(&self, connection: &GatewayConnection, id: RpcId) {
        let dispatcher = &self.services.dispatcher;
        connection.checks_health.set(true);
        connection.reputation.record_valid_input();
        connection.mark_idle();
        let (healthy, capacity) = (dispatcher.healthy.get(), dispatcher.advertised_capacity.get());
        connection.output.append(|out| rpc::write_health(out, id, healthy, capacity));
    }

    fn process_request(&self, connection: &Rc<GatewayConnection>, request: &IncomingRequest<'_>) {
        // An open request gets its own response, so an error never carries its id.
        let id_is_open = connection.open_requests.borrow().contains_key(&request.id);
        let id = (!id_is_open).then_some(request.id);
        match self.submit(connection, request) {
            Ok(()) => connection.reputation.record_valid_input(),
            Err(RequestError::Invalid(error)) => connection.reject_input(id, error),
            Err(RequestError::Rejected(rejection)) => {
                let message = rejection.to_string();
                connection.output.append(|out| {
                    rpc::write_error(out, id, rpc::REJECTED, &message, rpc::ErrorData::default())
                });
            }
        }
    }

    /// Abandons an open request of this connection. `params` names it by request id (`req`) or by JSON-RPC id
    /// (`id`); without `params.id` the message's own id applies.
    fn interrupt(&self, connection: &GatewayConnection, id: Option<RpcId>, params: Option<Json<'_>>) {
        let field = |name: &str| params.and_then(|params| params.get(name));
        let mut open_requests = connection.open_requests.borrow_mut();
        let by_request_id = field("req").and_then(Json::text).and_then(|text| RequestId::padded(&text));
        let by_request_id = by_request_id.filter(|named| open_requests.values().any(|open| open == named));
        let rpc_id = field("id").and_then(Json::unsigned).map(RpcId).or(id);
        let by_rpc_id = rpc_id.and_then(|id| open_requests.get(&id).copied());
        let Some(request) = by_request_id.or(by_rpc_id) else { return };
        // The id is released at once because the next line may use it again.
        open_requests.retain(|_, open| *open != request);
        drop(open_requests);
        connection.mark_idle();
        self.services.dispatcher.deliver(request, RequestEvent::ClientGone);
    }
}

/// Dismisses the connection. The end of the line is unknown, so no later input can be decoded.
fn reject_long_line(connection: &GatewayConnection, input: &mut Buffer) {
    connection.dismiss(ProtocolError::LineTooLong);
    connection.reputation.record_framing_lost();
    connection.partial_line_since.set(None);
    input.consume(input.unread().len());
}
