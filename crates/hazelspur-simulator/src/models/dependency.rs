//! The shared ledger: so many slots; past them a call takes the square of the crowd over the slots as long,
//! by the crowd at its beginning. The law is that of `hazelspur_test_doubles::dependency`.

use hazelspur::Duration;

/// The shared dependency of all servers.
#[derive(Clone, Debug)]
pub struct SharedDependency {
    pub slots: f64,
    pub call_duration: Duration,
    /// By how many times all calls are slower now.
    pub slowdown: f64,
    pub down: bool,
    concurrent_calls: usize,
    pub max_concurrent_calls: usize,
    pub calls: u64,
}

impl SharedDependency {
    /// A healthy ledger without calls.
    pub fn new(slots: f64, call_duration: Duration) -> Self {
        Self {
            slots,
            call_duration,
            slowdown: 1.0,
            down: false,
            concurrent_calls: 0,
            max_concurrent_calls: 0,
            calls: 0,
        }
    }

    /// How long a call that begins now takes; `None` while nobody answers.
    pub fn begin_call(&mut self) -> Option<Duration> {
        if self.down {
            return None;
        }
        self.concurrent_calls += 1;
        self.calls += 1;
        self.max_concurrent_calls = self.max_concurrent_calls.max(self.concurrent_calls);
        let contention = (self.concurrent_calls as f64 / self.slots).max(1.0);
        Some(self.call_duration.scaled(self.slowdown * contention * contention))
    }

    /// Ends one call.
    pub fn end_call(&mut self) {
        self.concurrent_calls = self.concurrent_calls.saturating_sub(1);
    }
}
