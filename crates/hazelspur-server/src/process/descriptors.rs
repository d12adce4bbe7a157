//! The budget of file descriptors: one limit is divided between gateways' connections, connections to the
//! dependency and a reserve for everything else, so that a client that uses up one share leaves the others
//! intact.

use nix::sys::resource::{Resource, getrlimit};

/// Descriptors of the process itself: standard streams 3, epoll and its waker 2, signals 2, listener 1,
/// worker link 1 and a new one that is being connected 1, health report 1, broker 1 and a new one that is
/// being connected 1, gossip 1, probe of the dependency 1, input marker 1.
const RESERVED: usize = 16;
/// The most connections to the dependency, in use or idle.
const MAX_CALLS: usize = 64;
/// The most connections of gateways that are being closed.
const MAX_CLOSING: usize = 64;
/// Divisor of the limit that gives the share of calls, and likewise the share of closing connections.
const SHARE_DIVISOR: usize = 8;
/// The fewest descriptors of a share.
const MIN_SHARE: usize = 4;

/// The most descriptors of each kind.
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
    /// Divides a limit into shares.
    pub fn divide(limit: usize) -> Self {
        let share = |max: usize| (limit / SHARE_DIVISOR).clamp(MIN_SHARE, max);
        let (closing, calls) = (share(MAX_CLOSING), share(MAX_CALLS));
        let gateways = limit.saturating_sub(RESERVED + closing + calls).max(MIN_SHARE);
        Self { gateways, closing, calls }
    }

    /// Divides the configured limit, or the system's limit if that is lower.
    pub fn allowed(configured: usize) -> Self {
        let system_limit = getrlimit(Resource::RLIMIT_NOFILE);
        let limit = system_limit
            .map_or(configured, |(soft, _)| configured.min(usize::try_from(soft).unwrap_or(configured)));
        Self::divide(limit)
    }
}
