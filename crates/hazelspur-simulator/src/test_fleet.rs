//! A fleet of members of one membership protocol over the simulated network; a study starts, pauses and kills them.
//! Outputs are what the members observe of each other, and their traffic.

use crate::event_queue::EventQueue;
use crate::membership_protocols::{MembershipNotice, MembershipProtocol, OutgoingPacket};
use crate::network::Network;
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// When every simulation starts, in virtual time.
pub const START: Timestamp = Timestamp::from_us(1_700_000_000_000_000);
/// Datagrams that a host buffers for a process that does not read.
const MAX_UNREAD: usize = 256;
/// The shortest wait for the next tick.
const MIN_TICK_WAIT: Duration = Duration::from_us(1);

enum Event<P> {
    Tick { server: usize, incarnation: u64 },
    Received { server: usize, packet: P, bytes: usize },
    Resumed { server: usize, incarnation: u64 },
}

struct Node<P: MembershipProtocol> {
    /// `None` while the server is down.
    member: Option<P>,
    incarnation: u64,
    /// Packets that arrive before then wait unread.
    paused_until: Option<Timestamp>,
    unread: VecDeque<P::Packet>,
    /// The tick that is scheduled.
    scheduled_tick: Timestamp,
    last_pause_end: Timestamp,
    traffic: Traffic,
}

impl<P: MembershipProtocol> Node<P> {
    fn down() -> Self {
        Self {
            member: None,
            incarnation: 0,
            paused_until: None,
            unread: VecDeque::new(),
            scheduled_tick: Timestamp::default(),
            last_pause_end: Timestamp::default(),
            traffic: Traffic::default(),
        }
    }
}

/// Traffic of one server since the start, over all its incarnations. Bytes are those of datagrams without their
/// IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
}

impl Traffic {
    /// The traffic since an earlier count.
    pub fn since(self, before: Self) -> Self {
        Self {
            datagrams_out: self.datagrams_out - before.datagrams_out,
            bytes_out: self.bytes_out - before.bytes_out,
            datagrams_in: self.datagrams_in - before.datagrams_in,
            bytes_in: self.bytes_in - before.bytes_in,
        }
    }
}

/// What one member concluded about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When it concluded that.
    pub at: Timestamp,
    /// Number of the member that observed.
    pub observer: usize,
    /// What it concluded.
    pub notice: MembershipNotice,
}

/// A fleet of members of one protocol.
pub struct TestFleet<P: MembershipProtocol> {
    /// Carries the members' packets.
    pub network: Network,
    queue: EventQueue<Event<P::Packet>>,
    nodes: Vec<Node<P>>,
    random: Pcg,
    max_servers: usize,
    /// What members observed, in the order of time.
    pub observations: Vec<Observation>,
    /// Datagrams sent by all members.
    pub datagrams: u64,
    /// Bytes sent by all members.
    pub bytes: u64,
}

impl<P: MembershipProtocol> TestFleet<P> {
    /// A fleet without members, of at most `max_servers` servers.
    pub fn new(network: Network, max_servers: usize, seed: u64) -> Self {
        Self {
            network,
            queue: EventQueue::new(START),
            nodes: Vec::new(),
            random: Pcg::new(seed),
            max_servers,
            observations: Vec::new(),
            datagrams: 0,
            bytes: 0,
        }
    }

    /// The virtual time.
    pub fn now(&self) -> Timestamp {
        self.queue.now
    }

    /// Starts a new incarnation of a server.
    pub fn start(&mut self, server: usize) {
        let now = self.now();
        let seed = u64::from(self.random.draw()) << 32 | u64::from(self.random.draw());
        let member = P::start(server, self.max_servers, seed, now);
        self.start_member(server, member);
    }

    /// Starts a new incarnation of a server with a given member.
    pub fn start_member(&mut self, server: usize, member: P) {
        while self.nodes.len() <= server {
            self.nodes.push(Node::down());
        }
        let node = &mut self.nodes[server];
        node.incarnation += 1;
        node.paused_until = None;
        node.unread.clear();
        node.member = Some(member);
        self.send_and_schedule(server);
    }

    /// Ends a server at once.
    pub fn kill(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        node.member = None;
        node.incarnation += 1;
    }

    /// Ends a server in good order, after its goodbye.
    pub fn leave(&mut self, server: usize) {
        let now = self.now();
        if let Some(member) = &mut self.nodes[server].member {
            member.leave(now);
            self.send_and_schedule(server);
        }
        self.kill(server);
    }

