//! Names and configurations of test members, and a small fleet over a simulated network and clock.

#![allow(dead_code)] // each test program uses only some of the items

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

pub(crate) fn name(index: usize) -> MemberName {
    MemberName::new(&format!("n{index}")).expect("valid name")
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (index >> 8) as u8, (index & 255) as u8], 7000))
}

pub(crate) fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    usize::from(address.ip().octets()[2]) << 8 | usize::from(address.ip().octets()[3])
}

pub(crate) fn site(index: usize) -> SiteName {
    SiteName::new(["east", "west", "north"][index % 3]).expect("valid name")
}

pub(crate) fn config(index: usize, max_servers: usize) -> NodeConfig {
    NodeConfig {
        installation: Installation::new("bread").expect("valid name"),
        name: name(index),
        site: site(index),
        address: address(index),
        seeds: vec![address(0), address(1)],
        max_servers,
        probe_period: PERIOD,
        retention: Duration::from_ms(900_000),
    }
}

/// Several members on a simulated network. Datagrams arrive in order after 1 ms. The network drops those that
/// `blocked` selects, and others at random with the probability `loss_rate`.
#[derive(Clone)]
pub(crate) struct TestFleet {
    pub now: Timestamp,
    /// The running members by index, including suspended ones.
    pub members: BTreeMap<usize, Membership>,
    /// The datagrams that arrived for each suspended member.
    pub suspended: BTreeMap<usize, VecDeque<Datagram>>,
    /// Whether datagrams from the first member to the second are dropped.
    pub blocked: fn(usize, usize) -> bool,
    pub loss_rate: f64,
    /// Time of arrival, sender, receiver and datagram.
    in_flight: VecDeque<(Timestamp, usize, usize, Datagram)>,
    /// Milliseconds since the start, the member that reported the event, and the event.
    pub events: Vec<(u64, usize, MembershipEvent)>,
    random: Pcg,
    pub sent_datagrams: usize,
}

impl TestFleet {
    pub(crate) fn new(size: usize) -> Self {
        let mut fleet = Self {
            now: START,
            members: BTreeMap::new(),
            suspended: BTreeMap::new(),
            blocked: |_, _| false,
            loss_rate: 0.0,
            in_flight: VecDeque::new(),
            events: Vec::new(),
            random: Pcg::new(7),
            sent_datagrams: 0,
        };
        (0..size).for_each(|index| fleet.start(index));
        fleet
    }

    pub(crate) fn start(&mut self, index: usize) {
        let generation = Generation(self.now.us() / 1000);
        let member = Membership::new(config(index, 64), generation, index as u64 + self.now.us(), self.now);
        self.members.insert(index, member);
    }

    pub(crate) fn suspend(&mut self, index: usize) {
        self.suspended.insert(index, VecDeque::new());
    }

    /// Ends a suspension. The member runs its timers and then receives the datagrams that arrived meanwhile.
    pub(crate) fn resume(&mut self, index: usize) {
        let buffered = self.suspended.remove(&index).unwrap_or_default();
        if let Some(member) = self.members.get_mut(&index) {
            member.tick(self.now);
            for datagram in &buffered {
                let _ = member.receive(self.now, datagram);
            }
        }
    }

    /// Ends a suspension. The member receives the datagrams that arrived meanwhile and then runs its timers,
    /// as the server does.
    pub(crate) fn resume_input_first(&mut self, index: usize) {
        let buffered = self.suspended.remove(&index).unwrap_or_default();
        if let Some(member) = self.members.get_mut(&index) {
            for datagram in &buffered {
                let _ = member.receive(self.now, datagram);
            }
            member.tick(self.now);
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.members.remove(&index);
    }

    /// Runs the fleet for `ms` milliseconds. The clock advances to the next timer or arrival.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_ms(ms);
        loop {
            self.deliver();
            let suspended = &self.suspended;
            let running = self.members.iter_mut().filter(|(index, _)| !suspended.contains_key(index));
            let mut next = end;
            for (index, member) in running {
                member.tick(self.now);
                while let Some(OutgoingDatagram { address: to, datagram }) = member.next_datagram(self.now) {
                    self.sent_datagrams += 1;
                    self.in_flight.push_back((
                        self.now + Duration::from_ms(1),
                        *index,
                        index_of(to),
                        datagram,
                    ));
                }
                while let Some(event) = member.next_event() {
                    self.events.push(((self.now - START).us() / 1000, *index, event));
                }
                member.check_invariants().unwrap_or_else(|violation| panic!("{index}: {violation}"));
                next = next.min(member.next_tick());
            }
            if self.now >= end {
                return;
            }
            let next_arrival = self.in_flight.front().map_or(end, |(at, ..)| *at);
            self.now = next.min(next_arrival).max(self.now + Duration::from_us(1));
        }
    }

    fn deliver(&mut self) {
        while self.in_flight.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, datagram)) = self.in_flight.pop_front() else { break };
            if (self.blocked)(from, to) || self.random.draw_fraction() < self.loss_rate {
                continue;
            }
            if let Some(buffered) = self.suspended.get_mut(&to) {
                buffered.push_back(datagram);
            } else if let Some(member) = self.members.get_mut(&to) {
                let _ = member.receive(self.now, &datagram);
            }
        }
    }

    /// Returns one member's view of all others in one line.
    pub(crate) fn view_of(&self, index: usize) -> String {
        let member = &self.members[&index];
        let mut names_by_status: BTreeMap<MemberStatus, Vec<String>> = BTreeMap::new();
        for (name, status) in member.statuses() {
            names_by_status.entry(status).or_default().push(name.to_string());
        }
        let statuses: Vec<String> = names_by_status
            .iter()
            .map(|(status, names)| format!("{} {}", status.name(), names.join(" ")))
            .collect();
        let size = member.size(None);
        let local_status = member.local_status().name();
        format!("n{index} {local_status} {}..{}: {}", size.min, size.max, statuses.join(", "))
    }

    /// Returns whether each running member considers exactly the other running members alive.
    pub(crate) fn all_agree(&self) -> bool {
        self.members.iter().all(|(index, member)| {
            let alive = member.statuses().filter(|(_, status)| *status == MemberStatus::Alive);
            let alive: Vec<MemberName> = alive.map(|(name, _)| name).collect();
            let mut running: Vec<MemberName> =
                self.members.keys().filter(|other| *other != index).map(|other| name(*other)).collect();
            running.sort();
            alive == running
        })
    }

    /// Returns the number of events in which any member declared another one dead.
    pub(crate) fn death_declarations(&self) -> usize {
        self.events.iter().filter(|(.., event)| matches!(event, MembershipEvent::Died(_))).count()
    }
}
