//! The protocol of the link to the worker process (the configuration's `runtime`): lines of words. Where the last word of a line is a length, so many bytes and a line
//! end follow.

use crate::append;
use thiserror::Error;

/// The longest line, in bytes.
const MAX_LINE_BYTES: usize = 8 * 1024;
/// The longest body that follows a line, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// The longest part of an unreadable line that its error shows, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// Why a message of the runtime can't be read; the link can't go on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RuntimeProtocolError {
    /// No line end within the longest line.
    #[error("a line of over {max_bytes} bytes")]
    LineTooLong {
        /// The longest line, in bytes.
        max_bytes: usize,
    },
    /// The line is none of the messages.
    #[error("an unreadable line: {line}")]
    UnreadableLine {
        /// The begin of the line.
        line: String,
    },
    /// The body does not end with a line end.
    #[error("no line end after a body: {line}")]
    UnterminatedBody {
        /// The line before the body.
        line: String,
    },
}

/// Takes the decoded messages.
pub trait MessageHandler {
    /// The runtime is up: whether it is warm, and for how long it has run, in ms.
    fn ready(&mut self, is_warm: bool, uptime_ms: u64);
    /// A run ended: its message number, request, outcome word and result.
    fn run_ended(&mut self, number: u64, id: &str, outcome: &str, result: &[u8]);
    /// A run requests a dependency call with this body.
    fn call_requested(&mut self, number: u64, id: &str, body: &[u8]);
    /// Gauges, as requested under this tag.
    fn gauges_received(&mut self, tag: &str, values: &[f64]);
    /// The runtime rejected a command for a request.
    fn command_rejected(&mut self, command: &str, id: &str);
    /// A remark for the log.
    fn info(&mut self, number: u64, text: &str);
}

/// A line and the body that follows it.
struct Message<'a> {
    body: &'a [u8],
    /// Length of the whole message, in bytes.
    length: usize,
}

/// Passes the first message of `bytes` to the handler and returns its length; `None` while it is incomplete.
///
/// # Errors
/// A message that can't be read.
pub fn read(bytes: &[u8], handler: &mut impl MessageHandler) -> Result<Option<usize>, RuntimeProtocolError> {
    let Some(line_end) = bytes.iter().position(|b| *b == b'\n') else {
        if bytes.len() > MAX_LINE_BYTES {
            return Err(RuntimeProtocolError::LineTooLong { max_bytes: MAX_LINE_BYTES });
        }
        return Ok(None);
    };
    // A remark may be any bytes; the words of the others are checked one by one.
    let line = String::from_utf8_lossy(&bytes[..line_end]);
    let line = line.trim_end_matches('\r');
    let words: Vec<&str> = line.split(' ').collect();
    let Some(message) = split_message(bytes, line_end + 1, line, &words)? else { return Ok(None) };
    dispatch(line, &words, message.body, handler)?;
    Ok(Some(message.length))
}

/// The body after a line and where it ends; `None` while it is incomplete.
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

/// Asks for all messages after the one of this number.
pub fn write_sync(out: &mut Vec<u8>, last: u64) {
    append(out, format_args!("sync {last}\r\n"));
}

/// Starts a run, or resumes a paused one.
pub fn write_start(out: &mut Vec<u8>, id: &str, class: &str, body: &[u8]) {
    append(out, format_args!("start {id} {class} {}\r\n", body.len()));
    append_body(out, body);
}

/// Stops a run.
pub fn write_stop(out: &mut Vec<u8>, id: &str) {
    append(out, format_args!("stop {id}\r\n"));
}

/// Passes the response of a dependency call to the run that requested it.
pub fn write_call_reply(out: &mut Vec<u8>, id: &str, reply: &[u8]) {
    append(out, format_args!("give {id} {}\r\n", reply.len()));
    append_body(out, reply);
}

/// Asks for the gauges; the answer carries the tag.
pub fn write_gauges_request(out: &mut Vec<u8>, tag: &str) {
    append(out, format_args!("gauges {tag}\r\n"));
}

fn append_body(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}
