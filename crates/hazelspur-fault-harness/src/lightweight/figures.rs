//! Computes the figures of a measuring window from the readings at its begin and end: traffic, CPU and memory
//! of each member, by role. Prints them as a table and as points of the JSON file.
//!
//! A lightweight member counts the datagrams that it sends and receives. The figures of a real member are
//! estimates:
//! - Sent datagrams follow from the sequence numbers in its datagrams, and sent bytes from the mean length of
//!   those that
//!   lightweight members received.
//! - Received traffic follows from the traffic that lightweight members sent to it, scaled up as if real
//!   members sent as
//!   much. The allocator is an exception: it is taken to send a real member as much as each lightweight one.
//!
//! To compare the two kinds, the traffic that lightweight members received is also counted by sender, in the
//! same way for real and lightweight senders.

use super::member::{Counters, Received, Traffic};
use super::process_usage::ProcessUsage;
use super::processes::LightweightProcess;
use super::{Fleet, Outcome};
use comfy_table::{Table, presets};
use hazelspur_fleet::MemberName;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// All counters and usages at one time.
pub struct Reading {
    /// Time of the reading.
    pub at: Instant,
    /// Counters of each process of lightweight members.
    pub counters: Vec<Counters>,
    /// Usage of the process of each real server; `None` if it does not run.
    pub real_usage: Vec<Option<ProcessUsage>>,
    /// Usage of each process of lightweight members; `None` if it does not run.
    pub lightweight_usage: Vec<Option<ProcessUsage>>,
    /// Number of datagrams that the kernel had dropped.
    pub kernel_drops: u64,
}

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Real server that is the allocator of the quotas.
    Allocator,
    /// Real server that votes for the allocator.
    Voter,
    /// Any other real server.
    Real,
    /// Lightweight member.
    Lightweight,
}

impl Role {
    /// All roles, in the order of the table.
    pub const ALL: [Self; 4] = [Self::Real, Self::Lightweight, Self::Voter, Self::Allocator];

    /// Returns the name of the role in tables and points.
    pub fn name(self) -> &'static str {
        match self {
            Self::Allocator => "divider",
            Self::Voter => "keeper",
            Self::Real => "real",
            Self::Lightweight => "hollow",
        }
    }
}

/// Rates of datagrams and bytes of one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rates {
    /// Datagrams a second.
    pub datagrams: f64,
    /// Bytes a second.
    pub bytes: f64,
}

impl Rates {
    fn of(traffic: Traffic, seconds: f64) -> Self {
        Self { datagrams: traffic.datagrams as f64 / seconds, bytes: traffic.bytes as f64 / seconds }
    }
}

/// Traffic and resource usage of one member in a window.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Role of the member.
    pub role: Role,
    /// Sent traffic; an estimate for a real server.
    pub sent: Rates,
    /// Received traffic; an estimate for a real server.
    pub received: Rates,
    /// Traffic that lightweight members together received from it.
    pub seen_by_lightweight: Rates,
    /// Sent datagrams per second, by the sequence numbers in them.
    pub datagrams_by_sequence: f64,
    /// CPU use, as a share of a core. A lightweight member counts with an equal share of its process.
    pub cpu_share: f64,
    /// Resident memory, in bytes, shared in the same way.
    pub resident: f64,
    /// Anonymous memory, in bytes, shared in the same way.
    pub anonymous: f64,
}

/// Figures of a measuring window.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Length of the window, in seconds.
    pub seconds: f64,
    /// Members, real ones first.
    pub members: Vec<Member>,
    /// Number of datagrams that the kernel dropped in the window.
    pub kernel_drops: u64,
    /// Number of datagrams that lightweight members received but did not accept.
    pub not_accepted: u64,
    /// Number of datagrams that lightweight members could not send.
    pub unsent: u64,
}

