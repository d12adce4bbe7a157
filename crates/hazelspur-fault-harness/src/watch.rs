//! What each server says of the fleet while it runs, asked as its operator would ask.

use hazelspur::Timestamp;
use hazelspur_fleet::talk::{self, Body, Datagram};
use hazelspur_fleet::{
    Claim, Condition, Generation, Installation, Key, MemberName, Says, SiteName, Size, Standing,
};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// One picture, as far as it matters here.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub server: usize,
    /// Milliseconds since 1970 of the answer.
    pub at_ms: u64,
    pub condition: Condition,
    pub fleet: Size,
    /// Name and standing of all others.
    pub others: Vec<(String, Standing)>,
}

pub struct Watch {
    socket: UdpSocket,
    key: Key,
    installation: Installation,
    number: u32,
}

impl Watch {
    pub fn new(key: &str, installation: &str) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        Ok(Self {
            socket,
            key: Key::from_text(key).map_err(std::io::Error::other)?,
            installation: Installation::new(installation).ok_or(std::io::Error::other("installation"))?,
            number: 0,
        })
    }

    /// Asks one server at the address where it listens; `None` where it does not answer within that time.
    pub fn ask(&mut self, server: usize, at: SocketAddr, within: Duration) -> Option<View> {
        let until = Instant::now() + within;
        let mut after = None;
        let mut view: Option<View> = None;
        let mut bytes = vec![0; talk::LONGEST + 1];
        loop {
            self.number += 1;
            let asked = self.number;
            let question = Datagram {
                installation: self.installation,
                from: Claim {
                    name: MemberName::new("watch")?,
                    site: SiteName::new("watch")?,
                    at: self.socket.local_addr().ok()?,
                    generation: Generation(0),
                    incarnation: Default::default(),
                    says: Says::Alive,
                },
                number: 1,
                sent_ms: hazelspur_test_doubles::now_ms(),
                body: Body::Show { number: asked, after },
                word: None,
                claims: Vec::new(),
            };
            self.socket.send_to(&talk::seal(&self.key, &question), at).ok()?;
            let answer = loop {
                let left = until.checked_duration_since(Instant::now())?;
                let _ = self.socket.set_read_timeout(Some(left.max(Duration::from_millis(1))));
                let Ok((length, _)) = self.socket.recv_from(&mut bytes) else { continue };
                let now = Timestamp::from_us(hazelspur_test_doubles::now_ms() * 1000);
                let Ok(came) = talk::open(&self.key, &self.installation, now, &bytes[..length]) else {
                    continue;
                };
                if matches!(came.body, Body::Shown { number, .. } if number == asked) {
                    break came.body;
                }
            };
            let Body::Shown { condition, fleet, rows, next, .. } = answer else { return None };
            let at_ms = hazelspur_test_doubles::now_ms();
            let view = view.get_or_insert(View { server, at_ms, condition, fleet, others: Vec::new() });
            view.others.extend(rows.into_iter().map(|row| (row.claim.name.to_string(), row.standing)));
            if next.is_none() || next <= after {
                break;
            }
            after = next;
        }
        view
    }
}
