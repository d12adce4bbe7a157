//! The table of all other members, with its indexes: the suspicions ordered by their timers, the set of dead
//! members and the list of all names for random draws.
//!
//! Invariant: the first two indexes contain exactly the members that are suspected or dead, and the list
//! contains all members.

use super::suspicion::timeout_periods;
use super::update::{MemberState, MemberUpdate};
use super::view::MemberStatus;
use crate::anti_replay::AntiReplayWindow;
use crate::invariant::InvariantViolation;
use crate::names::{MemberName, SiteName};
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Ratio of the capacity of the table to the maximum number of servers. The table thus has as much capacity
/// for members that are dead or have left as for running ones.
const CAPACITY_OVER_SERVERS: usize = 2;

/// The entry of one member.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// The newest update about the member.
    pub(super) update: MemberUpdate,
    /// The member that sent the newest update.
    pub(super) reported_by: MemberName,
    pub(super) updated_at: Timestamp,
    pub(super) status: MemberStatus,
    pub(super) status_since: Timestamp,
    /// Time of the last datagram from the member itself in its newest generation; `None` if there was none.
    pub(super) last_heard: Option<Timestamp>,
    pub(super) replay_window: AntiReplayWindow,
    /// Whether the member itself announced that it has left. A report of others holds only until the next
    /// datagram from the member.
    pub(super) announced_left: bool,
    /// The members that suspect the member; empty unless it is suspected.
    pub(super) accusers: Vec<MemberName>,
    /// While the member is suspected: the time of the final probe and, once that is sent, the end of the
    /// suspicion.
    suspicion_timer: Timestamp,
    final_probe_sent: bool,
}

impl Member {
    fn new(update: &MemberUpdate, reported_by: MemberName, now: Timestamp) -> Self {
        Self {
            update: *update,
            reported_by,
            updated_at: now,
            status: MemberStatus::Alive,
            status_since: now,
            last_heard: None,
            replay_window: AntiReplayWindow::default(),
            announced_left: false,
            accusers: Vec::new(),
            suspicion_timer: Timestamp::default(),
            final_probe_sent: false,
        }
    }

    /// Replaces the update. A newer generation starts without any datagram received from it.
    pub(super) fn apply(&mut self, update: &MemberUpdate, reported_by: MemberName, now: Timestamp) {
        if update.generation > self.update.generation {
            self.replay_window = AntiReplayWindow::default();
            self.last_heard = None;
            self.announced_left = false;
        }
        self.update = *update;
        self.record_update_source(reported_by, now);
    }

    /// Records the sender and the time of the newest update.
    pub(super) fn record_update_source(&mut self, reported_by: MemberName, now: Timestamp) {
        self.reported_by = reported_by;
        self.updated_at = now;
    }

    /// Returns whether the last datagram from the member itself is younger than `duration`.
    pub(super) fn was_heard_within(&self, now: Timestamp, duration: Duration) -> bool {
        self.last_heard.is_some_and(|heard| now - heard < duration)
    }

    /// Returns whether the final probe of the current suspicion was sent.
    pub(super) fn is_final_probe_sent(&self) -> bool {
        self.final_probe_sent
    }
}

/// The timer of a suspicion, ordered by the time at which it runs out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SuspicionTimer {
    at: Timestamp,
    member: MemberName,
}

/// The table of all members except this process itself.
#[derive(Clone, Debug)]
pub(super) struct MemberTable {
    /// Maximum number of members.
    capacity: usize,
    /// The probe period.
    period: Duration,
    members: BTreeMap<MemberName, Member>,
    suspicions: BTreeSet<SuspicionTimer>,
    dead: BTreeSet<MemberName>,
    /// All names in arbitrary order, for random draws.
    names: Vec<MemberName>,
}

