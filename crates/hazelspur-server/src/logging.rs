//! Log lines on standard error, as text or JSON, with a bound on lines per interval.
//!
//! Invariant: writing a line never waits for the reader of standard error and never ends the process. Lines
//! that would break it are dropped and counted.

use crate::config::command::LogFormat;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::io::Write;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// The interval for which lines are counted, in milliseconds.
const INTERVAL_MS: u64 = 10_000;
/// The most lines in an interval. Lines below the level `info` are written even beyond this bound.
const MAX_LINES_PER_INTERVAL: u64 = 400;
/// The longest message with its key-values, in characters, in the text format.
const MAX_LINE_LENGTH: usize = 1000;
/// Milliseconds in a second.
const MS_PER_SECOND: u64 = 1000;

/// A logger that drops lines over the bound and lines that standard error cannot take, and logs their number.
struct BoundedLogger {
    printer: Box<dyn Log>,
    /// The number of the current interval, counted from the Unix epoch.
    interval: AtomicU64,
    /// Lines in the current interval, including those over the bound.
    lines_in_interval: AtomicU64,
    /// Lines dropped since the last report because standard error was not writable.
    unwritten_lines: AtomicU64,
}

/// Installs the logger and a panic hook that logs.
///
/// `level` is a level name of the `log` crate; any other text stands for `info`.
///
/// # Panics
/// Panics if a logger is installed already.
pub fn init(level: &str, format: LogFormat) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    log::set_max_level(level);
    let logger = BoundedLogger {
        printer: printer(level, format),
        interval: AtomicU64::new(0),
        lines_in_interval: AtomicU64::new(0),
        unwritten_lines: AtomicU64::new(0),
    };
    log::set_boxed_logger(Box::new(logger)).expect("no other logger is installed");
    // The default panic hook would block until standard error is read.
    std::panic::set_hook(Box::new(|panic| log::error!(what:% = panic; "panic")));
}

fn printer(level: LevelFilter, format: LogFormat) -> Box<dyn Log> {
    match format {
        LogFormat::Text => {
            let mut text = env_logger::Builder::new();
            text.filter_level(level).format(write_line).target(env_logger::Target::Stderr);
            Box::new(text.build())
        }
        LogFormat::Json => {
            let writer = structured_logger::json::new_writer(std::io::stderr());
            let json = structured_logger::Builder::with_level(level.as_str()).with_default_writer(writer);
            Box::new(json.build())
        }
    }
}

/// Returns whether a line can be written without blocking: a writable pipe has room for at least one page.
fn stderr_is_writable() -> bool {
    let stderr = std::io::stderr();
    let mut stderr = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    let is_ready = poll(&mut stderr, PollTimeout::ZERO).is_ok_and(|ready| ready > 0);
    is_ready && stderr[0].revents() == Some(PollFlags::POLLOUT)
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Formats key-values as ` key=value`, with quotes around values that are empty or contain blanks or quotes.
struct KeyValueFormatter(String);

impl<'kvs> VisitSource<'kvs> for KeyValueFormatter {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        let needs_quotes = value.contains([' ', '"']) || value.is_empty();
        self.0 += &if needs_quotes { format!(" {key}={value:?}") } else { format!(" {key}={value}") };
        Ok(())
    }
}

/// Writes `seconds level message key=value ...`, cut to a bounded length and with control characters blanked.
fn write_line(out: &mut env_logger::fmt::Formatter, record: &Record) -> std::io::Result<()> {
    let mut pairs = KeyValueFormatter(String::new());
    let _ = record.key_values().visit(&mut pairs);
    let text = format!("{}{}", record.args(), pairs.0);
    let text: String =
        text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(MAX_LINE_LENGTH).collect();
    let (ms, level) = (now_ms(), record.level().as_str().to_lowercase());
    writeln!(out, "{}.{:03} {level} {text}", ms / MS_PER_SECOND, ms % MS_PER_SECOND)
}

impl BoundedLogger {
    /// Starts a new interval if the current one is over, and logs how many lines were dropped in it.
    fn advance_interval(&self) {
        let interval = now_ms() / INTERVAL_MS;
        if self.interval.swap(interval, Ordering::Relaxed) == interval {
            return;
        }
        let over_bound =
            self.lines_in_interval.swap(0, Ordering::Relaxed).saturating_sub(MAX_LINES_PER_INTERVAL);
        let dropped = over_bound + self.unwritten_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let text = format_args!("log lines dropped lines_left_out={dropped}");
            self.printer.log(&Record::builder().level(log::Level::Warn).args(text).build());
        }
    }

    fn is_within_bound(&self) -> bool {
        self.lines_in_interval.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_INTERVAL
    }
}

impl Log for BoundedLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !stderr_is_writable() {
            self.unwritten_lines.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.advance_interval();
        if self.is_within_bound() || record.level() > log::Level::Info {
            self.printer.log(record);
        }
    }

    fn flush(&self) {
        self.printer.flush();
    }
}
