//! Adapter between a test bench and `hazelspur::AdmissionController`. The bench is the external program at
//! the other end of standard input and output; the adapter runs one controller for each server of the bench.
//!
//! Reads the bench's lines on standard input, and answers each committed batch with the controllers'
//! decisions on standard output. Errors go to standard error. An error of one server is also reported to the
//! bench; any other error ends the adapter with exit status 2.

mod decision_line;
mod error;
mod event;
mod fields;
mod host;

use error::AdapterError;
use event::{Line, LineKind};
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Exit status after an error that belongs to no server.
const ERROR_STATUS: u8 = 2;
/// Maximum length of the part of a rejected line that is shown, in characters.
const MAX_SHOWN_CHARS: usize = 200;

fn main() -> ExitCode {
    // Panics of a controller are reported to the bench, so the default message on standard error is
    // suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) if !host.is_in_batch() => return ExitCode::SUCCESS,
            Ok(0) => return exit_with_error(number, &AdapterError::InputEnded, ""),
            Err(error) => return exit_with_error(number, &AdapterError::InputFailed(error), ""),
            Ok(_) => {}
        }
        let Ok(text) = std::str::from_utf8(&line) else {
            return exit_with_error(number, &AdapterError::NotUtf8, "");
        };
        let text = text.trim_end_matches(['\n', '\r']);
        match process_line(&mut host, number, text) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                // A bench that reads no more replies has ended, which is not an error of the adapter.
                if output.write_all(reply.as_bytes()).and_then(|()| output.flush()).is_err() {
                    return ExitCode::SUCCESS;
                }
            }
            Err(error) => return exit_with_error(number, &error, text),
        }
    }
    ExitCode::SUCCESS
}

/// Processes a line and returns the reply if the line commits a batch.
///
/// # Errors
/// Returns an error that belongs to no server. An error of one server becomes part of the reply.
fn process_line(host: &mut Host, number: u64, text: &str) -> Result<Option<String>, AdapterError> {
    let line = Line::parse(text);
    if let Err(rejected) = host.process_line(line) {
        let Some(server) = rejected.server else { return Err(rejected.error) };
        log_error(number, &rejected.error, text);
        host.include_in_reply(&server, Some(rejected.error));
    }
    if line.kind != LineKind::Commit {
        return Ok(None);
    }
    let mut reply = String::new();
    host.write_reply(&mut reply);
    Ok(Some(reply))
}

/// Writes an error to standard error, with the begin of the line that caused it.
fn log_error(number: u64, error: &AdapterError, line: &str) {
    eprintln!("line {number}: {error}: {}", line.chars().take(MAX_SHOWN_CHARS).collect::<String>());
}

fn exit_with_error(number: u64, error: &AdapterError, line: &str) -> ExitCode {
    log_error(number, error, line);
    ExitCode::from(ERROR_STATUS)
}
