//! A fleet of members of one membership protocol over the simulated network. A study starts, pauses and kills
//! the members; the fleet returns which members they consider alive or dead, and their traffic.

use crate::event_queue::EventQueue;
use crate::membership_protocols::{MembershipNotice, MembershipProtocol, OutgoingPacket};
use crate::network::Network;
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Virtual time at which every simulation starts.
pub const START: Timestamp = Timestamp::from_us(1_700_000_000_000_000);
/// Number of datagrams that a host buffers for a paused process; further ones are lost.
const MAX_UNREAD: usize = 256;
/// Shortest time between handling an event and the next tick of the member.
const MIN_TICK_WAIT: Duration = Duration::from_us(1);

enum Event<P> {
    /// The member's timers are due.
    Tick { server: usize, incarnation: u64 },
    /// A packet arrives at the server's host.
    Received { server: usize, packet: P, bytes: usize },
    /// A pause of the server's process ends.
    Resumed { server: usize, incarnation: u64 },
}

/// One server of the fleet.
struct Node<P: MembershipProtocol> {
    /// `None` while the server is down.
    member: Option<P>,
    /// Number of starts and ends of the server so far; an event of an earlier incarnation has no effect.
    incarnation: u64,
    /// End of the current pause, until which packets are buffered unread; `None` while the process runs.
    paused_until: Option<Timestamp>,
    unread: VecDeque<P::Packet>,
    /// Time of the scheduled tick; events of other ticks have no effect if it is later.
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

/// Traffic of one server since the start of the simulation, over all its incarnations. Bytes are those of
/// datagrams without IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of datagrams sent.
    pub datagrams_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Number of datagrams that arrived, those that were lost during a pause included.
    pub datagrams_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
}

impl Traffic {
    /// Returns the difference from an earlier count of the same server.
    pub fn since(self, before: Self) -> Self {
        Self {
            datagrams_out: self.datagrams_out - before.datagrams_out,
            bytes_out: self.bytes_out - before.bytes_out,
            datagrams_in: self.datagrams_in - before.datagrams_in,
            bytes_in: self.bytes_in - before.bytes_in,
        }
    }
}

/// A conclusion of one member about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Virtual time of the conclusion.
    pub at: Timestamp,
    /// Number of the member that came to the conclusion.
    pub observer: usize,
    /// The conclusion and the member that it is about.
    pub notice: MembershipNotice,
}

/// A fleet of members of one membership protocol.
pub struct TestFleet<P: MembershipProtocol> {
    /// The network between the members.
    pub network: Network,
    queue: EventQueue<Event<P::Packet>>,
    nodes: Vec<Node<P>>,
    random: Pcg,
    max_servers: usize,
    /// Conclusions of all members, in the order of time; a study may clear them.
    pub observations: Vec<Observation>,
    /// Number of datagrams that all members sent.
    pub datagrams: u64,
    /// Bytes that all members sent, without IP and UDP headers.
    pub bytes: u64,
}

impl<P: MembershipProtocol> TestFleet<P> {
    /// Returns a fleet without members that is to have at most `max_servers` servers.
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

    /// Returns the current virtual time.
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

    /// Starts a new incarnation of a server with the given member.
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

    /// Ends a server's process at once, without a goodbye message.
    pub fn kill(&mut self, server: usize) {
        let node = &mut self.nodes[server];
        node.member = None;
        node.incarnation += 1;
    }

    /// Ends a server's process after its goodbye message, if the protocol has one.
    pub fn leave(&mut self, server: usize) {
        let now = self.now();
        if let Some(member) = &mut self.nodes[server].member {
            member.leave(now);
            self.send_and_schedule(server);
        }
        self.kill(server);
    }

    /// Pauses the process of a running server for this long; a pause that ends earlier is extended.
    pub fn pause(&mut self, server: usize, duration: Duration) {
        let until = self.now() + duration;
        let node = &mut self.nodes[server];
        if node.member.is_some() && node.paused_until.is_none_or(|at| at < until) {
            (node.paused_until, node.last_pause_end) = (Some(until), until);
            let incarnation = node.incarnation;
            self.queue.schedule(until, Event::Resumed { server, incarnation });
        }
    }

    /// Returns whether a server runs; a paused one counts as running.
    pub fn is_running(&self, server: usize) -> bool {
        self.nodes.get(server).is_some_and(|node| node.member.is_some())
    }

    /// Returns the number of running servers.
    pub fn running_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.member.is_some()).count()
    }

    /// Returns the end of a server's last pause, which may be in the future; the zero timestamp if there was
    /// none.
    pub fn last_pause_end(&self, server: usize) -> Timestamp {
        self.nodes[server].last_pause_end
    }

    /// Returns number and member of each running server.
    pub fn members(&self) -> impl Iterator<Item = (usize, &P)> {
        self.nodes.iter().enumerate().filter_map(|(server, node)| Some((server, node.member.as_ref()?)))
    }

    /// Returns the traffic of each server in the order of their numbers, those that have ended included.
    pub fn traffic(&self) -> impl Iterator<Item = Traffic> {
        self.nodes.iter().map(|node| node.traffic)
    }

    /// Returns whether each running member considers as many others alive as are running.
    pub fn members_agree(&self) -> bool {
        let others = self.running_count().saturating_sub(1);
        self.members().all(|(_, member)| member.alive_count() == others)
    }

    /// Runs the simulation for this long in virtual time.
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
        // After a pause, a process may handle its timers or its socket first. Timers first is the worse case:
        // they expire before the answers that wait in the socket are read.
        member.tick(now);
        for packet in std::mem::take(&mut node.unread) {
            member.receive(now, &packet);
        }
        self.send_and_schedule(server);
    }

    /// Sends a member's packets, records its conclusions, and schedules its next tick.
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
