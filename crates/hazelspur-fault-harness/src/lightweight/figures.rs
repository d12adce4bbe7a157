//! What two readings of a run come to: traffic, CPU and memory of a member, by what it is.
//!
//! A lightweight member counts its own datagrams. What a real member sends is told by the numbers that its own
//! datagrams bear, and their mean length by those that lightweight members got; what it gets, by what hollow
//! members sent to it, as if real ones sent it as much, but for the divider, which sends it what it sends to
//! each hollow one. So that both kinds may be compared, what lightweight members got of either is counted alike,
//! by the sender.

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

/// Everything at one time.
pub struct Reading {
    /// When it was read.
    pub at: Instant,
    /// By process of lightweight members.
    pub counters: Vec<Counters>,
    /// Usage of the real servers' processes.
    pub real_usage: Vec<Option<ProcessUsage>>,
    /// Usage of the lightweight members' processes.
    pub lightweight_usage: Vec<Option<ProcessUsage>>,
    /// Datagrams that the kernel dropped so far.
    pub kernel_drops: u64,
}

/// What a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Real, and divides what all share.
    Allocator,
    /// Real, and votes on that.
    Voter,
    /// A real server.
    Real,
    /// A lightweight member.
    Lightweight,
}

impl Role {
    /// All roles, in the order of the table.
    pub const ALL: [Self; 4] = [Self::Real, Self::Lightweight, Self::Voter, Self::Allocator];

    /// Its name in tables and points.
    pub fn name(self) -> &'static str {
        match self {
            Self::Allocator => "divider",
            Self::Voter => "keeper",
            Self::Real => "real",
            Self::Lightweight => "hollow",
        }
    }
}

/// Of one member, a second.
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

/// What one member sends, receives and uses.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// What it is.
    pub role: Role,
    /// What it sent.
    pub sent: Rates,
    /// What it received.
    pub received: Rates,
    /// What lightweight members got of it.
    pub seen_by_lightweight: Rates,
    /// Datagrams that it sent, by their numbers.
    pub datagrams_by_sequence: f64,
    /// Part of a core; of a hollow one an even part of its process.
    pub cpu_share: f64,
    /// In bytes, likewise.
    pub resident: f64,
    /// Anonymous memory, in bytes, likewise.
    pub anonymous: f64,
}

/// The figures of a window.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Length of the window, in seconds.
    pub seconds: f64,
    /// The members, real ones first.
    pub members: Vec<Member>,
    /// Datagrams that the kernel dropped.
    pub kernel_drops: u64,
    /// Datagrams that lightweight members got and did not take, and that they could not send.
    pub not_accepted: u64,
    /// Datagrams that lightweight members could not send.
    pub unsent: u64,
}

impl Figures {
    /// The figures between two readings.
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
        // Of a real member: datagrams by number, at the mean length of those that came to hollow ones.
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
            // Of the other real ones as of as many hollow ones, and of the divider what it sends to each.
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

    /// The members of a role.
    pub fn with_role(&self, role: Role) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| member.role == role)
    }

    /// None where there is no such member.
    pub fn mean(&self, role: Role, figure: impl Fn(&Member) -> f64) -> Option<f64> {
        let count = self.with_role(role).count();
        (count > 0).then(|| self.with_role(role).map(figure).sum::<f64>() / count as f64)
    }

    /// The highest figure of a role; none where there is no such member.
    pub fn max(&self, role: Role, figure: impl Fn(&Member) -> f64) -> Option<f64> {
        self.with_role(role).map(figure).reduce(f64::max)
    }

    /// By how much a lightweight member's datagrams and bytes differ from a real one's, both as lightweight members
    /// got them, to each of them that is not the sender, as parts of the real one's; none where all real
    /// ones are keepers.
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

fn received_by_sender(counters: &[Counters]) -> BTreeMap<SocketAddr, Received> {
    let mut all: BTreeMap<SocketAddr, Received> = BTreeMap::new();
    for (sender, received) in counters.iter().flat_map(|counters| &counters.received_by_sender) {
        let sum = all.entry(*sender).or_default();
        sum.traffic.add(received.traffic.datagrams, received.traffic.bytes);
        sum.max_sequence = sum.max_sequence.max(received.max_sequence);
    }
    all
}

fn sent_by_receiver(counters: &[Counters]) -> BTreeMap<SocketAddr, Traffic> {
    let mut all: BTreeMap<SocketAddr, Traffic> = BTreeMap::new();
    for (receiver, traffic) in counters.iter().flat_map(|counters| &counters.sent_by_receiver) {
        all.entry(*receiver).or_default().add(traffic.datagrams, traffic.bytes);
    }
    all
}

type MemberFigure = fn(&Member) -> f64;

/// Name in the points, and unit.
const FIGURES: [(&str, &str, MemberFigure); 7] = [
    ("cpu_share", "cores", |m| m.cpu_share),
    ("resident_bytes", "B", |m| m.resident),
    ("anon_bytes", "B", |m| m.anonymous),
    ("datagrams_out_per_s", "1/s", |m| m.sent.datagrams),
    ("bytes_out_per_s", "B/s", |m| m.sent.bytes),
    ("datagrams_in_per_s", "1/s", |m| m.received.datagrams),
    ("bytes_in_per_s", "B/s", |m| m.received.bytes),
];

/// For the JSON file of measured figures.
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

/// Six digits are more than any of these measures.
fn round_to_six_digits(value: f64) -> f64 {
    format!("{value:.5e}").parse().unwrap_or(value)
}

/// One row for each role of each size.
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

/// What the table has no room for, a paragraph for one size.
pub fn describe(outcome: &Outcome) -> String {
    /// Members that are named as missing.
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
