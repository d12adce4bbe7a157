//! Who tries what all depend on while nobody reaches it. Requests that need it make one server's tries into those
//! of all: three hundred servers at work try it tens of thousands of times a second, and all that they run
//! meanwhile ends in vain. Shut, the gate lets no call out, and this server tries only when it is its turn:
//! chosen ones of each site often where servers talk, each in its slot where they don't. It opens with the
//! first try that gets through, at once here, and a little later at all that hear of it and try then.
//!
//! Inputs: `ended`, `hint`, `common`, `tried`. It never opens on hearsay: that only brings the next try
//! forward, once a second at most, since a link of one's own may be what is broken, and one may lie.

use crate::hash::unit;
use crate::names::MemberName;
use crate::turns::Round;
use hazelspur::{Duration, Timestamp};

/// Calls in a row that reached nobody, over at least so long, before it shuts.
const MISSES: u32 = 6;
const MISSED_FOR: Duration = Duration::from_ms(200);
/// With most others in the same trouble fewer of one's own are enough.
const MISSES_TOLD: u32 = 2;
/// A chosen one tries so often, and one that is not chosen though servers talk.
const CHOSEN_EVERY: Duration = Duration::from_ms(250);
const OTHERS_EVERY: Duration = Duration::from_ms(4000);
/// Where servers can't talk: tries a second of all, and how long the longest waits for its own.
const TRIES: f64 = 100.0;
const LONGEST: Duration = Duration::from_ms(2000);
/// Where most others get through and this one does not: its own link, which nobody else will try.
const ALONE_EVERY: Duration = Duration::from_ms(1000);
/// After the news that another got through, tries spread over this long, one for all such news of a second.
const SPREAD: Duration = Duration::from_ms(400);
const HINTS_EVERY: Duration = Duration::from_ms(1000);
/// Chosen of each fleet.
pub const CHOSEN: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Shut,
    /// After so long.
    Opened(Duration),
}

#[derive(Clone, Debug)]
pub struct Gate {
    me: MemberName,
    what: &'static str,
    round: Round,
    misses: u32,
    first_miss: Timestamp,
    shut: Option<Timestamp>,
    next_try: Timestamp,
    hinted: Timestamp,
    /// Where servers talk: whether this one is among the chosen, and whether most others reach nobody.
    told: Option<(bool, bool)>,
    changes: std::collections::VecDeque<Change>,
    /// Tries while it was shut, since the start.
    pub tries: u64,
}

impl Gate {
    /// For up to `most` servers.
    pub fn new(me: MemberName, what: &'static str, most: usize) -> Self {
        Self {
            me,
            what,
            round: Round::new(most, TRIES, LONGEST),
            misses: 0,
            first_miss: Timestamp::default(),
            shut: None,
            next_try: Timestamp::default(),
            hinted: Timestamp::default(),
            told: None,
            changes: std::collections::VecDeque::new(),
            tries: 0,
        }
    }

    pub fn is_open(&self) -> bool {
        self.shut.is_none()
    }

    /// A call of a request, or a try, is over: whether anybody was reached, however it ended otherwise. Points in
    /// time are those of the wall clock, so that slots are common.
    pub fn ended(&mut self, now: Timestamp, reached: bool) {
        if reached {
            self.misses = 0;
            if let Some(since) = self.shut.take() {
                self.change(Change::Opened(now - since));
            }
            return;
        }
        if self.misses == 0 {
            self.first_miss = now;
        }
        self.misses = self.misses.saturating_add(1);
        let all = self.told.is_some_and(|(_, unreached)| unreached);
        let alone = self.misses >= MISSES && now - self.first_miss >= MISSED_FOR;
        if self.shut.is_none() && (alone || all && self.misses >= MISSES_TOLD) {
            self.shut = Some(now);
            self.next_try = self.turn(now);
            self.change(Change::Shut);
        }
    }

    /// Another server got through just now.
    pub fn hint(&mut self, now: Timestamp) {
        if self.shut.is_some() && now - self.hinted >= HINTS_EVERY {
            self.hinted = now;
            self.next_try = self.next_try.min(now + self.spread(now));
        }
    }

    /// What is heard from others: whether this server is among the chosen, and whether most reach nobody.
    /// `None` where too few are heard.
    pub fn common(&mut self, now: Timestamp, told: Option<(bool, bool)>) {
        let changed = std::mem::replace(&mut self.told, told) != told;
        if self.shut.is_some() && changed {
            self.next_try = self.next_try.min(self.turn(now));
        }
    }

    /// When this server is to try by itself; none while it is open.
    pub fn next_try(&self) -> Option<Timestamp> {
        self.shut.map(|_| self.next_try)
    }

    /// A try goes out now; its end is told by `ended`.
    pub fn tried(&mut self, now: Timestamp) {
        self.tries += 1;
        self.next_try = self.turn(now + Duration::from_us(1));
    }

    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    fn spread(&self, now: Timestamp) -> Duration {
        SPREAD.scaled(unit(self.what, self.me.as_str(), now.us()))
    }

    fn turn(&self, now: Timestamp) -> Timestamp {
        let around = |span: Duration| span.scaled(0.75 + 0.5 * unit(self.what, self.me.as_str(), now.us()));
        match self.told {
            Some((true, _)) => now + around(CHOSEN_EVERY),
            Some((false, true)) => now + around(OTHERS_EVERY),
            Some((false, false)) => now + around(ALONE_EVERY),
            None => self.round.next(self.me, self.what, now),
        }
    }

    fn change(&mut self, change: Change) {
        // Two a period at most: the last ones are what counts.
        if self.changes.len() >= 8 {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}
