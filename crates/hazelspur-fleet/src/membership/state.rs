//! The membership state machine: its state, inputs, outputs and queues. Each of the other files of the module
//! implements one step of the protocol.

use super::event::MembershipEvent;
use super::failure_detector::{IndirectProbe, Probe};
use super::gossip_queue::GossipQueue;
use super::list_sync::ListSync;
use super::local_health::{LocalHealth, LocalStatus};
use super::table::{Member, MemberTable};
use super::update::{MemberState, MemberUpdate};
use super::view::{FleetSize, GenerationStatus, MemberStatus};
use crate::datagram::{Body, Datagram};
use crate::invariant::InvariantViolation;
use crate::load_reports::PeerLoadReport;
use crate::names::{Generation, Incarnation, MemberName, SiteName};
use crate::node_config::NodeConfig;
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Number of members that receive a gossip datagram in a period with recent updates.
const GOSSIP_FANOUT: usize = 2;
/// Number of members to which this process announces immediately that it leaves, and again that it has left.
const LEAVE_ANNOUNCEMENT_FANOUT: usize = 8;
/// Maximum number of requests for member list pages answered in a period.
const LIST_PAGES_PER_PERIOD: usize = 64;
/// Maximum number of operators' queries answered in a period.
const OPERATOR_REPLIES_PER_PERIOD: usize = 128;
/// Maximum number of new generations that this process adopts in a period. Without the bound, two processes
/// with the same name would raise their generations without end.
const NEW_GENERATIONS_PER_PERIOD: u32 = 2;
/// Maximum number of datagrams that wait to be sent. Further ones are dropped, which the protocol handles
/// like loss in the network.
const MAX_OUTGOING: usize = 512;
/// Maximum number of events that wait to be read. Further ones are dropped.
const MAX_EVENTS: usize = 1024;
/// Random draws for each member to pick, after which the whole table is searched.
const DRAWS_PER_PICK: usize = 4;

/// The remaining budget of the current period for work that other processes cause.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeriodBudget {
    /// Requests for member list pages that may still be answered.
    pub(super) list_pages: usize,
    /// Operators' queries that may still be answered.
    pub(super) operator_replies: usize,
    /// New generations that this process may still adopt.
    pub(super) new_generations: u32,
}

impl PeriodBudget {
    /// The budget at the beginning of a period.
    pub(super) const FULL: Self = Self {
        list_pages: LIST_PAGES_PER_PERIOD,
        operator_replies: OPERATOR_REPLIES_PER_PERIOD,
        new_generations: NEW_GENERATIONS_PER_PERIOD,
    };
}

/// A datagram to send.
#[derive(Clone, Debug)]
pub struct OutgoingDatagram {
    /// The address of the receiver.
    pub address: SocketAddr,
    /// The datagram.
    pub datagram: Datagram,
}

/// A body that waits to be sent. The updates that travel with it are chosen when it is sent.
#[derive(Clone, Debug)]
struct OutgoingBody {
    address: SocketAddr,
    /// The receiver's name; `None` if only the address is known.
    name: Option<MemberName>,
    body: Body,
}

/// The membership protocol of one process.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) config: NodeConfig,
    /// This process's update about itself.
    pub(super) me: MemberUpdate,
    sequence: u64,
    pub(super) random: Pcg,
    pub(super) health: LocalHealth,
    pub(super) status: LocalStatus,
    pub(super) members: MemberTable,
    pub(super) gossip_queue: GossipQueue,
    /// Members still to probe in the current round; the last one is probed next.
    pub(super) probe_order: Vec<MemberName>,
    /// The probe of the current period; `None` once it is answered.
    pub(super) probe: Option<Probe>,
    /// Unexpired probes on behalf of other members.
    pub(super) indirect_probes: Vec<IndirectProbe>,
    /// Start of the next period.
    pub(super) next_period: Timestamp,
    /// Time at which recent updates are sent in gossip datagrams; `None` if nothing is to be sent.
    pub(super) gossip_at: Option<Timestamp>,
    /// Number of periods since the start of the process.
    pub(super) periods: u64,
    pub(super) list: ListSync,
    /// Whether this process refuted an update about itself in the current period.
    pub(super) refuted_in_period: bool,
    /// Number of dead members that were heard again in the current period. More dead members are probed for
    /// each one, because a healed partition usually brings back several.
    pub(super) recovered_in_period: usize,
    pub(super) budget: PeriodBudget,
    /// Time at which this process last resumed after a suspension, or started.
    pub(super) resumed_at: Timestamp,
    outgoing: VecDeque<OutgoingBody>,
    events: VecDeque<MembershipEvent>,
    load_report: Option<PeerLoadReport>,
    /// Number of members rejected because the table was full, since the start of the process.
    pub rejected_members: u64,
}