impl Figures {
    /// Computes the figures of the window between two readings.
    pub fn new(
        fleet: &Fleet,
        allocator: Option<MemberName>,
        processes: &[LightweightProcess],
        before: &Reading,
        after: &Reading,
    ) -> Self {
        let seconds = (after.at - before.at).as_secs_f64().max(f64::MIN_POSITIVE);
        let (received_before, sent_before) =
            (received_by_sender(&before.counters), sent_by_receiver(&before.counters));
        let (received_after, sent_after) =
            (received_by_sender(&after.counters), sent_by_receiver(&after.counters));
        let seen_from = |index: usize| {
            let address = fleet.gossip_address(index);
            let (old, new) = (received_before.get(&address), received_after.get(&address));
            let (old, new) = (old.copied().unwrap_or_default(), new.copied().unwrap_or_default());
            (new.traffic.since(old.traffic), new.max_sequence.saturating_sub(old.max_sequence))
        };
        let sent_to = |index: usize| {
            let address = fleet.gossip_address(index);
            let find = |all: &BTreeMap<SocketAddr, Traffic>| all.get(&address).copied().unwrap_or_default();
            find(&sent_after).since(find(&sent_before))
        };
        // Sent by a real member: datagrams by sequence number, at the mean length of those that lightweight
        // members received from it.
        let sent = |index: usize| {
            let (seen, sequence_advance) = seen_from(index);
            let mean = if seen.datagrams == 0 { 0.0 } else { seen.bytes as f64 / seen.datagrams as f64 };
            Rates {
                datagrams: sequence_advance as f64 / seconds,
                bytes: sequence_advance as f64 * mean / seconds,
            }
        };
        let allocator_index =
            allocator.and_then(|name| (0..fleet.real).find(|index| fleet.name(*index) == name.as_str()));
        let lightweight_count = (fleet.members - fleet.real) as f64;
        let real_member = |index: usize| {
            let role = match () {
                () if allocator_index == Some(index) => Role::Allocator,
                () if index < fleet.voter_count() => Role::Voter,
                () => Role::Real,
            };
            // The other real members are taken to send as much as lightweight ones, and the allocator as much
            // as it sends to each lightweight member.
            let from_lightweight = Rates::of(sent_to(index), seconds);
            let grants = allocator_index
                .filter(|allocator| *allocator != index)
                .map(|allocator| Rates::of(seen_from(allocator).0, seconds));
            let scale = (fleet.members - 1 - usize::from(grants.is_some())) as f64 / lightweight_count;
            let grants = grants.unwrap_or_default();
            let received = Rates {
                datagrams: from_lightweight.datagrams * scale + grants.datagrams / lightweight_count,
                bytes: from_lightweight.bytes * scale + grants.bytes / lightweight_count,
            };
            let (seen, sequence_advance) = seen_from(index);
            let seen_by_lightweight = Rates::of(seen, seconds);
            let datagrams_by_sequence = sequence_advance as f64 / seconds;
            let (cpu_share, resident, anonymous) =
                mean_usage(before.real_usage[index], after.real_usage[index], seconds, 1);
            Member {
                role,
                sent: sent(index),
                received,
                seen_by_lightweight,
                datagrams_by_sequence,
                cpu_share,
                resident,
                anonymous,
            }
        };
        let mut members: Vec<Member> = (0..fleet.real).map(real_member).collect();
        let (mut not_accepted, mut unsent) = (0, 0);
        for (i, process) in processes.iter().enumerate() {
            let (cpu_share, resident, anonymous) =
                mean_usage(before.lightweight_usage[i], after.lightweight_usage[i], seconds, process.count);
            for place in 0..process.count {
                let (old, new) = (before.counters[i].members[place], after.counters[i].members[place]);
                let (seen, sequence_advance) = seen_from(process.first_member + place);
                not_accepted += new.dropped - old.dropped;
                unsent += new.unsent - old.unsent;
                members.push(Member {
                    role: Role::Lightweight,
                    sent: Rates::of(new.sent.since(old.sent), seconds),
                    received: Rates::of(new.received.since(old.received), seconds),
                    seen_by_lightweight: Rates::of(seen, seconds),
                    datagrams_by_sequence: sequence_advance as f64 / seconds,
                    cpu_share,
                    resident,
                    anonymous,
                });
            }
        }
        Self {
            seconds,
            members,
            kernel_drops: after.kernel_drops.saturating_sub(before.kernel_drops),
            not_accepted,
            unsent,
        }
    }

    /// Returns the members of a role.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.role == role)
    }

    /// Returns the mean of a figure over the members of a role; `None` if no member has it.
    pub fn mean(&self, role: Role, figure: impl Fn(&Member) -> f64) -> Option<f64> {
        let count = self.with_role(role).count();
        (count > 0).then(|| self.with_role(role).map(figure).sum::<f64>() / count as f64)
    }

    /// Returns the highest value of a figure among the members of a role; `None` if no member has it.
    pub fn max(&self, role: Role, figure: impl Fn(&Member) -> f64) -> Option<f64> {
        self.with_role(role).map(figure).reduce(f64::max)
    }

    /// Returns the relative differences of the datagrams and bytes of a lightweight member from those of a
    /// real one, as fractions of the latter. Both are counted as lightweight members receive them, per
    /// receiver; a lightweight sender has one receiver fewer, since it does not send to itself. `None` if
    /// there is no real member other than voters and allocator, if it sent nothing, or if there are fewer
    /// than two lightweight members.
    pub fn difference(&self) -> Option<(f64, f64)> {
        let receivers = self.with_role(Role::Lightweight).count() as f64;
        let relative_difference = |figure: MemberFigure| {
            let lightweight = self.mean(Role::Lightweight, figure)? / (receivers - 1.0);
            let real = self.mean(Role::Real, figure)? / receivers;
            (real > 0.0 && receivers > 1.0).then_some(lightweight / real - 1.0)
        };
        Some((
            relative_difference(|member| member.seen_by_lightweight.datagrams)?,
            relative_difference(|member| member.seen_by_lightweight.bytes)?,
        ))
    }
}

