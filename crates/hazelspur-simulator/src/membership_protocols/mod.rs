//! Membership protocols behind one interface, so that one test fleet runs them all.

pub mod foca;
pub mod heartbeat;
pub mod send_only;
pub mod swim;
pub mod zoned;

use hazelspur::Timestamp;

/// What a member concludes about another, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipNotice {
    /// The other joined or recovered.
    Alive(usize),
    /// The other died or left.
    Dead(usize),
}

/// A packet to another member.
#[derive(Clone, Debug)]
pub struct OutgoingPacket<P> {
    /// Number of the receiving server.
    pub receiver: usize,
    /// The packet itself.
    pub packet: P,
    /// Its size on the wire without the UDP header.
    pub bytes: usize,
}

/// One server's member of a protocol. Servers go by their numbers from 0.
pub trait MembershipProtocol: Sized {
    /// The protocol's name in tables.
    const NAME: &'static str;
    /// What members send each other.
    type Packet: Clone;

    /// Starts a new incarnation; `max_servers` is the greatest size of the fleet.
    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self;
    /// Handles a packet.
    fn receive(&mut self, now: Timestamp, packet: &Self::Packet);
    /// Handles the timers that are due.
    fn tick(&mut self, now: Timestamp);
    /// When the member needs its next tick.
    fn next_tick(&self) -> Timestamp;
    /// The next packet to send, if any.
    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Self::Packet>>;
    /// The next conclusion about another member, if any.
    fn next_notice(&mut self) -> Option<MembershipNotice>;
    /// Prepares the goodbye of an incarnation that ends in good order, where the protocol has one.
    fn leave(&mut self, _now: Timestamp) {}
    /// How many other members are considered alive.
    fn alive_count(&self) -> usize;
    /// Entries in the membership table, in whatever state.
    fn entry_count(&self) -> usize {
        self.alive_count()
    }
}

/// Seed members, which newcomers contact first.
pub const SEED_MEMBERS: [usize; 3] = [0, 1, 2];