impl MemberTable {
    pub(super) fn new(max_servers: usize, period: Duration) -> Self {
        Self {
            capacity: CAPACITY_OVER_SERVERS * max_servers,
            period,
            members: BTreeMap::new(),
            suspicions: BTreeSet::new(),
            dead: BTreeSet::new(),
            names: Vec::new(),
        }
    }

    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn by_name(&self) -> &BTreeMap<MemberName, Member> {
        &self.members
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(super) fn names(&self) -> &[MemberName] {
        &self.names
    }

    pub(super) fn dead(&self) -> &BTreeSet<MemberName> {
        &self.dead
    }

    pub(super) fn sites(&self) -> impl Iterator<Item = SiteName> {
        self.members.values().map(|member| member.update.site)
    }

    pub(super) fn get(&self, name: MemberName) -> Option<&Member> {
        self.members.get(&name)
    }

    pub(super) fn get_mut(&mut self, name: MemberName) -> Option<&mut Member> {
        self.members.get_mut(&name)
    }

    pub(super) fn insert(&mut self, now: Timestamp, update: &MemberUpdate, reported_by: MemberName) {
        self.members.insert(update.name, Member::new(update, reported_by, now));
        self.names.push(update.name);
    }

    pub(super) fn remove(&mut self, name: MemberName) {
        if let Some(member) = self.members.remove(&name) {
            self.suspicions.remove(&SuspicionTimer { at: member.suspicion_timer, member: name });
            self.dead.remove(&name);
            self.names.retain(|other| *other != name);
        }
    }

    /// Returns the member to forget first: the one that left longest ago or, if none has left, the one dead
    /// for longest.
    pub(super) fn oldest_gone(&self) -> Option<MemberName> {
        let gone = self.members.iter().filter(|(_, member)| member.status.is_gone());
        gone.min_by_key(|(_, member)| (member.status, member.status_since)).map(|(name, _)| *name)
    }

    /// Returns the members that have been dead or left for longer than `retention`.
    pub(super) fn gone_longer_than(&self, now: Timestamp, retention: Duration) -> Vec<MemberName> {
        let is_expired = |member: &Member| member.status.is_gone() && now - member.status_since > retention;
        self.members.iter().filter(|(_, member)| is_expired(member)).map(|(name, _)| *name).collect()
    }

    /// Sets any status but `Suspected`, for which `suspect` is used, and ends a suspicion.
    pub(super) fn set_status(&mut self, now: Timestamp, name: MemberName, status: MemberStatus) {
        let Some(member) = self.members.get_mut(&name) else { return };
        self.suspicions.remove(&SuspicionTimer { at: member.suspicion_timer, member: name });
        if status == MemberStatus::Dead {
            self.dead.insert(name);
        } else {
            self.dead.remove(&name);
        }
        if member.status != status {
            member.status = status;
            member.status_since = now;
        }
        member.accusers.clear();
    }

    // ---- suspicions ----

    /// Begins a suspicion. A suspicion that is in progress begins anew.
    pub(super) fn suspect(&mut self, now: Timestamp, name: MemberName, accuser: MemberName) {
        let Some(member) = self.members.get_mut(&name) else { return };
        self.dead.remove(&name);
        member.status = MemberStatus::Suspected;
        member.status_since = now;
        member.accusers = vec![accuser];
        member.final_probe_sent = false;
        self.reset_suspicion_timer(now, name);
    }

    /// Adds an accuser to a suspicion. The update that is passed on names this accuser from now on.
    pub(super) fn add_accuser(&mut self, now: Timestamp, name: MemberName, accuser: MemberName) {
        if let Some(member) = self.members.get_mut(&name) {
            member.accusers.push(accuser);
            member.update.state = MemberState::Suspected(accuser);
            self.reset_suspicion_timer(now, name);
        }
    }

    /// Sets the timer of a suspicion according to the number of accusers, but never to a time before `now`. A
    /// late accuser may make the timeout shorter than the suspicion has lasted, and a timer in the past would
    /// look like a suspension of this process.
    fn reset_suspicion_timer(&mut self, now: Timestamp, name: MemberName) {
        let others = self.members.len();
        let Some(member) = self.members.get(&name) else { return };
        let end = member.status_since + self.period.scaled(timeout_periods(others, member.accusers.len()));
        let at = if member.final_probe_sent {
            end.min(member.suspicion_timer)
        } else {
            end.saturating_sub(self.period)
        };
        self.set_timer(name, at.max(now));
    }

    /// Sets the timer of a suspicion to one period from now.
    pub(super) fn postpone(&mut self, now: Timestamp, name: MemberName, final_probe_sent: bool) {
        if let Some(member) = self.members.get_mut(&name) {
            member.final_probe_sent = final_probe_sent;
            self.set_timer(name, now + self.period);
        }
    }

    /// Postpones all suspicions by the time for which this process was suspended.
    pub(super) fn postpone_all(&mut self, suspended: Duration) {
        for timer in std::mem::take(&mut self.suspicions) {
            self.set_timer(timer.member, timer.at + suspended);
        }
    }

    /// Returns the time of the first timer.
    pub(super) fn next_timer(&self) -> Option<Timestamp> {
        self.suspicions.first().map(|timer| timer.at)
    }

    /// Returns the member with the first timer, if it has run out.
    pub(super) fn expired_suspicion(&self, now: Timestamp) -> Option<MemberName> {
        self.suspicions.first().filter(|timer| timer.at <= now).map(|timer| timer.member)
    }

    fn set_timer(&mut self, name: MemberName, at: Timestamp) {
        if let Some(member) = self.members.get_mut(&name) {
            self.suspicions.remove(&SuspicionTimer { at: member.suspicion_timer, member: name });
            member.suspicion_timer = at;
            self.suspicions.insert(SuspicionTimer { at, member: name });
        }
    }

    // ---- invariants ----

    pub(super) fn check_invariants(&self) -> Result<(), InvariantViolation> {
        for (name, member) in &self.members {
            self.check_member(*name, member)?;
        }
        let (members, capacity) = (self.members.len(), self.capacity);
        if self.suspicions.len() > members || members > capacity || self.names.len() != members {
            return Err(InvariantViolation::MemberTableMismatch { members, capacity });
        }
        Ok(())
    }

    fn check_member(&self, name: MemberName, member: &Member) -> Result<(), InvariantViolation> {
        let status = member.status;
        if (status == MemberStatus::Dead) != self.dead.contains(&name) {
            return Err(InvariantViolation::DeadSetMismatch { member: name, status });
        }
        let queued = self.suspicions.contains(&SuspicionTimer { at: member.suspicion_timer, member: name });
        if (status == MemberStatus::Suspected) != queued {
            return Err(InvariantViolation::SuspicionQueueMismatch { member: name, status, queued });
        }
        if member.announced_left && status != MemberStatus::Left {
            return Err(InvariantViolation::AnnouncedLeftMismatch { member: name, status });
        }
        Ok(())
    }
}
