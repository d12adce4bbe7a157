//! A mark in the stream of input events. The system reports events in the order in which they became pending, so
//! that everything that was pending when the mark was placed has been reported once the mark is, however many
//! events one look at input brings.

use nix::sys::eventfd::{EfdFlags, EventFd};
use std::io;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

/// A descriptor of this process's own that becomes readable whenever the mark is placed.
pub(crate) struct InputMarker(AsyncFd<EventFd>);

impl InputMarker {
    /// A marker whose events the current runtime reports.
    ///
    /// # Errors
    /// No descriptor is left.
    pub(crate) fn new() -> io::Result<Self> {
        let event_fd = EventFd::from_flags(EfdFlags::EFD_CLOEXEC | EfdFlags::EFD_NONBLOCK)?;
        // SAFETY: an `EventFd` owns its descriptor, which stays the same and open until the `AsyncFd` is dropped.
        let registered = unsafe { AsyncFd::register_with_interest(event_fd, Interest::READABLE) };
        Ok(Self(registered?))
    }

    /// Places the mark behind all events that are pending now.
    pub(crate) fn place(&self) -> io::Result<()> {
        // Never read: each write is a new event, and the counter does not overflow in the life of a process.
        self.0.get_ref().write(1)?;
        Ok(())
    }

    /// Completes once the mark that was placed last is reported.
    pub(crate) async fn reached(&self) -> io::Result<()> {
        self.0.readable().await?.clear_ready();
        Ok(())
    }
}