impl Membership {
    /// Creates the state of a new run of the process. `generation` is the wall clock in Unix milliseconds. If
    /// other members know a higher generation, this process later adopts one above it.
    pub fn new(config: NodeConfig, generation: Generation, seed: u64, now: Timestamp) -> Self {
        let me = MemberUpdate {
            name: config.name,
            site: config.site,
            address: config.address,
            generation,
            incarnation: Incarnation(0),
            state: MemberState::Alive,
        };
        let mut random = Pcg::new(seed);
        // A random first period keeps servers that start together from probing at the same moments.
        let first_period = config.probe_period.scaled(random.draw_fraction());
        let has_no_other_seed = config.seeds.iter().all(|seed| *seed == config.address);
        Self {
            health: LocalHealth::new(config.probe_period, now),
            status: if has_no_other_seed { LocalStatus::Healthy } else { LocalStatus::Joining },
            me,
            sequence: 0,
            random,
            members: MemberTable::new(config.max_servers, config.probe_period),
            gossip_queue: GossipQueue::default(),
            probe_order: Vec::new(),
            probe: None,
            indirect_probes: Vec::new(),
            next_period: now + first_period,
            gossip_at: None,
            periods: 0,
            list: ListSync::new(has_no_other_seed),
            refuted_in_period: false,
            recovered_in_period: 0,
            budget: PeriodBudget::FULL,
            resumed_at: now,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
            load_report: None,
            rejected_members: 0,
            config,
        }
    }

    // ---- inputs ----

    /// Runs all timers that are due. To be called at the time of `next_tick`; an earlier call has no effect.
    pub fn tick(&mut self, now: Timestamp) {
        let due = self.next_tick();
        if now < due {
            return;
        }
        let suspended = self.health.record_timer_run(now, due);
        if suspended > Duration::ZERO {
            self.resume(now, suspended);
        }
        if self.probe.as_ref().and_then(|probe| probe.indirect_at).is_some_and(|at| at <= now) {
            self.probe_indirectly();
        }
        if self.gossip_at.is_some_and(|at| at <= now) {
            self.gossip_at = None;
            let targets = self.pick(GOSSIP_FANOUT, |_| true);
            self.gossip_to(targets);
        }
        self.process_expired_suspicions(now);
        if self.next_period <= now {
            self.begin_period(now);
        }
        self.update_status(now);
    }

    /// Announces that this process drains, so that other members do not suspect it when it ends.
    pub fn leave(&mut self, now: Timestamp) {
        self.announce(now, MemberState::Leaving);
    }

    /// Announces that this process ends now.
    pub fn announce_left(&mut self, now: Timestamp) {
        self.announce(now, MemberState::Left);
    }

    fn announce(&mut self, now: Timestamp, state: MemberState) {
        self.me.state = state;
        self.gossip_queue.enqueue(self.me.name);
        self.gossip(LEAVE_ANNOUNCEMENT_FANOUT);
        self.update_status(now);
    }

    /// Sets the load report that travels with each datagram sent from now on.
    pub fn set_load_report(&mut self, report: PeerLoadReport) {
        self.load_report = Some(report);
    }

