//! The anti-replay window of one sender: accepts each sequence number once, in whatever order datagrams
//! arrive.

/// Sequence numbers behind the highest that may still arrive; older ones count as replayed.
const WINDOW_BITS: u64 = 64;

/// The sequence numbers of one process incarnation that were received.
#[derive(Clone, Copy, Debug, Default)]
pub struct AntiReplayWindow {
    highest: u64,
    /// Bit `i` stands for `highest - i`.
    received: u64,
}

impl AntiReplayWindow {
    /// Notes a sequence number, from 1 on. False if it was received before or is too old to tell.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if sequence > self.highest {
            self.advance_to(sequence);
            return true;
        }
        let distance_behind = self.highest - sequence;
        let bit = 1u64.checked_shl(distance_behind as u32).filter(|_| distance_behind < WINDOW_BITS);
        let is_new = bit.is_some_and(|bit| self.received & bit == 0);
        self.received |= bit.unwrap_or(0);
        is_new
    }

    fn advance_to(&mut self, sequence: u64) {
        let distance = sequence - self.highest;
        self.received = if distance < WINDOW_BITS { self.received << distance | 1 } else { 1 };
        self.highest = sequence;
    }
}
