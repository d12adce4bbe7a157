//! A TCP address that is kept for a program under test.
//!
//! The socket is bound and never listens, so connections are refused until the program listens there itself
//! (with `SO_REUSEADDR`, which the standard library and tokio set). A port found by closing a listener is not
//! free at once: a child process that another thread has forked holds a copy of the listener until its `exec`.
//! A copy of this socket does no harm, since it does not listen either.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::{AsFd, BorrowedFd};

/// An address that no other test gets while this is held.
pub struct ReservedAddress {
    address: SocketAddr,
    /// Bound, never listening.
    socket: Socket,
}

impl ReservedAddress {
    /// Reserves a free port of this address of the loopback range.
    ///
    /// # Errors
    /// Where the system has none, or the address is not a loopback address.
    pub fn on(ip: Ipv4Addr) -> io::Result<Self> {
        if !ip.is_loopback() {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "test doubles stay on loopback"));
        }
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((ip, 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { address, socket })
    }

    /// The address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl AsFd for ReservedAddress {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}
