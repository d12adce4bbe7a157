//! A fleet of quota managers over the simulated network, without the servers' other work. Events that a study
//! schedules start, end and pause them. Its output is the quotas of the first limit, and the allocator's
//! traffic.

use crate::event_queue::EventQueue;
use crate::membership_protocols::swim::{member_address, member_name};
use crate::network::{Network, Partition};
use crate::test_fleet::START;
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::quota::{
    ConfigFingerprint, LimitId, OutgoingMessage, QuotaConfig, QuotaManager, QuotaMessage, fair_shares,
};
use hazelspur_fleet::{
    Body, Datagram, Generation, Incarnation, Installation, MemberState, MemberUpdate, ProcessIncarnation,
    SiteName, datagram,
};
use std::collections::VecDeque;

/// Limit that is observed.
const OBSERVED_LIMIT: LimitId = LimitId(0);
/// Time for which a quota may be in use after its lease ended.
pub(super) const RESIDUAL_DURATION: Duration = Duration::from_ms(500);
/// Time between two observations.
pub(super) const OBSERVATION_PERIOD: Duration = Duration::from_ms(100);
/// Number of observations over which a quota counts as in use.
const OBSERVATIONS_KEPT: usize = (RESIDUAL_DURATION.us() / OBSERVATION_PERIOD.us()) as usize + 1;
/// Time from the allocator's end to its new start.
const ALLOCATOR_RESTART: Duration = Duration::from_ms(3000);
/// Shortest wait for the next tick.
const MIN_TICK_WAIT: Duration = Duration::from_us(1);
/// Demands of the servers over an equal part of the limit, before `DEMAND_FACTOR`.
const UNEQUAL_DEMANDS: [f64; 8] = [0.1, 0.3, 0.5, 0.8, 1.0, 1.5, 2.0, 3.0];
/// Spreads neighbouring numbers over `UNEQUAL_DEMANDS`.
const DEMAND_STRIDE: usize = 7;
/// Approximate demand of the whole fleet over the limit.
const DEMAND_FACTOR: f64 = 1.3;
/// Number of the sender of a typical datagram.
const TYPICAL_MEMBER: usize = 100;
/// Sequence number of a typical datagram.
const TYPICAL_SEQUENCE: u64 = 1000;
/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1000;

/// One server's quota, beside the fair one.
#[derive(Clone, Copy)]
pub(super) struct Quota {
    /// Quota that may be used now, up to the server's demand.
    pub(super) usable: f64,
    /// Quota by a fair division of the limit, up to the server's demand.
    pub(super) fair: f64,
}

/// Quotas of the observed limit at one time.
pub(super) struct Observation {
    /// Sum of all quotas that may be in use, over the limit.
    pub(super) in_force: f64,
    /// Sum of the usable quotas.
    pub(super) usable: f64,
    /// Quotas of the running servers.
    pub(super) quotas: Vec<Quota>,
}

/// Traffic to and from the allocator since the start.
#[derive(Clone, Copy, Default)]
pub(super) struct AllocatorTraffic {
    pub(super) messages: u64,
    pub(super) bytes: u64,
}

/// Event in virtual time.
pub(super) enum Event {
    Tick { server: usize, generation: u64 },
    Message { receiver: usize, sender: ProcessIncarnation, message: QuotaMessage },
    Start(usize),
    End(usize),
    EndAllocator,
    Pause(usize, Duration),
    SetPartition(Option<Partition>),
}

struct Node {
    /// `None` while the server is down.
    quota: Option<QuotaManager>,
    process: ProcessIncarnation,
    paused_until: Timestamp,
    /// Quotas of the observed limit at the last `OBSERVATIONS_KEPT` observations.
    recent: VecDeque<f64>,
    /// Time of the tick that is scheduled.
    next_tick: Timestamp,
}

impl Node {
    fn new(process: ProcessIncarnation, quota: Option<QuotaManager>) -> Self {
        let (paused_until, next_tick) = (Timestamp::default(), Timestamp::default());
        Self { quota, process, paused_until, recent: VecDeque::new(), next_tick }
    }

