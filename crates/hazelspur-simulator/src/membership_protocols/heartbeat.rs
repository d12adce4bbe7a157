//! A plain heartbeat protocol, as the baseline of the comparison. Each member sends heartbeats to all members
//! of its site. Between sites only the speakers of each site do, which are the two members with the lowest
//! numbers that are considered alive there. A speaker tells the speakers of other sites who is alive in its
//! own, and passes on what it hears of other sites with the heartbeats to its own. A member that is silent
//! for as long as the shortest suspicion of the other protocols is considered dead.

use super::{MembershipNotice, MembershipProtocol, OutgoingPacket, SEED_MEMBERS};
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Time between two heartbeats of a member.
const HEARTBEAT_PERIOD: Duration = Duration::from_ms(1000);
/// Number of sites of the fleet.
const SITES: usize = 3;
/// Number of members of a site that exchange heartbeats with other sites.
const SPEAKERS_PER_SITE: usize = 2;
/// Time for which a member counts as a newcomer after it was first heard of.
const NEWCOMER_DURATION: Duration = Duration::from_ms(5000);
/// Bytes of a datagram's header (tag, installation, sender) in the encoding of `hazelspur_fleet`.
const HEADER_BYTES: usize = 60;
/// Bytes of one listed member in the encoding of `hazelspur_fleet`.
const ENTRY_BYTES: usize = 12;
/// Maximum length of a datagram, in bytes; a longer list is counted as several datagrams.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// A heartbeat: its sender, and the time since each listed member was last known to be alive.
#[derive(Clone)]
pub struct HeartbeatMessage {
    sender: usize,
    ages: Rc<Vec<(usize, Duration)>>,
}

/// A member of the heartbeat protocol.
pub struct Heartbeat {
    own_number: usize,
    /// Silence after which a member is considered dead.
    failure_timeout: Duration,
    next_heartbeat: Timestamp,
    /// Time at which each other member was last known to be alive.
    last_alive: BTreeMap<usize, Timestamp>,
    /// Time at which each other member was first heard of.
    first_heard: BTreeMap<usize, Timestamp>,
    now: Timestamp,
    outgoing: VecDeque<OutgoingPacket<HeartbeatMessage>>,
    notices: VecDeque<MembershipNotice>,
}

impl Heartbeat {
    fn record_alive(&mut self, server: usize, at: Timestamp) {
        if server == self.own_number {
            return;
        }
        match self.last_alive.get_mut(&server) {
            Some(last_alive) => *last_alive = at.max(*last_alive),
            None => {
                self.last_alive.insert(server, at);
                self.first_heard.insert(server, self.now);
                self.notices.push_back(MembershipNotice::Alive(server));
            }
        }
    }

    /// Returns the speakers of a site: its members with the lowest numbers that are considered alive.
    fn speakers(&self, site: usize) -> Vec<usize> {
        let numbers =
            self.last_alive.keys().copied().chain([self.own_number]).filter(|server| server % SITES == site);
        let mut numbers: Vec<usize> = numbers.collect();
        numbers.sort_unstable();
        numbers.truncate(SPEAKERS_PER_SITE);
        numbers
    }

    fn send(&mut self, receiver: usize, ages: Rc<Vec<(usize, Duration)>>) {
        let datagrams = (ages.len() * ENTRY_BYTES).div_ceil(MAX_DATAGRAM_BYTES - HEADER_BYTES).max(1);
        let bytes = datagrams * HEADER_BYTES + ages.len() * ENTRY_BYTES;
        let packet = HeartbeatMessage { sender: self.own_number, ages };
        self.outgoing.push_back(OutgoingPacket { receiver, packet, bytes });
    }
}

