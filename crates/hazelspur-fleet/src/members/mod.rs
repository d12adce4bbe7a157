//! Who is here, as far as this process can know: probes in turn, help from others before anybody is
//! suspected, time for the suspected to speak up, and a list that mends itself. After Das, Gupta and
//! Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (2002),
//! with the suspicion that shortens with each accuser and the local health of "Lifeguard" (2018). Ours: that
//! nobody is declared dead for others, that what is heard from a member itself outweighs hearsay, lives by
//! generation, the two bounds of the size, and that the lost are asked again, so that parts that met again
//! grow together.
//!
//! Inputs (`heard`, `tick`, `leave`, `left`) only update; then pull `next_out` and `next_event` until `None`,
//! and call `tick` at `next_tick`.

mod hearing;
mod rounds;
mod telling;

use crate::anti_replay::AntiReplayWindow;
use crate::claim::{Claim, Says};
use crate::doubt::{Condition, Doubt};
use crate::invariant::InvariantViolation;
use crate::load_reports;
use crate::names::{Generation, Incarnation, Installation, MemberName, SiteName};
use crate::news::News;
use crate::picture::{Picture, Row, Size, Standing};
use crate::talk::{self, Body, Datagram, Dropped, MAX_CLAIMS, MAX_ROWS, ShownRow};
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Unbounded};

/// A probe waits for its answer for this part of a period, then others are asked to try.
const ANSWER_PART: f64 = 0.4;
const HELPERS: usize = 3;
/// A period grows to so many at most.
const LONGEST_PERIOD: f64 = 2.0;
/// Lifeguard's alpha and beta: the shortest suspicion is alpha times log10 of the size in periods, at least
/// alpha periods; the longest beta times that; so many accusers besides the first make it the shortest.
const SHORTEST: f64 = 4.0;
const LONGEST: f64 = 6.0;
const ACCUSERS: usize = 3;
/// Claims of the list that go along where there is no news, and datagrams for news alone in a period.
const PAGE: usize = 6;
const GOSSIPS: usize = 2;
/// Told at once when this process leaves, and when it has left.
const FAREWELLS: usize = 8;
/// Lost ones called in a period where some have come back.
const MAX_CALLS: usize = 7;
/// Parts of the list and shows that are answered in a period, probes made for others at once.
const PAGES: usize = 64;
const SHOWS: usize = 128;
const RELAYS: usize = 64;
/// Datagrams and events that wait; more are dropped, as a network would.
const MAX_OUT: usize = 512;
const MAX_EVENTS: usize = 1024;
/// A generation this far ahead of the clock is nobody's, in ms.
const AHEAD_MS: u64 = 600_000;
/// How often a process takes a new generation in a period at most: two of one name would go on for ever.
const BUMPS: u32 = 2;
/// A contact point that is no known member is tried so often, in periods.
const CONTACT_EVERY: u64 = 10;
/// The list is read again once more than this part of it is new, not sooner than so many periods after: in a
/// storm of starts what is read first is short, and news of hundreds takes its time.
const GROWN: f64 = 0.05;
const READ_EVERY: u64 = 3;
/// `Left` is passed on for so many periods.
const LEFT_TOLD: u64 = 60;
/// The lost are passed on for this part of the time for which they are remembered.
const LOST_TOLD: f64 = 0.5;
/// What was heard itself within this many periods outweighs an accusation.
const FRESH: u64 = 2;

/// What an operator sets.
#[derive(Clone, Debug)]
pub struct Terms {
    pub installation: Installation,
    pub name: MemberName,
    pub site: SiteName,
    /// Where others reach this process.
    pub at: SocketAddr,
    /// Tried first; up to 16.
    pub contacts: Vec<SocketAddr>,
    /// No more servers than this exist at once, 1 to 4096: the upper bound where nothing better is known.
    pub most: usize,
    /// How often one other is probed.
    pub period: Duration,
    /// How long those who are lost or left are remembered. Until then the lost count to the upper bound.
    pub remember: Duration,
}