    /// Pauses a server's process for this long.
    pub fn pause(&mut self, server: usize, duration: Duration) {
        let until = self.now() + duration;
        let node = &mut self.nodes[server];
        if node.member.is_some() && node.paused_until.is_none_or(|at| at < until) {
            (node.paused_until, node.last_pause_end) = (Some(until), until);
            let incarnation = node.incarnation;
            self.queue.schedule(until, Event::Resumed { server, incarnation });
        }
    }

    /// Whether a server runs.
    pub fn is_running(&self, server: usize) -> bool {
        self.nodes.get(server).is_some_and(|node| node.member.is_some())
    }

    /// How many servers run.
    pub fn running_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.member.is_some()).count()
    }

    /// The end of a server's last pause; zero if there was none.
    pub fn last_pause_end(&self, server: usize) -> Timestamp {
        self.nodes[server].last_pause_end
    }

    /// Number and member of each running server.
    pub fn members(&self) -> impl Iterator<Item = (usize, &P)> {
        self.nodes.iter().enumerate().filter_map(|(server, node)| Some((server, node.member.as_ref()?)))
    }

    /// Traffic by server number, of all that ever ran.
    pub fn traffic(&self) -> impl Iterator<Item = Traffic> {
        self.nodes.iter().map(|node| node.traffic)
    }

    /// Whether each member considers as many others alive as run.
    pub fn members_agree(&self) -> bool {
        let others = self.running_count().saturating_sub(1);
        self.members().all(|(_, member)| member.alive_count() == others)
    }

    /// Runs for this long in virtual time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now() + duration;
        while let Some(event) = self.queue.next(end) {
            match event {
                Event::Tick { server, incarnation } => self.tick(server, incarnation),
                Event::Received { server, packet, bytes } => self.received(server, packet, bytes),
                Event::Resumed { server, incarnation } => self.resumed(server, incarnation),
            }
        }
    }

    fn tick(&mut self, server: usize, incarnation: u64) {
        let now = self.now();
        let node = &mut self.nodes[server];
        if node.incarnation != incarnation || node.paused_until.is_some() || node.scheduled_tick > now {
            return;
        }
        let Some(member) = &mut node.member else { return };
        member.tick(now);
        self.send_and_schedule(server);
    }

    fn received(&mut self, server: usize, packet: P::Packet, bytes: usize) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(server) else { return };
        let Some(member) = &mut node.member else { return };
        node.traffic.datagrams_in += 1;
        node.traffic.bytes_in += bytes as u64;
        if node.paused_until.is_some() {
            if node.unread.len() < MAX_UNREAD {
                node.unread.push_back(packet);
            }
            return;
        }
        member.receive(now, &packet);
        self.send_and_schedule(server);
    }

    fn resumed(&mut self, server: usize, incarnation: u64) {
        let now = self.now();
        let node = &mut self.nodes[server];
        if node.incarnation != incarnation || node.paused_until.is_none_or(|until| until > now) {
            return;
        }
        node.paused_until = None;
        let Some(member) = &mut node.member else { return };
        // Timer or socket may come first after a pause; the timer first is the worse case.
        member.tick(now);
        for packet in std::mem::take(&mut node.unread) {
            member.receive(now, &packet);
        }
        self.send_and_schedule(server);
    }

    /// Sends a member's packets, records its notices, and schedules its next tick.
    fn send_and_schedule(&mut self, server: usize) {
        let now = self.now();
        let Some(node) = self.nodes.get_mut(server) else { return };
        let Some(member) = &mut node.member else { return };
        while let Some(OutgoingPacket { receiver, packet, bytes }) = member.next_packet(now) {
            self.datagrams += 1;
            self.bytes += bytes as u64;
            node.traffic.datagrams_out += 1;
            node.traffic.bytes_out += bytes as u64;
            for delay in self.network.draw_delays(&mut self.random, server, receiver) {
                let received = Event::Received { server: receiver, packet: packet.clone(), bytes };
                self.queue.schedule(now + delay, received);
            }
        }
        while let Some(notice) = member.next_notice() {
            self.observations.push(Observation { at: now, observer: server, notice });
        }
        let next = member.next_tick();
        if next != node.scheduled_tick || next <= now {
            node.scheduled_tick = next;
            let tick = Event::Tick { server, incarnation: node.incarnation };
            self.queue.schedule(next.max(now + MIN_TICK_WAIT), tick);
        }
    }
}