/// Returns the mean CPU share, resident and anonymous memory of each member of a process; NaN if the process
/// does not run.
fn mean_usage(
    before: Option<ProcessUsage>,
    after: Option<ProcessUsage>,
    seconds: f64,
    members: usize,
) -> (f64, f64, f64) {
    let (Some(before), Some(after)) = (before, after) else { return (f64::NAN, f64::NAN, f64::NAN) };
    let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds;
    let per_member = |total: f64| total / members as f64;
    (per_member(cpu), per_member(after.resident_bytes as f64), per_member(after.anonymous_bytes as f64))
}

/// Sums the traffic received by all lightweight members, by sender, with the highest sequence number.
fn received_by_sender(counters: &[Counters]) -> BTreeMap<SocketAddr, Received> {
    let mut all: BTreeMap<SocketAddr, Received> = BTreeMap::new();
    for (sender, received) in counters.iter().flat_map(|counters| &counters.received_by_sender) {
        let sum = all.entry(*sender).or_default();
        sum.traffic.add(received.traffic.datagrams, received.traffic.bytes);
        sum.max_sequence = sum.max_sequence.max(received.max_sequence);
    }
    all
}

/// Sums the traffic sent by all lightweight members, by receiver.
fn sent_by_receiver(counters: &[Counters]) -> BTreeMap<SocketAddr, Traffic> {
    let mut all: BTreeMap<SocketAddr, Traffic> = BTreeMap::new();
    for (receiver, traffic) in counters.iter().flat_map(|counters| &counters.sent_by_receiver) {
        all.entry(*receiver).or_default().add(traffic.datagrams, traffic.bytes);
    }
    all
}

type MemberFigure = fn(&Member) -> f64;

/// Figures of a member: name in the points, unit and value.
const FIGURES: [(&str, &str, MemberFigure); 7] = [
    ("cpu_share", "cores", |m| m.cpu_share),
    ("resident_bytes", "B", |m| m.resident),
    ("anon_bytes", "B", |m| m.anonymous),
    ("datagrams_out_per_s", "1/s", |m| m.sent.datagrams),
    ("bytes_out_per_s", "B/s", |m| m.sent.bytes),
    ("datagrams_in_per_s", "1/s", |m| m.received.datagrams),
    ("bytes_in_per_s", "B/s", |m| m.received.bytes),
];

/// Returns the figures of one size as points of the JSON file.
pub fn points(outcome: &Outcome, seed: u64) -> Vec<Value> {
    let mut points = Vec::new();
    let agreed = outcome.agreed_after.is_some();
    let mut put = |figure: String, case: &str, unit: &str, value: Option<f64>| {
        if let Some(value) = value.filter(|value| value.is_finite()) {
            points.push(json!({"figure": figure, "case": case, "unit": unit, "by": "servers",
                "size": outcome.members, "seed": seed, "value": round_to_six_digits(value)}));
        }
    };
    let agreed_after_s = outcome.agreed_after.map(|agree| agree.as_secs_f64());
    put("members.agree_s".into(), "storm", "s", agreed_after_s);
    put("members.missing".into(), "storm", "members", Some(outcome.missing.len() as f64));
    let Some(figures) = &outcome.figures else { return points };
    let case = if agreed { "rest" } else { "not agreed" };
    for role in Role::ALL {
        let name = role.name();
        for (figure_name, unit, figure) in FIGURES {
            put(format!("members.{name}.{figure_name}"), case, unit, figures.mean(role, figure));
            let is_equal_share = role == Role::Lightweight && !figure_name.contains("per_s");
            if role != Role::Allocator && !is_equal_share {
                put(format!("members.{name}.most_{figure_name}"), case, unit, figures.max(role, figure));
            }
        }
        let seen = figures.mean(role, |m| m.seen_by_lightweight.bytes);
        put(format!("members.{name}.bytes_as_heard_per_s"), case, "B/s", seen);
        let seen = figures.mean(role, |m| m.seen_by_lightweight.datagrams);
        put(format!("members.{name}.datagrams_as_heard_per_s"), case, "1/s", seen);
    }
    let difference = figures.difference();
    put("members.difference.datagrams".into(), case, "part", difference.map(|d| d.0));
    put("members.difference.bytes".into(), case, "part", difference.map(|d| d.1));
    put("members.kernel_drops".into(), case, "datagrams", Some(figures.kernel_drops as f64));
    put("members.missing_at_end".into(), case, "members", Some(outcome.missing_at_end.len() as f64));
    put("members.all_processes_bytes".into(), "most", "B", Some(outcome.max_memory_bytes as f64));
    points
}

