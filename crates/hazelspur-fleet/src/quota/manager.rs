//! One server's part in the quota protocol. Every server is a lessee. A server that the configuration lists
//! as a voter is also a candidate, and the allocator while it is elected.
//!
//! Inputs are demands, messages of other servers and timers; outputs are messages, events and the share that
//! this server may use of each limit.

use super::CLOCK_DRIFT;
use super::allocator::{Allocator, MAX_LESSEES_PER_SERVER};
use super::config::{LimitId, QuotaConfig};
use super::election::{Candidate, Quorum, Voter};
use super::lessee::Lessee;
use super::message::{LeaseGrant, LeaseRequest, QuotaMessage, VoteResponse};
use crate::invariant::InvariantViolation;
use crate::names::{MemberName, ProcessIncarnation};
use hazelspur::Timestamp;
use hazelspur::pcg::Pcg;
use std::collections::VecDeque;

/// Time after which a server without a lease repeats its request, as a fraction of the renewal interval.
const RETRY_FRACTION: f64 = 0.25;
/// Smallest random factor on the time to the next lease request.
const MIN_REQUEST_JITTER: f64 = 0.9;
/// Width of the range of random factors on the time to the next lease request.
const REQUEST_JITTER_RANGE: f64 = 0.2;
/// Shortest time between a failed ballot and the next, as a fraction of the renewal interval.
const MIN_BALLOT_BACKOFF: f64 = 0.3;
/// Width of the range of random times between a failed ballot and the next, as a fraction of the renewal
/// interval.
const BALLOT_BACKOFF_RANGE: f64 = 0.7;
/// Relative rounding error that `check_invariants` allows in a sum of leases.
const RELATIVE_TOLERANCE: f64 = 1e-6;
/// Absolute rounding error that `check_invariants` allows in a sum of leases.
const ABSOLUTE_TOLERANCE: f64 = 1e-9;
/// Value mixed into the seed, because membership uses the same seed and must draw different numbers.
const SEED_SALT: u64 = 0x5ba5;
/// Capacity of the queue of outgoing messages. Further messages are dropped, which the protocol tolerates
/// like a loss in the network.
const MAX_OUTGOING: usize = 64;
/// Capacity of the queue of events; further events are dropped.
const MAX_EVENTS: usize = 64;

/// The amount of one limit that this server may use now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShare {
    /// Sum of the guaranteed minimum and the leased amount.
    pub amount: f64,
    /// The guaranteed minimum, which remains after the lease expires.
    pub guaranteed: f64,
    /// Expiry of the lease; none without a lease.
    pub expires: Option<Timestamp>,
}

/// The allocator's summary of one limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allocation {
    /// Sum of the outstanding leases of the limit.
    pub granted: f64,
    /// Number of lessees in the allocator's table.
    pub lessees: usize,
    /// The limit's shared pool, which the leases may not exceed.
    pub pool: f64,
}

/// A state change for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaEvent {
    /// This server is elected and allocates from now on.
    StartedAllocating,
    /// This server no longer allocates.
    StoppedAllocating,
    /// This server, which had no lease, has one again, granted by the named allocator.
    LeaseAcquired(MemberName),
    /// This server's lease expired without renewal, so only guaranteed minimums remain.
    LeaseExpired,
}

/// A message to send.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: MemberName,
    /// The message.
    pub message: QuotaMessage,
}

/// One server's part in the quota protocol.
#[derive(Clone, Debug)]
pub struct QuotaManager {
    me: ProcessIncarnation,
    config: QuotaConfig,
    random: Pcg,
    voter: Option<Voter>,
    candidate: Option<Candidate>,
    allocator: Option<Allocator>,
    lessee: Lessee,
    outgoing: VecDeque<OutgoingMessage>,
    events: VecDeque<QuotaEvent>,
}

