//! One connection of a client: sends the messages of its plan until the server closes the connection, and
//! records each answer and the close with the earliest time at which it can have arrived.

use super::plan::{Class, Client, Message};
use hazelspur_test_doubles::arrival::ArrivalReader;
use hazelspur_test_doubles::now_ms;
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// Timeout that each request states, in milliseconds from its planned sending.
pub const REQUEST_TIMEOUT_MS: u64 = 2000;
/// Pause between two checks for received bytes and due messages.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longest time that a write may block.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Kind of answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A result.
    Success,
    /// Error -32011: the request never ran.
    Rejected,
    /// Any other error.
    Failed,
}

/// Request that was written completely, or a health check.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Id of the request at the worker; empty for a health check.
    pub request: String,
    /// Request class; `None` for a health check.
    pub class: Option<Class>,
    /// Name of the effect; requests with the same name must take effect once.
    pub effect: String,
    /// Time just before the last byte was written, in Unix milliseconds; `u64::MAX` if writing failed.
    pub sent_ms: u64,
    /// Time at which the answer is due, in Unix milliseconds.
    pub due_ms: u64,
    /// Answers, each with the earliest time at which it can have arrived, in Unix milliseconds.
    pub answers: Vec<(Answer, u64)>,
}

/// Record of one connection.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    /// Whether the server accepted the connection.
    pub connected: bool,
    /// Requests and health checks in order of their ids, which count from 1.
    pub sent: Vec<Sent>,
    /// Earliest time at which the server can have closed the connection, in Unix milliseconds; `None` if it
    /// did not.
    pub closed_ms: Option<u64>,
    /// Whether the connection ended with an error, such as a reset.
    pub reset: bool,
    /// Number of answers that are not valid JSON or whose id belongs to no request.
    pub unmatched_answers: usize,
}

/// Address and times that all clients of a run share.
#[derive(Clone, Debug)]
pub struct RunContext {
    /// Address of the server.
    pub server: SocketAddr,
    /// Time at which SIGTERM is due, in Unix milliseconds.
    pub notice_due_ms: u64,
    /// Time at which clients give up, in Unix milliseconds.
    pub give_up_ms: u64,
}

impl RunContext {
    fn unix_ms(&self, at_ms: i64) -> u64 {
        self.notice_due_ms.saturating_add_signed(at_ms)
    }
}

/// Text to be written at one time: a message or half of one.
struct TextPiece {
    at_ms: u64,
    text: String,
    /// Message that is complete once this text is written; `None` for a first half.
    completed: Option<Sent>,
}

fn request_line(id: usize, sent: &Sent, class: Class, key: u32, timestamp_ms: u64) -> String {
    use base64::Engine as _;
    let method = match class {
        Class::View => "view",
        Class::Book => "book",
        Class::Pay => "pay",
    };
    let key = if class == Class::Book { format!(r#","opkey":"k{key}""#) } else { String::new() };
    let data = base64::engine::general_purpose::STANDARD.encode(&sent.effect);
    let request = &sent.request;
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"{method}","params":{{"req":"{request}","ts":{timestamp_ms},"via":1,"timeout":{REQUEST_TIMEOUT_MS},"need":20.5,"level":0.5,"data":"{data}"{key}}}}}"#
    ) + "\n"
}

/// Returns the texts of all messages of a client, in the order of its plan. The ids of the messages count
/// from 1.
fn pieces(context: &RunContext, client_index: usize, client: &Client) -> Vec<TextPiece> {
    let mut pieces = Vec::new();
    for (index, send) in client.sends.iter().enumerate() {
        let (id, at_ms) = (index + 1, context.unix_ms(send.at_ms));
        let request = format!("{:08x}{id:08x}", client_index + 1);
        let sent = |class, effect| Sent {
            request: request.clone(),
            class,
            effect,
            sent_ms: 0,
            due_ms: at_ms + REQUEST_TIMEOUT_MS,
            answers: Vec::new(),
        };
        let effect = |class| match class {
            Class::Book => format!("book-{}", send.key),
            Class::View | Class::Pay => format!("{class:?}-{request}"),
        };
        match send.message {
            Message::Check => {
                let text = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"check\"}}\n");
                let completed = Sent { request: String::new(), ..sent(None, String::new()) };
                pieces.push(TextPiece { at_ms, text, completed: Some(completed) });
            }
            Message::Whole(class) => {
                let sent = sent(Some(class), effect(class));
                let text = request_line(id, &sent, class, send.key, at_ms);
                pieces.push(TextPiece { at_ms, text, completed: Some(sent) });
            }
            Message::Halves(class, pause_ms) => {
                let sent = sent(Some(class), effect(class));
                let text = request_line(id, &sent, class, send.key, at_ms);
                let (first, second) = text.split_at(text.len() / 2);
                pieces.push(TextPiece { at_ms, text: first.into(), completed: None });
                let at_ms = at_ms.saturating_add_signed(pause_ms);
                pieces.push(TextPiece { at_ms, text: second.into(), completed: Some(sent) });
            }
        }
    }
    pieces
}

