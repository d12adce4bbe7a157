//! Writes messages to gateways in JSON-RPC 2.0, one message per line. Messages of gateways are read with
//! `Json`.

use crate::append;
use crate::json::write_text;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// Id of a JSON-RPC call, unique among the open calls of a connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RpcId(
    /// Number from 1 up.
    pub u64,
);

/// Error code: the request was rejected and did not run.
pub const REJECTED: i32 = -32011;
/// Error code: the request failed and may have run.
pub const FAILED: i32 = -32000;
/// Error code: the line is not JSON.
pub const PARSE_ERROR: i32 = -32700;
/// Error code: the message is not a valid call.
pub const INVALID_REQUEST: i32 = -32600;
/// Error code: no request class has this name.
pub const METHOD_NOT_FOUND: i32 = -32601;
/// Error code: a parameter is absent or out of range.
pub const INVALID_PARAMS: i32 = -32602;

/// Decodes the body of a request from base64, `None` if it is malformed.
pub fn decode_body(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Writes the result of a request, encoded in base64.
pub fn write_result(out: &mut Vec<u8>, id: RpcId, data: &[u8], advertised_capacity: Option<f64>) {
    write_head(out, Some(id));
    out.extend_from_slice(b",\"result\":{\"data\":\"");
    out.extend_from_slice(STANDARD.encode(data).as_bytes());
    out.push(b'"');
    write_field(out, "signal", advertised_capacity);
    out.extend_from_slice(b"}}\n");
}

/// Writes the answer to a health check; `ready` tells whether the server is healthy.
pub fn write_health(out: &mut Vec<u8>, id: RpcId, ready: bool, advertised_capacity: Option<f64>) {
    write_head(out, Some(id));
    append(out, format_args!(",\"result\":{{\"ready\":{ready}"));
    write_field(out, "signal", advertised_capacity);
    out.extend_from_slice(b"}}\n");
}

/// Data of an error; if no field is set, the error is written without data.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ErrorData {
    /// Time after which the client may retry at this server, in ms.
    pub retry_after_ms: Option<f64>,
    /// Whether the client should not retry at another server either.
    pub do_not_retry_elsewhere: bool,
    /// Advertised capacity of the server.
    pub advertised_capacity: Option<f64>,
}

impl ErrorData {
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Writes an error; an `id` of `None` stands for a message whose id could not be read.
pub fn write_error(out: &mut Vec<u8>, id: Option<RpcId>, code: i32, message: &str, data: ErrorData) {
    write_head(out, id);
    append(out, format_args!(",\"error\":{{\"code\":{code},\"message\":"));
    write_text(out, message);
    if !data.is_empty() {
        out.extend_from_slice(b",\"data\":");
        let from = out.len();
        write_field(out, "holdoff", data.retry_after_ms);
        write_field(out, "nomore", data.do_not_retry_elsewhere.then_some(1.0));
        write_field(out, "signal", data.advertised_capacity);
        out[from] = b'{'; // Replaces the comma before the first field.
        out.push(b'}');
    }
    out.extend_from_slice(b"}}\n");
}

/// Writes the goodbye message: the server takes no more requests on this connection.
pub fn write_goodbye(out: &mut Vec<u8>) {
    out.extend_from_slice(b"{\"jsonrpc\":\"2.0\",\"method\":\"farewell\"}\n");
}

/// Writes the begin of a message, up to its id.
fn write_head(out: &mut Vec<u8>, id: Option<RpcId>) {
    match id {
        Some(RpcId(id)) => append(out, format_args!("{{\"jsonrpc\":\"2.0\",\"id\":{id}")),
        None => out.extend_from_slice(b"{\"jsonrpc\":\"2.0\",\"id\":null"),
    }
}

/// Writes a comma and a field, or nothing if there is no value.
fn write_field(out: &mut Vec<u8>, name: &str, value: Option<f64>) {
    if let Some(value) = value {
        append(out, format_args!(",\"{name}\":{value}"));
    }
}
