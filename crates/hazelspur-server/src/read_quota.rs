//! Bound on the input that a reader takes from its socket in one turn of the event loop, so that endless
//! input does not prolong the turn forever.
//!
//! Invariant: a reader continues until its socket is empty, or until it has taken as much in this turn as the
//! socket can hold. In both cases it has taken all that the socket held at the start of the turn.

use crate::clock::Clock;
use socket2::SockRef;
use std::cell::Cell;

/// Number of bytes below which a reader does not query the capacity of its socket.
const MIN_QUOTA_BYTES: usize = 64 * 1024;
/// Number of bytes by which a socket may exceed its capacity: one segment.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;
/// Capacity of a socket in bytes that is assumed if the system does not report it.
const DEFAULT_CAPACITY_BYTES: usize = 8 * 1024 * 1024;

/// Amount of input that one reader has taken in the current turn.
#[derive(Debug, Default)]
pub struct ReadQuota {
    turn: Cell<u64>,
    taken: Cell<usize>,
}

impl ReadQuota {
    /// Counts bytes that were read from a socket. Completes at once, or at the end of the turn if the quota
    /// is used up.
    pub async fn take(&self, clock: &Clock, bytes: usize, socket: SockRef<'_>) {
        let taken = self.add(clock, bytes);
        if taken >= MIN_QUOTA_BYTES && taken >= capacity(&socket) {
            clock.input_reported().await;
        }
    }

    /// Counts input like `take`, in units of which the system holds at most `capacity`.
    pub async fn take_units(&self, clock: &Clock, units: usize, capacity: usize) {
        if self.add(clock, units) >= capacity {
            clock.input_reported().await;
        }
    }

    /// Adds an amount and returns the total of the current turn.
    fn add(&self, clock: &Clock, amount: usize) -> usize {
        if self.turn.replace(clock.completed_turns()) != clock.completed_turns() {
            self.taken.set(0);
        }
        let taken = self.taken.get().saturating_add(amount);
        self.taken.set(taken);
        taken
    }
}

/// Returns the maximum number of unread bytes that a socket can hold.
fn capacity(socket: &SockRef<'_>) -> usize {
    socket.recv_buffer_size().unwrap_or(DEFAULT_CAPACITY_BYTES) + MAX_SEGMENT_BYTES
}
