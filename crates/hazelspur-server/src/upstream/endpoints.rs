//! Addresses of the upstream endpoints, which a reload of the configuration may change at any time.

use std::cell::Cell;
use std::net::SocketAddr;
use tokio::sync::Notify;

/// Addresses of the endpoints; the configuration calls them `runtime`, `ledger` and `control`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointAddresses {
    /// Address of the worker process.
    pub worker: SocketAddr,
    /// Address of the shared dependency that runs call; `None` if there is none.
    pub dependency: Option<SocketAddr>,
    /// Address of the registry that gateways read; `None` if there is none.
    pub registry: Option<SocketAddr>,
}

/// Current addresses, with a notification when they change.
pub struct UpstreamEndpoints {
    addresses: Cell<EndpointAddresses>,
    change_notification: Notify,
}

impl UpstreamEndpoints {
    /// Creates the current addresses with their initial values.
    pub fn new(addresses: EndpointAddresses) -> Self {
        Self { addresses: Cell::new(addresses), change_notification: Notify::new() }
    }

    /// Returns the current addresses.
    pub fn current(&self) -> EndpointAddresses {
        self.addresses.get()
    }

    /// Replaces the current addresses and notifies the tasks that wait for a change.
    pub fn replace(&self, addresses: EndpointAddresses) {
        self.addresses.set(addresses);
        self.change_notification.notify_waiters();
    }

    /// Waits until the address that `select` returns differs from `address`.
    pub async fn moved_from<T: PartialEq>(&self, select: impl Fn(EndpointAddresses) -> T, address: T) {
        while select(self.addresses.get()) == address {
            self.change_notification.notified().await;
        }
    }
}
