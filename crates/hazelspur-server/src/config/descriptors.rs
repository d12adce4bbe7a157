//! How the descriptors of the process are divided: one budget, from the limit, so that no side can take what
//! another needs to go on. Clients that fill their part leave the runtime's link, calls and reports theirs.

/// Standard streams 3, epoll and its waker 2, signals 2, listener 1, runtime link 1 and one being dialled 1,
/// report 1, broker 1 and one being dialled 1, talk among servers 1 and a try at the ledger 1, one to spare.
const OWN: usize = 16;
/// Connections to the ledger, in use or kept.
const MAX_CALLS: usize = 64;
/// Gateways' connections that are being closed.
const MAX_CLOSING: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Descriptors {
    pub gateways: usize,
    pub closing: usize,
    pub calls: usize,
}

impl Descriptors {
    pub fn divide(limit: usize) -> Self {
        let part = |most: usize| (limit / 8).clamp(4, most);
        let (closing, calls) = (part(MAX_CLOSING), part(MAX_CALLS));
        Self { gateways: limit.saturating_sub(OWN + closing + calls).max(4), closing, calls }
    }

    /// What the platform's configuration allows, or the system where that is less.
    pub fn allowed(told: usize) -> Self {
        let system = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE);
        Self::divide(system.map_or(told, |(soft, _)| told.min(usize::try_from(soft).unwrap_or(told))))
    }
}
