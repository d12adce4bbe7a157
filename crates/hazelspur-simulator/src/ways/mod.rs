//! Ways of knowing who is here, behind one interface, so that the same town plays them all.

pub mod beats;
pub mod hollow;
pub mod library;
pub mod own;
pub mod zoned;

use hazelspur::Timestamp;

/// What a talker concludes about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    Here(usize),
    Gone(usize),
}

/// One server's part of a way. Servers go by their numbers from 0.
pub trait Way: Sized {
    const NAME: &'static str;
    type Packet: Clone;

    /// A new life; `most` is how many servers there may be.
    fn start(me: usize, most: usize, seed: u64, now: Timestamp) -> Self;
    fn heard(&mut self, now: Timestamp, packet: &Self::Packet);
    fn tick(&mut self, now: Timestamp);
    fn next_tick(&self) -> Timestamp;
    /// To whom, what, and how many bytes that is on the wire without its UDP head.
    fn next_out(&mut self, now: Timestamp) -> Option<(usize, Self::Packet, usize)>;
    fn next_notice(&mut self) -> Option<Notice>;
    /// The last word of a life that ends in good order, where the way has one.
    fn leave(&mut self, _now: Timestamp) {}
    /// How many others it holds for alive.
    fn alive(&self) -> usize;
    /// Entries in its table, whatever it holds them for.
    fn entries(&self) -> usize {
        self.alive()
    }
}

/// Contact points: these are tried first.
pub const CONTACTS: [usize; 3] = [0, 1, 2];