/// Rounds to six significant digits, which is more than the precision of any figure here.
fn round_to_six_digits(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

/// Returns a table with one row for each role of each size.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "members",
        "kind",
        "how many",
        "CPU, % of a core: mean, most",
        "resident, KB",
        "anonymous, KB",
        "datagrams/s out: mean, most",
        "bytes/s out: mean, most",
        "datagrams/s in: mean, most",
        "bytes/s in: mean, most",
    ]);
    for outcome in outcomes {
        let Some(figures) = &outcome.figures else { continue };
        for role in Role::ALL {
            let mean_and_max = |figure: MemberFigure, times: f64, digits: usize| {
                let (mean, max) = (figures.mean(role, figure), figures.max(role, figure));
                let (mean, max) = (mean.unwrap_or(f64::NAN) * times, max.unwrap_or(f64::NAN) * times);
                format!("{mean:.digits$}, {max:.digits$}")
            };
            let mean = |figure: MemberFigure, times: f64| {
                format!("{:.0}", figures.mean(role, figure).unwrap_or(f64::NAN) * times)
            };
            if figures.with_role(role).next().is_none() {
                continue;
            }
            table.add_row([
                outcome.members.to_string(),
                role.name().to_string(),
                figures.with_role(role).count().to_string(),
                mean_and_max(|m| m.cpu_share, 100.0, 2),
                mean(|m| m.resident, 1.0 / 1024.0),
                mean(|m| m.anonymous, 1.0 / 1024.0),
                mean_and_max(|m| m.sent.datagrams, 1.0, 2),
                mean_and_max(|m| m.sent.bytes, 1.0, 0),
                mean_and_max(|m| m.received.datagrams, 1.0, 2),
                mean_and_max(|m| m.received.bytes, 1.0, 0),
            ]);
        }
    }
    table.to_string()
}

/// Describes one size in a paragraph: agreement, missing members and figures that are not in the table.
pub fn describe(outcome: &Outcome) -> String {
    /// Highest number of missing members that are named.
    const MAX_NAMED: usize = 10;
    let count_and_names = |names: &std::collections::BTreeSet<String>| {
        let first: Vec<&str> = names.iter().take(MAX_NAMED).map(String::as_str).collect();
        let more = if names.len() > MAX_NAMED { ", ..." } else { "" };
        format!("{}: {}{more}", names.len(), first.join(", "))
    };
    let mut text = format!(
        "{} members, {} of them real, {} processes: ",
        outcome.members, outcome.real, outcome.processes
    );
    text += &match outcome.agreed_after {
        Some(agree) => format!("all real ones show all as alive after {:.1} s", agree.as_secs_f64()),
        None => {
            format!("the real ones do not show all as alive; missing {}", count_and_names(&outcome.missing))
        }
    };
    text += &format!("; most memory of all processes {} MB", outcome.max_memory_bytes >> 20);
    let Some(figures) = &outcome.figures else { return text };
    text += &format!(
        "; window {:.1} s: {} datagrams dropped by the kernel, {} not taken and {} not sent by hollow \
         members",
        figures.seconds, figures.kernel_drops, figures.not_accepted, figures.unsent
    );
    if !outcome.missing_at_end.is_empty() {
        text += &format!("; at its end missing {}", count_and_names(&outcome.missing_at_end));
    }
    text += &format!("; ops: {} acked of {} tries\n", outcome.requests.0, outcome.requests.1);
    let mean = |role, figure: MemberFigure| figures.mean(role, figure).unwrap_or(f64::NAN);
    let as_received = |role| {
        let (datagrams, bytes) =
            (mean(role, |m| m.seen_by_lightweight.datagrams), mean(role, |m| m.seen_by_lightweight.bytes));
        format!("{datagrams:.2} datagrams and {bytes:.0} bytes a second")
    };
    text += &format!(
        "as hollow members got them: of a real one {}, of a hollow one {}",
        as_received(Role::Real),
        as_received(Role::Lightweight)
    );
    if let Some((datagrams, bytes)) = figures.difference() {
        text += &format!(
            "; by receiver, of which a hollow one has one fewer, its differ by {:+.1}% and {:+.1}%",
            datagrams * 100.0,
            bytes * 100.0
        );
    }
    let (own_count, by_sequence) =
        (mean(Role::Lightweight, |m| m.sent.datagrams), mean(Role::Lightweight, |m| m.datagrams_by_sequence));
    text + &format!(
        "; datagrams of a hollow one by its own count {own_count:.2}, by their numbers {by_sequence:.2}"
    )
}
