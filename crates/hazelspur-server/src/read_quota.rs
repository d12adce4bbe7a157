//! Bounds what a reader takes from its socket in one turn of the event loop, so that input without end does not keep
//! the turn from its end.
//!
//! Invariant: a reader goes on until its socket is empty, or has taken from it in this turn as much as the socket can
//! hold. Either way it has taken all that the socket held when the turn began.

use crate::clock::Clock;
use socket2::SockRef;
use std::cell::Cell;

/// Bytes up to which a reader does not ask how much its socket can hold.
const MIN_QUOTA_BYTES: usize = 64 * 1024;
/// By this much a socket may go over its own bound: one segment.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;
/// What is taken for the socket's bound where the system does not tell it.
const DEFAULT_CAPACITY_BYTES: usize = 8 * 1024 * 1024;

/// What one reader has taken in the present turn.
#[derive(Debug, Default)]
pub struct ReadQuota {
    turn: Cell<u64>,
    taken: Cell<usize>,
}

impl ReadQuota {
    /// Counts bytes read from a socket; completes at once, or with the end of the turn where the quota is used up.
    pub async fn take(&self, clock: &Clock, bytes: usize, socket: SockRef<'_>) {
        let taken = self.add(clock, bytes);
        if taken >= MIN_QUOTA_BYTES && taken >= capacity(&socket) {
            clock.input_reported().await;
        }
    }

    /// The same for input that is counted in other units, of which the system keeps at most `capacity`.
    pub async fn take_units(&self, clock: &Clock, units: usize, capacity: usize) {
        if self.add(clock, units) >= capacity {
            clock.input_reported().await;
        }
    }

    /// What is taken in the present turn, this included.
    fn add(&self, clock: &Clock, amount: usize) -> usize {
        if self.turn.replace(clock.completed_turns()) != clock.completed_turns() {
            self.taken.set(0);
        }
        let taken = self.taken.get().saturating_add(amount);
        self.taken.set(taken);
        taken
    }
}

/// The most bytes that a socket can hold unread.
fn capacity(socket: &SockRef<'_>) -> usize {
    socket.recv_buffer_size().unwrap_or(DEFAULT_CAPACITY_BYTES) + MAX_SEGMENT_BYTES
}
