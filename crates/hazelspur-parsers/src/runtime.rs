//! Protocol of the link to the worker process, which the configuration calls `runtime`.
//!
//! A message is a line of words separated by spaces. If the last word is a length, a body of that many bytes
//! and a line end follow the line. `read` decodes the worker's messages, and the `write_*` functions encode
//! the server's.

use crate::append;
use thiserror::Error;

/// Maximum length of an incomplete line, in bytes.
const MAX_LINE_BYTES: usize = 8 * 1024;
/// Maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum length of the part of an unreadable line that the error shows, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// Error in a message of the worker. The link cannot be used any further.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RuntimeProtocolError {
    /// A line has no line end within the maximum length.
    #[error("line exceeds {max_bytes} bytes")]
    LineTooLong {
        /// Maximum length of a line, in bytes.
        max_bytes: usize,
    },
    /// A line is not a known message, or a number in it is malformed or out of range.
    #[error("unreadable line: {line}")]
    UnreadableLine {
        /// First characters of the line.
        line: String,
    },
    /// A body is not followed by a line end.
    #[error("no line end after the body of: {line}")]
    UnterminatedBody {
        /// Line before the body.
        line: String,
    },
}

/// Handler of the decoded messages of the worker.
pub trait MessageHandler {
    /// Handles `ready`: the worker is up, has warmed up or not, and was started `uptime_ms` ago.
    fn ready(&mut self, is_warm: bool, uptime_ms: u64);
    /// Handles `end`: the run of the request `id` ended with an outcome, which is a word of the protocol, and
    /// a result. `number` is the number of the message.
    fn run_ended(&mut self, number: u64, id: &str, outcome: &str, result: &[u8]);
    /// Handles `wants`: the run of the request `id` requests a dependency call with the given body.
    fn call_requested(&mut self, number: u64, id: &str, body: &[u8]);
    /// Handles `load`: the values of the gauges that were requested with the given tag.
    fn gauges_received(&mut self, tag: &str, values: &[f64]);
    /// Handles `nack`: the worker rejected a command for the request `id`.
    fn command_rejected(&mut self, command: &str, id: &str);
    /// Handles `info`: a text for the log.
    fn info(&mut self, number: u64, text: &str);
}

/// Message of the worker, without its line.
struct Message<'a> {
    /// Body, empty if the message has none.
    body: &'a [u8],
    /// Length of the whole message with its line, in bytes.
    length: usize,
}

/// Passes the first message of `bytes` to the handler and returns its length in bytes; `None` while the
/// message is incomplete.
///
/// # Errors
/// Returns an error if the message is malformed or exceeds a bound.
pub fn read(bytes: &[u8], handler: &mut impl MessageHandler) -> Result<Option<usize>, RuntimeProtocolError> {
    let Some(line_end) = bytes.iter().position(|b| *b == b'\n') else {
        if bytes.len() > MAX_LINE_BYTES {
            return Err(RuntimeProtocolError::LineTooLong { max_bytes: MAX_LINE_BYTES });
        }
        return Ok(None);
    };
    // The text of `info` may contain any bytes; the words of other messages are checked one by one.
    let line = String::from_utf8_lossy(&bytes[..line_end]);
    let line = line.trim_end_matches('\r');
    let words: Vec<&str> = line.split(' ').collect();
    let Some(message) = split_message(bytes, line_end + 1, line, &words)? else { return Ok(None) };
    dispatch(line, &words, message.body, handler)?;
    Ok(Some(message.length))
}

/// Returns the body after a line and the length of the message; `None` while the body is incomplete.
fn split_message<'a>(
    bytes: &'a [u8],
    line_length: usize,
    line: &str,
    words: &[&str],
) -> Result<Option<Message<'a>>, RuntimeProtocolError> {
    let ["end" | "wants", .., length] = words else {
        return Ok(Some(Message { body: &[], length: line_length }));
    };
    let length = length.parse().ok().filter(|length| *length <= MAX_BODY_BYTES);
    let length: usize = length.ok_or_else(|| unreadable_line(line))?;
    let Some(rest) = bytes.get(line_length..line_length + length + 2) else { return Ok(None) };
    let (body, tail) = rest.split_at(length);
    if tail != b"\r\n" {
        return Err(RuntimeProtocolError::UnterminatedBody { line: line.to_string() });
    }
    Ok(Some(Message { body, length: line_length + length + 2 }))
}

/// Calls the handler's method for the message.
fn dispatch(
    line: &str,
    words: &[&str],
    body: &[u8],
    handler: &mut impl MessageHandler,
) -> Result<(), RuntimeProtocolError> {
    let parse_number = |word: &str| word.parse::<u64>().map_err(|_| unreadable_line(line));
    match *words {
        ["ready", state, ms] => handler.ready(state == "hot", parse_number(ms)?),
        ["end", number, id, outcome, _ms, _length] => {
            handler.run_ended(parse_number(number)?, id, outcome, body)
        }
        ["wants", number, id, _length] => handler.call_requested(parse_number(number)?, id, body),
        ["load", tag, ref values @ ..] => {
            let values: Option<Vec<f64>> = values.iter().map(|value| value.parse().ok()).collect();
            handler.gauges_received(tag, &values.ok_or_else(|| unreadable_line(line))?);
        }
        ["nack", command, id] => handler.command_rejected(command, id),
        ["info", number, ..] => {
            handler.info(parse_number(number)?, line.splitn(3, ' ').nth(2).unwrap_or_default());
        }
        _ => return Err(unreadable_line(line)),
    }
    Ok(())
}

fn unreadable_line(line: &str) -> RuntimeProtocolError {
    RuntimeProtocolError::UnreadableLine { line: line.chars().take(MAX_SHOWN_CHARS).collect() }
}

/// Writes a request for all messages after the one with the number `last`.
pub fn write_sync(out: &mut Vec<u8>, last: u64) {
    append(out, format_args!("sync {last}\r\n"));
}

/// Writes the command to start the run of a request, or to resume a paused one.
pub fn write_start(out: &mut Vec<u8>, id: &str, class: &str, body: &[u8]) {
    append(out, format_args!("start {id} {class} {}\r\n", body.len()));
    append_body(out, body);
}

/// Writes the command to stop the run of a request.
pub fn write_stop(out: &mut Vec<u8>, id: &str) {
    append(out, format_args!("stop {id}\r\n"));
}

/// Writes the reply of a dependency call, for the run that requested it.
pub fn write_call_reply(out: &mut Vec<u8>, id: &str, reply: &[u8]) {
    append(out, format_args!("give {id} {}\r\n", reply.len()));
    append_body(out, reply);
}

/// Writes a request for the values of the gauges; the answer carries the tag.
pub fn write_gauges_request(out: &mut Vec<u8>, tag: &str) {
    append(out, format_args!("gauges {tag}\r\n"));
}

fn append_body(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}
