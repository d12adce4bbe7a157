//! One UDP socket: what comes is opened and told to `Joint`, what that wants sent goes out, and what servers
//! found out together goes to the module through the dispatcher.

use crate::clock::{Clock, long};
use crate::config::fleet_keys::Fleet;
use crate::config::phases::{Phase, Phases};
use crate::fleet::changes::Changes;
use crate::fleet::guidance::Guidance;
use crate::request::dispatcher::Dispatcher;
use crate::upstream::ledger::Reached;
use crate::upstream::peers::Peers;
use hazelspur::{Catalog, Duration};
use hazelspur_fleet::{At, Generation, Installation, Joint, Key, MemberName, talk};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::net::{TcpStream, UdpSocket};

/// Datagrams read in one go before other tasks have their turn.
const IN_ONE_GO: usize = 64;
/// What this server sees of its own work is looked at so often; a log line that was held back waits no
/// longer.
const ROUND: Duration = Duration::from_ms(250);
/// A try at what nobody reaches: a connection that is made, stands for a moment, and is closed again. What
/// lies between may take connections for one that is gone, but does not keep them.
const TRY_WITHIN: Duration = Duration::from_ms(500);
const STANDS: Duration = Duration::from_ms(50);

pub struct Talk {
    socket: UdpSocket,
    key: Key,
    installation: Installation,
    joint: RefCell<Joint>,
    changes: RefCell<Changes>,
    guidance: RefCell<Guidance>,
    /// Whether calls and tries go by the gate.
    together: bool,
    dispatcher: Rc<Dispatcher>,
    peers: Rc<Peers>,
    phases: Rc<Phases>,
    leaving: Cell<bool>,
}

/// Whom a talk serves, and with what.
pub struct Around {
    pub dispatcher: Rc<Dispatcher>,
    pub peers: Rc<Peers>,
    pub phases: Rc<Phases>,
    pub catalog: Rc<RefCell<Catalog>>,
}

impl Talk {
    /// Listens from here on. Errors name the key at fault.
    pub async fn new(fleet: &Fleet, (name, seed): (&str, u64), around: Around) -> Result<Self, String> {
        let Around { dispatcher, peers, phases, catalog } = around;
        let name = MemberName::new(name).ok_or("name: longer than 31 characters, or not visible ones")?;
        let key = fleet.key.clone().ok_or("fleet.key_file: not read")?;
        let shares = fleet.share_terms().map_err(|(key, why)| format!("fleet.{key}: {why}"))?;
        let guidance = Guidance::new(fleet.together, shares.as_ref(), &catalog.borrow())?;
        let listen = fleet.listen.unwrap_or(fleet.at);
        let socket = UdpSocket::bind(listen).await.map_err(|e| format!("fleet.listen: {listen}: {e}"))?;
        let at = At { wall: dispatcher.clock.wall(), steady: dispatcher.clock.steady() };
        // Servers that start together must not draw the same chances.
        let (generation, seed) = (Generation(at.wall.us() / 1000), seed ^ at.wall.us());
        log::info!(site:% = fleet.site, at:% = fleet.at, contacts = fleet.contacts.len(), most = fleet.most,
            together = fleet.together, shares = fleet.shares.len(), keepers = fleet.keepers.len();
            "fleet talk begins");
        Ok(Self {
            socket,
            key,
            installation: fleet.installation,
            joint: RefCell::new(Joint::new(fleet.terms(name), shares, generation, seed, at)),
            changes: RefCell::default(),
            guidance: RefCell::new(guidance),
            together: fleet.together,
            dispatcher,
            peers,
            phases,
            leaving: Cell::new(false),
        })
    }

    fn clock(&self) -> &Clock {
        &self.dispatcher.clock
    }

    fn at(&self) -> At {
        At { wall: self.clock().wall(), steady: self.clock().steady() }
    }

    pub async fn run(self: Rc<Self>) {
        let mut bytes = vec![0; talk::LONGEST + 1];
        let left = |phase| !matches!(phase, Phase::Waiting | Phase::Serving);
        loop {
            self.act();
            let wait = self.joint.borrow().wait(self.at()).min(ROUND);
            tokio::select! {
                came = self.socket.recv_from(&mut bytes) => {
                    // First the timers: after a standstill it is they that tell of it.
                    self.joint.borrow_mut().tick(self.at());
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
                () = tokio::time::sleep(long(wait)) => {}
                () = self.phases.reached(left), if !self.leaving.get() => {
                    self.leaving.set(true);
                    self.joint.borrow_mut().leave(self.at());
                }
            }
        }
    }

    /// Tries what nobody reaches, when it is this server's turn.
    pub async fn try_again(self: Rc<Self>) {
        loop {
            let next = self.joint.borrow().breaker.next_probe().filter(|_| self.together);
            let now = self.clock().wall();
            match next {
                Some(at) if at <= now => {
                    self.joint.borrow_mut().breaker.probe_sent(now);
                    let Some(to) = self.peers.now().ledger else { continue };
                    let connecting = tokio::time::timeout(long(TRY_WITHIN), TcpStream::connect(to)).await;
                    let reached = match connecting {
                        Ok(Ok(stream)) => {
                            tokio::time::timeout(long(STANDS), stream.readable()).await.is_err()
                        }
                        _ => false,
                    };
                    self.call_finished(reached);
                }
                Some(at) => crate::clock::sleep((at - now).min(Duration::from_ms(20))).await,
                None => crate::clock::sleep(ROUND).await,
            }
        }
    }

    /// The last word: sent at once, since nothing runs after it.
    pub fn left(&self) {
        self.joint.borrow_mut().members.left(self.clock().wall());
        self.act();
    }

    fn hear(&self, bytes: &[u8]) {
        let at = self.at();
        let opened = talk::open(&self.key, &self.installation, at.wall, bytes);
        let heard = opened.and_then(|datagram| self.joint.borrow_mut().heard(at, &datagram));
        if let Err(why) = heard {
            self.changes.borrow_mut().dropped(why);
        }
    }

    fn act(&self) {
        let at = self.at();
        let (mut joint, mut changes) = (self.joint.borrow_mut(), self.changes.borrow_mut());
        self.guidance.borrow_mut().see(at, &self.dispatcher, &mut joint);
        joint.tick(at);
        while let Some((to, datagram)) = joint.next_out(at) {
            // What can't be sent now is lost, as on any network.
            let _ = self.socket.try_send_to(&talk::seal(&self.key, &datagram), to);
        }
        while let Some(event) = joint.members.next_event() {
            changes.note(event);
        }
        changes.tell(at.wall, &joint.members);
        self.guidance.borrow_mut().guide(at, &self.dispatcher, &mut joint);
    }
}

impl Reached for Talk {
    fn call_finished(&self, reached: bool) {
        if !self.together {
            return;
        }
        let at = self.at();
        let mut joint = self.joint.borrow_mut();
        let was_open = joint.breaker.is_closed();
        joint.call_finished(at, reached);
        if joint.breaker.is_closed() != was_open {
            // The module is to know before the next decision, not with the next round.
            self.guidance.borrow_mut().guide(at, &self.dispatcher, &mut joint);
        }
    }
}

/// Keeps the socket's and the tries' tasks up.
pub fn begin(talk: &Rc<Talk>) {
    crate::supervise::supervise("fleet", talk, Talk::run);
    crate::supervise::supervise("tries", talk, Talk::try_again);
}
