//! A few members and the network between them, moved by hand.

#![allow(dead_code)] // each test uses its part

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::{
    Datagram, Event, Generation, Installation, MemberName, Members, SiteName, Standing, Terms,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub const START: Timestamp = Timestamp::from_us(1_700_000_000_000_000);
pub const PERIOD: Duration = Duration::from_ms(1000);

pub fn name(of: usize) -> MemberName {
    MemberName::new(&format!("n{of}")).expect("a name")
}

pub fn address(of: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (of >> 8) as u8, (of & 255) as u8], 7000))
}

pub fn number(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return usize::MAX };
    usize::from(at.ip().octets()[2]) << 8 | usize::from(at.ip().octets()[3])
}

pub fn site(of: usize) -> SiteName {
    SiteName::new(["east", "west", "north"][of % 3]).expect("a name")
}

pub fn terms(of: usize, most: usize) -> Terms {
    Terms {
        installation: Installation::new("bread").expect("a name"),
        name: name(of),
        site: site(of),
        at: address(of),
        contacts: vec![address(0), address(1)],
        most,
        period: PERIOD,
        remember: Duration::from_ms(900_000),
    }
}

/// Several members; datagrams take 1 ms, in order, and are lost where `blocked` says so.
#[derive(Clone)]
pub struct Town {
    pub now: Timestamp,
    pub members: BTreeMap<usize, Members>,
    pub stopped: BTreeMap<usize, VecDeque<Datagram>>,
    pub blocked: fn(usize, usize) -> bool,
    pub loss: f64,
    under_way: VecDeque<(Timestamp, usize, usize, Datagram)>,
    pub said: Vec<(u64, usize, Event)>,
    chance: Pcg,
    pub sent: usize,
}

impl Town {
    pub fn new(size: usize) -> Self {
        let mut town = Self {
            now: START,
            members: BTreeMap::new(),
            stopped: BTreeMap::new(),
            blocked: |_, _| false,
            loss: 0.0,
            under_way: VecDeque::new(),
            said: Vec::new(),
            chance: Pcg::new(7),
            sent: 0,
        };
        (0..size).for_each(|of| town.start(of));
        town
    }

    pub fn start(&mut self, of: usize) {
        let generation = Generation(self.now.us() / 1000);
        let members = Members::new(terms(of, 64), generation, of as u64 + self.now.us(), self.now);
        self.members.insert(of, members);
    }

    pub fn stop(&mut self, of: usize) {
        self.stopped.insert(of, VecDeque::new());
    }

    /// It goes on with all that came meanwhile.
    pub fn go_on(&mut self, of: usize) {
        let waiting = self.stopped.remove(&of).unwrap_or_default();
        if let Some(member) = self.members.get_mut(&of) {
            member.tick(self.now);
            for datagram in &waiting {
                let _ = member.heard(self.now, datagram);
            }
        }
    }

    pub fn kill(&mut self, of: usize) {
        self.members.remove(&of);
    }

    /// So many milliseconds, from event to event.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_ms(ms);
        loop {
            self.deliver();
            let stopped = &self.stopped;
            let running = self.members.iter_mut().filter(|(of, _)| !stopped.contains_key(of));
            let mut next = end;
            for (of, member) in running {
                member.tick(self.now);
                while let Some((to, datagram)) = member.next_out(self.now) {
                    self.sent += 1;
                    self.under_way.push_back((self.now + Duration::from_ms(1), *of, number(to), datagram));
                }
                while let Some(event) = member.next_event() {
                    self.said.push(((self.now - START).us() / 1000, *of, event));
                }
                member.check().unwrap_or_else(|why| panic!("{of}: {why}"));
                next = next.min(member.next_tick());
            }
            if self.now >= end {
                return;
            }
            let arrives = self.under_way.front().map_or(end, |(at, ..)| *at);
            self.now = next.min(arrives).max(self.now + Duration::from_us(1));
        }
    }

    fn deliver(&mut self) {
        while self.under_way.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, datagram)) = self.under_way.pop_front() else { break };
            if (self.blocked)(from, to) || self.chance.unit() < self.loss {
                continue;
            }
            if let Some(waiting) = self.stopped.get_mut(&to) {
                waiting.push_back(datagram);
            } else if let Some(member) = self.members.get_mut(&to) {
                let _ = member.heard(self.now, &datagram);
            }
        }
    }

    /// Who stands how with one of them, in one line.
    pub fn seen_by(&self, of: usize) -> String {
        let member = &self.members[&of];
        let mut by: BTreeMap<Standing, Vec<String>> = BTreeMap::new();
        for (name, standing) in member.standings() {
            by.entry(standing).or_default().push(name.to_string());
        }
        let rows: Vec<String> =
            by.iter().map(|(standing, names)| format!("{} {}", standing.name(), names.join(" "))).collect();
        let size = member.size(None);
        let condition = member.condition().name();
        format!("n{of} {condition} {}..{}: {}", size.least, size.most, rows.join(", "))
    }

    /// Whether all that run see all others that run alive, and nobody else.
    pub fn agree(&self) -> bool {
        self.members.iter().all(|(of, member)| {
            let alive = member.standings().filter(|(_, standing)| *standing == Standing::Alive);
            let alive: Vec<MemberName> = alive.map(|(name, _)| name).collect();
            let mut here: Vec<MemberName> =
                self.members.keys().filter(|other| *other != of).map(|other| name(*other)).collect();
            here.sort();
            alive == here
        })
    }

    /// How often each kind of event was said, of and by whom left out.
    pub fn lost(&self) -> usize {
        self.said.iter().filter(|(.., event)| matches!(event, Event::Lost(_))).count()
    }
}
