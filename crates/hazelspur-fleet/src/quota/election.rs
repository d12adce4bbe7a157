//! Elects the allocator: a voter's single vote, and the candidate that collects votes.
//!
//! Invariant: a voter's vote belongs to one process incarnation at a time, and a candidate counts itself
//! elected only while a majority of votes cannot have expired. So no two processes are elected at once.

use super::message::VoteResponse;
use crate::names::{MemberName, ProcessIncarnation};
use hazelspur::{Duration, Timestamp};
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug)]
struct Vote {
    candidate: ProcessIncarnation,
    ballot: u32,
    expires: Timestamp,
}

/// A voter: one vote, kept in memory only.
#[derive(Clone, Debug)]
pub(super) struct Voter {
    /// An earlier incarnation of this voter may have promised its vote until then.
    silent_until: Timestamp,
    vote: Option<Vote>,
}

impl Voter {
    pub(super) fn new(now: Timestamp, vote_duration: Duration) -> Self {
        Self { silent_until: now + vote_duration, vote: None }
    }

    /// Answers a vote request; `None` to a request that is older than the last one of the same candidate.
    pub(super) fn request_vote(
        &mut self,
        now: Timestamp,
        vote_duration: Duration,
        candidate: ProcessIncarnation,
        ballot: u32,
    ) -> Option<VoteResponse> {
        let denied = |allocator| Some(VoteResponse { ballot, granted: false, allocator });
        if now < self.silent_until {
            return denied(None);
        }
        match self.current_vote(now) {
            Some(vote) if vote.candidate != candidate => return denied(Some(vote.candidate.name)),
            Some(vote) if ballot < vote.ballot => return None,
            _ => {}
        }
        self.vote = Some(Vote { candidate, ballot, expires: now + vote_duration });
        Some(VoteResponse { ballot, granted: true, allocator: Some(candidate.name) })
    }

    /// Takes the vote back. A release of an older ballot arrives late and does not count.
    pub(super) fn release(&mut self, candidate: ProcessIncarnation, ballot: u32) {
        self.vote.take_if(|vote| vote.candidate == candidate && vote.ballot == ballot);
    }

    /// Who has the vote now.
    pub(super) fn voted_for(&self, now: Timestamp) -> Option<MemberName> {
        self.current_vote(now).map(|vote| vote.candidate.name)
    }

    /// Until when `candidate` cannot have the vote.
    pub(super) fn unavailable_until(
        &self,
        now: Timestamp,
        candidate: ProcessIncarnation,
    ) -> Option<Timestamp> {
        let other_vote = self.current_vote(now).filter(|vote| vote.candidate != candidate);
        other_vote.map(|vote| vote.expires).max(Some(self.silent_until).filter(|until| now < *until))
    }

    fn current_vote(&self, now: Timestamp) -> Option<Vote> {
        self.vote.filter(|vote| now < vote.expires)
    }
}

#[derive(Clone, Debug)]
struct Ballot {
    requested_at: Timestamp,
    votes: BTreeSet<MemberName>,
}

/// What elects a candidate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quorum {
    /// Number of votes.
    pub(super) majority: usize,
    /// How long a vote lasts for certain, from when it was requested.
    pub(super) min_vote_duration: Duration,
}

/// A candidate: collects votes, ballot by ballot.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    last_ballot: u32,
    open_ballot: Option<Ballot>,
    /// It is elected until then.
    pub(super) elected_until: Option<Timestamp>,
    /// When it requests votes, requests them again, or gives the ballot up.
    pub(super) next_action: Timestamp,
}

impl Candidate {
    pub(super) fn new(next_action: Timestamp) -> Self {
        Self { last_ballot: 0, open_ballot: None, elected_until: None, next_action }
    }

    pub(super) fn is_elected(&self, now: Timestamp) -> bool {
        self.elected_until.is_some_and(|until| now < until)
    }

    /// Opens a new ballot and returns its number.
    pub(super) fn open_ballot(&mut self, now: Timestamp, renewal_interval: Duration) -> u32 {
        self.last_ballot += 1;
        self.open_ballot = Some(Ballot { requested_at: now, votes: BTreeSet::new() });
        self.next_action = now + renewal_interval;
        self.last_ballot
    }

    /// Counts a vote; whether it completes a majority that lasts beyond `now`.
    pub(super) fn count_vote(
        &mut self,
        now: Timestamp,
        voter: MemberName,
        response: &VoteResponse,
        quorum: Quorum,
    ) -> bool {
        let is_counted = response.granted && response.ballot == self.last_ballot;
        let Some(ballot) = self.open_ballot.as_mut().filter(|_| is_counted) else { return false };
        ballot.votes.insert(voter);
        let expires = ballot.requested_at + quorum.min_vote_duration;
        if ballot.votes.len() < quorum.majority || now >= expires {
            return false;
        }
        self.elected_until = self.elected_until.max(Some(expires));
        true
    }

    /// Whether its election has expired; true once.
    pub(super) fn expire(&mut self, now: Timestamp) -> bool {
        let expired = self.elected_until.is_some_and(|until| now >= until);
        if expired {
            self.elected_until = None;
            // A late vote must not elect an allocator whose table is gone.
            self.open_ballot = None;
        }
        expired
    }

    /// Gives up the open ballot and returns its number; its votes do not count from here on.
    pub(super) fn abandon_ballot(&mut self) -> Option<u32> {
        self.open_ballot.take().map(|_| self.last_ballot)
    }
}
