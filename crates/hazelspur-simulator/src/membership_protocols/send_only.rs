//! Talkers without a machine, that send as many datagrams of as many claims as asked for and forget what they
//! hear: played to measure what the laboratory itself costs. They know nobody and hold nothing.

use super::swim::{member_address, member_name};
use super::{MembershipNotice, MembershipProtocol, OutgoingPacket};
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::{
    Body, Datagram, Generation, Incarnation, Installation, MemberState, MemberUpdate, SiteName, datagram,
};

/// What each sends.
#[derive(Clone, Copy, Debug)]
pub struct SendRate {
    pub servers: usize,
    /// A second.
    pub datagrams_per_s: f64,
    pub bytes_per_s: f64,
}

/// A member that only sends.
pub struct SendOnlyMember {
    random: Pcg,
    servers: usize,
    period: Duration,
    next_send: Timestamp,
    is_due: bool,
    packet: Datagram,
}

impl SendOnlyMember {
    /// Claims go along until the datagram is as long as is asked for.
    pub fn new(server: usize, rate: SendRate, seed: u64, now: Timestamp) -> Self {
        let update = |server: usize| MemberUpdate {
            name: member_name(server),
            site: SiteName::new("east-1").expect("a short name"),
            address: member_address(server),
            generation: Generation(now.us() / 1000),
            incarnation: Incarnation(0),
            state: MemberState::Alive,
        };
        let mut packet = Datagram {
            installation: Installation::new("lab").expect("a short name"),
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
    /// How this protocol is named in the printed tables.
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
