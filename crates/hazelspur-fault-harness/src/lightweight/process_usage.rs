//! Reads the limits of the machine and the resource usage of processes from the operating system.

use anyhow::Context;
use nix::sys::resource::{Resource, getrlimit};
use nix::unistd::{SysconfVar, sysconf};
use std::time::Duration;

/// Returns the soft limit of file descriptors of this process, which its child processes inherit.
pub fn descriptor_limit() -> anyhow::Result<u64> {
    Ok(getrlimit(Resource::RLIMIT_NOFILE).context("cannot read the limit of file descriptors")?.0)
}

/// Returns the total memory of the machine, in bytes.
pub fn machine_memory_bytes() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    bytes_after(&text, "MemTotal:").context("/proc/meminfo has no valid MemTotal")
}

/// Returns the value after `key`, which is in kB in the text, in bytes; `None` if there is no valid one.
fn bytes_after(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? * 1024)
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// CPU time, in user and kernel mode.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Anonymous memory, in bytes.
    pub anonymous_bytes: u64,
}

/// Returns the resource usage of a process; `None` if it has ended.
pub fn usage(id: u32) -> Option<ProcessUsage> {
    let (resident_bytes, anonymous_bytes) = memory_bytes(id)?;
    Some(ProcessUsage { cpu: cpu(id)?, resident_bytes, anonymous_bytes })
}

/// Returns the resident memory of a process in bytes; `None` if it has ended. Reads `/proc/PID/status`, which
/// costs less than the `smaps_rollup` that [`usage`] reads.
pub fn resident_bytes(id: u32) -> Option<u64> {
    bytes_after(&std::fs::read_to_string(format!("/proc/{id}/status")).ok()?, "VmRSS:")
}

/// Returns the CPU time of a process so far, from `/proc/PID/stat`, with a resolution of one clock tick.
fn cpu(id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name in parentheses may hold any character, so the fields are counted from its end: field 3 (state)
    // has index 0, field 14 (utime) index 11 and field 15 (stime) index 12.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let ticks_per_s = sysconf(SysconfVar::CLK_TCK).ok()??;
    Some(Duration::from_secs_f64(ticks as f64 / ticks_per_s as f64))
}

/// Returns resident and anonymous memory of a process in bytes, from `/proc/PID/smaps_rollup`.
fn memory_bytes(id: u32) -> Option<(u64, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{id}/smaps_rollup")).ok()?;
    Some((bytes_after(&text, "Rss:")?, bytes_after(&text, "Anonymous:")?))
}

/// Returns the number of datagrams that the kernel has dropped so far at UDP sockets bound in
/// 127.`net`.0.0/16.
pub fn udp_drops(net: u8) -> u64 {
    let text = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let is_in_net = |local: &str| local.get(4..8) == Some(&format!("{net:02X}7F"));
    let drops = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(1).filter(|local| is_in_net(local))?;
        fields.last()?.parse::<u64>().ok()
    };
    text.lines().filter_map(drops).sum()
}
