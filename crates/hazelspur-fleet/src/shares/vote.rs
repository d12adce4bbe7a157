//! Who divides: a keeper's one vote, and the candidate that collects votes.

use super::{Life, Word};
use crate::names::MemberName;
use hazelspur::{Duration, Timestamp};
use std::collections::BTreeSet;

/// One vote, for one life at a time, kept in memory only.
#[derive(Clone, Debug)]
pub struct Keeper {
    /// A former life may have promised until then.
    quiet: Timestamp,
    vote: Option<(Life, u32, Timestamp)>,
}

impl Keeper {
    pub fn new(now: Timestamp, span: Duration) -> Self {
        Self { quiet: now + span, vote: None }
    }

    /// The answer; none to what was asked before the last thing asked.
    pub fn asked(&mut self, now: Timestamp, span: Duration, by: Life, round: u32) -> Option<Word> {
        let no = |divider| Some(Word::Vote { round, yes: false, divider });
        if now < self.quiet {
            return no(None);
        }
        match self.vote.filter(|(.., until)| now < *until) {
            Some((of, ..)) if of != by => return no(Some(of.name)),
            Some((_, last, _)) if round < last => return None,
            _ => {}
        }
        self.vote = Some((by, round, now + span));
        Some(Word::Vote { round, yes: true, divider: Some(by.name) })
    }

    /// Only the round that the vote was given for can give it back: news of an older one is late.
    pub fn dropped(&mut self, by: Life, round: u32) {
        self.vote.take_if(|(of, last, _)| *of == by && *last == round);
    }

    pub fn promised_to(&self, now: Timestamp) -> Option<MemberName> {
        self.vote.filter(|(.., until)| now < *until).map(|(of, ..)| of.name)
    }

    /// Until when the vote is another's, or nobody's.
    pub fn promised_until(&self, now: Timestamp, me: Life) -> Option<Timestamp> {
        let others = self.vote.filter(|(of, _, until)| now < *until && *of != me).map(|(.., until)| until);
        others.max(Some(self.quiet).filter(|quiet| now < *quiet))
    }
}

#[derive(Clone, Debug)]
pub struct Candidate {
    round: u32,
    /// When this round was asked for, and who has said yes; none where no round is open.
    open: Option<(Timestamp, BTreeSet<MemberName>)>,
    /// It divides until then.
    pub until: Option<Timestamp>,
    /// When it asks, asks again, or gives up.
    pub next: Timestamp,
}

impl Candidate {
    pub fn new(next: Timestamp) -> Self {
        Self { round: 0, open: None, until: None, next }
    }

    pub fn holds(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// A new round, asked for at this moment.
    pub fn ask(&mut self, now: Timestamp, renewal: Duration) -> u32 {
        self.round += 1;
        self.open = Some((now, BTreeSet::new()));
        self.next = now + renewal;
        self.round
    }

    /// Whether it holds now by this vote. `sure` is how long a vote surely lasts from when it was asked for.
    pub fn voted(
        &mut self,
        now: Timestamp,
        by: MemberName,
        (round, yes): (u32, bool),
        majority: usize,
        sure: Duration,
    ) -> bool {
        let Some((asked, all)) = self.open.as_mut().filter(|_| yes && round == self.round) else {
            return false;
        };
        all.insert(by);
        if all.len() < majority || now >= *asked + sure {
            return false;
        }
        self.until = self.until.max(Some(*asked + sure));
        true
    }

    /// It held and does not any more; said once.
    pub fn ended(&mut self, now: Timestamp) -> bool {
        let ended = self.until.is_some_and(|until| now >= until);
        if ended {
            self.until = None;
            // A vote that comes late must not make it a divider with a table that is gone.
            self.open = None;
        }
        ended
    }

    /// The round that is open and came to nothing; its votes are not counted from here on.
    pub fn give_up(&mut self) -> Option<u32> {
        self.open.take().map(|_| self.round)
    }
}
