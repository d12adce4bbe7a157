//! Election of the allocator: the voter, which answers vote requests, and the candidate, which collects
//! votes.
//!
//! Invariant: a voter's vote belongs to one process incarnation at a time, and a candidate considers itself
//! elected only while a majority of its votes cannot have expired. So no two processes are elected at once.

use super::message::VoteResponse;
use crate::names::{MemberName, ProcessIncarnation};
use hazelspur::{Duration, Timestamp};
use std::collections::BTreeSet;

/// A vote that a voter has granted.
#[derive(Clone, Copy, Debug)]
struct Vote {
    candidate: ProcessIncarnation,
    ballot: u32,
    expires: Timestamp,
}

/// A voter, with the single vote that it may grant. The vote is kept in memory only.
#[derive(Clone, Debug)]
pub(super) struct Voter {
    /// End of the time after the start in which the voter grants no vote, because a vote of its previous
    /// process incarnation may still be in force.
    silent_until: Timestamp,
    vote: Option<Vote>,
}

impl Voter {
    pub(super) fn new(now: Timestamp, vote_duration: Duration) -> Self {
        Self { silent_until: now + vote_duration, vote: None }
    }

    /// Answers a vote request. Grants the vote unless another candidate has it or the voter still grants
    /// none after its start. Returns `None` for a request that is older than the last one of the same
    /// candidate.
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

    /// Frees the vote if the candidate has it by this ballot. A release of an older ballot is a late
    /// message and is ignored.
    pub(super) fn release(&mut self, candidate: ProcessIncarnation, ballot: u32) {
        self.vote.take_if(|vote| vote.candidate == candidate && vote.ballot == ballot);
    }

    /// Returns the candidate that has the vote at `now`.
    pub(super) fn voted_for(&self, now: Timestamp) -> Option<MemberName> {
        self.current_vote(now).map(|vote| vote.candidate.name)
    }

    /// Returns the time until which `candidate` cannot get the vote; `None` if it can get it now.
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

/// A round of vote requests by one candidate.
#[derive(Clone, Debug)]
struct Ballot {
    requested_at: Timestamp,
    /// Voters that have granted their vote.
    votes: BTreeSet<MemberName>,
}

/// The condition under which a candidate is elected.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quorum {
    /// Number of votes that the candidate needs.
    pub(super) majority: usize,
    /// Time, counted from sending the request, for which a vote is certain to last despite clock drift.
    pub(super) min_vote_duration: Duration,
}

/// A candidate, which collects votes ballot by ballot.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    last_ballot: u32,
    open_ballot: Option<Ballot>,
    /// Time until which the candidate is elected; none while it is not.
    pub(super) elected_until: Option<Timestamp>,
    /// Time of the next ballot, of its renewal, or of giving up the open ballot.
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

    /// Counts a vote and returns whether the open ballot now has a majority that lasts beyond `now`.
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

    /// Ends an expired election. Returns `true` once for each election that has expired.
    pub(super) fn expire(&mut self, now: Timestamp) -> bool {
        let expired = self.elected_until.is_some_and(|until| now >= until);
        if expired {
            self.elected_until = None;
            // The allocator's table is dropped with the election, so a late vote must not elect it again.
            self.open_ballot = None;
        }
        expired
    }

    /// Gives up the open ballot, so that its votes no longer count, and returns its number.
    pub(super) fn abandon_ballot(&mut self) -> Option<u32> {
        self.open_ballot.take().map(|_| self.last_ballot)
    }
}
