//! The study `shares`: quota leases of one limit among many servers under a fault, without the servers' other
//! work. It measures whether the quotas in force ever pass the limit, how much of it is in use once the fleet
//! has settled, how fairly it is divided, and how long settling takes.

mod fleet;

use crate::membership_protocols::swim::member_name;
use crate::membership_protocols::zoned::{REGIONS, ZONES};
use crate::network::{Network, Partition};
use crate::studies::scale::Links;
use crate::test_fleet::START;
use fleet::{AllocatorTraffic, Event, OBSERVATION_PERIOD, Observation, Quota, QuotaFleet, RESIDUAL_DURATION};
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::LimitName;
use hazelspur_fleet::quota::{QuotaConfig, SharedLimit};

/// Time from the start of the run to the fault; the fleet is at rest by then.
const FAULT_START: Duration = Duration::from_ms(20_000);
/// Time from the end of the fault to the end of the run.
const REST_AFTER_FAULT: Duration = Duration::from_ms(30_000);
/// Last part of a run, over which use and traffic are averaged.
const FINAL_PERIOD: Duration = Duration::from_ms(10_000);
/// Duration of the partition between the regions.
const REGION_PARTITION_DURATION: Duration = Duration::from_ms(60_000);
/// Fraction of the fair quotas that must be usable for the fleet to count as settled.
const SETTLED_FRACTION: f64 = 0.9;
/// Fraction of messages lost under `Fault::MessageLoss`.
const LOST_FRACTION: f64 = 0.05;
/// Number of sites of a network without given links.
const SITES: usize = 3;
/// Smallest size of the fleet that grows and shrinks.
const SMALL_FLEET: usize = 10;
/// Slots of each limit for each server.
const SLOTS_PER_SERVER: f64 = 4.0;
/// Fraction of each limit that is guaranteed without a lease.
const GUARANTEED_FRACTION: f64 = 0.2;
/// Number of voters, who elect the quota allocator.
const VOTERS: usize = 5;
/// Time for which a vote is valid.
const VOTE_DURATION: Duration = Duration::from_ms(4000);
/// Smallest divisor, against divisions by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Fault that is injected in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One message in twenty is lost, throughout the run.
    MessageLoss,
    /// The fleet grows from ten servers to all within 30 s, and shrinks back to ten.
    GrowAndShrink,
    /// Two in five servers end within 7 s; each starts again after 1.5 s.
    Replaced,
    /// The quota allocator ends, and starts again after 3 s.
    AllocatorEnds,
    /// No message passes between two halves of the fleet for 20 s.
    Partition,
    /// The processes of a tenth of the servers are paused for 10 s.
    Paused,
    /// No message passes between the two regions for a minute. Three of the five voters are in one of them.
    RegionPartition,
}

impl Fault {
    /// All faults of `shares`, in the order of the table.
    pub const ALL: [Self; 7] = [
        Self::None,
        Self::MessageLoss,
        Self::GrowAndShrink,
        Self::Replaced,
        Self::AllocatorEnds,
        Self::Partition,
        Self::Paused,
    ];

    /// Faults of the study `scale`.
    pub const FOR_SCALE: [Self; 4] = [Self::None, Self::Replaced, Self::AllocatorEnds, Self::RegionPartition];

    /// Returns the duration of the partition between the regions; zero for other faults.
    pub fn region_partition_duration(self) -> Duration {
        if self == Self::RegionPartition { REGION_PARTITION_DURATION } else { Duration::ZERO }
    }

    /// Returns the name in tables and points.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::MessageLoss => "loss of 5%",
            Self::GrowAndShrink => "grows from 10 and shrinks",
            Self::Replaced => "two in five replaced in 7 s",
            Self::AllocatorEnds => "divider ends",
            Self::Partition => "halves for 20 s",
            Self::Paused => "a tenth stopped for 10 s",
            Self::RegionPartition => "regions apart for 60 s",
        }
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Number of servers; the greatest number where the fleet grows.
    pub servers: usize,
    /// Fault that is injected.
    pub fault: Fault,
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of shared limits, all alike; the first one is observed.
    pub limits: usize,
    /// Links of two regions with three zones each; `None` for three sites of one region.
    pub links: Option<Links>,
}

