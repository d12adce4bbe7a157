//! Queries real members for their view of the fleet, with the datagrams of the operator's command, all of
//! them concurrently.

use super::{INSTALLATION, KEY};
use hazelspur::Timestamp;
use hazelspur_fleet::datagram::{self, Body, Datagram};
use hazelspur_fleet::{
    FleetSize, Generation, Installation, Key, LocalStatus, MemberName, MemberState, MemberStatus,
    MemberUpdate, SiteName,
};
use hazelspur_test_doubles::now_ms;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Time after which an unanswered query is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Client that queries real servers for their views of the fleet.
pub struct FleetQuerier {
    socket: UdpSocket,
    /// Sender that each query states.
    sender: MemberUpdate,
    key: Key,
    installation: Installation,
    /// Number of the last query that was created.
    last_number: u32,
}

impl FleetQuerier {
    /// Opens a socket on a free port.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be opened.
    pub fn new() -> anyhow::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let invalid = |name| anyhow::anyhow!("invalid name {name:?}");
        let sender = MemberUpdate {
            name: MemberName::new("watch").ok_or(invalid("watch"))?,
            site: SiteName::new("watch").ok_or(invalid("watch"))?,
            address: socket.local_addr()?,
            generation: Generation(0),
            incarnation: Default::default(),
            state: MemberState::Alive,
        };
        Ok(Self {
            socket,
            sender,
            key: Key::from_text(KEY).map_err(anyhow::Error::msg)?,
            installation: Installation::new(INSTALLATION).ok_or(invalid(INSTALLATION))?,
            last_number: 0,
        })
    }

    /// Returns the local status and the estimated fleet size that each server reports; `None` for a server
    /// that does not answer within the timeout.
    pub fn statuses(
        &mut self,
        servers: &[SocketAddr],
        timeout: Duration,
    ) -> Vec<Option<(LocalStatus, FleetSize)>> {
        let mut answers = vec![None; servers.len()];
        self.exchange(servers, timeout, |index, body| {
            let Some(Body::FleetReply { status, fleet, .. }) = body else {
                return Some(list_query(None));
            };
            answers[index] = Some((*status, *fleet));
            None
        });
        answers
    }

    /// Returns the status of all other members that each server reports, by name; `None` for a server whose
    /// list does not arrive completely within the timeout.
    pub fn member_lists(
        &mut self,
        servers: &[SocketAddr],
        timeout: Duration,
    ) -> Vec<Option<BTreeMap<MemberName, MemberStatus>>> {
        let mut rows_by_server = vec![BTreeMap::new(); servers.len()];
        let mut complete = vec![false; servers.len()];
        self.exchange(servers, timeout, |index, body| {
            let Some(Body::FleetReply { members, next, .. }) = body else { return Some(list_query(None)) };
            rows_by_server[index].extend(members.iter().map(|row| (row.update.name, row.status)));
            complete[index] = next.is_none();
            next.map(|next| list_query(Some(next)))
        });
        rows_by_server.into_iter().zip(complete).map(|(rows, complete)| complete.then_some(rows)).collect()
    }

    /// Returns the allocator of the quotas, as reported by the first server that knows it.
    pub fn allocator(&mut self, servers: &[SocketAddr], timeout: Duration) -> Option<MemberName> {
        let mut allocator = None;
        self.exchange(servers, timeout, |_, body| match body {
            Some(Body::CoordinationReply { state, .. }) => {
                allocator = allocator.or(state.allocator);
                None
            }
            _ => Some(Body::CoordinationQuery { number: 0 }),
        });
        allocator
    }

    /// Sends each server one query after the other, until the timeout. `next` gets the index of the server
    /// and returns its first query without an answer, and each further one from the answer to the one before;
    /// `None` ends the queries to the server.
    fn exchange(
        &mut self,
        servers: &[SocketAddr],
        timeout: Duration,
        mut next: impl FnMut(usize, Option<&Body>) -> Option<Body>,
    ) {
        let deadline = Instant::now() + timeout;
        // By the number of the query: index of the server, query, and time of the next sending.
        let mut pending: BTreeMap<u32, (usize, Body, Instant)> = BTreeMap::new();
        for index in 0..servers.len() {
            if let Some(body) = next(index, None) {
                self.last_number += 1;
                pending
                    .insert(self.last_number, (index, with_number(body, self.last_number), Instant::now()));
            }
        }
        let mut bytes = vec![0; datagram::MAX_DATAGRAM_BYTES + 1];
        while !pending.is_empty() && Instant::now() < deadline {
            for (index, body, due) in pending.values_mut().filter(|(_, _, due)| *due <= Instant::now()) {
                *due = Instant::now() + RETRY_INTERVAL;
                let query = Datagram {
                    installation: self.installation,
                    sender: self.sender,
                    sequence: 1,
                    sent_ms: now_ms(),
                    body: body.clone(),
                    load_report: None,
                    updates: Vec::new(),
                };
                let _ = self.socket.send_to(&datagram::seal(&self.key, &query), servers[*index]);
            }
            let due = pending.values().map(|(_, _, due)| *due).min().unwrap_or(deadline).min(deadline);
            let remaining = due.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = self.socket.set_read_timeout(Some(remaining));
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
            let now = Timestamp::from_us(now_ms() * 1000);
            let Ok(reply) = datagram::open(&self.key, &self.installation, now, &bytes[..length]) else {
                continue;
            };
            let (Body::FleetReply { number, .. } | Body::CoordinationReply { number, .. }) = reply.body
            else {
                continue;
            };
            let Some((index, _, _)) = pending.remove(&number) else { continue };
            if let Some(body) = next(index, Some(&reply.body)) {
                self.last_number += 1;
                pending
                    .insert(self.last_number, (index, with_number(body, self.last_number), Instant::now()));
            }
        }
    }
}

/// Returns the query for the part of the member list after a name; `with_number` sets its number.
fn list_query(after: Option<MemberName>) -> Body {
    Body::FleetQuery { number: 0, after }
}

/// Returns the query with another number.
fn with_number(body: Body, number: u32) -> Body {
    match body {
        Body::FleetQuery { after, .. } => Body::FleetQuery { number, after },
        Body::CoordinationQuery { .. } => Body::CoordinationQuery { number },
        other => other,
    }
}
