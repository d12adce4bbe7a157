//! `hazelspur_fleet::Membership`, as the program runs it.

use super::{MembershipNotice, MembershipProtocol, OutgoingPacket, SEED_MEMBERS};
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::{
    Datagram, Generation, Installation, MemberName, MemberStatus, Membership, MembershipEvent, NodeConfig,
    SiteName, datagram,
};
use std::net::SocketAddr;

/// A member by the project's SWIM implementation.
pub struct Swim(pub Membership);

/// The name of a server by its number.
pub fn member_name(server: usize) -> MemberName {
    MemberName::new(&format!("n{server}")).expect("a short name")
}

/// The address of a server by its number.
pub fn member_address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (server >> 8) as u8, (server & 255) as u8], 7000))
}

/// The number of a server by its address; `usize::MAX` for an unknown one.
pub fn server_number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(at) => usize::from(at.ip().octets()[2]) << 8 | usize::from(at.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn number_from_name(name: MemberName) -> usize {
    name.as_str()[1..].parse().unwrap_or(usize::MAX)
}

/// The configuration of a member in a fleet of at most `max_servers` servers.
pub fn node_config(server: usize, max_servers: usize) -> NodeConfig {
    NodeConfig {
        installation: Installation::new("lab").expect("a short name"),
        name: member_name(server),
        site: SiteName::new(["east", "west", "north"][server % 3]).expect("a short name"),
        address: member_address(server),
        seeds: SEED_MEMBERS.iter().map(|server| member_address(*server)).collect(),
        max_servers,
        probe_period: Duration::from_ms(1000),
        retention: Duration::from_ms(900_000),
    }
}

impl MembershipProtocol for Swim {
    /// How this protocol is named in the printed tables.
    const NAME: &'static str = "own machine";
    type Packet = Datagram;

    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self {
        Self(Membership::new(node_config(server, max_servers), Generation(now.us() / 1000), seed, now))
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        let _ = self.0.receive(now, packet); // what is dropped is dropped
    }

    fn tick(&mut self, now: Timestamp) {
        self.0.tick(now);
    }

    fn next_tick(&self) -> Timestamp {
        self.0.next_tick()
    }

    fn next_packet(&mut self, now: Timestamp) -> Option<OutgoingPacket<Datagram>> {
        let OutgoingDatagram { address, datagram } = self.0.next_datagram(now)?;
        let bytes = datagram::encoded_length(&datagram);
        Some(OutgoingPacket { receiver: server_number(address), packet: datagram, bytes })
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        next_notice(&mut self.0)
    }

    fn leave(&mut self, now: Timestamp) {
        self.0.announce_left(now);
    }

    fn alive_count(&self) -> usize {
        count_alive(&self.0)
    }

    fn entry_count(&self) -> usize {
        self.0.statuses().count()
    }
}

/// How many others these hold for alive, the suspected among them.
pub fn count_alive(members: &Membership) -> usize {
    let is_alive = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspected);
    members.statuses().filter(|(_, status)| is_alive(*status)).count()
}

/// The next event that concerns who is here.
pub fn next_notice(members: &mut Membership) -> Option<MembershipNotice> {
    loop {
        match members.next_event()? {
            MembershipEvent::Joined(name) | MembershipEvent::Recovered(name) => {
                return Some(MembershipNotice::Alive(number_from_name(name)));
            }
            MembershipEvent::Died(name) | MembershipEvent::Left(name) => {
                return Some(MembershipNotice::Dead(number_from_name(name)));
            }
            _ => {}
        }
    }
}
