//! One line on standard error for each record, at most so many in a stretch of time.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

const STRETCH_MS: u64 = 10_000;
const MOST_LINES: u64 = 400;

struct Lines {
    stretch: AtomicU64,
    written: AtomicU64,
}

static LINES: Lines = Lines { stretch: AtomicU64::new(0), written: AtomicU64::new(0) };

/// `level` is one of the `log` crate's names; anything else stands for `info`.
pub fn begin(level: &str) {
    log::set_max_level(level.parse().unwrap_or(LevelFilter::Info));
    log::set_logger(&LINES).expect("the one logger");
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ms = since.as_millis() as u64;
        if self.stretch.swap(ms / STRETCH_MS, Ordering::Relaxed) != ms / STRETCH_MS {
            let left_out = self.written.swap(0, Ordering::Relaxed).saturating_sub(MOST_LINES);
            if left_out > 0 {
                write(ms, &format!("logger lines_left_out={left_out}"));
            }
        }
        if self.written.fetch_add(1, Ordering::Relaxed) < MOST_LINES || record.level() > log::Level::Info {
            write(ms, &format!("{} {}", record.level().as_str().to_lowercase(), record.args()));
        }
    }

    fn flush(&self) {}
}

/// A reader of the log that is gone stops nothing.
fn write(ms: u64, text: &str) {
    let text: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(500).collect();
    let _ = writeln!(std::io::stderr(), "{}.{:03} {text}", ms / 1000, ms % 1000);
}
