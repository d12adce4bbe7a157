//! Which numbers of a sender's datagrams were seen: each counts once, in whatever order they come.

/// Numbers that may arrive out of order; older ones are taken for repeats.
const WIDTH: u64 = 64;

#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    highest: u64,
    /// Bit `i` stands for `highest - i`.
    bits: u64,
}

impl Seen {
    /// Notes a number, from 1 on; false if it was there before or is too old to tell.
    pub fn first(&mut self, number: u64) -> bool {
        if number == 0 {
            return false;
        }
        if number > self.highest {
            let by = number - self.highest;
            self.bits = if by < WIDTH { self.bits << by | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        let bit = 1u64.checked_shl(behind as u32).filter(|_| behind < WIDTH);
        let new = bit.is_some_and(|bit| self.bits & bit == 0);
        self.bits |= bit.unwrap_or(0);
        new
    }
}
