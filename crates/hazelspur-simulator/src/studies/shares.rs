//! Shares of one limit among many servers, without the servers' other work: whether the sum ever passes the
//! limit, how much of it is in use once things have settled, how fairly, and how long settling takes.

use crate::event_queue::EventQueue;
use crate::membership_protocols::swim::{address, name};
use crate::membership_protocols::zoned::{REGIONS, ZONES};
use crate::network::{Cut, Network};
use crate::studies::scale::Between;
use crate::test_fleet::START;
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::quota::{
    ConfigFingerprint, LimitId, OutgoingMessage, QuotaConfig, QuotaManager, QuotaMessage, SharedLimit,
    fair_shares,
};
use hazelspur_fleet::{
    Body, Datagram, Generation, Incarnation, Installation, LimitName, MemberState, MemberUpdate,
    ProcessIncarnation, SiteName, datagram,
};
use std::collections::VecDeque;

const SLOTS: LimitId = LimitId(0);
const LINGER: Duration = Duration::from_ms(500);
const LOOK: Duration = Duration::from_ms(100);
/// The fleet is at rest by then.
const FROM: Duration = Duration::from_ms(20_000);
const APART: Duration = Duration::from_ms(60_000);
/// In use over what could be: settled.
const SETTLED: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// A twentieth of all messages is lost.
    Loss,
    /// From ten servers to all within 30 s, and back to ten.
    GrowAndShrink,
    /// Two in five end within 7 s, and as many others start.
    Replaced,
    /// The divider ends.
    DividerEnds,
    /// Two halves for 20 s.
    Halves,
    /// A tenth stand still for 10 s.
    Stopped,
    /// Two regions don't hear each other for a minute; three of the five keepers are in one of them.
    RegionsApart,
}

impl Trouble {
    pub const ALL: [Self; 7] = [
        Self::None,
        Self::Loss,
        Self::GrowAndShrink,
        Self::Replaced,
        Self::DividerEnds,
        Self::Halves,
        Self::Stopped,
    ];

    /// Those that are played as the fleet grows.
    pub const OF_SCALE: [Self; 4] = [Self::None, Self::Replaced, Self::DividerEnds, Self::RegionsApart];

    /// How long regions are apart.
    pub fn apart(self) -> Duration {
        if self == Self::RegionsApart { APART } else { Duration::ZERO }
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Loss => "loss of 5%",
            Self::GrowAndShrink => "grows from 10 and shrinks",
            Self::Replaced => "two in five replaced in 7 s",
            Self::DividerEnds => "divider ends",
            Self::Halves => "halves for 20 s",
            Self::Stopped => "a tenth stopped for 10 s",
            Self::RegionsApart => "regions apart for 60 s",
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub servers: usize,
    pub trouble: Trouble,
    pub seed: u64,
    /// Limits alike, of which the first is looked at.
    pub limits: usize,
    /// Two regions of three zones each; three sites of one region where none is given.
    pub between: Option<Between>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// The greatest sum of what might be in use, with what lingers, over the limit.
    pub most: f64,
    /// What may be used over what could be, in the last 10 s.
    pub used: f64,
    /// The least share over the fair one, and Jain's index of shares over fair ones, at the end.
    pub least: f64,
    pub jain: f64,
    /// From the beginning of the trouble until `used` stays settled; the worst dip on the way.
    pub settled_s: f64,
    pub dip: f64,
    /// Messages to and from the divider in a second, at the end.
    pub divider: f64,
    /// Bytes of these as datagrams, without IP and UDP heads and without claims that go along.
    pub divider_bytes: f64,
}

enum Event {
    Tick(usize, u64),
    Message(usize, ProcessIncarnation, QuotaMessage),
    Start(usize),
    End(usize),
    EndDivider,
    Stop(usize, Duration),
    Cut(Option<Cut>),
}

struct Node {
    shares: Option<QuotaManager>,
    life: ProcessIncarnation,
    stopped: Timestamp,
    /// What might have been in use at the last looks.
    past: VecDeque<f64>,
    set: Timestamp,
}

struct Sim {
    queue: EventQueue<Event>,
    network: Network,
    chance: Pcg,
    terms: QuotaConfig,
    nodes: Vec<Node>,
    lives: u64,
    at_divider: u64,
    bytes_at_divider: u64,
    frame: Datagram,
}

/// What a server would use, as unequal as a thirtieth to one.
fn want(of: usize, servers: usize, total: f64) -> f64 {
    total / servers as f64 * [0.1, 0.3, 0.5, 0.8, 1.0, 1.5, 2.0, 3.0][of * 7 % 8] * 1.3
}

/// A datagram of nothing but its head, by which the length of all others is told.
fn frame(print: ConfigFingerprint) -> Datagram {
    let sender = MemberUpdate {
        name: name(100),
        site: SiteName::new("east-1").expect("a short name"),
        address: address(100),
        generation: Generation(START.us() / 1000),
        incarnation: Incarnation(0),
        state: MemberState::Alive,
    };
    Datagram {
        installation: Installation::new("lab").expect("a short name"),
        sender,
        sequence: 1000,
        sent_ms: START.us() / 1000,
        body: Body::Quota { fingerprint: print, message: QuotaMessage::VoteRelease { ballot: 0 } },
        load_report: None,
        updates: Vec::new(),
    }
}

fn framed(frame: &mut Datagram, of: &QuotaMessage) -> u64 {
    if let Body::Quota { message, .. } = &mut frame.body {
        *message = of.clone();
    }
    datagram::encoded_length(frame) as u64
}

impl Sim {
    fn start(&mut self, of: usize) {
        let now = self.queue.now;
        self.lives += 1;
        let life = ProcessIncarnation { name: name(of), generation: Generation(self.lives) };
        let seed = u64::from(self.chance.draw());
        let mut shares = QuotaManager::new(self.terms.clone(), life, seed, now);
        for (at, limit) in self.terms.limits.iter().enumerate() {
            shares.set_demand(LimitId(at), want(of + at, self.terms.max_servers * 4 / 5, limit.total));
        }
        self.nodes[of] = Node {
            shares: Some(shares),
            life,
            stopped: Timestamp::default(),
            past: VecDeque::new(),
            set: Timestamp::default(),
        };
        self.spoke(of);
    }