/// A change that is worth a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Condition(Condition, Condition),
    Joined(MemberName),
    /// The same name, a new life.
    Restarted(MemberName),
    Suspected(MemberName, MemberName),
    /// Suspected or lost, and heard of again.
    Back(MemberName),
    Lost(MemberName),
    Leaving(MemberName),
    Left(MemberName),
    /// Others thought this process gone, and were told otherwise.
    Refuted(Incarnation),
    /// Another process goes by our name.
    Twin(SocketAddr),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub sent: u64,
    pub heard: u64,
    pub probes: u64,
    pub unanswered: u64,
    pub refuted: u64,
    /// Claims that can't be, and members for which there was no room.
    pub absurd: u64,
    pub no_room: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    /// The last word, and from whom.
    claim: Claim,
    by: MemberName,
    word: Timestamp,
    standing: Standing,
    since: Timestamp,
    heard: Option<Timestamp>,
    seen: AntiReplayWindow,
    /// It said itself that it has left; hearsay of that is believed only until it speaks.
    said_left: bool,
    accusers: Vec<MemberName>,
    /// While suspected: when it is called once more, and once that is done until when it may speak up.
    until: Timestamp,
    called: bool,
}

#[derive(Clone, Debug)]
struct Probe {
    of: MemberName,
    number: u32,
    /// When others are asked; none once they are.
    help_at: Option<Timestamp>,
}

/// A probe made for another.
#[derive(Clone, Debug)]
struct Relay {
    number: u32,
    asker: SocketAddr,
    asked: u32,
    until: Timestamp,
}

#[derive(Clone, Debug)]
struct Out {
    to: SocketAddr,
    /// Where it is known: its claim goes along if it has something to refute.
    name: Option<MemberName>,
    body: Body,
}

#[derive(Clone, Debug)]
pub struct Members {
    terms: Terms,
    me: Claim,
    number: u64,
    chance: Pcg,
    doubt: Doubt,
    condition: Condition,
    table: BTreeMap<MemberName, Entry>,
    suspects: BTreeSet<(Timestamp, MemberName)>,
    lost: BTreeSet<MemberName>,
    /// All in the table, in no order, to draw from.
    all: Vec<MemberName>,
    news: News,
    /// Who is probed in this round, last first.
    round: Vec<MemberName>,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    next_period: Timestamp,
    gossip_at: Option<Timestamp>,
    periods: u64,
    /// The list was read to its end; behind which name it goes on, and whether it was asked for in this
    /// period.
    listed: bool,
    /// The list is being read; how many were known when that last ended, and in which period.
    reading: bool,
    read: (usize, u64),
    list_after: Option<MemberName>,
    asked: bool,
    refuted: bool,
    /// Lost ones that spoke in this period: where one is back, others may be.
    returned: usize,
    pages_left: usize,
    shows_left: usize,
    bumps_left: u32,
    /// Since the last standstill.
    awake: Timestamp,
    out: VecDeque<Out>,
    events: VecDeque<Event>,
    /// Goes along with each datagram.
    word: Option<load_reports::PeerLoadReport>,
    pub figures: Figures,
}

impl Members {
    /// A new life. `generation` is the wall clock in Unix milliseconds; a greater one that is heard of is
    /// passed.
    pub fn new(terms: Terms, generation: Generation, seed: u64, now: Timestamp) -> Self {
        let me = Claim {
            name: terms.name,
            site: terms.site,
            at: terms.at,
            generation,
            incarnation: Incarnation(0),
            says: Says::Alive,
        };
        let mut chance = Pcg::new(seed);
        // Those that start together are not to probe in step.
        let first = terms.period.scaled(chance.unit());
        let alone = terms.contacts.iter().all(|contact| *contact == terms.at);
        Self {
            doubt: Doubt::new(terms.period, now),
            condition: if alone { Condition::Whole } else { Condition::Joining },
            me,
            number: 0,
            chance,
            table: BTreeMap::new(),
            suspects: BTreeSet::new(),
            lost: BTreeSet::new(),
            all: Vec::new(),
            news: News::default(),
            round: Vec::new(),
            probe: None,
            relays: Vec::new(),
            next_period: now + first,
            gossip_at: None,
            periods: 0,
            listed: alone,
            reading: !alone,
            read: (0, 0),
            list_after: None,
            asked: false,
            refuted: false,
            returned: 0,
            pages_left: PAGES,
            shows_left: SHOWS,
            bumps_left: BUMPS,
            awake: now,
            out: VecDeque::new(),
            events: VecDeque::new(),
            word: None,
            figures: Figures::default(),
            terms,
        }
    }

    // ---- inputs ----

