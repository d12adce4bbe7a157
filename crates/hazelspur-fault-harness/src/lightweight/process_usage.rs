//! What the machine allows, and what it says of processes.

use anyhow::Context;
use nix::sys::resource::{Resource, getrlimit};
use nix::unistd::{SysconfVar, sysconf};
use std::time::Duration;

/// The soft limit of descriptors of this process, which those that it starts inherit.
pub fn descriptor_limit() -> anyhow::Result<u64> {
    Ok(getrlimit(Resource::RLIMIT_NOFILE).context("limit of descriptors")?.0)
}

/// In bytes.
pub fn machine_memory_bytes() -> anyhow::Result<u64> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    bytes_after(&text, "MemTotal:").context("MemTotal of /proc/meminfo")
}

fn bytes_after(text: &str, key: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key))?;
    Some(line.trim().trim_end_matches(" kB").parse::<u64>().ok()? * 1024)
}

/// What a process has taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    pub cpu: Duration,
    /// In bytes.
    pub resident_bytes: u64,
    pub anonymous_bytes: u64,
}

/// Usage of a process; none where it has ended.
pub fn usage(id: u32) -> Option<ProcessUsage> {
    let (resident_bytes, anonymous_bytes) = memory_bytes(id)?;
    Some(ProcessUsage { cpu: cpu(id)?, resident_bytes, anonymous_bytes })
}

/// Resident bytes, by the quicker way.
pub fn resident_bytes(id: u32) -> Option<u64> {
    bytes_after(&std::fs::read_to_string(format!("/proc/{id}/status")).ok()?, "VmRSS:")
}

/// CPU time that a process has taken so far, from `/proc/PID/stat`, in steps of a tick.
fn cpu(id: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // Behind the name, which may hold anything: state is field 3, utime 14, stime 15.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let ticks_per_s = sysconf(SysconfVar::CLK_TCK).ok()??;
    Some(Duration::from_secs_f64(ticks as f64 / ticks_per_s as f64))
}

/// Resident and anonymous bytes of a process, from `/proc/PID/smaps_rollup`.
fn memory_bytes(id: u32) -> Option<(u64, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{id}/smaps_rollup")).ok()?;
    Some((bytes_after(&text, "Rss:")?, bytes_after(&text, "Anonymous:")?))
}

/// Datagrams that the kernel dropped at sockets bound in 127.`net`.0.0/16, so far.
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
