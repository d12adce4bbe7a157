//! The table of all other members, with its indexes: suspicions by their end, the dead, and a list to draw
//! from.
//!
//! Invariant: the indexes contain exactly the members whose status says so.

use super::suspicion::timeout_periods;
use super::update::{MemberState, MemberUpdate};
use super::view::MemberStatus;
use crate::anti_replay::AntiReplayWindow;
use crate::invariant::InvariantViolation;
use crate::names::{MemberName, SiteName};
use hazelspur::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Capacity of the table over the largest number of servers: it remembers as many that are gone.
const CAPACITY_OVER_SERVERS: usize = 2;

/// What is known of one member.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// The last update.
    pub(super) update: MemberUpdate,
    /// Who sent the last update.
    pub(super) reported_by: MemberName,
    pub(super) updated_at: Timestamp,
    pub(super) status: MemberStatus,
    pub(super) status_since: Timestamp,
    /// When the member itself was last heard, in its newest generation.
    pub(super) last_heard: Option<Timestamp>,
    pub(super) replay_window: AntiReplayWindow,
    /// The member itself said that it has left. Others saying so counts only until it speaks.
    pub(super) announced_left: bool,
    pub(super) accusers: Vec<MemberName>,
    /// While suspected: when the final probe goes out, and after that when the suspicion ends.
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

    /// Replaces the update; a newer generation starts with nothing heard.
    pub(super) fn apply(&mut self, update: &MemberUpdate, reported_by: MemberName, now: Timestamp) {
        if update.generation > self.update.generation {
            self.replay_window = AntiReplayWindow::default();
            self.last_heard = None;
            self.announced_left = false;
        }
        self.update = *update;
        self.record_update_source(reported_by, now);
    }

    pub(super) fn record_update_source(&mut self, reported_by: MemberName, now: Timestamp) {
        self.reported_by = reported_by;
        self.updated_at = now;
    }

    pub(super) fn was_heard_within(&self, now: Timestamp, duration: Duration) -> bool {
        self.last_heard.is_some_and(|heard| now - heard < duration)
    }

    /// Whether the member was asked once more before its suspicion ends.
    pub(super) fn is_final_probe_sent(&self) -> bool {
        self.final_probe_sent
    }
}

/// When the timer of a suspicion runs out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SuspicionTimer {
    at: Timestamp,
    member: MemberName,
}

/// All members but this process itself.
#[derive(Clone, Debug)]
pub(super) struct MemberTable {
    capacity: usize,
    period: Duration,
    members: BTreeMap<MemberName, Member>,
    suspicions: BTreeSet<SuspicionTimer>,
    dead: BTreeSet<MemberName>,
    /// All names, in no order.
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

    /// The member to forget first: who has left longest ago, then who is dead longest.
    pub(super) fn oldest_gone(&self) -> Option<MemberName> {
        let gone = self.members.iter().filter(|(_, member)| member.status.is_gone());
        gone.min_by_key(|(_, member)| (member.status, member.status_since)).map(|(name, _)| *name)
    }

    /// Members that are gone for longer than `retention`.
    pub(super) fn gone_longer_than(&self, now: Timestamp, retention: Duration) -> Vec<MemberName> {
        let is_expired = |member: &Member| member.status.is_gone() && now - member.status_since > retention;
        self.members.iter().filter(|(_, member)| is_expired(member)).map(|(name, _)| *name).collect()
    }

    /// Sets any status but `Suspected`.
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

    /// Begins a suspicion, also of a member that is suspected already.
    pub(super) fn suspect(&mut self, now: Timestamp, name: MemberName, accuser: MemberName) {
        let Some(member) = self.members.get_mut(&name) else { return };
        self.dead.remove(&name);
        member.status = MemberStatus::Suspected;
        member.status_since = now;
        member.accusers = vec![accuser];
        member.final_probe_sent = false;
        self.reset_suspicion_timer(now, name);
    }

    /// Adds an accuser, whose accusation is the update to pass on.
    pub(super) fn add_accuser(&mut self, now: Timestamp, name: MemberName, accuser: MemberName) {
        if let Some(member) = self.members.get_mut(&name) {
            member.accusers.push(accuser);
            member.update.state = MemberState::Suspected(accuser);
            self.reset_suspicion_timer(now, name);
        }
    }

    /// Sets the timer by the number of accusers. Never before now: a late accuser may make the timeout
    /// shorter than the suspicion has lasted, and a timer in the past would look like a suspension of this
    /// process.
    fn reset_suspicion_timer(&mut self, now: Timestamp, name: MemberName) {
        let others = self.members.len();
        let Some(member) = self.members.get(&name) else { return };
        let end = member.status_since + self.period.scaled(timeout_periods(others, member.accusers.len()));
        let at =
            if member.final_probe_sent { end.min(member.suspicion_timer) } else { end.back(self.period) };
        self.set_timer(name, at.max(now));
    }

    /// Puts the end of a suspicion off by a period.
    pub(super) fn postpone(&mut self, now: Timestamp, name: MemberName, final_probe_sent: bool) {
        if let Some(member) = self.members.get_mut(&name) {
            member.final_probe_sent = final_probe_sent;
            self.set_timer(name, now + self.period);
        }
    }

    /// Puts all suspicions off by the time for which this process was suspended.
    pub(super) fn postpone_all(&mut self, suspended: Duration) {
        for timer in std::mem::take(&mut self.suspicions) {
            self.set_timer(timer.member, timer.at + suspended);
        }
    }

    pub(super) fn next_timer(&self) -> Option<Timestamp> {
        self.suspicions.first().map(|timer| timer.at)
    }

    /// The first suspicion whose timer has run out.
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