impl MembershipProtocol for Heartbeat {
    /// Name of this protocol in the printed tables.
    const NAME: &'static str = "heartbeats, two speakers a site";
    type Packet = HeartbeatMessage;

    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self {
        let failure_timeout = Duration::from_secs(4.0 * (max_servers as f64 + 1.0).log10().max(1.0));
        let next_heartbeat = now + Duration::from_us(seed % HEARTBEAT_PERIOD.us());
        let (last_alive, first_heard) = (BTreeMap::new(), BTreeMap::new());
        let (outgoing, notices) = (VecDeque::new(), VecDeque::new());
        Self {
            own_number: server,
            failure_timeout,
            next_heartbeat,
            last_alive,
            first_heard,
            now,
            outgoing,
            notices,
        }
    }

    fn receive(&mut self, now: Timestamp, packet: &HeartbeatMessage) {
        self.now = now;
        self.record_alive(packet.sender, now);
        let (ages, failure_timeout) = (packet.ages.clone(), self.failure_timeout);
        for (server, age) in ages.iter().filter(|(_, age)| *age < failure_timeout) {
            self.record_alive(*server, now.saturating_sub(*age));
        }
    }

    fn tick(&mut self, now: Timestamp) {
        if now < self.next_heartbeat {
            return;
        }
        (self.next_heartbeat, self.now) = (now + HEARTBEAT_PERIOD, now);
        let failure_timeout = self.failure_timeout;
        let silent: Vec<usize> = self
            .last_alive
            .iter()
            .filter(|(_, at)| now - **at > failure_timeout)
            .map(|(server, _)| *server)
            .collect();
        for server in silent {
            self.last_alive.remove(&server);
            self.first_heard.remove(&server);
            self.notices.push_back(MembershipNotice::Dead(server));
        }
        let site = self.own_number % SITES;
        let ages_where = |in_own_site: bool| -> Rc<Vec<(usize, Duration)>> {
            let listed =
                self.last_alive.iter().filter(|(server, _)| (**server % SITES == site) == in_own_site);
            Rc::new(listed.map(|(server, at)| (*server, now - *at)).collect())
        };
        let (own_site, other_sites) = (ages_where(true), ages_where(false));
        let is_speaker = self.speakers(site).contains(&self.own_number);
        let site_members: Vec<usize> =
            self.last_alive.keys().copied().filter(|server| server % SITES == site).collect();
        let is_newcomer = |server: &usize| {
            self.first_heard.get(server).is_some_and(|first_heard| now - *first_heard < NEWCOMER_DURATION)
        };
        let newcomers: Vec<(usize, Duration)> =
            own_site.iter().filter(|(server, _)| is_newcomer(server)).copied().collect();
        // Members of the own site hear of newcomers, and newcomers hear of all members.
        let rest = if is_speaker { other_sites.iter() } else { [].iter() };
        let usual_ages: Rc<Vec<(usize, Duration)>> = Rc::new(rest.chain(&newcomers).copied().collect());
        let all_ages: Rc<Vec<(usize, Duration)>> =
            Rc::new(own_site.iter().chain(other_sites.iter()).copied().collect());
        let recipients: Vec<(usize, bool)> =
            site_members.into_iter().map(|server| (server, is_newcomer(&server))).collect();
        for (server, newcomer) in recipients {
            self.send(server, if newcomer { all_ages.clone() } else { usual_ages.clone() });
        }
        if is_speaker {
            let others = (0..SITES).filter(|other| *other != site);
            let speakers: Vec<usize> = others.flat_map(|other| self.speakers(other)).collect();
            speakers.into_iter().for_each(|server| self.send(server, own_site.clone()));
        }
        for seed_member in SEED_MEMBERS {
            if seed_member != self.own_number && !self.last_alive.contains_key(&seed_member) {
                self.send(seed_member, own_site.clone());
            } else if self.last_alive.len() < 3 && seed_member != self.own_number {
                self.send(seed_member, Rc::default());
            }
        }
    }

    fn next_tick(&self) -> Timestamp {
        self.next_heartbeat
    }

    fn next_packet(&mut self, _now: Timestamp) -> Option<OutgoingPacket<HeartbeatMessage>> {
        self.outgoing.pop_front()
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.notices.pop_front()
    }

    fn alive_count(&self) -> usize {
        self.last_alive.len()
    }
}