    fn allocates(&self, now: Timestamp) -> bool {
        self.quota.as_ref().is_some_and(|quota| quota.allocates_until(now).is_some())
    }

    /// Records the quota that may be used now, and returns the greatest one of the last observations.
    fn record(&mut self, usable: f64) -> f64 {
        self.recent.push_back(usable);
        while self.recent.len() > OBSERVATIONS_KEPT {
            self.recent.pop_front();
        }
        self.recent.iter().copied().fold(0.0, f64::max)
    }
}

/// Fleet of quota managers in virtual time.
pub(super) struct QuotaFleet {
    pub(super) queue: EventQueue<Event>,
    network: Network,
    random: Pcg,
    config: QuotaConfig,
    nodes: Vec<Node>,
    last_generation: u64,
    pub(super) allocator: AllocatorTraffic,
    datagram: Datagram,
}

/// Returns a server's demand for a limit of `total`; the smallest demand is a thirtieth of the greatest.
fn demand(server: usize, servers: usize, total: f64) -> f64 {
    total / servers as f64 * UNEQUAL_DEMANDS[server * DEMAND_STRIDE % UNEQUAL_DEMANDS.len()] * DEMAND_FACTOR
}

/// Returns a datagram without member updates, in which the encoded length of messages is measured.
fn typical_datagram(fingerprint: ConfigFingerprint) -> Datagram {
    let sender = MemberUpdate {
        name: member_name(TYPICAL_MEMBER),
        site: SiteName::new("east-1").expect("a short name"),
        address: member_address(TYPICAL_MEMBER),
        generation: Generation(START.us() / US_PER_MS),
        incarnation: Incarnation(0),
        state: MemberState::Alive,
    };
    Datagram {
        installation: Installation::new("lab").expect("a short name"),
        sender,
        sequence: TYPICAL_SEQUENCE,
        sent_ms: START.us() / US_PER_MS,
        body: Body::Quota { fingerprint, message: QuotaMessage::VoteRelease { ballot: 0 } },
        load_report: None,
        updates: Vec::new(),
    }
}

fn encoded_length(datagram: &mut Datagram, quota_message: &QuotaMessage) -> u64 {
    if let Body::Quota { message, .. } = &mut datagram.body {
        *message = quota_message.clone();
    }
    datagram::encoded_length(datagram) as u64
}

impl QuotaFleet {
    /// Creates a fleet of `config.max_servers` servers, none of which runs.
    pub(super) fn new(config: QuotaConfig, network: Network, seed: u64) -> Self {
        let no_process = || ProcessIncarnation { name: member_name(0), generation: Generation(0) };
        Self {
            queue: EventQueue::new(START),
            network,
            random: Pcg::new(seed),
            nodes: (0..config.max_servers).map(|_| Node::new(no_process(), None)).collect(),
            datagram: typical_datagram(config.fingerprint()),
            config,
            last_generation: 0,
            allocator: AllocatorTraffic::default(),
        }
    }

    /// Runs until `end` in virtual time.
    pub(super) fn run_until(&mut self, end: Timestamp) {
        while let Some(event) = self.queue.next(end) {
            self.handle(event);
        }
    }

    /// Returns the number of servers that the limit is meant for; the others are room to grow.
    fn usual_servers(&self) -> usize {
        self.config.max_servers * 4 / 5
    }

    pub(super) fn start(&mut self, server: usize) {
        let now = self.queue.now;
        self.last_generation += 1;
        let process =
            ProcessIncarnation { name: member_name(server), generation: Generation(self.last_generation) };
        let seed = u64::from(self.random.draw());
        let mut quota = QuotaManager::new(self.config.clone(), process, seed, now);
        for (index, limit) in self.config.limits.iter().enumerate() {
            quota.set_demand(LimitId(index), demand(server + index, self.usual_servers(), limit.total));
        }
        self.nodes[server] = Node::new(process, Some(quota));
        self.send_messages(server);
    }

