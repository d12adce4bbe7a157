//! Members that send datagrams at a given rate and ignore what they receive. They run no membership protocol
//! and hold no state, so that a run with them measures the cost of the simulator itself.

use super::swim::{member_address, member_name};
use super::{MembershipNotice, MembershipProtocol, OutgoingPacket};
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::{
    Body, Datagram, Generation, Incarnation, Installation, MemberState, MemberUpdate, SiteName, datagram,
};

/// The traffic that each member sends.
#[derive(Clone, Copy, Debug)]
pub struct SendRate {
    /// Number of servers among which the receivers are drawn.
    pub servers: usize,
    /// Datagrams that one member sends in a second.
    pub datagrams_per_s: f64,
    /// Bytes that one member sends in a second.
    pub bytes_per_s: f64,
}

/// A member that only sends, always the same datagram.
pub struct SendOnlyMember {
    random: Pcg,
    servers: usize,
    period: Duration,
    next_send: Timestamp,
    /// Whether the datagram of the current period is still to be sent.
    is_due: bool,
    packet: Datagram,
}

impl SendOnlyMember {
    /// Returns a member whose datagram carries as many updates as it takes to reach the byte rate.
    pub fn new(server: usize, rate: SendRate, seed: u64, now: Timestamp) -> Self {
        let update = |server: usize| MemberUpdate {
            name: member_name(server),
            site: SiteName::new("east-1").expect("the name is within the length bound"),
            address: member_address(server),
            generation: Generation(now.us() / 1000),
            incarnation: Incarnation(0),
            state: MemberState::Alive,
        };
        let mut packet = Datagram {
            installation: Installation::new("lab").expect("the name is within the length bound"),
            sender: update(server),
            sequence: 1,
            sent_ms: now.us() / 1000,
            body: Body::Gossip,
            load_report: None,
            updates: Vec::new(),
        };
        let target_bytes = rate.bytes_per_s / rate.datagrams_per_s.max(1e-9);
        while (datagram::encoded_length(&packet) as f64) < target_bytes
            && packet.updates.len() < datagram::MAX_UPDATES
        {
            packet.updates.push(update(packet.updates.len()));
        }
        let period = Duration::from_secs(1.0 / rate.datagrams_per_s.max(1e-3));
        let mut random = Pcg::new(seed);
        let next_send = now + period.scaled(random.draw_fraction());
        Self { random, servers: rate.servers, period, next_send, is_due: false, packet }
    }
}

impl MembershipProtocol for SendOnlyMember {
    /// Name of this protocol in the printed tables.
    const NAME: &'static str = "no machine";
    type Packet = Datagram;

    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self {
        Self::new(
            server,
            SendRate { servers: max_servers, datagrams_per_s: 10.0, bytes_per_s: 1000.0 },
            seed,
            now,
        )
    }

    fn receive(&mut self, _now: Timestamp, _packet: &Datagram) {}

    fn tick(&mut self, now: Timestamp) {
        if now >= self.next_send {
            (self.next_send, self.is_due) = (self.next_send + self.period, true);
        }
    }

    fn next_tick(&self) -> Timestamp {
        self.next_send
    }

    fn next_packet(&mut self, _now: Timestamp) -> Option<OutgoingPacket<Datagram>> {
        if !std::mem::take(&mut self.is_due) {
            return None;
        }
        let receiver = self.random.draw() as usize % self.servers.max(1);
        Some(OutgoingPacket {
            receiver,
            packet: self.packet.clone(),
            bytes: datagram::encoded_length(&self.packet),
        })
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        None
    }

    fn alive_count(&self) -> usize {
        0
    }
}