    /// Queues a datagram to a member. Returns false if the member is not known.
    pub fn send_to_member(&mut self, name: MemberName, body: Body) -> bool {
        let address = self.members.get(name).map(|member| member.update.address);
        if let Some(address) = address {
            self.send(address, Some(name), body);
        }
        address.is_some()
    }

    /// Queues gossip datagrams to up to `max` randomly chosen living members.
    pub fn gossip(&mut self, max: usize) {
        let targets = self.pick(max, |member| member.status == MemberStatus::Alive);
        self.gossip_to(targets);
    }

    fn gossip_to(&mut self, targets: Vec<MemberName>) {
        for target in targets {
            self.send_to_member(target, Body::Gossip);
        }
    }

    // ---- outputs ----

    /// Returns the time at which `tick` is to be called next.
    pub fn next_tick(&self) -> Timestamp {
        let indirect = self.probe.as_ref().and_then(|probe| probe.indirect_at);
        let timers = [indirect, self.gossip_at, self.members.next_timer()];
        timers.into_iter().flatten().fold(self.next_period, Timestamp::min)
    }

    /// Removes and returns the next datagram to send.
    pub fn next_datagram(&mut self, now: Timestamp) -> Option<OutgoingDatagram> {
        let OutgoingBody { address, name, body } = self.outgoing.pop_front()?;
        self.sequence += 1;
        let is_reply = matches!(body, Body::FleetReply { .. } | Body::CoordinationReply { .. });
        let mut datagram = Datagram {
            installation: self.config.installation,
            sender: self.me,
            sequence: self.sequence,
            sent_ms: now.us() / 1000,
            load_report: self.load_report.filter(|_| !is_reply),
            body,
            updates: Vec::new(),
        };
        if !is_reply {
            self.add_updates(&mut datagram, name);
        }
        Some(OutgoingDatagram { address, datagram })
    }

    /// Removes and returns the next event for the log.
    pub fn next_event(&mut self) -> Option<MembershipEvent> {
        self.events.pop_front()
    }

    /// Returns this process's own status.
    pub fn local_status(&self) -> LocalStatus {
        self.status
    }

    /// Returns this process's update about itself.
    pub fn local_update(&self) -> &MemberUpdate {
        &self.me
    }

    /// Returns the newest known generation of a member and its status, or `None` if the member is not known.
    pub fn member_status(&self, name: MemberName) -> Option<GenerationStatus> {
        let member = self.members.get(name)?;
        Some(GenerationStatus { generation: member.update.generation, status: member.status })
    }

    /// Returns the name and status of each other member.
    pub fn statuses(&self) -> impl Iterator<Item = (MemberName, MemberStatus)> {
        self.members.by_name().iter().map(|(name, member)| (*name, member.status))
    }

    /// Returns all living members, including this process, with their sites.
    pub fn alive(&self) -> impl Iterator<Item = (MemberName, SiteName)> {
        let others = self.members.iter().filter(|member| member.status == MemberStatus::Alive);
        let others = others.map(|member| (member.update.name, member.update.site));
        others.chain([(self.me.name, self.me.site)])
    }

    /// Returns bounds of the number of servers in the fleet, or in one site if `site` is given. This process
    /// counts itself until it has left.
    pub fn size(&self, site: Option<SiteName>) -> FleetSize {
        let (mut known_alive, mut serving, mut dead) = (0, 0, 0);
        let in_site = |other: SiteName| site.is_none_or(|site| site == other);
        for member in self.members.iter().filter(|member| in_site(member.update.site)) {
            serving += usize::from(member.status.may_serve());
            dead += usize::from(member.status == MemberStatus::Dead);
            known_alive += usize::from(member.status == MemberStatus::Alive && self.is_known_alive(member));
        }
        let own = usize::from(in_site(self.me.site) && self.me.state != MemberState::Left);
        let max_servers = self.config.max_servers;
        // Without a complete view, any number of servers may have started unnoticed.
        let sees_all = self.list.is_complete && self.status != LocalStatus::Isolated;
        let max = if sees_all { serving + dead + own } else { max_servers };
        let min = known_alive + own;
        FleetSize { min, max: max.min(max_servers).max(min) }
    }