impl QuotaManager {
    /// Creates the state of a process incarnation that has just started. The configuration must have passed
    /// `QuotaConfig::check`.
    pub fn new(config: QuotaConfig, me: ProcessIncarnation, seed: u64, now: Timestamp) -> Self {
        let mut random = Pcg::new(seed ^ SEED_SALT);
        let is_voter = config.voters.contains(&me.name);
        let renewal = config.renewal_interval();
        let first_request = now + renewal.scaled(RETRY_FRACTION * random.draw_fraction());
        let first_ballot =
            is_voter.then(|| now + config.vote_duration + renewal.scaled(random.draw_fraction()));
        Self {
            voter: is_voter.then(|| Voter::new(now, config.vote_duration)),
            candidate: first_ballot.map(Candidate::new),
            allocator: None,
            lessee: Lessee::new(config.limits.len(), first_request),
            me,
            config,
            random,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    /// Returns the quota configuration.
    pub fn config(&self) -> &QuotaConfig {
        &self.config
    }

    // ---- inputs ----

    /// Sets the amount that this server would use of a limit, guaranteed minimum included. The amount is
    /// clamped to the limit's total; a value that is not finite counts as zero.
    pub fn set_demand(&mut self, limit: LimitId, amount: f64) {
        self.lessee.set_demand(&self.config, limit, amount);
    }

    /// Processes a message. The caller must have authenticated the sender.
    pub fn receive(&mut self, now: Timestamp, from: ProcessIncarnation, message: &QuotaMessage) {
        match message {
            QuotaMessage::VoteRequest { ballot } => self.receive_vote_request(now, from, *ballot),
            QuotaMessage::VoteResponse(response) => self.receive_vote(now, from.name, response),
            QuotaMessage::VoteRelease { ballot } => {
                if let Some(voter) = &mut self.voter {
                    voter.release(from, *ballot);
                }
            }
            QuotaMessage::LeaseRequest(request) => self.receive_lease_request(now, from, request),
            QuotaMessage::LeaseGrant(grant) => self.receive_lease_grant(now, from.name, grant),
            QuotaMessage::NotLeader { number, allocator } => {
                if let Some(to) = self.lessee.receive_redirection(from.name, *number, *allocator) {
                    self.request_leases(now, to, true);
                }
            }
        }
    }

    /// Processes timers that are due. The caller calls it at the time that `next_tick` returns.
    pub fn tick(&mut self, now: Timestamp) {
        self.campaign(now);
        if self.lessee.lease_change(now) == Some(false) {
            self.push_event(QuotaEvent::LeaseExpired);
        }
        if now >= self.lessee.next_request {
            match self.request_target(now) {
                Some(to) => self.request_leases(now, to, false),
                None => self.lessee.next_request = now + self.config.renewal_interval(),
            }
        }
    }

    /// Returns all leases to the allocator, because the process is about to end.
    pub fn leave(&mut self, now: Timestamp) {
        for index in 0..self.config.limits.len() {
            self.set_demand(LimitId(index), 0.0);
        }
        if let Some(to) = self.request_target(now) {
            self.request_leases(now, to, false);
        }
    }

    // ---- outputs ----

    /// Returns when `tick` is to be called next.
    pub fn next_tick(&self) -> Timestamp {
        let campaign = self.candidate.as_ref().map(|candidate| candidate.next_action);
        let election_expires = self.candidate.as_ref().and_then(|candidate| candidate.elected_until);
        let timers = [campaign, election_expires, self.lessee.expires()];
        timers.into_iter().flatten().fold(self.lessee.next_request, Timestamp::min)
    }

    /// Removes and returns the next message to send.
    pub fn next_message(&mut self) -> Option<OutgoingMessage> {
        self.outgoing.pop_front()
    }

    /// Removes and returns the next event for the log.
    pub fn next_event(&mut self) -> Option<QuotaEvent> {
        self.events.pop_front()
    }

    /// Returns the share of a limit that this server may use at `now`. The caller must ask at each use,
    /// because leases expire without a call to `tick`.
    pub fn share(&self, now: Timestamp, limit: LimitId) -> QuotaShare {
        self.lessee.share(now, &self.config, limit)
    }

    /// Returns the end of this server's election as allocator, unless renewed; `None` while it is not the
    /// allocator.
    pub fn allocates_until(&self, now: Timestamp) -> Option<Timestamp> {
        let elected_until = self.candidate.as_ref().and_then(|candidate| candidate.elected_until);
        elected_until.filter(|until| now < *until)
    }

    /// Returns the allocator, as far as this server knows.
    pub fn allocator(&self, now: Timestamp) -> Option<MemberName> {
        if self.allocates_until(now).is_some() { Some(self.me.name) } else { self.lessee.allocator }
    }

    /// Returns a summary of what this server has granted of a limit; `None` while it is not the allocator.
    pub fn allocation(&self, now: Timestamp, limit: LimitId) -> Option<Allocation> {
        let allocator = self.allocator.as_ref().filter(|_| self.allocates_until(now).is_some())?;
        Some(Allocation {
            granted: allocator.granted(now, limit.0),
            lessees: allocator.lessees(),
            pool: self.config.shared_pool(limit),
        })
    }

    /// Checks the invariants that must hold after each input.
    ///
    /// # Errors
    /// Returns the first invariant that does not hold.
    pub fn check_invariants(&self, now: Timestamp) -> Result<(), InvariantViolation> {
        for (index, limit) in self.config.limits.iter().enumerate() {
            if let Some(Allocation { granted, pool, .. }) = self.allocation(now, LimitId(index))
                && granted > pool * (1.0 + RELATIVE_TOLERANCE) + ABSOLUTE_TOLERANCE
            {
                return Err(InvariantViolation::OverAllocated { granted, pool });
            }
            let share = self.share(now, LimitId(index));
            if !(0.0..=limit.total).contains(&share.amount) {
                return Err(InvariantViolation::InvalidShare { share, total: limit.total });
            }
        }
        let capacity = self.config.max_servers * MAX_LESSEES_PER_SERVER;
        match self.allocator.as_ref().map(Allocator::lessees) {
            Some(lessees) if lessees > capacity => {
                Err(InvariantViolation::TooManyLessees { lessees, capacity })
            }
            _ => Ok(()),
        }
    }

    // ---- election ----

    fn receive_vote_request(&mut self, now: Timestamp, from: ProcessIncarnation, ballot: u32) {
        if let Some(voter) = &mut self.voter
            && let Some(response) = voter.request_vote(now, self.config.vote_duration, from, ballot)
        {
            self.send(from.name, QuotaMessage::VoteResponse(response));
        }
    }

    fn receive_vote(&mut self, now: Timestamp, from: MemberName, response: &VoteResponse) {
        if !self.config.voters.contains(&from) {
            return;
        }
        let min_vote_duration = self.config.vote_duration.scaled(1.0 - CLOCK_DRIFT);
        let quorum = Quorum { majority: self.config.majority(), min_vote_duration };
        let Some(candidate) = &mut self.candidate else { return };
        let was_elected = candidate.is_elected(now);
        if candidate.count_vote(now, from, response, quorum) && !was_elected {
            self.start_allocating(now);
        }
        if !response.granted {
            self.lessee.allocator = response.allocator.or(self.lessee.allocator);
        }
    }

    fn start_allocating(&mut self, now: Timestamp) {
        let takeover_ends = now + self.config.lease_duration() + self.config.max_residual_duration();
        self.allocator = Some(Allocator::new(self.config.limits.len(), takeover_ends));
        self.push_event(QuotaEvent::StartedAllocating);
    }

    /// Processes the candidate's timers: ends an expired election, opens a ballot to be elected or
    /// re-elected, or gives up a ballot that has failed.
    fn campaign(&mut self, now: Timestamp) {
        if self.candidate.as_mut().is_some_and(|candidate| candidate.expire(now)) {
            self.allocator = None;
            self.push_event(QuotaEvent::StoppedAllocating);
        }
        let (renewal, jitter) = (self.config.renewal_interval(), self.random.draw_fraction());
        let (Some(candidate), Some(voter)) = (&mut self.candidate, &mut self.voter) else { return };
        if now < candidate.next_action {
            return;
        }
        if !candidate.is_elected(now) {
            if let Some(ballot) = candidate.abandon_ballot() {
                voter.release(self.me, ballot);
                candidate.next_action =
                    now + renewal.scaled(MIN_BALLOT_BACKOFF + BALLOT_BACKOFF_RANGE * jitter);
                return self.send_to_voters(&QuotaMessage::VoteRelease { ballot });
            }
            if let Some(until) = voter.unavailable_until(now, self.me) {
                candidate.next_action = until + renewal.scaled(jitter);
                return;
            }
        }
        let ballot = candidate.open_ballot(now, renewal);
        let own_response = voter.request_vote(now, self.config.vote_duration, self.me, ballot);
        self.send_to_voters(&QuotaMessage::VoteRequest { ballot });
        if let Some(response) = own_response {
            self.receive_vote(now, self.me.name, &response);
        }
    }

    // ---- leases ----

    fn receive_lease_request(&mut self, now: Timestamp, from: ProcessIncarnation, request: &LeaseRequest) {
        let number = request.number;
        if self.allocates_until(now).is_none() {
            let allocator = self.voted_for(now).filter(|name| *name != self.me.name);
            return self.send(from.name, QuotaMessage::NotLeader { number, allocator });
        }
        let Some(allocator) = &mut self.allocator else { return };
        let amounts = allocator.grant(now, &self.config, from, request);
        if let Some(amounts) = amounts {
            let duration_ms = (self.config.lease_duration().us() / 1000) as u32;
            self.send(from.name, QuotaMessage::LeaseGrant(LeaseGrant { number, duration_ms, amounts }));
        }
    }

    fn receive_lease_grant(&mut self, now: Timestamp, from: MemberName, grant: &LeaseGrant) {
        let has_lease = self.lessee.receive_grant(now, &self.config, from, grant);
        if has_lease && self.lessee.lease_change(now) == Some(true) {
            self.push_event(QuotaEvent::LeaseAcquired(from));
        }
    }

    /// Returns the server to ask for leases: the known allocator, otherwise a random voter.
    fn request_target(&mut self, now: Timestamp) -> Option<MemberName> {
        if self.allocates_until(now).is_some() {
            return Some(self.me.name);
        }
        let random_index = self.random.draw() as usize;
        let known_allocator = self.voted_for(now).or(self.lessee.allocator.filter(|_| self.lessee.answered));
        let others: Vec<MemberName> =
            self.config.voters.iter().copied().filter(|other| *other != self.me.name).collect();
        let random_voter = others.get(random_index % others.len().max(1)).copied();
        known_allocator.filter(|name| *name != self.me.name).or(random_voter)
    }

    fn voted_for(&self, now: Timestamp) -> Option<MemberName> {
        self.voter.as_ref().and_then(|voter| voter.voted_for(now))
    }

    fn request_leases(&mut self, now: Timestamp, to: MemberName, redirected: bool) {
        let renewal_fraction = if self.lessee.has_lease(now) { 1.0 } else { RETRY_FRACTION };
        let jitter = MIN_REQUEST_JITTER + REQUEST_JITTER_RANGE * self.random.draw_fraction();
        let retry_after = self.config.renewal_interval().scaled(renewal_fraction * jitter);
        let request = self.lessee.request(now, &self.config, to, retry_after, redirected);
        if to == self.me.name {
            return self.receive_lease_request(now, self.me, &request);
        }
        self.send(to, QuotaMessage::LeaseRequest(request));
    }

    // ---- output queues ----

    /// Queues a message. Of the messages that this server addresses to itself, a lease grant takes effect
    /// at once and the others are ignored.
    fn send(&mut self, to: MemberName, message: QuotaMessage) {
        if to == self.me.name {
            if let QuotaMessage::LeaseGrant(grant) = &message {
                self.receive_lease_grant(self.lessee.requested_at, to, grant);
            }
            return;
        }
        if self.outgoing.len() < MAX_OUTGOING {
            self.outgoing.push_back(OutgoingMessage { to, message });
        }
    }

    fn send_to_voters(&mut self, message: &QuotaMessage) {
        for voter in self.config.voters.clone() {
            self.send(voter, message.clone());
        }
    }

    fn push_event(&mut self, event: QuotaEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }
}
