//! CPU time of the calling thread, from the kernel's account.

use hazelspur::Duration;

/// What this thread spent on a core so far, in user and system mode; none where the kernel does not say.
pub fn thread_cpu_time() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let ns: u64 = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_us(ns / 1000))
}
