//! The anti-replay window of one sender. It accepts each sequence number once, in any order of arrival, and
//! rejects numbers that are too far behind the highest one.

/// Width of the window: a number that is this far or farther behind the highest counts as replayed.
const WINDOW_BITS: u64 = 64;

/// The received sequence numbers of one process incarnation.
#[derive(Clone, Copy, Debug, Default)]
pub struct AntiReplayWindow {
    /// Highest received number; zero before the first.
    highest: u64,
    /// Bit `i` is set if the number `highest - i` was received.
    received: u64,
}

impl AntiReplayWindow {
    /// Records a sequence number, at least 1, and returns whether it is new. Returns false if the number was
    /// received before, is zero or lies behind the window.
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
