//! A few members and the network between them, moved by hand.

#![allow(dead_code)] // each test uses its part

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::{
    Datagram, Generation, Installation, MemberName, MemberStatus, Membership, MembershipEvent, NodeConfig,
    SiteName,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub(crate) const START: Timestamp = Timestamp::from_us(1_700_000_000_000_000);
pub(crate) const PERIOD: Duration = Duration::from_ms(1000);

pub(crate) fn name(of: usize) -> MemberName {
    MemberName::new(&format!("n{of}")).expect("a name")
}

pub(crate) fn address(of: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (of >> 8) as u8, (of & 255) as u8], 7000))
}

pub(crate) fn number(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return usize::MAX };
    usize::from(at.ip().octets()[2]) << 8 | usize::from(at.ip().octets()[3])
}

pub(crate) fn site(of: usize) -> SiteName {
    SiteName::new(["east", "west", "north"][of % 3]).expect("a name")
}

pub(crate) fn config(of: usize, max_servers: usize) -> NodeConfig {
    NodeConfig {
        installation: Installation::new("bread").expect("a name"),
        name: name(of),
        site: site(of),
        address: address(of),
        seeds: vec![address(0), address(1)],
        max_servers,
        probe_period: PERIOD,
        retention: Duration::from_ms(900_000),
    }
}

/// Several members; datagrams take 1 ms, in order, and are dropped where `blocked` says so.
#[derive(Clone)]
pub(crate) struct TestFleet {
    pub now: Timestamp,
    pub members: BTreeMap<usize, Membership>,
    pub suspended: BTreeMap<usize, VecDeque<Datagram>>,
    pub blocked: fn(usize, usize) -> bool,
    pub loss: f64,
    in_flight: VecDeque<(Timestamp, usize, usize, Datagram)>,
    pub events: Vec<(u64, usize, MembershipEvent)>,
    random: Pcg,
    pub sent: usize,
}

impl TestFleet {
    pub(crate) fn new(size: usize) -> Self {
        let mut fleet = Self {
            now: START,
            members: BTreeMap::new(),
            suspended: BTreeMap::new(),
            blocked: |_, _| false,
            loss: 0.0,
            in_flight: VecDeque::new(),
            events: Vec::new(),
            random: Pcg::new(7),
            sent: 0,
        };
        (0..size).for_each(|of| fleet.start(of));
        fleet
    }

    pub(crate) fn start(&mut self, of: usize) {
        let generation = Generation(self.now.us() / 1000);
        let members = Membership::new(config(of, 64), generation, of as u64 + self.now.us(), self.now);
        self.members.insert(of, members);
    }

    pub(crate) fn suspend(&mut self, of: usize) {
        self.suspended.insert(of, VecDeque::new());
    }

    /// The member acts on its timers and then receives all datagrams that arrived meanwhile.
    pub(crate) fn resume(&mut self, of: usize) {
        let waiting = self.suspended.remove(&of).unwrap_or_default();
        if let Some(member) = self.members.get_mut(&of) {
            member.tick(self.now);
            for datagram in &waiting {
                let _ = member.receive(self.now, datagram);
            }
        }
    }

    /// The member receives all datagrams that arrived meanwhile before it acts on its timers, as the server does.
    pub(crate) fn resume_input_first(&mut self, of: usize) {
        let waiting = self.suspended.remove(&of).unwrap_or_default();
        if let Some(member) = self.members.get_mut(&of) {
            for datagram in &waiting {
                let _ = member.receive(self.now, datagram);
            }
            member.tick(self.now);
        }
    }

    pub(crate) fn kill(&mut self, of: usize) {
        self.members.remove(&of);
    }

    /// Runs for so many milliseconds, from event to event.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_ms(ms);
        loop {
            self.deliver();
            let suspended = &self.suspended;
            let running = self.members.iter_mut().filter(|(of, _)| !suspended.contains_key(of));
            let mut next = end;
            for (of, member) in running {
                member.tick(self.now);
                while let Some(OutgoingDatagram { address: to, datagram }) = member.next_datagram(self.now) {
                    self.sent += 1;
                    self.in_flight.push_back((self.now + Duration::from_ms(1), *of, number(to), datagram));
                }
                while let Some(event) = member.next_event() {
                    self.events.push(((self.now - START).us() / 1000, *of, event));
                }
                member.check_invariants().unwrap_or_else(|why| panic!("{of}: {why}"));
                next = next.min(member.next_tick());
            }
            if self.now >= end {
                return;
            }
            let arrives = self.in_flight.front().map_or(end, |(at, ..)| *at);
            self.now = next.min(arrives).max(self.now + Duration::from_us(1));
        }
    }

    fn deliver(&mut self) {
        while self.in_flight.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, datagram)) = self.in_flight.pop_front() else { break };
            if (self.blocked)(from, to) || self.random.draw_fraction() < self.loss {
                continue;
            }
            if let Some(waiting) = self.suspended.get_mut(&to) {
                waiting.push_back(datagram);
            } else if let Some(member) = self.members.get_mut(&to) {
                let _ = member.receive(self.now, &datagram);
            }
        }
    }

    /// One member's view of all others, in one line.
    pub(crate) fn view_of(&self, of: usize) -> String {
        let member = &self.members[&of];
        let mut by: BTreeMap<MemberStatus, Vec<String>> = BTreeMap::new();
        for (name, standing) in member.statuses() {
            by.entry(standing).or_default().push(name.to_string());
        }
        let statuses: Vec<String> =
            by.iter().map(|(standing, names)| format!("{} {}", standing.name(), names.join(" "))).collect();
        let size = member.size(None);
        let status = member.local_status().name();
        format!("n{of} {status} {}..{}: {}", size.min, size.max, statuses.join(", "))
    }

    /// Whether each running member counts exactly the other running members as alive.
    pub(crate) fn agree(&self) -> bool {
        self.members.iter().all(|(of, member)| {
            let alive = member.statuses().filter(|(_, standing)| *standing == MemberStatus::Alive);
            let alive: Vec<MemberName> = alive.map(|(name, _)| name).collect();
            let mut here: Vec<MemberName> =
                self.members.keys().filter(|other| *other != of).map(|other| name(*other)).collect();
            here.sort();
            alive == here
        })
    }

    /// How many members were declared dead, by all.
    pub(crate) fn deaths(&self) -> usize {
        self.events.iter().filter(|(.., event)| matches!(event, MembershipEvent::Died(_))).count()
    }
}
