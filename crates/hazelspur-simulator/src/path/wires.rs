//! Wire protocols of the load generator: from a gateway to a server, and from a server to a worker. The
//! second one measures the time that the worker test double and the load generator take by themselves.

use crate::path::load::{Answer, Message, WireProtocol};
use crate::path::plan::{Arrival, request_class_name, tenant_name};
use serde_json::{Value, json};
use std::time::{SystemTime, UNIX_EPOCH};

/// Timeout of a request at its gateway, in ms.
const REQUEST_TIMEOUT_MS: u64 = 2000;
/// Memory that a request asks for, in kB.
const REQUEST_MEMORY_KB: f64 = 24.5;
/// Number of distinct callers that the requests name in turn.
const CALLERS: usize = 64;

/// Error code of a rejected request.
const REJECTED_CODE: i64 = -32011;
/// Error code of an unknown request class.
const UNKNOWN_REQUEST_CLASS_CODE: i64 = -32601;
/// Error code of invalid parameters.
const INVALID_PARAMETERS_CODE: i64 = -32602;
/// Error message of an unknown tenant, which shares its code with other invalid parameters.
const UNKNOWN_TENANT_MESSAGE: &str = "owner is not known";

/// JSON-RPC lines to a server. The `run` number is part of each request id, so that the ids of two runs
/// differ.
#[derive(Clone, Debug)]
pub struct GatewayProtocol {
    run: u32,
    /// Body of every request, in base64.
    data: String,
}

impl GatewayProtocol {
    /// Returns the protocol for one run, with bodies of `body_bytes`, rounded down to a multiple of 3.
    pub fn new(run: u32, body_bytes: usize) -> Self {
        Self { run, data: "aGF6".repeat(body_bytes / 3) }
    }

    /// Returns a readable description of an answer line: "answered", or the kind with error code and message.
    pub fn describe(line: &[u8]) -> String {
        let message: Value = serde_json::from_slice(line).unwrap_or(Value::Null);
        let (code, text) = (message["error"]["code"].as_i64(), message["error"]["message"].as_str());
        match (read_answer(&message), code) {
            (Answer::Acked, _) => "answered".into(),
            (kind, code) => format!("{kind:?} ({} {})", code.unwrap_or(0), text.unwrap_or("")).to_lowercase(),
        }
    }
}

fn read_answer(message: &Value) -> Answer {
    let error = &message["error"];
    match error["code"].as_i64() {
        None if message["result"].is_object() => Answer::Acked,
        Some(REJECTED_CODE) => Answer::Refused,
        Some(UNKNOWN_REQUEST_CLASS_CODE) => Answer::Unknown,
        Some(INVALID_PARAMETERS_CODE) if error["message"].as_str() == Some(UNKNOWN_TENANT_MESSAGE) => {
            Answer::Unknown
        }
        _ => Answer::Failed,
    }
}

impl WireProtocol for GatewayProtocol {
    fn greeting(&self) -> Vec<u8> {
        Vec::new()
    }

    fn encode_request(&self, number: usize, arrival: &Arrival) -> Vec<u8> {
        let ts = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let line = json!({"jsonrpc": "2.0", "id": number + 1,
            "method": request_class_name(arrival.request_class),
            "params": {"req": format!("{:08x}{number:08x}", self.run), "ts": ts, "via": number % CALLERS,
                "timeout": REQUEST_TIMEOUT_MS, "need": REQUEST_MEMORY_KB, "level": 0.5,
                "owner": tenant_name(arrival.tenant), "data": self.data}});
        format!("{line}\n").into_bytes()
    }

    fn decode_message(&self, unread: &[u8]) -> Option<(usize, Message)> {
        let end = unread.iter().position(|b| *b == b'\n')? + 1;
        let line: Value = serde_json::from_slice(&unread[..end]).unwrap_or(Value::Null);
        let message = match line["id"].as_u64().filter(|id| *id > 0) {
            Some(id) => {
                let answer = read_answer(&line);
                let body_differs =
                    answer == Answer::Acked && line["result"]["data"].as_str() != Some(&self.data);
                Message::Answer(id as usize - 1, if body_differs { Answer::Failed } else { answer })
            }
            // A goodbye message, or an error of the connection itself: the server closes the connection.
            None => Message::Closing,
        };
        Some((end, message))
    }
}

/// Protocol that a server speaks to its worker. The `run` number is part of each request id.
#[derive(Clone, Debug)]
pub struct WorkerProtocol {
    run: u32,
    body: Vec<u8>,
}

impl WorkerProtocol {
    /// Returns the protocol for one run, with bodies of `body_bytes`, rounded down to a multiple of 3.
    pub fn new(run: u32, body_bytes: usize) -> Self {
        Self { run, body: b"haz".repeat(body_bytes / 3) }
    }
}

impl WireProtocol for WorkerProtocol {
    fn greeting(&self) -> Vec<u8> {
        b"sync 0\r\n".to_vec()
    }

    fn encode_request(&self, number: usize, arrival: &Arrival) -> Vec<u8> {
        let (name, length) = (request_class_name(arrival.request_class), self.body.len());
        let mut out = format!("start {:08x}{number:08x} {name} {length}\r\n", self.run).into_bytes();
        out.extend_from_slice(&self.body);
        out.extend_from_slice(b"\r\n");
        out
    }

    fn decode_message(&self, unread: &[u8]) -> Option<(usize, Message)> {
        let end = unread.iter().position(|b| *b == b'\n')? + 1;
        let line = String::from_utf8_lossy(&unread[..end]);
        let words: Vec<&str> = line.split_whitespace().collect();
        let ["end", _, id, result, _, length] = words[..] else { return Some((end, Message::Other)) };
        let total_length = end + length.parse::<usize>().unwrap_or(0) + 2;
        if unread.len() < total_length {
            return None;
        }
        let id = u64::from_str_radix(id, 16).unwrap_or(u64::MAX);
        if (id >> 32) as u32 != self.run {
            return Some((total_length, Message::Other));
        }
        let answer = if result == "complete" { Answer::Acked } else { Answer::Failed };
        Some((total_length, Message::Answer((id & 0xffff_ffff) as usize, answer)))
    }
}
