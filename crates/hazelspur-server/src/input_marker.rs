//! Marker in the stream of input events.
//!
//! The system reports events in the order in which they became pending. Once the marker is reported, all
//! events that were pending when it was placed have been reported too, however many events one poll of the
//! I/O driver returns.

use nix::sys::eventfd::{EfdFlags, EventFd};
use std::io;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

/// Event descriptor of this process that becomes readable whenever the marker is placed.
pub(crate) struct InputMarker(AsyncFd<EventFd>);

impl InputMarker {
    /// Creates a marker whose events the current runtime reports.
    ///
    /// # Errors
    /// Returns an error if no descriptor is available.
    pub(crate) fn new() -> io::Result<Self> {
        let event_fd = EventFd::from_flags(EfdFlags::EFD_CLOEXEC | EfdFlags::EFD_NONBLOCK)?;
        // SAFETY: an `EventFd` owns its descriptor, which stays the same and open until the `AsyncFd` is
        // dropped.
        let registered = unsafe { AsyncFd::register_with_interest(event_fd, Interest::READABLE) };
        Ok(Self(registered?))
    }

    /// Places the marker after all events that are pending now.
    pub(crate) fn place(&self) -> io::Result<()> {
        // The counter is never read, since each write is a new event. It cannot overflow in the life of a
        // process.
        self.0.get_ref().write(1)?;
        Ok(())
    }

    /// Waits until the marker that was placed last is reported.
    pub(crate) async fn reached(&self) -> io::Result<()> {
        self.0.readable().await?.clear_ready();
        Ok(())
    }
}
