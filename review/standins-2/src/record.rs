//! The record of a case: what was sent, answered and run, with the time since the start.

use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:>6} ms  {}", self.ms(), line.as_ref());
        self.lines.lock().unwrap_or_else(|e| e.into_inner()).push(line);
    }

    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        std::fs::write(path, lines.join("\n") + "\n")
    }
}