/// Result of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Greatest sum of the quotas in force, over the limit. It includes quotas whose lease ended a moment ago
    /// and that may still be in use.
    pub max_in_force: f64,
    /// Sum of the usable quotas over the sum of the fair ones, as the mean of the last 10 s.
    pub used_fraction: f64,
    /// Smallest usable quota over the fair one of the same server, at the end.
    pub min_over_fair: f64,
    /// Jain's fairness index of usable quotas over fair ones, at the end.
    pub jain_index: f64,
    /// Seconds from the beginning of the fault until the used fraction stays settled.
    pub settled_s: f64,
    /// Smallest used fraction from the beginning of the fault on.
    pub min_used_fraction: f64,
    /// Messages a second to and from the allocator, in the last 10 s.
    pub allocator_messages_per_s: f64,
    /// Bytes a second of these messages as datagrams, without IP and UDP headers and without member updates.
    pub allocator_bytes_per_s: f64,
}

/// Runs one case.
pub fn run_case(case: &Case) -> Outcome {
    let mut network = case.links.map_or(Network::new(SITES), |links| links.network());
    if case.fault == Fault::MessageLoss {
        network.loss = LOST_FRACTION;
    }
    let mut fleet = QuotaFleet::new(quota_config(case), network, case.seed);
    (0..initial_servers(case)).for_each(|server| fleet.start(server));
    let fault_duration = schedule_fault(case, &mut fleet);
    Measurement::new(FAULT_START + fault_duration + REST_AFTER_FAULT).measure(&mut fleet)
}

fn quota_config(case: &Case) -> QuotaConfig {
    let servers = case.servers;
    let limit = |index: usize| SharedLimit {
        name: LimitName::new(&format!("calls-{index}")).expect("a short name"),
        total: SLOTS_PER_SERVER * servers as f64,
        guaranteed_fraction: GUARANTEED_FRACTION,
        residual_duration: RESIDUAL_DURATION,
        max_turn: None,
    };
    QuotaConfig {
        voters: (0..VOTERS).map(member_name).collect(),
        max_servers: servers + servers.div_ceil(4),
        vote_duration: VOTE_DURATION,
        limits: (0..case.limits).map(limit).collect(),
    }
}

fn initial_servers(case: &Case) -> usize {
    if case.fault == Fault::GrowAndShrink { case.servers.min(SMALL_FLEET) } else { case.servers }
}

/// Schedules the events of the fault, and returns its duration.
fn schedule_fault(case: &Case, fleet: &mut QuotaFleet) -> Duration {
    let servers = case.servers;
    let mut at = |ms: u64, event: Event| {
        fleet.queue.schedule(START + FAULT_START + Duration::from_ms(ms), event);
    };
    match case.fault {
        Fault::None | Fault::MessageLoss => Duration::ZERO,
        Fault::GrowAndShrink => {
            let first = initial_servers(case);
            for server in first..servers {
                let ms = 30_000 * (server - first) as u64 / (servers - first).max(1) as u64;
                at(ms, Event::Start(server));
                at(50_000 + ms, Event::End(server));
            }
            Duration::from_ms(80_000)
        }
        Fault::Replaced => {
            for (i, server) in (0..servers).filter(|server| server % 5 < 2).enumerate() {
                let ms = 7000 * i as u64 / (servers * 2 / 5).max(1) as u64;
                at(ms, Event::End(server));
                at(ms + 1500, Event::Start(server));
            }
            Duration::from_ms(8500)
        }
        Fault::AllocatorEnds => {
            at(0, Event::EndAllocator);
            Duration::ZERO
        }
        Fault::Partition => {
            at(0, Event::SetPartition(Some(|from, to| from % 2 != to % 2)));
            at(20_000, Event::SetPartition(None));
            Duration::from_ms(20_000)
        }
        Fault::RegionPartition => {
            let cut: Partition = |from, to| from % ZONES % REGIONS != to % ZONES % REGIONS;
            at(0, Event::SetPartition(Some(cut)));
            at(REGION_PARTITION_DURATION.us() / 1000, Event::SetPartition(None));
            REGION_PARTITION_DURATION
        }
        Fault::Paused => {
            for server in (0..servers).filter(|server| server % 10 == 3) {
                at(0, Event::Pause(server, Duration::from_ms(10_000)));
            }
            Duration::from_ms(10_000)
        }
    }
}

