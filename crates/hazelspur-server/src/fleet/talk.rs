//! One UDP socket: what comes is opened and told to `Members`, what that wants sent goes out.

use crate::clock::Clock;
use crate::fleet::changes::Changes;
use crate::ops::desk::Desk;
use crate::start::fleet_keys::Fleet;
use crate::start::phases::{Phase, Phases};
use hazelspur::Span;
use hazelspur_fleet::{Generation, Installation, Key, MemberName, Members, talk};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Datagrams read in one go before other tasks have their turn.
const IN_ONE_GO: usize = 64;
/// A log line that was held back waits no longer than this.
const ROUND: Span = Span::from_ms(1000);

pub struct Talk {
    socket: UdpSocket,
    key: Key,
    installation: Installation,
    members: RefCell<Members>,
    changes: RefCell<Changes>,
    desk: Rc<Desk>,
    phases: Rc<Phases>,
    leaving: Cell<bool>,
}

impl Talk {
    /// Listens from here on. Errors name the key at fault.
    pub async fn new(
        fleet: &Fleet,
        (name, seed): (&str, u64),
        desk: Rc<Desk>,
        phases: Rc<Phases>,
    ) -> Result<Self, String> {
        let name = MemberName::new(name).ok_or("name: longer than 31 characters, or not visible ones")?;
        let key = fleet.key.clone().ok_or("fleet.key_file: not read")?;
        let listen = fleet.listen.unwrap_or(fleet.at);
        let socket = UdpSocket::bind(listen).await.map_err(|e| format!("fleet.listen: {listen}: {e}"))?;
        let now = desk.clock.now();
        // Servers that start together must not draw the same chances.
        let members = Members::new(fleet.terms(name), Generation(now.us() / 1000), seed ^ now.us(), now);
        log::info!(site:% = fleet.site, at:% = fleet.at, contacts = fleet.contacts.len(), most = fleet.most;
            "fleet talk begins");
        Ok(Self {
            socket,
            key,
            installation: fleet.installation,
            members: RefCell::new(members),
            changes: RefCell::default(),
            desk,
            phases,
            leaving: Cell::new(false),
        })
    }

    fn clock(&self) -> &Clock {
        &self.desk.clock
    }

    pub async fn run(self: Rc<Self>) {
        let mut bytes = vec![0; talk::LONGEST + 1];
        let left = |phase| !matches!(phase, Phase::Waiting | Phase::Serving);
        loop {
            self.act();
            let next = self.members.borrow().next_tick().min(self.clock().now() + ROUND);
            tokio::select! {
                came = self.socket.recv_from(&mut bytes) => {
                    // First the timers: after a standstill it is they that tell of it.
                    self.members.borrow_mut().tick(self.clock().now());
                    if let Ok((length, _)) = came {
                        self.hear(&bytes[..length]);
                    }
                    for _ in 1..IN_ONE_GO {
                        let Ok((length, _)) = self.socket.try_recv_from(&mut bytes) else { break };
                        self.hear(&bytes[..length]);
                    }
                    self.act();
                    tokio::task::yield_now().await;
                }
                () = self.clock().sleep_until(next) => {}
                () = self.phases.reached(left), if !self.leaving.get() => {
                    self.leaving.set(true);
                    self.members.borrow_mut().leave(self.clock().now());
                }
            }
        }
    }

    /// The last word: sent at once, since nothing runs after it.
    pub fn left(&self) {
        self.members.borrow_mut().left(self.clock().now());
        self.act();
    }

    fn hear(&self, bytes: &[u8]) {
        let now = self.clock().now();
        let opened = talk::open(&self.key, &self.installation, now, bytes);
        let heard = opened.and_then(|datagram| self.members.borrow_mut().heard(now, &datagram));
        if let Err(why) = heard {
            self.changes.borrow_mut().dropped(why);
        }
    }

    fn act(&self) {
        let now = self.clock().now();
        let (mut members, mut changes) = (self.members.borrow_mut(), self.changes.borrow_mut());
        members.tick(now);
        while let Some((to, datagram)) = members.next_out(now) {
            // What can't be sent now is lost, as on any network.
            let _ = self.socket.try_send_to(&talk::seal(&self.key, &datagram), to);
        }
        while let Some(event) = members.next_event() {
            changes.note(event);
        }
        changes.tell(now, &members);
    }
}
