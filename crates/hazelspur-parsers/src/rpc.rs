//! What goes out to gateways: JSON-RPC 2.0, one message a line. What comes in is read with `Json`.

use crate::json::write_text;
use crate::put;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;

/// A request's id on its connection.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RpcId(pub u64);

pub const NACKED: i32 = -32011;
pub const FAILED: i32 = -32000;
pub const NOT_JSON: i32 = -32700;
pub const NOT_VALID: i32 = -32600;
pub const NO_METHOD: i32 = -32601;
pub const BAD_PARAMS: i32 = -32602;

pub fn body(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

pub fn result(out: &mut Vec<u8>, id: RpcId, data: &[u8], signal: Option<f64>) {
    head(out, Some(id));
    out.extend_from_slice(b",\"result\":{\"data\":\"");
    out.extend_from_slice(STANDARD.encode(data).as_bytes());
    out.push(b'"');
    field(out, "signal", signal);
    out.extend_from_slice(b"}}\n");
}

pub fn check(out: &mut Vec<u8>, id: RpcId, ready: bool, signal: Option<f64>) {
    head(out, Some(id));
    put(out, format_args!(",\"result\":{{\"ready\":{ready}"));
    field(out, "signal", signal);
    out.extend_from_slice(b"}}\n");
}

/// An error; `holdoff` in milliseconds and `nomore` go with a refusal.
pub fn error(
    out: &mut Vec<u8>,
    id: Option<RpcId>,
    code: i32,
    message: &str,
    holdoff: Option<f64>,
    nomore: bool,
    signal: Option<f64>,
) {
    head(out, id);
    put(out, format_args!(",\"error\":{{\"code\":{code},\"message\":"));
    write_text(out, message);
    if holdoff.is_some() || nomore || signal.is_some() {
        out.extend_from_slice(b",\"data\":");
        let from = out.len();
        field(out, "holdoff", holdoff);
        field(out, "nomore", nomore.then_some(1.0));
        field(out, "signal", signal);
        out[from] = b'{'; // in place of the first comma
        out.push(b'}');
    }
    out.extend_from_slice(b"}}\n");
}

pub fn farewell(out: &mut Vec<u8>) {
    out.extend_from_slice(b"{\"jsonrpc\":\"2.0\",\"method\":\"farewell\"}\n");
}

fn head(out: &mut Vec<u8>, id: Option<RpcId>) {
    match id {
        Some(RpcId(id)) => put(out, format_args!("{{\"jsonrpc\":\"2.0\",\"id\":{id}")),
        None => out.extend_from_slice(b"{\"jsonrpc\":\"2.0\",\"id\":null"),
    }
}

fn field(out: &mut Vec<u8>, name: &str, value: Option<f64>) {
    if let Some(value) = value {
        put(out, format_args!(",\"{name}\":{value}"));
    }
}
