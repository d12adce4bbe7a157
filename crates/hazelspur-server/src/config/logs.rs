//! Log lines on standard error, printed as text or JSON by libraries, at most so many in a stretch of time.

use crate::config::command::Format;
use log::{LevelFilter, Log, Metadata, Record};
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::io::Write;
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

const STRETCH_MS: u64 = 10_000;
const MAX_LINES: u64 = 400;
const LONGEST_LINE: usize = 1000;

struct Bounded {
    printer: Box<dyn Log>,
    stretch: AtomicU64,
    written: AtomicU64,
    /// Lines that nobody took.
    lost: AtomicU64,
}

/// `level` is one of the `log` crate's names; anything else stands for `info`.
pub fn begin(level: &str, format: Format) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let printer: Box<dyn Log> = match format {
        Format::Text => {
            let mut text = env_logger::Builder::new();
            text.filter_level(level).format(line).target(env_logger::Target::Stderr);
            Box::new(text.build())
        }
        Format::Json => {
            let writer = structured_logger::json::new_writer(std::io::stderr());
            let json = structured_logger::Builder::with_level(level.as_str()).with_default_writer(writer);
            Box::new(json.build())
        }
    };
    log::set_max_level(level);
    let bounded =
        Bounded { printer, stretch: AtomicU64::new(0), written: AtomicU64::new(0), lost: AtomicU64::new(0) };
    log::set_boxed_logger(Box::new(bounded)).expect("the one logger");
    // The usual hook writes to standard error whether that is read or not.
    std::panic::set_hook(Box::new(|panic| log::error!(what:% = panic; "panic")));
}

/// Whether a line can be written without waiting. A reader of standard error that has stopped must not stop
/// the one thread, and one that is gone must not end it; a pipe that says yes takes a page.
fn takes_a_line() -> bool {
    let stderr = std::io::stderr();
    let mut stderr = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
    let ready = poll(&mut stderr, PollTimeout::ZERO).is_ok_and(|ready| ready > 0);
    ready && stderr[0].revents() == Some(PollFlags::POLLOUT)
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// `seconds level message key=value ...`, without control characters and of a bounded length.
fn line(out: &mut env_logger::fmt::Formatter, record: &Record) -> std::io::Result<()> {
    struct Pairs(String);
    impl<'kvs> log::kv::VisitSource<'kvs> for Pairs {
        fn visit_pair(
            &mut self,
            key: log::kv::Key<'kvs>,
            value: log::kv::Value<'kvs>,
        ) -> Result<(), log::kv::Error> {
            let value = value.to_string();
            let quoted = value.contains([' ', '"']) || value.is_empty();
            self.0 += &if quoted { format!(" {key}={value:?}") } else { format!(" {key}={value}") };
            Ok(())
        }
    }
    let mut pairs = Pairs(String::new());
    let _ = record.key_values().visit(&mut pairs);
    let text = format!("{}{}", record.args(), pairs.0);
    let text: String =
        text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(LONGEST_LINE).collect();
    let (ms, level) = (now_ms(), record.level().as_str().to_lowercase());
    writeln!(out, "{}.{:03} {level} {text}", ms / 1000, ms % 1000)
}

impl Log for Bounded {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !takes_a_line() {
            self.lost.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let stretch = now_ms() / STRETCH_MS;
        if self.stretch.swap(stretch, Ordering::Relaxed) != stretch {
            let left_out = self.written.swap(0, Ordering::Relaxed).saturating_sub(MAX_LINES)
                + self.lost.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                let text = format_args!("logger lines_left_out={left_out}");
                self.printer.log(&Record::builder().level(log::Level::Warn).args(text).build());
            }
        }
        if self.written.fetch_add(1, Ordering::Relaxed) < MAX_LINES || record.level() > log::Level::Info {
            self.printer.log(record);
        }
    }

    fn flush(&self) {
        self.printer.flush();
    }
}