    /// Returns whether a member with the status `Alive` counts towards the lower bound of the fleet's size.
    /// While this process is degraded, the member must have been heard since the last suspension; while it
    /// joins, at any time. An isolated process counts no member.
    fn is_known_alive(&self, member: &Member) -> bool {
        match self.status {
            LocalStatus::Healthy | LocalStatus::Leaving => true,
            LocalStatus::Degraded => member.last_heard.is_some_and(|heard| heard >= self.resumed_at),
            LocalStatus::Joining => member.last_heard.is_some(),
            LocalStatus::Isolated => false,
        }
    }

    /// Checks the invariants, which hold after each input.
    ///
    /// # Errors
    /// Returns the first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        self.members.check_invariants()?;
        let (size, outgoing) = (self.size(None), self.outgoing.len());
        if size.min > size.max || outgoing > MAX_OUTGOING {
            return Err(InvariantViolation::SizeBoundsOrSendQueue { size, outgoing });
        }
        Ok(())
    }

    // ---- internals ----

    pub(super) fn update_status(&mut self, now: Timestamp) {
        let status = self.evaluate_status(now);
        if status != self.status {
            self.push_event(MembershipEvent::LocalStatusChanged { from: self.status, to: status });
            self.status = status;
        }
    }

    fn evaluate_status(&self, now: Timestamp) -> LocalStatus {
        let has_others = self.members.iter().any(|member| member.status.may_serve());
        if self.me.state != MemberState::Alive {
            LocalStatus::Leaving
        } else if has_others && self.health.is_isolated(now) {
            LocalStatus::Isolated
        } else if !self.list.is_complete {
            LocalStatus::Joining
        } else if self.health.is_degraded(now) {
            LocalStatus::Degraded
        } else {
            LocalStatus::Healthy
        }
    }

    /// Picks up to `max` distinct random members that qualify and have not left. Tries random draws first
    /// and, if they find too few, searches the whole table.
    pub(super) fn pick(&mut self, max: usize, qualifies: impl Fn(&Member) -> bool) -> Vec<MemberName> {
        let qualifies = |member: &Member| member.status != MemberStatus::Left && qualifies(member);
        let mut picked: Vec<MemberName> = Vec::new();
        for _ in 0..DRAWS_PER_PICK * max {
            let names = self.members.names();
            let Some(name) = names.get(self.random.draw() as usize % names.len().max(1)) else { break };
            let is_new = picked.len() < max && !picked.contains(name);
            if is_new && self.members.get(*name).is_some_and(qualifies) {
                picked.push(*name);
            }
        }
        if picked.len() == max { picked } else { self.pick_from_all(max, qualifies) }
    }

    /// Picks up to `max` random members that qualify, by reservoir sampling over the whole table.
    fn pick_from_all(&mut self, max: usize, qualifies: impl Fn(&Member) -> bool) -> Vec<MemberName> {
        let mut picked: Vec<MemberName> = Vec::new();
        let mut qualified = 0;
        for member in self.members.iter().filter(|member| qualifies(member)) {
            qualified += 1;
            if picked.len() < max {
                picked.push(member.update.name);
                continue;
            }
            let index = self.random.draw() as usize % qualified;
            if index < max {
                picked[index] = member.update.name;
            }
        }
        picked
    }

    /// Queues a datagram, unless the queue is full.
    pub(super) fn send(&mut self, address: SocketAddr, name: Option<MemberName>, body: Body) {
        if self.outgoing.len() < MAX_OUTGOING {
            self.outgoing.push_back(OutgoingBody { address, name, body });
        }
    }

    /// Sends a ping without tracking its answer. Any datagram received from the member shows that it runs.
    pub(super) fn ping_member(&mut self, name: MemberName) {
        let number = self.random.draw();
        self.send_to_member(name, Body::Ping { number, to: Some(name) });
    }

    pub(super) fn push_event(&mut self, event: MembershipEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }
}