    /// A datagram that `talk::open` let through.
    pub fn heard(&mut self, now: Timestamp, came: &Datagram) -> Result<(), Dropped> {
        if let Body::Show { number, after } = came.body {
            self.show(now, came.from.at, number, after);
            return Ok(());
        }
        if matches!(came.from.says, Says::Suspected(_)) || !self.possible(now, &came.from) {
            return Err(Dropped::Content);
        }
        if came.from.name == self.me.name {
            if came.from.generation > self.me.generation {
                self.tell(Event::Twin(came.from.at));
            }
            return Err(Dropped::Old);
        }
        self.hear_itself(now, came)?;
        self.figures.heard += 1;
        self.doubt.heard(now);
        let by = came.from.name;
        came.claims.iter().take(MAX_CLAIMS).for_each(|claim| self.merge(now, claim, by));
        self.take_body(now, came);
        self.judge(now);
        Ok(())
    }

    /// The time that `next_tick` named is there, or past.
    pub fn tick(&mut self, now: Timestamp) {
        let due = self.next_tick();
        if now < due {
            return;
        }
        let stood = self.doubt.ran(now, due);
        if stood > Duration::ZERO {
            self.woke(now, stood);
        }
        if let Some(Probe { help_at: Some(at), .. }) = &self.probe
            && *at <= now
        {
            self.ask_for_help();
        }
        if self.gossip_at.is_some_and(|at| at <= now) {
            self.gossip_at = None;
            let names = self.pick(GOSSIPS, |_| true);
            names.into_iter().for_each(|name| self.send_to(name, Body::Gossip));
        }
        self.end_suspicions(now);
        if self.next_period <= now {
            self.period(now);
        }
        self.judge(now);
    }

    /// From now on nothing new is taken; others are told, so that nobody suspects us.
    pub fn leave(&mut self, now: Timestamp) {
        self.say_of_me(now, Says::Leaving);
    }

    /// The last word of this life.
    pub fn left(&mut self, now: Timestamp) {
        self.say_of_me(now, Says::Left);
    }

    /// What this server says of what all depend on, with each datagram from here on.
    pub fn says(&mut self, word: load_reports::PeerLoadReport) {
        self.word = Some(word);
    }

    /// To one that is known; false where it is not.
    pub fn send_word(&mut self, name: MemberName, body: Body) -> bool {
        let known = self.table.contains_key(&name);
        self.send_to(name, body);
        known
    }

    /// Nothing but what goes along, to so many that are drawn.
    pub fn push(&mut self, most: usize) {
        let names = self.pick(most, |entry| entry.standing == Standing::Alive);
        names.into_iter().for_each(|name| self.send_to(name, Body::Gossip));
    }

    /// All that are alive here, this server among them, with their sites.
    pub fn alive(&self) -> impl Iterator<Item = (MemberName, SiteName)> {
        let others = self.table.values().filter(|entry| entry.standing == Standing::Alive);
        others.map(|entry| (entry.claim.name, entry.claim.site)).chain([(self.me.name, self.me.site)])
    }

    // ---- what comes of it ----

    pub fn next_tick(&self) -> Timestamp {
        let help = self.probe.as_ref().and_then(|probe| probe.help_at);
        let suspects = self.suspects.first().map(|(at, _)| *at);
        [help, self.gossip_at, suspects].into_iter().flatten().fold(self.next_period, Timestamp::min)
    }

    /// What is to be sent, and where to.
    pub fn next_out(&mut self, now: Timestamp) -> Option<(SocketAddr, Datagram)> {
        let Out { to, name, body } = self.out.pop_front()?;
        self.number += 1;
        self.figures.sent += 1;
        let mut datagram = Datagram {
            installation: self.terms.installation,
            from: self.me,
            number: self.number,
            sent_ms: now.us() / 1000,
            word: self.word.filter(|_| !matches!(body, Body::Shown { .. } | Body::Choices { .. })),
            body,
            claims: Vec::new(),
        };
        let room = talk::LONGEST.saturating_sub(talk::length(&datagram));
        datagram.claims = match datagram.body {
            Body::Page { .. } => {
                let (claims, next) = self.list_behind(self.list_from(&datagram.body), room);
                datagram.body = Body::Page { next };
                claims
            }
            Body::Shown { .. } | Body::Choices { .. } => Vec::new(),
            _ => self.goes_along(name, room),
        };
        Some((to, datagram))
    }

    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    pub fn condition(&self) -> Condition {
        self.condition
    }

