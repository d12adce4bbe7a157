//! Reads a socket and knows when what it read can have come at the earliest.
//!
//! The machine may suspend the reading thread for longer than a rule allows a peer to be late. What is read then
//! came at some time since the socket was last seen empty, and only what is late by that time is certainly late.

use crate::now_ms;
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::sys::socket::{MsgFlags, recv};
use std::io::{self, Read};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};

/// How long the socket may stay unobserved while it is empty, in milliseconds.
const OBSERVATION_INTERVAL_MS: u8 = 2;

/// The reading side of a connection.
pub struct ArrivalReader<'a> {
    stream: &'a TcpStream,
    last_seen_empty_ms: u64,
}

impl<'a> ArrivalReader<'a> {
    /// Observes a stream from now on.
    pub fn new(stream: &'a TcpStream) -> Self {
        Self { stream, last_seen_empty_ms: now_ms() }
    }

    /// When the bytes that were read last can have come at the earliest, in Unix milliseconds.
    pub fn arrived_after_ms(&self) -> u64 {
        self.last_seen_empty_ms
    }

    /// Reads what is there, without waiting; `None` where nothing is, and 0 bytes at the stream's end.
    ///
    /// # Errors
    /// Where the connection is broken.
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
