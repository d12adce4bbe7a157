//! Model of the dependency that all servers call. With at most as many concurrent calls as it has slots, a
//! call takes its usual time. Above that, the time grows with the square of concurrent calls divided by
//! slots, taken at the beginning of the call. `hazelspur_test_doubles::dependency` follows the same law.

use hazelspur::Duration;

/// The shared dependency of all servers.
#[derive(Clone, Debug)]
pub struct SharedDependency {
    /// Number of concurrent calls that are served without slowing down.
    pub slots: f64,
    /// Usual time of a call.
    pub call_duration: Duration,
    /// Factor on the time of calls that begin from now on; 1 stands for the usual time.
    pub slowdown: f64,
    /// Whether the dependency is unreachable.
    pub down: bool,
    concurrent_calls: usize,
    /// Highest number of concurrent calls since the last reset.
    pub max_concurrent_calls: usize,
    /// Number of calls that began since the last reset.
    pub calls: u64,
}

impl SharedDependency {
    /// Returns a healthy dependency without calls.
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

    /// Begins a call and returns its duration; `None` while the dependency is unreachable.
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
