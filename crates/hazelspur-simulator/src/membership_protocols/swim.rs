//! The SWIM implementation of this project, `hazelspur_fleet::Membership`, as `hazelspur-server` runs it, in
//! a fleet of three sites; also the names and addresses of simulated servers.

use super::{MembershipNotice, MembershipProtocol, OutgoingPacket, SEED_MEMBERS};
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::{
    Datagram, Generation, Installation, MemberName, MemberStatus, Membership, MembershipEvent, NodeConfig,
    SiteName, datagram,
};
use std::net::SocketAddr;

/// A member that runs `hazelspur_fleet::Membership`.
pub struct Swim(pub Membership);

/// Returns the member name of a server.
pub fn member_name(server: usize) -> MemberName {
    MemberName::new(&format!("n{server}")).expect("the name is within the length bound")
}

/// Returns the address of a server, which encodes its number.
pub fn member_address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (server >> 8) as u8, (server & 255) as u8], 7000))
}

/// Returns the number of the server with this address; `usize::MAX` for an IPv6 address, which no server has.
pub fn server_number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(at) => usize::from(at.ip().octets()[2]) << 8 | usize::from(at.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// Returns the number of the server with this name; `usize::MAX` if no server can have it.
fn number_from_name(name: MemberName) -> usize {
    name.as_str()[1..].parse().unwrap_or(usize::MAX)
}

/// Returns the configuration of a member in a fleet of three sites and at most `max_servers` servers.
pub fn node_config(server: usize, max_servers: usize) -> NodeConfig {
    NodeConfig {
        installation: Installation::new("lab").expect("the name is within the length bound"),
        name: member_name(server),
        site: SiteName::new(["east", "west", "north"][server % 3])
            .expect("the name is within the length bound"),
        address: member_address(server),
        seeds: SEED_MEMBERS.iter().map(|server| member_address(*server)).collect(),
        max_servers,
        probe_period: Duration::from_ms(1000),
        retention: Duration::from_ms(900_000),
    }
}

impl MembershipProtocol for Swim {
    /// Name of this protocol in the printed tables.
    const NAME: &'static str = "own machine";
    type Packet = Datagram;

    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self {
        Self(Membership::new(node_config(server, max_servers), Generation(now.us() / 1000), seed, now))
    }

    fn receive(&mut self, now: Timestamp, packet: &Datagram) {
        // A rejected datagram is dropped.
        let _ = self.0.receive(now, packet);
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

/// Returns the number of other members that are considered alive, suspected ones included.
pub fn count_alive(members: &Membership) -> usize {
    let is_alive = |status| matches!(status, MemberStatus::Alive | MemberStatus::Suspected);
    members.statuses().filter(|(_, status)| is_alive(*status)).count()
}

/// Takes the next event that tells whether a member is alive, skipping all others; `None` if there is none.
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
