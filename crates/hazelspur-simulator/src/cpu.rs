//! CPU time of the calling thread, as the kernel accounts for it.

use hazelspur::Duration;

/// Returns the CPU time of the calling thread so far, in user and system mode, with a resolution of 1 us;
/// `None` where the kernel does not provide `/proc/thread-self/schedstat`.
pub fn thread_cpu_time() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let ns: u64 = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_us(ns / 1000))
}
