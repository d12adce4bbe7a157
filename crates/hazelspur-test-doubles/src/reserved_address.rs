//! A TCP address that is reserved for a program under test.
//!
//! The reserving socket is bound and never listens, so connections are refused until the program listens
//! there itself (with `SO_REUSEADDR`, which the standard library and tokio set). Closing a listener to find a
//! free port is no substitute: a child process that another thread has forked holds a copy of the listener
//! until its `exec`, and the port stays in use. A copy of the reserving socket does no harm, since it does
//! not listen either.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::{AsFd, BorrowedFd};

/// An address that no other test is given while the reservation is held.
pub struct ReservedAddress {
    address: SocketAddr,
    /// Socket that is bound to the address and never listens.
    socket: Socket,
}

impl ReservedAddress {
    /// Reserves a free port of this loopback address.
    ///
    /// # Errors
    /// Returns an error if the address is not a loopback address or the system has no free port.
    pub fn on(ip: Ipv4Addr) -> io::Result<Self> {
        if !ip.is_loopback() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "reserved address is not a loopback address",
            ));
        }
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((ip, 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { address, socket })
    }

    /// Returns the reserved address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl AsFd for ReservedAddress {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}