    pub fn me(&self) -> &Claim {
        &self.me
    }

    /// How a member stands here; `None` if it is not known.
    pub fn standing(&self, name: MemberName) -> Option<(Generation, Standing)> {
        self.table.get(&name).map(|entry| (entry.claim.generation, entry.standing))
    }

    pub fn standings(&self) -> impl Iterator<Item = (MemberName, Standing)> {
        self.table.iter().map(|(name, entry)| (*name, entry.standing))
    }

    /// The bounds of the size, of the whole fleet or of a site; this process counts itself until it has left.
    pub fn size(&self, site: Option<SiteName>) -> Size {
        let (mut sure, mut known, mut lost) = (0, 0, 0);
        let mine = site.is_none_or(|site| site == self.me.site) && self.me.says != Says::Left;
        for entry in self.table.values().filter(|entry| site.is_none_or(|site| site == entry.claim.site)) {
            known += usize::from(entry.standing.may_serve());
            lost += usize::from(entry.standing == Standing::Lost);
            sure += usize::from(entry.standing == Standing::Alive && self.sure_of(entry));
        }
        let unseen = !self.listed || self.condition == Condition::CutOff;
        // Where some can't be seen, as many may have come there meanwhile.
        let most = if unseen { self.terms.most } else { known + lost + usize::from(mine) };
        let least = sure + usize::from(mine);
        Size { least, most: most.min(self.terms.most).max(least) }
    }

    fn sure_of(&self, entry: &Entry) -> bool {
        match self.condition {
            Condition::Whole | Condition::Leaving => true,
            Condition::Doubtful => entry.heard.is_some_and(|heard| heard >= self.awake),
            Condition::Joining => entry.heard.is_some(),
            Condition::CutOff => false,
        }
    }

    pub fn picture(&self, now: Timestamp) -> Picture {
        let row = |(name, entry): (&MemberName, &Entry)| Row {
            name: *name,
            site: entry.claim.site,
            at: entry.claim.at,
            generation: entry.claim.generation,
            standing: entry.standing,
            since: now - entry.since,
            word: now - entry.word,
            by: entry.by,
            heard: entry.heard.map(|heard| now - heard),
        };
        let mut sites: BTreeSet<SiteName> = self.table.values().map(|entry| entry.claim.site).collect();
        sites.insert(self.me.site);
        Picture {
            me: self.me.name,
            generation: self.me.generation,
            condition: self.condition,
            rows: self.table.iter().map(row).collect(),
            fleet: self.size(None),
            sites: sites.into_iter().map(|site| (site, self.size(Some(site)))).collect(),
        }
    }

    /// Checks what must be true after each input.
    ///
    /// # Errors
    /// Returns the first invariant that does not hold.
    pub fn check(&self) -> Result<(), InvariantViolation> {
        for (name, entry) in &self.table {
            self.check_entry(*name, entry)?;
        }
        let (members, capacity) = (self.table.len(), self.room());
        if self.suspects.len() > members || members > capacity || self.all.len() != members {
            return Err(InvariantViolation::MemberTable { members, capacity });
        }
        let (size, outgoing) = (self.size(None), self.out.len());
        if size.least > size.most || outgoing > MAX_OUT {
            return Err(InvariantViolation::SizeOrQueue { size, outgoing });
        }
        Ok(())
    }

    fn check_entry(&self, member: MemberName, entry: &Entry) -> Result<(), InvariantViolation> {
        let status = entry.standing;
        if (status == Standing::Lost) != self.lost.contains(&member) {
            return Err(InvariantViolation::DeadSet { member, status });
        }
        let queued = self.suspects.contains(&(entry.until, member));
        if (status == Standing::Suspected) != queued {
            return Err(InvariantViolation::SuspicionQueue { member, status, queued });
        }
        if entry.said_left && status != Standing::Left {
            return Err(InvariantViolation::NotLeft { member, status });
        }
        Ok(())
    }

    // ---- inside ----

