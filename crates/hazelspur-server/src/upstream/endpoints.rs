//! Addresses of the upstream endpoints, which a new configuration may change at any time.

use std::cell::Cell;
use std::net::SocketAddr;
use tokio::sync::Notify;

/// One address for each endpoint. The configuration's keys are `runtime`, `ledger` and `control`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointAddresses {
    /// The worker process.
    pub worker: SocketAddr,
    /// The shared dependency that runs call, if there is one.
    pub dependency: Option<SocketAddr>,
    /// The registry that gateways read, if there is one.
    pub registry: Option<SocketAddr>,
}

/// The addresses in force, and a notification of their change.
pub struct UpstreamEndpoints {
    addresses: Cell<EndpointAddresses>,
    change_notification: Notify,
}

impl UpstreamEndpoints {
    /// Starts with these addresses.
    pub fn new(addresses: EndpointAddresses) -> Self {
        Self { addresses: Cell::new(addresses), change_notification: Notify::new() }
    }

    /// The addresses in force.
    pub fn current(&self) -> EndpointAddresses {
        self.addresses.get()
    }

    /// Replaces the addresses.
    pub fn replace(&self, addresses: EndpointAddresses) {
        self.addresses.set(addresses);
        self.change_notification.notify_waiters();
    }

    /// Completes once the endpoint that `select` picks is no longer at this address.
    pub async fn moved_from<T: PartialEq>(&self, select: impl Fn(EndpointAddresses) -> T, address: T) {
        while select(self.addresses.get()) == address {
            self.change_notification.notified().await;
        }
    }
}
