//! Log lines about the membership: one for each change of this server's own status, at most one per second
//! for each kind of change of other members, and at most one per minute for dropped datagrams.

use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::{DatagramError, FleetSize, LocalStatus, MemberStatus, Membership, MembershipEvent};
use std::collections::BTreeMap;

/// Shortest time between two lines about the same kind of change of other members.
const EVENT_LOG_INTERVAL: Duration = Duration::from_ms(1000);
/// Shortest time between two lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_ms(60_000);
/// The most names in one line.
const MAX_NAMES: usize = 4;

/// A kind of change that gets its own line. Lines that are written together have the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Recovered,
    Joined,
    Leaving,
    Left,
    Died,
    Refuted,
    Restarted,
    Suspected,
    DuplicateName,
}

/// The changes of one kind since the last line.
#[derive(Default)]
struct EventCount {
    count: usize,
    /// The names of the first members that changed, at most `MAX_NAMES`.
    names: Vec<String>,
}

/// A change of this server's own status.
struct StatusChange {
    from: LocalStatus,
    to: LocalStatus,
}

/// Collects changes of the membership and dropped datagrams until their lines are due.
#[derive(Default)]
pub struct EventLog {
    events: BTreeMap<EventKind, EventCount>,
    events_logged_at: Timestamp,
    dropped: BTreeMap<DatagramError, u64>,
    drops_logged_at: Timestamp,
    status_changes: Vec<StatusChange>,
}

impl EventLog {
    /// Records a change of the membership.
    pub fn record(&mut self, event: MembershipEvent) {
        let (kind, name) = match event {
            MembershipEvent::LocalStatusChanged { from, to } => {
                return self.status_changes.push(StatusChange { from, to });
            }
            MembershipEvent::Joined(name) => (EventKind::Joined, name.to_string()),
            MembershipEvent::Restarted(name) => (EventKind::Restarted, name.to_string()),
            MembershipEvent::Suspected { member, .. } => (EventKind::Suspected, member.to_string()),
            MembershipEvent::Recovered(name) => (EventKind::Recovered, name.to_string()),
            MembershipEvent::Died(name) => (EventKind::Died, name.to_string()),
            MembershipEvent::Leaving(name) => (EventKind::Leaving, name.to_string()),
            MembershipEvent::Left(name) => (EventKind::Left, name.to_string()),
            MembershipEvent::Refuted(_) => (EventKind::Refuted, "-".into()),
            MembershipEvent::DuplicateName(address) => (EventKind::DuplicateName, address.to_string()),
        };
        let events = self.events.entry(kind).or_default();
        events.count += 1;
        if events.names.len() < MAX_NAMES {
            events.names.push(name);
        }
    }

    /// Records a dropped datagram and the reason.
    pub fn record_drop(&mut self, reason: DatagramError) {
        *self.dropped.entry(reason).or_default() += 1;
    }

    /// Writes the lines that are due.
    pub fn flush(&mut self, now: Timestamp, membership: &Membership) {
        let size = membership.size(None);
        for change in std::mem::take(&mut self.status_changes) {
            log_status_change(&change, size, membership);
        }
        if !self.events.is_empty() && now - self.events_logged_at >= EVENT_LOG_INTERVAL {
            self.events_logged_at = now;
            for (kind, events) in std::mem::take(&mut self.events) {
                log_events(kind, &events, size);
            }
        }
        if !self.dropped.is_empty() && now - self.drops_logged_at >= DROP_LOG_INTERVAL {
            self.drops_logged_at = now;
            log_drops(&std::mem::take(&mut self.dropped));
        }
    }
}

fn log_status_change(change: &StatusChange, size: FleetSize, membership: &Membership) {
    let count = |status| membership.statuses().filter(|(_, other)| *other == status).count();
    log::info!(from = change.from.name(), to = change.to.name(), least = size.min, most = size.max,
        alive = count(MemberStatus::Alive), suspected = count(MemberStatus::Suspected),
        lost = count(MemberStatus::Dead); "fleet: own status changed");
}

fn log_events(kind: EventKind, events: &EventCount, size: FleetSize) {
    let (count, names) = (events.count, events.names.join(" "));
    let (least, most) = (size.min, size.max);
    let text = match kind {
        EventKind::DuplicateName => {
            return log::warn!(at = names, count; "fleet: another process uses this server's name");
        }
        EventKind::Joined => "joined",
        EventKind::Restarted => "restarted",
        EventKind::Suspected => "suspected",
        EventKind::Recovered => "recovered",
        EventKind::Died => "dead",
        EventKind::Leaving => "leaving",
        EventKind::Left => "left",
        EventKind::Refuted => "refuted by this server",
    };
    log::info!(count, names, least, most; "fleet members: {text}");
}

fn log_drops(dropped: &BTreeMap<DatagramError, u64>) {
    let count: u64 = dropped.values().sum();
    let each: Vec<String> =
        dropped.iter().map(|(reason, count)| format!("{}:{count}", reason.name())).collect();
    log::warn!(count, each = each.join(" "); "fleet datagrams dropped");
}
