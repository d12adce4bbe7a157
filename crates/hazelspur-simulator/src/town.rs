//! Many talkers over one network, stopped, killed and started by a script.

use crate::event_queue::EventQueue;
use crate::network::Network;
use crate::ways::{Notice, Way};
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

pub const START: Timestamp = Timestamp::from_us(1_700_000_000_000_000);
/// Datagrams that a machine keeps for a process that does not read.
const MAX_UNREAD: usize = 256;

enum Event<P> {
    Tick(usize, u64),
    /// At whom, what, and its bytes.
    Arrives(usize, P, usize),
    GoesOn(usize, u64),
}

struct Node<W: Way> {
    way: Option<W>,
    life: u64,
    /// Stopped until then; what came waits.
    stopped: Option<Timestamp>,
    unread: VecDeque<W::Packet>,
    /// The tick that is set.
    set: Timestamp,
    last_stop: Timestamp,
    traffic: Traffic,
}

/// What went out of one server and came to it since the beginning, over all its lives. Bytes are those of the
/// datagrams without their IP and UDP heads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub out: u64,
    pub bytes_out: u64,
    pub came: u64,
    pub bytes_in: u64,
}

impl Traffic {
    /// What was added since.
    pub fn since(self, before: Self) -> Self {
        Self {
            out: self.out - before.out,
            bytes_out: self.bytes_out - before.bytes_out,
            came: self.came - before.came,
            bytes_in: self.bytes_in - before.bytes_in,
        }
    }
}

/// What was said, when, by whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Said {
    pub at: Timestamp,
    pub by: usize,
    pub notice: Notice,
}

pub struct Town<W: Way> {
    pub network: Network,
    queue: EventQueue<Event<W::Packet>>,
    nodes: Vec<Node<W>>,
    chance: Pcg,
    most: usize,
    pub said: Vec<Said>,
    pub datagrams: u64,
    pub bytes: u64,
}

impl<W: Way> Town<W> {
    pub fn new(network: Network, most: usize, seed: u64) -> Self {
        Self {
            network,
            queue: EventQueue::new(START),
            nodes: Vec::new(),
            chance: Pcg::new(seed),
            most,
            said: Vec::new(),
            datagrams: 0,
            bytes: 0,
        }
    }

    pub fn now(&self) -> Timestamp {
        self.queue.now
    }

    /// A new life of this one.
    pub fn start(&mut self, of: usize) {
        let now = self.now();
        let seed = u64::from(self.chance.draw()) << 32 | u64::from(self.chance.draw());
        let way = W::start(of, self.most, seed, now);
        self.start_as(of, way);
    }

    /// A new life of this one, made elsewhere.
    pub fn start_as(&mut self, of: usize, way: W) {
        while self.nodes.len() <= of {
            self.nodes.push(Node {
                way: None,
                life: 0,
                stopped: None,
                unread: VecDeque::new(),
                set: Timestamp::default(),
                last_stop: Timestamp::default(),
                traffic: Traffic::default(),
            });
        }
        let node = &mut self.nodes[of];
        node.life += 1;
        node.stopped = None;
        node.unread.clear();
        node.way = Some(way);
        self.served(of);
    }

    pub fn kill(&mut self, of: usize) {
        let node = &mut self.nodes[of];
        node.way = None;
        node.life += 1;
    }

    /// It ends in good order, and says so.
    pub fn leave(&mut self, of: usize) {
        let now = self.now();
        if let Some(way) = &mut self.nodes[of].way {
            way.leave(now);
            self.served(of);
        }
        self.kill(of);
    }

    pub fn stop(&mut self, of: usize, span: Duration) {
        let until = self.now() + span;
        let node = &mut self.nodes[of];
        if node.way.is_some() && node.stopped.is_none_or(|at| at < until) {
            (node.stopped, node.last_stop) = (Some(until), until);
            let life = node.life;
            self.queue.schedule(until, Event::GoesOn(of, life));
        }
    }

    pub fn runs(&self, of: usize) -> bool {
        self.nodes.get(of).is_some_and(|node| node.way.is_some())
    }

    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.way.is_some()).count()
    }

    /// The last moment of its last stop, zero if there was none.
    pub fn last_stop(&self, of: usize) -> Timestamp {
        self.nodes[of].last_stop
    }

    pub fn ways(&self) -> impl Iterator<Item = (usize, &W)> {
        self.nodes.iter().enumerate().filter_map(|(of, node)| Some((of, node.way.as_ref()?)))
    }

    /// By number, of those who run or ever ran.
    pub fn traffic(&self) -> impl Iterator<Item = Traffic> {
        self.nodes.iter().map(|node| node.traffic)
    }

    /// Whether each holds as many others for alive as run.
    pub fn agree(&self) -> bool {
        let others = self.running().saturating_sub(1);
        self.ways().all(|(_, way)| way.alive() == others)
    }

    /// Plays on for so long.
    pub fn play(&mut self, span: Duration) {
        let end = self.now() + span;
        while let Some(event) = self.queue.next(end) {
            let now = self.now();
            match event {
                Event::Tick(of, life) => {
                    let node = &mut self.nodes[of];
                    if node.life != life || node.stopped.is_some() || node.set > now {
                        continue;
                    }
                    let Some(way) = &mut node.way else { continue };
                    way.tick(now);
                    self.served(of);
                }
                Event::Arrives(of, packet, bytes) => {
                    let Some(node) = self.nodes.get_mut(of) else { continue };
                    let Some(way) = &mut node.way else { continue };
                    node.traffic.came += 1;
                    node.traffic.bytes_in += bytes as u64;
                    if node.stopped.is_some() {
                        if node.unread.len() < MAX_UNREAD {
                            node.unread.push_back(packet);
                        }
                        continue;
                    }
                    way.heard(now, &packet);
                    self.served(of);
                }
                Event::GoesOn(of, life) => {
                    let node = &mut self.nodes[of];
                    if node.life != life || node.stopped.is_none_or(|until| until > now) {
                        continue;
                    }
                    node.stopped = None;
                    let Some(way) = &mut node.way else { continue };
                    // Which of timer and socket comes first after a stop is chance; the timer is the worse.
                    way.tick(now);
                    for packet in std::mem::take(&mut node.unread) {
                        way.heard(now, &packet);
                    }
                    self.served(of);
                }
            }
        }
    }

    /// Takes what one has to say, and sets its next tick.
    fn served(&mut self, of: usize) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(of) else { return };
        let Some(way) = &mut node.way else { return };
        while let Some((to, packet, bytes)) = way.next_out(now) {
            self.datagrams += 1;
            self.bytes += bytes as u64;
            node.traffic.out += 1;
            node.traffic.bytes_out += bytes as u64;
            for after in self.network.carry(&mut self.chance, of, to) {
                self.queue.schedule(now + after, Event::Arrives(to, packet.clone(), bytes));
            }
        }
        while let Some(notice) = way.next_notice() {
            self.said.push(Said { at: now, by: of, notice });
        }
        let next = way.next_tick();
        if next != node.set || next <= now {
            node.set = next;
            self.queue.schedule(next.max(now + Duration::from_us(1)), Event::Tick(of, node.life));
        }
    }
}
