//! Membership protocols behind one interface, so that one test fleet runs them all.

pub mod foca;
pub mod heartbeat;
pub mod send_only;
pub mod swim;
pub mod zoned;

use hazelspur::Timestamp;

/// A conclusion of a member about another one, with the other's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipNotice {
    /// The other member joined or recovered.
    Alive(usize),
    /// The other member left, or did not answer for so long that it is considered dead.
    Dead(usize),
}

/// A packet to another member.
#[derive(Clone, Debug)]
pub struct OutgoingPacket<P> {
    /// Number of the receiving server.
    pub receiver: usize,
    /// Content of the packet.
    pub packet: P,
    /// Size of the packet on the wire, without IP and UDP headers.
    pub bytes: usize,
}

/// One server's member of a membership protocol. Servers are identified by their numbers from 0.
pub trait MembershipProtocol: Sized {
    /// Name of the protocol in the printed tables.
    const NAME: &'static str;
    /// Packet that the members exchange.
    type Packet: Clone;

    /// Starts a new incarnation of a server's member, in a fleet of at most `max_servers` servers.
    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self;
    /// Handles a received packet.
    fn receive(&mut self, now: Timestamp, packet: &Self::Packet);
    /// Handles the timers that are due.
    fn tick(&mut self, now: Timestamp);
    /// Returns when the member needs its next tick.
    fn next_tick(&self) -> Timestamp;
    /// Takes the next packet to send; `None` if there is none.
    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Self::Packet>>;
    /// Takes the next conclusion about another member; `None` if there is none.
    fn next_notice(&mut self) -> Option<MembershipNotice>;
    /// Prepares the goodbye message of a member that ends, if the protocol has one.
    fn leave(&mut self, _now: Timestamp) {}
    /// Returns the number of other members that are considered alive.
    fn alive_count(&self) -> usize;
    /// Returns the number of entries in the membership table, in any state.
    fn entry_count(&self) -> usize {
        self.alive_count()
    }
}

/// Numbers of the seed members, which newcomers contact first.
pub const SEED_MEMBERS: [usize; 3] = [0, 1, 2];
