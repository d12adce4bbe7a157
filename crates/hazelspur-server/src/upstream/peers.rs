//! Where the parties that the server calls are found; a new configuration may move them at any time.

use std::cell::Cell;
use std::net::SocketAddr;
use tokio::sync::Notify;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    pub runtime: SocketAddr,
    /// Not every installation has one that requests call, or a list of servers.
    pub ledger: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
}

pub struct Peers {
    addresses: Cell<Addresses>,
    moved: Notify,
}

impl Peers {
    pub fn new(addresses: Addresses) -> Self {
        Self { addresses: Cell::new(addresses), moved: Notify::new() }
    }

    pub fn now(&self) -> Addresses {
        self.addresses.get()
    }

    pub fn move_to(&self, addresses: Addresses) {
        self.addresses.set(addresses);
        self.moved.notify_waiters();
    }

    /// Comes back once the party that `which` picks is no longer at this address.
    pub async fn left<T: PartialEq>(&self, which: impl Fn(Addresses) -> T, address: T) {
        while which(self.addresses.get()) == address {
            self.moved.notified().await;
        }
    }
}
