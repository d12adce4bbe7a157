//! The budget of file descriptors: one limit divided between gateways' connections, dependency calls and the
//! rest, so that clients that use up their part leave the others theirs.

use nix::sys::resource::{Resource, getrlimit};

/// Standard streams 3, epoll and its waker 2, signals 2, listener 1, worker link 1 and one connecting 1,
/// report 1, broker 1 and one connecting 1, gossip 1, a probe of the dependency 1, the input marker 1.
const RESERVED: usize = 16;
/// The most connections to the dependency, in use or idle.
const MAX_CALLS: usize = 64;
/// The most connections of gateways that are being closed.
const MAX_CLOSING: usize = 64;
/// One part in this many of the limit is for calls, and as much for closing connections.
const SHARE_DIVISOR: usize = 8;
/// The fewest descriptors of any part.
const MIN_SHARE: usize = 4;

/// How many descriptors each part may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    /// Open connections of gateways.
    pub gateways: usize,
    /// Connections of gateways that are being closed.
    pub closing: usize,
    /// Connections to the dependency.
    pub calls: usize,
}

impl Descriptors {
    /// Divides a limit.
    pub fn divide(limit: usize) -> Self {
        let share = |max: usize| (limit / SHARE_DIVISOR).clamp(MIN_SHARE, max);
        let (closing, calls) = (share(MAX_CLOSING), share(MAX_CALLS));
        let gateways = limit.saturating_sub(RESERVED + closing + calls).max(MIN_SHARE);
        Self { gateways, closing, calls }
    }

    /// Divides what the configuration allows, or the system's limit if that is lower.
    pub fn allowed(configured: usize) -> Self {
        let system_limit = getrlimit(Resource::RLIMIT_NOFILE);
        let limit = system_limit
            .map_or(configured, |(soft, _)| configured.min(usize::try_from(soft).unwrap_or(configured)));
        Self::divide(limit)
    }
}