/// Connects as one client and follows its plan until the connection ends or the run is over.
pub fn play(context: &RunContext, client_index: usize, client: &Client) -> Connection {
    wait_until(context.unix_ms(client.at_ms));
    let Ok(stream) = TcpStream::connect(context.server) else { return Connection::default() };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let mut connection = Connection { connected: true, ..Connection::default() };
    // A piece is written only after all earlier ones, as a gateway writes one line after the other.
    let mut pieces = pieces(context, client_index, client).into_iter().peekable();
    let mut reader = ArrivalReader::new(&stream);
    let mut unread = Vec::new();
    while now_ms() < context.give_up_ms {
        if client.read_pause_ms > 0 {
            sleep(Duration::from_millis(client.read_pause_ms));
        }
        let is_open = connection.closed_ms.is_none();
        let has_ended = !is_open || read_available(&mut reader, &mut unread, &mut connection);
        if has_ended && (!client.sends_after_close || pieces.peek().is_none()) {
            break;
        }
        while let Some(piece) = pieces.next_if(|piece| piece.at_ms <= now_ms()) {
            write(&stream, piece, &mut connection);
        }
        sleep(POLL_INTERVAL);
    }
    connection
}

fn write(mut stream: &TcpStream, piece: TextPiece, connection: &mut Connection) {
    let sent_ms = now_ms();
    let is_written = stream.write_all(piece.text.as_bytes()).is_ok();
    if let Some(sent) = piece.completed {
        // The position in `sent` is the id of the message minus 1, so one that could not be written takes its
        // place too.
        let sent_ms = if is_written { sent_ms } else { u64::MAX };
        connection.sent.push(Sent { sent_ms, ..sent });
    }
}

/// Reads and records all available bytes; returns whether the connection has ended.
fn read_available(reader: &mut ArrivalReader<'_>, unread: &mut Vec<u8>, connection: &mut Connection) -> bool {
    let mut chunk = [0; READ_BYTES];
    loop {
        match reader.read_available(&mut chunk) {
            Ok(None) => return false,
            Ok(Some(count @ 1..)) => unread.extend_from_slice(&chunk[..count]),
            Ok(Some(0)) => {
                connection.closed_ms = Some(reader.arrived_after_ms());
                return true;
            }
            Err(_) => {
                (connection.closed_ms, connection.reset) = (Some(reader.arrived_after_ms()), true);
                return true;
            }
        }
        while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = unread.drain(..=end).collect();
            record_answer(&line, reader.arrived_after_ms(), connection);
        }
    }
}

fn record_answer(line: &[u8], answered_ms: u64, connection: &mut Connection) {
    let Ok(value) = serde_json::from_slice::<Value>(line) else {
        connection.unmatched_answers += 1;
        return;
    };
    let Some(id) = value.get("id").and_then(Value::as_u64) else { return };
    let answer = match value.pointer("/error/code").and_then(Value::as_i64) {
        None => Answer::Success,
        Some(-32011) => Answer::Rejected,
        Some(_) => Answer::Failed,
    };
    let index = (id as usize).wrapping_sub(1);
    match connection.sent.get_mut(index) {
        Some(sent) => sent.answers.push((answer, answered_ms)),
        None => connection.unmatched_answers += 1,
    }
}

fn wait_until(at_ms: u64) {
    let remaining_ms = at_ms.saturating_sub(now_ms());
    sleep(Duration::from_millis(remaining_ms));
}
