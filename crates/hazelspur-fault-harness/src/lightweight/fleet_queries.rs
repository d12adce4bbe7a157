//! What the real members say of the fleet, asked as an operator's command asks, all of them at once.

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

/// What did not come is asked for again after so long.
const AGAIN: Duration = Duration::from_millis(150);

/// Queries real servers for their views of the fleet.
pub struct FleetQuerier {
    socket: UdpSocket,
    from: MemberUpdate,
    key: Key,
    installation: Installation,
    number: u32,
}

impl FleetQuerier {
    /// Opens a socket.
    pub fn new() -> anyhow::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let name = |what| anyhow::anyhow!("{what}: no good name");
        let from = MemberUpdate {
            name: MemberName::new("watch").ok_or(name("watch"))?,
            site: SiteName::new("watch").ok_or(name("watch"))?,
            address: socket.local_addr()?,
            generation: Generation(0),
            incarnation: Default::default(),
            state: MemberState::Alive,
        };
        Ok(Self {
            socket,
            from,
            key: Key::from_text(KEY).map_err(anyhow::Error::msg)?,
            installation: Installation::new(INSTALLATION).ok_or(name(INSTALLATION))?,
            number: 0,
        })
    }

    /// Condition and bounds of the size by each of them, where an answer came within that time.
    pub fn statuses(&mut self, of: &[SocketAddr], within: Duration) -> Vec<Option<(LocalStatus, FleetSize)>> {
        let mut said = vec![None; of.len()];
        self.exchange(of, within, |i, body| {
            let Some(Body::FleetReply { status: condition, fleet, .. }) = body else {
                return Some(show(None));
            };
            said[i] = Some((*condition, *fleet));
            None
        });
        said
    }

    /// Names and standings of all others by each of them, where all of it came within that time.
    pub fn member_lists(
        &mut self,
        of: &[SocketAddr],
        within: Duration,
    ) -> Vec<Option<BTreeMap<MemberName, MemberStatus>>> {
        let mut rows_of = vec![BTreeMap::new(); of.len()];
        let mut whole = vec![false; of.len()];
        self.exchange(of, within, |i, body| {
            let Some(Body::FleetReply { members, next, .. }) = body else { return Some(show(None)) };
            rows_of[i].extend(members.iter().map(|row| (row.update.name, row.status)));
            whole[i] = next.is_none();
            next.map(|next| show(Some(next)))
        });
        rows_of.into_iter().zip(whole).map(|(rows, whole)| whole.then_some(rows)).collect()
    }

    /// Who divides what all share, by the first that knows.
    pub fn allocator(&mut self, of: &[SocketAddr], within: Duration) -> Option<MemberName> {
        let mut divider = None;
        self.exchange(of, within, |_, body| match body {
            Some(Body::CoordinationReply { state, .. }) => {
                divider = divider.or(state.allocator);
                None
            }
            _ => Some(Body::CoordinationQuery { number: 0 }),
        });
        divider
    }

    /// One question after the other to each: `next` makes the first from none and each further one from the
    /// answer to the one before, until it makes none.
    fn exchange(
        &mut self,
        of: &[SocketAddr],
        within: Duration,
        mut next: impl FnMut(usize, Option<&Body>) -> Option<Body>,
    ) {
        let until = Instant::now() + within;
        // By the question's number: of whom, what, and when it is asked again.
        let mut open: BTreeMap<u32, (usize, Body, Instant)> = BTreeMap::new();
        for i in 0..of.len() {
            if let Some(body) = next(i, None) {
                self.number += 1;
                open.insert(self.number, (i, numbered(body, self.number), Instant::now()));
            }
        }
        let mut bytes = vec![0; datagram::MAX_DATAGRAM_BYTES + 1];
        while !open.is_empty() && Instant::now() < until {
            for (i, body, due) in open.values_mut().filter(|(_, _, due)| *due <= Instant::now()) {
                *due = Instant::now() + AGAIN;
                let question = Datagram {
                    installation: self.installation,
                    sender: self.from,
                    sequence: 1,
                    sent_ms: now_ms(),
                    body: body.clone(),
                    load_report: None,
                    updates: Vec::new(),
                };
                let _ = self.socket.send_to(&datagram::seal(&self.key, &question), of[*i]);
            }
            let due = open.values().map(|(_, _, due)| *due).min().unwrap_or(until).min(until);
            let left = due.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let _ = self.socket.set_read_timeout(Some(left));
            let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
            let now = Timestamp::from_us(now_ms() * 1000);
            let Ok(came) = datagram::open(&self.key, &self.installation, now, &bytes[..length]) else {
                continue;
            };
            let (Body::FleetReply { number, .. } | Body::CoordinationReply { number, .. }) = came.body else {
                continue;
            };
            let Some((i, _, _)) = open.remove(&number) else { continue };
            if let Some(body) = next(i, Some(&came.body)) {
                self.number += 1;
                open.insert(self.number, (i, numbered(body, self.number), Instant::now()));
            }
        }
    }
}

fn show(after: Option<MemberName>) -> Body {
    Body::FleetQuery { number: 0, after }
}

fn numbered(body: Body, number: u32) -> Body {
    match body {
        Body::FleetQuery { after, .. } => Body::FleetQuery { number, after },
        Body::CoordinationQuery { .. } => Body::CoordinationQuery { number },
        other => other,
    }
}
