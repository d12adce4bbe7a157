//! Heartbeats from each to all of its site, and from site to site by two speakers each, who are the two
//! lowest numbers alive there. A speaker says who is alive in its site; what it hears of others goes with its
//! heartbeats at home. The plainest thing that could serve: silence for as long as the others' shortest
//! suspicion means gone.

use super::{MembershipNotice, MembershipProtocol, OutgoingPacket, SEED_MEMBERS};
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Between two heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_ms(1000);
/// Sites of the fleet.
const SITES: usize = 3;
/// Members of a site that exchange heartbeats with other sites.
const SPEAKERS_PER_SITE: usize = 2;
/// A newcomer is news for so long.
const NEWCOMER_DURATION: Duration = Duration::from_ms(5000);
/// Bytes of a datagram's head (tag, installation, sender) and of one in a list, by the own machine's
/// encoding.
const HEADER_BYTES: usize = 60;
/// Encoded bytes of one listed member.
const ENTRY_BYTES: usize = 12;
/// The longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// Who was alive how long ago, by the sender's account.
#[derive(Clone)]
pub struct HeartbeatMessage {
    from: usize,
    list: Rc<Vec<(usize, Duration)>>,
}

/// A member by heartbeats.
pub struct Heartbeat {
    me: usize,
    silence: Duration,
    next: Timestamp,
    /// When each was last known to be alive, and when it was first heard of.
    seen: BTreeMap<usize, Timestamp>,
    met: BTreeMap<usize, Timestamp>,
    now: Timestamp,
    out: VecDeque<OutgoingPacket<HeartbeatMessage>>,
    notices: VecDeque<MembershipNotice>,
}

impl Heartbeat {
    fn note(&mut self, of: usize, at: Timestamp) {
        if of == self.me {
            return;
        }
        match self.seen.get_mut(&of) {
            Some(seen) => *seen = at.max(*seen),
            None => {
                self.seen.insert(of, at);
                self.met.insert(of, self.now);
                self.notices.push_back(MembershipNotice::Alive(of));
            }
        }
    }

    fn speakers(&self, site: usize) -> Vec<usize> {
        let here = self.seen.keys().copied().chain([self.me]).filter(|of| of % SITES == site);
        let mut here: Vec<usize> = here.collect();
        here.sort_unstable();
        here.truncate(SPEAKERS_PER_SITE);
        here
    }

    fn send(&mut self, to: usize, list: Rc<Vec<(usize, Duration)>>) {
        let datagrams = (list.len() * ENTRY_BYTES).div_ceil(MAX_DATAGRAM_BYTES - HEADER_BYTES).max(1);
        let bytes = datagrams * HEADER_BYTES + list.len() * ENTRY_BYTES;
        let packet = HeartbeatMessage { from: self.me, list };
        self.out.push_back(OutgoingPacket { receiver: to, packet, bytes });
    }
}

impl MembershipProtocol for Heartbeat {
    /// How this protocol is named in the printed tables.
    const NAME: &'static str = "heartbeats, two speakers a site";
    type Packet = HeartbeatMessage;

    fn start(me: usize, most: usize, seed: u64, now: Timestamp) -> Self {
        let silence = Duration::from_secs(4.0 * (most as f64 + 1.0).log10().max(1.0));
        let next = now + Duration::from_us(seed % HEARTBEAT_PERIOD.us());
        let (seen, met) = (BTreeMap::new(), BTreeMap::new());
        let (out, notices) = (VecDeque::new(), VecDeque::new());
        Self { me, silence, next, seen, met, now, out, notices }
    }

    fn receive(&mut self, now: Timestamp, packet: &HeartbeatMessage) {
        self.now = now;
        self.note(packet.from, now);
        let (list, silence) = (packet.list.clone(), self.silence);
        for (of, age) in list.iter().filter(|(_, age)| *age < silence) {
            self.note(*of, now.saturating_sub(*age));
        }
    }

    fn tick(&mut self, now: Timestamp) {
        if now < self.next {
            return;
        }
        (self.next, self.now) = (now + HEARTBEAT_PERIOD, now);
        let silence = self.silence;
        let gone: Vec<usize> =
            self.seen.iter().filter(|(_, at)| now - **at > silence).map(|(of, _)| *of).collect();
        for of in gone {
            self.seen.remove(&of);
            self.met.remove(&of);
            self.notices.push_back(MembershipNotice::Dead(of));
        }
        let site = self.me % SITES;
        let ages = |mine: bool| -> Rc<Vec<(usize, Duration)>> {
            let listed = self.seen.iter().filter(|(of, _)| (**of % SITES == site) == mine);
            Rc::new(listed.map(|(of, at)| (*of, now - *at)).collect())
        };
        let (home, away) = (ages(true), ages(false));
        let speaks = self.speakers(site).contains(&self.me);
        let neighbours: Vec<usize> = self.seen.keys().copied().filter(|of| of % SITES == site).collect();
        let fresh = |of: &usize| self.met.get(of).is_some_and(|met| now - *met < NEWCOMER_DURATION);
        let new: Vec<(usize, Duration)> = home.iter().filter(|(of, _)| fresh(of)).copied().collect();
        // All hear of newcomers, and newcomers of all.
        let rest = if speaks { away.iter() } else { [].iter() };
        let usual: Rc<Vec<(usize, Duration)>> = Rc::new(rest.chain(&new).copied().collect());
        let all: Rc<Vec<(usize, Duration)>> = Rc::new(home.iter().chain(away.iter()).copied().collect());
        let lists: Vec<(usize, bool)> = neighbours.into_iter().map(|of| (of, fresh(&of))).collect();
        for (of, newcomer) in lists {
            self.send(of, if newcomer { all.clone() } else { usual.clone() });
        }
        if speaks {
            let others = (0..SITES).filter(|other| *other != site);
            let to: Vec<usize> = others.flat_map(|other| self.speakers(other)).collect();
            to.into_iter().for_each(|of| self.send(of, home.clone()));
        }
        for contact in SEED_MEMBERS {
            if contact != self.me && !self.seen.contains_key(&contact) {
                self.send(contact, home.clone());
            } else if self.seen.len() < 3 && contact != self.me {
                self.send(contact, Rc::default());
            }
        }
    }

    fn next_tick(&self) -> Timestamp {
        self.next
    }

    fn next_packet(&mut self, _now: Timestamp) -> Option<OutgoingPacket<HeartbeatMessage>> {
        self.out.pop_front()
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.notices.pop_front()
    }

    fn alive_count(&self) -> usize {
        self.seen.len()
    }
}
