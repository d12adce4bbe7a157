//! Queries running servers for their views of the fleet, with the datagrams that the operator's command uses.

use hazelspur::Timestamp;
use hazelspur_fleet::datagram::{self, Body, Datagram};
use hazelspur_fleet::{
    FleetSize, Generation, Installation, Key, LocalStatus, MemberName, MemberState, MemberStatus,
    MemberUpdate, SiteName,
};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// View of the fleet that one server returned.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Number of the server.
    pub server: usize,
    /// Time at which the first reply arrived, in Unix milliseconds.
    pub at_ms: u64,
    /// Server's status of itself.
    pub local_status: LocalStatus,
    /// Bounds of the fleet size.
    pub fleet_size: FleetSize,
    /// Name and status of all other members.
    pub other_members: Vec<(String, MemberStatus)>,
}

/// Queries servers for their views of the fleet.
pub struct FleetObserver {
    socket: UdpSocket,
    key: Key,
    installation: Installation,
    last_query_number: u32,
}

impl FleetObserver {
    /// Opens a socket for queries.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be bound, or if the key or the name of the installation is invalid.
    pub fn new(key: &str, installation: &str) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        Ok(Self {
            socket,
            key: Key::from_text(key).map_err(std::io::Error::other)?,
            installation: Installation::new(installation)
                .ok_or(std::io::Error::other("invalid name of the installation"))?,
            last_query_number: 0,
        })
    }

    /// Queries one server at its own membership address and returns its whole view, of which a reply holds
    /// one page; `None` if a reply is missing when the timeout expires.
    pub fn query(&mut self, server: usize, address: SocketAddr, timeout: Duration) -> Option<FleetView> {
        let deadline = Instant::now() + timeout;
        let mut after_member = None;
        let mut view: Option<FleetView> = None;
        let mut bytes = vec![0; datagram::MAX_DATAGRAM_BYTES + 1];
        loop {
            self.last_query_number += 1;
            let query_number = self.last_query_number;
            let query = Datagram {
                installation: self.installation,
                sender: MemberUpdate {
                    name: MemberName::new("watch")?,
                    site: SiteName::new("watch")?,
                    address: self.socket.local_addr().ok()?,
                    generation: Generation(0),
                    incarnation: Default::default(),
                    state: MemberState::Alive,
                },
                sequence: 1,
                sent_ms: hazelspur_test_doubles::now_ms(),
                body: Body::FleetQuery { number: query_number, after: after_member },
                load_report: None,
                updates: Vec::new(),
            };
            self.socket.send_to(&datagram::seal(&self.key, &query), address).ok()?;
            let reply_body = loop {
                let time_left = deadline.checked_duration_since(Instant::now())?;
                let _ = self.socket.set_read_timeout(Some(time_left.max(Duration::from_millis(1))));
                let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
                let now = Timestamp::from_us(hazelspur_test_doubles::now_ms() * 1000);
                let Ok(reply) = datagram::open(&self.key, &self.installation, now, &bytes[..length]) else {
                    continue;
                };
                if matches!(reply.body, Body::FleetReply { number, .. } if number == query_number) {
                    break reply.body;
                }
            };
            let Body::FleetReply { status: local_status, fleet: fleet_size, members, next, .. } = reply_body
            else {
                return None;
            };
            let at_ms = hazelspur_test_doubles::now_ms();
            let view = view.get_or_insert(FleetView {
                server,
                at_ms,
                local_status,
                fleet_size,
                other_members: Vec::new(),
            });
            view.other_members
                .extend(members.into_iter().map(|member| (member.update.name.to_string(), member.status)));
            if next.is_none() || next <= after_member {
                break;
            }
            after_member = next;
        }
        view
    }
}