    fn suspect(&mut self, now: Timestamp, name: MemberName, accuser: MemberName) {
        let Some(entry) = self.table.get_mut(&name) else { return };
        if entry.standing == Standing::Suspected {
            self.suspects.remove(&(entry.until, name));
        }
        self.lost.remove(&name);
        (entry.standing, entry.since) = (Standing::Suspected, now);
        entry.accusers = vec![accuser];
        entry.called = false;
        self.suspects.insert((entry.until, name));
        self.set_end(now, name);
        self.tell(Event::Suspected(name, accuser));
    }

    /// When a suspicion ends, by how many have the same: Lifeguard's formula. Not before now, though a late accuser may
    /// make it shorter than it has lasted: a time that was never waited for is no standstill of this process.
    fn set_end(&mut self, now: Timestamp, name: MemberName) {
        let known = self.table.len();
        let fleet = known as f64 + 1.0;
        let Some(entry) = self.table.get_mut(&name) else { return };
        let shortest = SHORTEST * fleet.log10().max(1.0);
        let longest = LONGEST * shortest;
        let confirmed = (entry.accusers.len().saturating_sub(1)).min(ACCUSERS) as f64;
        let part = (confirmed + 1.0).ln() / (ACCUSERS as f64 + 1.0).ln();
        // With too few others to confirm anything, nobody is waited for.
        let alone = known < ACCUSERS + 2;
        let periods = if alone { shortest } else { (longest - (longest - shortest) * part).max(shortest) };
        self.suspects.remove(&(entry.until, name));
        let end = entry.since + self.terms.period.scaled(periods);
        let until = if entry.called { end.min(entry.until) } else { end.back(self.terms.period) };
        entry.until = until.max(now);
        self.suspects.insert((entry.until, name));
    }

    fn stands(&mut self, now: Timestamp, name: MemberName, standing: Standing) {
        let Some(entry) = self.table.get_mut(&name) else { return };
        self.suspects.remove(&(entry.until, name));
        if standing == Standing::Lost {
            self.lost.insert(name);
        } else {
            self.lost.remove(&name);
        }
        if entry.standing != standing {
            (entry.standing, entry.since) = (standing, now);
        }
        entry.accusers.clear();
    }

    fn judge(&mut self, now: Timestamp) {
        let others = self.table.values().any(|entry| entry.standing.may_serve());
        let is = match () {
            () if self.me.says != Says::Alive => Condition::Leaving,
            () if others && self.doubt.cut_off(now) => Condition::CutOff,
            () if !self.listed => Condition::Joining,
            () if self.doubt.doubtful(now) => Condition::Doubtful,
            () => Condition::Whole,
        };
        if is != self.condition {
            self.tell(Event::Condition(self.condition, is));
            self.condition = is;
        }
    }

    fn say_of_me(&mut self, now: Timestamp, says: Says) {
        self.me.says = says;
        self.news.add(self.me.name);
        let names = self.pick(FAREWELLS, |entry| entry.standing == Standing::Alive);
        names.into_iter().for_each(|name| self.send_to(name, Body::Gossip));
        self.judge(now);
    }

    fn tell(&mut self, event: Event) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }

    /// Up to `most` different members by chance. Draws first; where few are meant, looks through all.
    fn pick(&mut self, most: usize, which: impl Fn(&Entry) -> bool) -> Vec<MemberName> {
        let here = |e: &Entry| e.standing != Standing::Left && which(e);
        let mut names: Vec<MemberName> = Vec::new();
        for _ in 0..4 * most {
            let Some(name) = self.all.get(self.chance.draw() as usize % self.all.len().max(1)) else { break };
            if names.len() < most && !names.contains(name) && self.table.get(name).is_some_and(here) {
                names.push(*name);
            }
        }
        if names.len() == most {
            return names;
        }
        names.clear();
        let mut passed = 0;
        for entry in self.table.values().filter(|entry| here(entry)) {
            passed += 1;
            if names.len() < most {
                names.push(entry.claim.name);
            } else {
                let at = self.chance.draw() as usize % passed;
                if at < most {
                    names[at] = entry.claim.name;
                }
            }
        }
        names
    }

    fn send_to(&mut self, name: MemberName, body: Body) {
        if let Some(at) = self.table.get(&name).map(|entry| entry.claim.at) {
            self.send(at, Some(name), body);
        }
    }

    fn send(&mut self, to: SocketAddr, name: Option<MemberName>, body: Body) {
        if self.out.len() < MAX_OUT {
            self.out.push_back(Out { to, name, body });
        }
    }
}