    /// Sends the server's messages, and schedules its next tick.
    fn send_messages(&mut self, server: usize) {
        let now = self.queue.now;
        let node = &mut self.nodes[server];
        let allocates = node.allocates(now);
        let Some(quota) = &mut node.quota else { return };
        while let Some(OutgoingMessage { to, message }) = quota.next_message() {
            let receiver: usize = to.as_str()[1..].parse().unwrap_or(usize::MAX);
            if allocates {
                self.allocator.messages += 1;
                self.allocator.bytes += encoded_length(&mut self.datagram, &message);
            }
            for delay in self.network.draw_delays(&mut self.random, server, receiver) {
                let message = message.clone();
                let received = Event::Message { receiver, sender: node.process, message };
                self.queue.schedule(now + delay, received);
            }
        }
        while quota.next_event().is_some() {}
        let next = quota.next_tick().max(now + MIN_TICK_WAIT);
        if next < node.next_tick || node.next_tick <= now {
            node.next_tick = next;
            let generation = node.process.generation.0;
            self.queue.schedule(next, Event::Tick { server, generation });
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.queue.now;
        match event {
            Event::Tick { server, generation } => self.tick(server, generation),
            Event::Message { receiver, sender, message } => self.receive(receiver, sender, message),
            Event::Start(server) => self.start(server),
            Event::End(server) => self.nodes[server].quota = None,
            Event::EndAllocator => self.end_allocator(),
            Event::Pause(server, duration) => self.nodes[server].paused_until = now + duration,
            Event::SetPartition(cut) => self.network.partition = cut,
        }
    }

    fn tick(&mut self, server: usize, generation: u64) {
        let now = self.queue.now;
        let node = &mut self.nodes[server];
        if node.process.generation.0 != generation {
            return;
        }
        if now < node.paused_until {
            return self.queue.schedule(node.paused_until, Event::Tick { server, generation });
        }
        if let Some(quota) = &mut node.quota {
            node.next_tick = Timestamp::default();
            quota.tick(now);
        }
        self.send_messages(server);
    }

    fn receive(&mut self, receiver: usize, sender: ProcessIncarnation, message: QuotaMessage) {
        let now = self.queue.now;
        let Some(node) = self.nodes.get_mut(receiver) else { return };
        if now < node.paused_until {
            let received_later = Event::Message { receiver, sender, message };
            return self.queue.schedule(node.paused_until, received_later);
        }
        let allocates = node.allocates(now);
        if let Some(quota) = &mut node.quota {
            if allocates {
                self.allocator.messages += 1;
                self.allocator.bytes += encoded_length(&mut self.datagram, &message);
            }
            quota.receive(now, sender, &message);
        }
        self.send_messages(receiver);
    }

    fn end_allocator(&mut self) {
        let now = self.queue.now;
        if let Some(server) = self.nodes.iter().position(|node| node.allocates(now)) {
            self.nodes[server].quota = None;
            self.queue.schedule(now + ALLOCATOR_RESTART, Event::Start(server));
        }
    }

    /// Observes the quotas of all servers, beside the fair ones by their demands.
    pub(super) fn observe(&mut self) -> Observation {
        let now = self.queue.now;
        let total = self.config.limits[0].total;
        let servers = self.usual_servers();
        let (mut in_force, mut usable) = (0.0, Vec::new());
        let mut demands = Vec::new();
        for (server, node) in self.nodes.iter_mut().enumerate() {
            let quota = node.quota.as_ref();
            let amount = quota.map_or(0.0, |quota| quota.share(now, OBSERVED_LIMIT).amount);
            in_force += node.record(amount);
            if node.quota.is_some() {
                let demand = demand(server, servers, total);
                // A guaranteed minimum beyond the demand is of no use.
                usable.push(amount.min(demand));
                demands.push(demand);
            }
        }
        let fair = fair_shares(&self.config.limits[0], self.config.max_servers, &demands);
        let fair = fair.into_iter().zip(demands).map(|(fair, demand)| fair.min(demand));
        let sum = usable.iter().fold(0.0, |sum, usable| sum + usable);
        let quotas = usable.into_iter().zip(fair).map(|(usable, fair)| Quota { usable, fair }).collect();
        Observation { in_force: in_force / total, usable: sum, quotas }
    }
}