/// Accumulated observations of one run, from its start to its end.
struct Measurement {
    end: Timestamp,
    outcome: Outcome,
    /// Quotas of the latest observation.
    last_quotas: Vec<Quota>,
    /// Used fractions within `FINAL_PERIOD`.
    final_fractions: Vec<f64>,
    /// Allocator's traffic at the beginning of `FINAL_PERIOD`.
    before_final_period: AllocatorTraffic,
}

impl Measurement {
    fn new(duration: Duration) -> Self {
        let outcome = Outcome { min_used_fraction: 1.0, ..Outcome::default() };
        let before_final_period = AllocatorTraffic::default();
        Self {
            end: START + duration,
            outcome,
            last_quotas: Vec::new(),
            final_fractions: Vec::new(),
            before_final_period,
        }
    }

    fn measure(mut self, fleet: &mut QuotaFleet) -> Outcome {
        while fleet.queue.now < self.end {
            fleet.run_until(fleet.queue.now + OBSERVATION_PERIOD);
            let observation = fleet.observe();
            self.add(fleet, observation);
        }
        self.finish(fleet.allocator)
    }

    fn add(&mut self, fleet: &QuotaFleet, observation: Observation) {
        let now = fleet.queue.now;
        self.outcome.max_in_force = self.outcome.max_in_force.max(observation.in_force);
        let fair: f64 = observation.quotas.iter().map(|quota| quota.fair).sum();
        let used_fraction = observation.usable / fair.max(MIN_DIVISOR);
        let since_fault_s = (now - START).secs() - FAULT_START.secs();
        if since_fault_s >= 0.0 {
            self.outcome.min_used_fraction = self.outcome.min_used_fraction.min(used_fraction);
            if used_fraction < SETTLED_FRACTION {
                self.outcome.settled_s = since_fault_s + OBSERVATION_PERIOD.secs();
            }
        }
        if now + FINAL_PERIOD >= self.end {
            if self.final_fractions.is_empty() {
                self.before_final_period = fleet.allocator;
            }
            self.final_fractions.push(used_fraction);
        }
        self.last_quotas = observation.quotas;
    }

    fn finish(mut self, allocator: AllocatorTraffic) -> Outcome {
        let outcome = &mut self.outcome;
        outcome.used_fraction =
            self.final_fractions.iter().sum::<f64>() / self.final_fractions.len().max(1) as f64;
        outcome.allocator_messages_per_s =
            (allocator.messages - self.before_final_period.messages) as f64 / FINAL_PERIOD.secs();
        outcome.allocator_bytes_per_s =
            (allocator.bytes - self.before_final_period.bytes) as f64 / FINAL_PERIOD.secs();
        let ratios: Vec<f64> =
            self.last_quotas.iter().map(|quota| quota.usable / quota.fair.max(MIN_DIVISOR)).collect();
        outcome.min_over_fair = ratios.iter().copied().fold(f64::INFINITY, f64::min);
        outcome.jain_index = jain_index(&ratios);
        self.outcome
    }
}

/// Returns Jain's fairness index of some ratios: 1 if all are equal.
fn jain_index(ratios: &[f64]) -> f64 {
    let sum = ratios.iter().sum::<f64>();
    let squares = ratios.iter().map(|ratio| ratio * ratio).sum::<f64>();
    sum * sum / (ratios.len().max(1) as f64 * squares.max(MIN_DIVISOR))
}