    fn spoke(&mut self, of: usize) {
        let now = self.queue.now;
        let node = &mut self.nodes[of];
        let Some(shares) = &mut node.shares else { return };
        let divides = shares.allocates_until(now).is_some();
        while let Some(OutgoingMessage { to, message: word }) = shares.next_message() {
            let to: usize = to.as_str()[1..].parse().unwrap_or(usize::MAX);
            if divides {
                self.at_divider += 1;
                self.bytes_at_divider += framed(&mut self.frame, &word);
            }
            for after in self.network.carry(&mut self.chance, of, to) {
                self.queue.schedule(now + after, Event::Message(to, node.life, word.clone()));
            }
        }
        while shares.next_event().is_some() {}
        let next = shares.next_tick().max(now + Duration::from_us(1));
        if next < node.set || node.set <= now {
            node.set = next;
            self.queue.schedule(next, Event::Tick(of, node.life.generation.0));
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.queue.now;
        match event {
            Event::Tick(of, life) => {
                let node = &mut self.nodes[of];
                if node.life.generation.0 != life {
                    return;
                }
                if now < node.stopped {
                    return self.queue.schedule(node.stopped, event);
                }
                if let Some(shares) = &mut node.shares {
                    node.set = Timestamp::default();
                    shares.tick(now);
                }
                self.spoke(of);
            }
            Event::Message(to, from, ref word) => {
                let Some(node) = self.nodes.get_mut(to) else { return };
                if now < node.stopped {
                    return self.queue.schedule(node.stopped, event);
                }
                if let Some(shares) = &mut node.shares {
                    if shares.allocates_until(now).is_some() {
                        self.at_divider += 1;
                        self.bytes_at_divider += framed(&mut self.frame, word);
                    }
                    shares.receive(now, from, word);
                }
                self.spoke(to);
            }
            Event::Start(of) => self.start(of),
            Event::End(of) => self.nodes[of].shares = None,
            Event::EndDivider => {
                let divides =
                    |node: &Node| node.shares.as_ref().is_some_and(|s| s.allocates_until(now).is_some());
                if let Some(of) = self.nodes.iter().position(divides) {
                    self.nodes[of].shares = None;
                    self.queue.schedule(now + Duration::from_ms(3000), Event::Start(of));
                }
            }
            Event::Stop(of, span) => self.nodes[of].stopped = now + span,
            Event::Cut(cut) => self.network.cut = cut,
        }
    }

    /// The sum of all that might be in use, and of what may be used now; what could be; fair shares.
    fn look(&mut self) -> (f64, f64, Vec<(f64, f64)>) {
        let now = self.queue.now;
        let keep = (LINGER.us() / LOOK.us()) as usize + 1;
        let (mut most, mut used) = (0.0, 0.0);
        let (mut held, mut wants) = (Vec::new(), Vec::new());
        let total = self.terms.limits[0].total;
        for (of, node) in self.nodes.iter_mut().enumerate() {
            let amount = node.shares.as_ref().map_or(0.0, |shares| shares.share(now, SLOTS).amount);
            node.past.push_back(amount);
            while node.past.len() > keep {
                node.past.pop_front();
            }
            most += node.past.iter().copied().fold(0.0, f64::max);
            if node.shares.is_some() {
                let want = want(of, self.terms.max_servers * 4 / 5, total);
                // A floor beyond what is wanted is no use to anybody.
                used += amount.min(want);
                held.push(amount.min(want));
                wants.push(want);
            }
        }
        let fair = fair_shares(&self.terms.limits[0], self.terms.max_servers, &wants);
        (
            most / total,
            used,
            held.into_iter().zip(fair.into_iter().zip(wants).map(|(f, w)| f.min(w))).collect(),
        )
    }
}

pub fn play(case: &Case) -> Outcome {
    let n = case.servers;
    let limit = |at: usize| SharedLimit {
        name: LimitName::new(&format!("calls-{at}")).expect("a short name"),
        total: 4.0 * n as f64,
        guaranteed_fraction: 0.2,
        residual_duration: LINGER,
        max_turn: None,
    };
    let terms = QuotaConfig {
        voters: (0..5).map(name).collect(),
        max_servers: n + n.div_ceil(4),
        vote_duration: Duration::from_ms(4000),
        limits: (0..case.limits).map(limit).collect(),
    };
    let mut network = case.between.map_or(Network::new(3), |between| between.network());
    if case.trouble == Trouble::Loss {
        network.loss = 0.05;
    }
    let gone = || Node {
        shares: None,
        life: ProcessIncarnation { name: name(0), generation: Generation(0) },
        stopped: Timestamp::default(),
        past: VecDeque::new(),
        set: Timestamp::default(),
    };
    let mut sim = Sim {
        queue: EventQueue::new(START),
        network,
        chance: Pcg::new(case.seed),
        nodes: (0..terms.max_servers).map(|_| gone()).collect(),
        frame: frame(terms.fingerprint()),
        terms,
        lives: 0,
        at_divider: 0,
        bytes_at_divider: 0,
    };
    let first = if case.trouble == Trouble::GrowAndShrink { n.min(10) } else { n };
    (0..first).for_each(|of| sim.start(of));
    let at = |ms: u64| START + FROM + Duration::from_ms(ms);
    let mut over = 0;
    match case.trouble {
        Trouble::None | Trouble::Loss => {}
        Trouble::GrowAndShrink => {
            for of in first..n {
                let part = 30_000 * (of - first) as u64 / (n - first).max(1) as u64;
                sim.queue.schedule(at(part), Event::Start(of));
                sim.queue.schedule(at(50_000 + part), Event::End(of));
            }
            over = 80_000;
        }
        Trouble::Replaced => {
            for (i, of) in (0..n).filter(|of| of % 5 < 2).enumerate() {
                let ms = 7000 * i as u64 / (n * 2 / 5).max(1) as u64;
                sim.queue.schedule(at(ms), Event::End(of));
                sim.queue.schedule(at(ms + 1500), Event::Start(of));
            }
            over = 8500;
        }
        Trouble::DividerEnds => sim.queue.schedule(at(0), Event::EndDivider),
        Trouble::Halves => {
            sim.queue.schedule(at(0), Event::Cut(Some(|from, to| from % 2 != to % 2)));
            sim.queue.schedule(at(20_000), Event::Cut(None));
            over = 20_000;
        }
        Trouble::RegionsApart => {
            let cut: Cut = |from, to| from % ZONES % REGIONS != to % ZONES % REGIONS;
            sim.queue.schedule(at(0), Event::Cut(Some(cut)));
            sim.queue.schedule(START + FROM + APART, Event::Cut(None));
            over = APART.us() / 1000;
        }
        Trouble::Stopped => {
            for of in (0..n).filter(|of| of % 10 == 3) {
                sim.queue.schedule(at(0), Event::Stop(of, Duration::from_ms(10_000)));
            }
            over = 10_000;
        }
    }
    let end = FROM + Duration::from_ms(over + 30_000);
    let mut out = Outcome { dip: 1.0, ..Outcome::default() };
    let (mut last, mut unsettled, mut tail): (Vec<(f64, f64)>, f64, Vec<f64>) = (Vec::new(), 0.0, Vec::new());
    let mut counted = (0, 0);
    while sim.queue.now < START + end {
        let next = sim.queue.now + LOOK;
        while let Some(event) = sim.queue.next(next) {
            sim.take(event);
        }
        let (most, used, held) = sim.look();
        out.most = out.most.max(most);
        let could: f64 = held.iter().map(|(_, fair)| fair).sum();
        let part = used / could.max(1e-9);
        let since = (sim.queue.now - START).secs() - FROM.secs();
        if since >= 0.0 {
            out.dip = out.dip.min(part);
            if part < SETTLED {
                unsettled = since + LOOK.secs();
            }
        }
        if sim.queue.now + Duration::from_ms(10_000) >= START + end {
            if tail.is_empty() {
                counted = (sim.at_divider, sim.bytes_at_divider);
            }
            tail.push(part);
        }
        last = held;
    }
    out.used = tail.iter().sum::<f64>() / tail.len().max(1) as f64;
    out.divider = (sim.at_divider - counted.0) as f64 / 10.0;
    out.divider_bytes = (sim.bytes_at_divider - counted.1) as f64 / 10.0;
    out.settled_s = unsettled;
    let parts: Vec<f64> = last.iter().map(|(held, fair)| held / fair.max(1e-9)).collect();
    out.least = parts.iter().copied().fold(f64::INFINITY, f64::min);
    let (sum, squares) = (parts.iter().sum::<f64>(), parts.iter().map(|p| p * p).sum::<f64>());
    out.jain = sum * sum / (parts.len().max(1) as f64 * squares.max(1e-9));
    out
}
