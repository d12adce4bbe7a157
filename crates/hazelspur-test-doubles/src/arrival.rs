//! A socket reader that knows the earliest time at which the bytes it read can have arrived.
//!
//! The machine may suspend the reading thread for longer than a rule allows a peer to be late. Bytes that are
//! read afterwards arrived at some time since the socket was last seen empty. Only bytes that are too late
//! even by that earliest time are certainly late.

use crate::now_ms;
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::sys::socket::{MsgFlags, recv};
use std::io::{self, Read};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};

/// Longest time between two looks at an empty socket, in milliseconds.
const OBSERVATION_INTERVAL_MS: u8 = 2;

/// Reading side of a connection.
pub struct ArrivalReader<'a> {
    stream: &'a TcpStream,
    /// Last time at which the socket held no bytes, in Unix milliseconds.
    last_seen_empty_ms: u64,
}

impl<'a> ArrivalReader<'a> {
    /// Returns a reader of the stream; bytes that are there already count as arriving now or later.
    pub fn new(stream: &'a TcpStream) -> Self {
        Self { stream, last_seen_empty_ms: now_ms() }
    }

    /// Returns the earliest time at which the bytes that were read last can have arrived, in Unix
    /// milliseconds.
    pub fn arrived_after_ms(&self) -> u64 {
        self.last_seen_empty_ms
    }

    /// Reads available bytes without waiting. Returns their number, 0 at the end of the stream, or `None` if
    /// there are none yet.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub fn read_available(&mut self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        let checked_at_ms = now_ms();
        match recv(self.stream.as_raw_fd(), buffer, MsgFlags::MSG_DONTWAIT) {
            Err(Errno::EAGAIN) => {
                self.last_seen_empty_ms = checked_at_ms;
                Ok(None)
            }
            result => Ok(Some(result?)),
        }
    }
}

impl Read for ArrivalReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            if let Some(count) = self.read_available(buffer)? {
                return Ok(count);
            }
            let mut readable = [PollFd::new(self.stream.as_fd(), PollFlags::POLLIN)];
            poll(&mut readable, PollTimeout::from(OBSERVATION_INTERVAL_MS))?;
        }
    }
}
