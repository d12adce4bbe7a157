//! The study `scale`: costs of the real coordination protocols for a server as the fleet grows, in two
//! regions of three zones each. It measures the traffic of the mean and of the busiest server, the time until
//! all members agree, CPU and heap. The subcommand `scale` prints its points; the tests of traffic growth
//! (`tests/slopes.rs`) set bounds on its counts, which this module does not judge.

pub mod points;
mod shares;

pub use shares::{SharesCase, run_shares_case};

use crate::membership_protocols::MembershipProtocol;
use crate::membership_protocols::send_only::{SendOnlyMember, SendRate};
use crate::membership_protocols::zoned::{REGIONS, ZONES, ZonedFleetNode, ZonedSwim};
use crate::network::Network;
use crate::test_fleet::{TestFleet, Traffic};
use crate::{cpu, heap};
use hazelspur::{Duration, Timestamp};
use points::Point;
use std::collections::VecDeque;

/// Time within which all servers of a storm start.
const START_STORM: Duration = Duration::from_ms(1000);
/// Time without a fault after a start of the whole fleet.
const SETTLE_TIME: Duration = Duration::from_ms(30_000);
/// Duration of the partition between the regions.
const PARTITION_DURATION: Duration = Duration::from_ms(60_000);
/// One server in this many restarts in a burst.
const RESTART_DIVISOR: usize = 40;
/// Time over which the restarts of a burst are spread.
const RESTART_BURST: Duration = Duration::from_ms(10_000);
/// Time from a server's goodbye to its new start.
const RESTART_DOWNTIME: Duration = Duration::from_ms(1500);
/// Number of the first server that restarts in a burst.
const FIRST_RESTARTED: usize = 7;
/// Fewest server-seconds over which CPU time is measured.
const MIN_CPU_SERVER_SECONDS: f64 = 40_000.0;
/// Time between two checks whether all members agree.
const AGREEMENT_CHECK_PERIOD: Duration = Duration::from_ms(250);
/// Number of agreement checks in a second. After so many the traffic of the last second is counted.
const CHECKS_PER_SECOND: usize = 4;
/// Longest wait until all members agree.
const MAX_AGREEMENT_WAIT: Duration = Duration::from_ms(180_000);
/// Number of the zone that is lost. Its first server is a seed member and a voter of the quota allocator.
const LOST_ZONE: usize = 0;

/// Returns the greatest size that a fleet of this many servers is configured for: a quarter more.
pub fn max_servers(servers: usize) -> usize {
    servers + servers.div_ceil(4)
}

/// Links between zones and regions.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// One-way latency from region to region.
    pub region_latency: Duration,
    /// Fraction of datagrams lost from region to region, besides `loss`.
    pub region_loss: f64,
    /// Fraction of all datagrams lost.
    pub loss: f64,
}

impl Links {
    /// Returns a network of two regions and six zones with these links.
    pub fn network(&self) -> Network {
        let mut network = Network::new(ZONES);
        network.regions = REGIONS;
        (network.region_latency, network.region_loss, network.loss) =
            (self.region_latency, self.region_loss, self.loss);
        network
    }
}

/// Events of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All servers start within a second. Traffic is measured then and at rest, CPU and heap at rest.
    StartStorm,
    /// All servers of one of the six zones are killed at once. They start again cold once the window is over
    /// and all others agree, or after three minutes.
    ZoneLoss,
    /// The two regions are partitioned for a minute; traffic and agreement are measured after that.
    RegionPartition,
    /// One server in forty leaves and starts again, one after the other within ten seconds.
    RestartBurst,
}

impl Scenario {
    /// All scenarios, in the order of the table.
    pub const ALL: [Self; 4] = [Self::StartStorm, Self::ZoneLoss, Self::RegionPartition, Self::RestartBurst];

    /// Returns the name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::StartStorm => "storm-and-rest",
            Self::ZoneLoss => "zone",
            Self::RegionPartition => "regions",
            Self::RestartBurst => "bunch",
        }
    }
}

/// Protocols that run on each server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolSet {
    /// Membership alone.
    Membership,
    /// Membership, load reports, and quota leases of one limit.
    Combined,
}

impl ProtocolSet {
    /// Both sets, in the order of the table.
    pub const ALL: [Self; 2] = [Self::Membership, Self::Combined];

    /// Returns the name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Membership => "members",
            Self::Combined => "joint",
        }
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Protocols that run.
    pub protocols: ProtocolSet,
    /// Events of the run.
    pub scenario: Scenario,
    /// Number of servers.
    pub size: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Links between zones and regions.
    pub links: Links,
    /// Time over which traffic is counted, from the beginning of each measured phase.
    pub window: Duration,
}

/// Runs one case, and returns its points.
pub fn run_case(case: &Case) -> Vec<Point> {
    match case.protocols {
        ProtocolSet::Membership => run_case_with::<ZonedSwim>(case),
        ProtocolSet::Combined => run_case_with::<ZonedFleetNode<1>>(case),
    }
}

/// Traffic of a fleet's servers over a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficSummary {
    /// Datagrams a second that the mean server sent.
    pub datagrams_out_per_s: f64,
    /// Bytes a second that the mean server sent.
    pub bytes_out_per_s: f64,
    /// Datagrams a second of the server that sent most of them.
    pub busiest_datagrams_out_per_s: f64,
    /// Bytes a second of the server that sent most of them.
    pub busiest_bytes_out_per_s: f64,
    /// Datagrams a second of the server that received most of them.
    pub busiest_datagrams_in_per_s: f64,
    /// Bytes a second of the server that received most of them.
    pub busiest_bytes_in_per_s: f64,
    /// Most bytes that one server sent in one second; zero if that was not counted.
    pub max_bytes_out_in_a_second: f64,
}

impl TrafficSummary {
    /// Summarizes the traffic between two counts, which lie `secs` apart. The mean is over `servers`.
    fn from_counts(
        before: &[Traffic],
        after: &[Traffic],
        max_bytes_out_in_a_second: u64,
        secs: f64,
        servers: usize,
    ) -> Self {
        let earlier = |server: usize| before.get(server).copied().unwrap_or_default();
        let each: Vec<Traffic> =
            after.iter().enumerate().map(|(server, after)| after.since(earlier(server))).collect();
        let busiest =
            |counter: fn(&Traffic) -> u64| each.iter().map(counter).max().unwrap_or(0) as f64 / secs;
        let mean = |counter: fn(&Traffic) -> u64| {
            each.iter().map(counter).sum::<u64>() as f64 / servers as f64 / secs
        };
        Self {
            datagrams_out_per_s: mean(|traffic| traffic.datagrams_out),
            bytes_out_per_s: mean(|traffic| traffic.bytes_out),
            busiest_datagrams_out_per_s: busiest(|traffic| traffic.datagrams_out),
            busiest_bytes_out_per_s: busiest(|traffic| traffic.bytes_out),
            busiest_datagrams_in_per_s: busiest(|traffic| traffic.datagrams_in),
            busiest_bytes_in_per_s: busiest(|traffic| traffic.bytes_in),
            max_bytes_out_in_a_second: max_bytes_out_in_a_second as f64,
        }
    }
}

/// Traffic of a measured phase, and the time until all members agreed.
#[derive(Clone, Copy, Debug)]
pub struct Agreement {
    /// Traffic of the window at the beginning of the phase.
    pub traffic: TrafficSummary,
    /// Seconds from the beginning until all first agreed; `None` if they did not within three minutes.
    pub agreed_after_s: Option<f64>,
}

/// Runs the fleet for `window`, and on until all members agree or three minutes are over. The mean traffic is
/// over `size` servers.
fn measure_agreement<P: MembershipProtocol>(
    fleet: &mut TestFleet<P>,
    window: Duration,
    size: usize,
) -> Agreement {
    let started = fleet.now();
    let before: Vec<Traffic> = fleet.traffic().collect();
    let (mut a_second_ago, mut max_bytes_out) = (before.clone(), 0);
    let (mut agreed_after_s, mut traffic, mut checks) = (None, None, 0);
    loop {
        let passed = fleet.now() - started;
        if agreed_after_s.is_none() && fleet.members_agree() {
            agreed_after_s = Some(passed.secs());
        }
        if traffic.is_none() && passed >= window {
            let after: Vec<Traffic> = fleet.traffic().collect();
            traffic = Some(TrafficSummary::from_counts(&before, &after, max_bytes_out, passed.secs(), size));
        }
        if let Some(traffic) = traffic
            && (agreed_after_s.is_some() || passed >= MAX_AGREEMENT_WAIT)
        {
            return Agreement { traffic, agreed_after_s };
        }
        fleet.run(AGREEMENT_CHECK_PERIOD);
        checks += 1;
        if checks % CHECKS_PER_SECOND == 0 {
            let after: Vec<Traffic> = fleet.traffic().collect();
            let sent = |(server, after): (usize, &Traffic)| {
                after.bytes_out - a_second_ago.get(server).map_or(0, |before| before.bytes_out)
            };
            max_bytes_out = after.iter().enumerate().map(sent).max().unwrap_or(0).max(max_bytes_out);
            a_second_ago = after;
        }
    }
}

/// Starts the servers within a second, at equal intervals.
pub fn start_all<P: MembershipProtocol>(
    fleet: &mut TestFleet<P>,
    servers: impl ExactSizeIterator<Item = usize>,
) {
    let interval = Duration::from_us(START_STORM.us() / servers.len().max(1) as u64);
    for server in servers {
        fleet.start(server);
        fleet.run(interval);
    }
}

/// Returns a fleet of `size` servers that started, agreed, and then ran without a fault for a while.
pub fn settled_fleet<P: MembershipProtocol>(size: usize, seed: u64, links: &Links) -> TestFleet<P> {
    let mut fleet = TestFleet::new(links.network(), max_servers(size), seed);
    start_all(&mut fleet, 0..size);
    let started = fleet.now();
    while !fleet.members_agree() && fleet.now() - started < MAX_AGREEMENT_WAIT {
        fleet.run(AGREEMENT_CHECK_PERIOD);
    }
    fleet.run(SETTLE_TIME);
    fleet
}

/// Traffic and membership tables of a fleet at rest.
#[derive(Clone, Copy, Debug)]
pub struct RestMeasurement {
    /// Traffic of the window.
    pub traffic: TrafficSummary,
    /// Entries in the mean server's membership table.
    pub mean_entries: f64,
    /// Entries in the largest membership table.
    pub max_entries: usize,
}

/// Counts the traffic of a fleet for `window`, and the entries in its membership tables at the end.
pub fn measure_at_rest<P: MembershipProtocol>(
    fleet: &mut TestFleet<P>,
    window: Duration,
    size: usize,
) -> RestMeasurement {
    let before: Vec<Traffic> = fleet.traffic().collect();
    let (mut a_second_ago, mut max_bytes_out, started) = (before.clone(), 0, fleet.now());
    while fleet.now() - started < window {
        fleet.run(Duration::from_ms(1000));
        let after: Vec<Traffic> = fleet.traffic().collect();
        let sent = after.iter().zip(&a_second_ago).map(|(after, before)| after.bytes_out - before.bytes_out);
        max_bytes_out = sent.max().unwrap_or(0).max(max_bytes_out);
        a_second_ago = after;
    }
    let traffic = TrafficSummary::from_counts(
        &before,
        &a_second_ago,
        max_bytes_out,
        (fleet.now() - started).secs(),
        size,
    );
    let entries: Vec<usize> = fleet.members().map(|(_, member)| member.entry_count()).collect();
    let sum: usize = entries.iter().sum();
    let mean = sum as f64 / entries.len().max(1) as f64;
    RestMeasurement { traffic, mean_entries: mean, max_entries: entries.into_iter().max().unwrap_or(0) }
}

/// Runs one case with a given protocol, and returns its points.
pub fn run_case_with<P: MembershipProtocol>(case: &Case) -> Vec<Point> {
    let mut collector = PointCollector { case, points: Vec::new() };
    match case.scenario {
        Scenario::StartStorm => start_storm::<P>(case, &mut collector),
        Scenario::ZoneLoss => zone_loss::<P>(case, &mut collector),
        Scenario::RegionPartition => region_partition::<P>(case, &mut collector),
        Scenario::RestartBurst => restart_burst::<P>(case, &mut collector),
    }
    collector.points
}

fn start_storm<P: MembershipProtocol>(case: &Case, collector: &mut PointCollector) {
    let size = case.size;
    let mut fleet: TestFleet<P> = TestFleet::new(case.links.network(), max_servers(size), case.seed);
    // The second of the starts has points of its own; the time until all agree is counted from its end.
    let before: Vec<Traffic> = fleet.traffic().collect();
    start_all(&mut fleet, 0..size);
    let first = TrafficSummary::from_counts(&before, &fleet.traffic().collect::<Vec<_>>(), 0, 1.0, size);
    let agreement = measure_agreement(&mut fleet, case.window, size);
    collector.add_agreement("storm", &agreement);
    collector.add("datagrams_out_per_s", "first second of the storm", "1/s", first.datagrams_out_per_s);
    collector.add("bytes_out_per_s", "first second of the storm", "B/s", first.bytes_out_per_s);
    fleet.run(SETTLE_TIME);
    add_rest_points(collector, &mut fleet);
}

fn zone_loss<P: MembershipProtocol>(case: &Case, collector: &mut PointCollector) {
    let size = case.size;
    let mut fleet: TestFleet<P> = settled_fleet(size, case.seed, &case.links);
    let lost: Vec<usize> = (0..size).filter(|server| server % ZONES == LOST_ZONE).collect();
    lost.iter().for_each(|server| fleet.kill(*server));
    let after_loss = measure_agreement(&mut fleet, case.window, size - lost.len());
    collector.add_agreement("zone lost", &after_loss);
    start_all(&mut fleet, lost.into_iter());
    let after_return = measure_agreement(&mut fleet, case.window, size);
    collector.add_agreement("zone back", &after_return);
}

fn region_partition<P: MembershipProtocol>(case: &Case, collector: &mut PointCollector) {
    let mut fleet: TestFleet<P> = settled_fleet(case.size, case.seed, &case.links);
    fleet.network.partition = Some(|from, to| from % ZONES % REGIONS != to % ZONES % REGIONS);
    fleet.run(PARTITION_DURATION);
    fleet.network.partition = None;
    let after_heal = measure_agreement(&mut fleet, case.window, case.size);
    collector.add_agreement("regions healed", &after_heal);
}

fn restart_burst<P: MembershipProtocol>(case: &Case, collector: &mut PointCollector) {
    let size = case.size;
    let mut fleet: TestFleet<P> = settled_fleet(size, case.seed, &case.links);
    let before: Vec<Traffic> = fleet.traffic().collect();
    let started = fleet.now();
    restart_one_by_one(&mut fleet, size);
    let elapsed_s = (fleet.now() - started).secs();
    let traffic =
        TrafficSummary::from_counts(&before, &fleet.traffic().collect::<Vec<_>>(), 0, elapsed_s, size);
    collector.add_traffic("bunched restarts, while they go on", &traffic);
    let agreement = measure_agreement(&mut fleet, case.window, size);
    collector.add_agreement("bunched restarts, after the last", &agreement);
}

/// A server that left, and the time of its new start.
#[derive(Clone, Copy)]
struct Restart {
    at: Timestamp,
    server: usize,
}

/// Restarts one server in `RESTART_DIVISOR`, one after the other. Each is down for `RESTART_DOWNTIME`.
fn restart_one_by_one<P: MembershipProtocol>(fleet: &mut TestFleet<P>, size: usize) {
    let restarts = (size / RESTART_DIVISOR).max(1);
    let gap = Duration::from_us(RESTART_BURST.us() / restarts as u64);
    let mut down: VecDeque<Restart> = VecDeque::new();
    let started = fleet.now();
    for i in 0..restarts {
        // The servers are of all zones in turn, and neither seed members nor voters of the quota allocator.
        let server = (i * RESTART_DIVISOR + i % ZONES + FIRST_RESTARTED) % size;
        fleet.leave(server);
        down.push_back(Restart { at: fleet.now() + RESTART_DOWNTIME, server });
        if i + 1 == restarts {
            break;
        }
        let next = started + gap.scaled((i + 1) as f64);
        while let Some(restart) = down.pop_front_if(|restart| restart.at <= next) {
            finish_restart(fleet, restart);
        }
        fleet.run(next - fleet.now());
    }
    down.into_iter().for_each(|restart| finish_restart(fleet, restart));
}

fn finish_restart<P: MembershipProtocol>(fleet: &mut TestFleet<P>, restart: Restart) {
    fleet.run(restart.at - fleet.now());
    fleet.start(restart.server);
}

/// Adds the points of traffic, membership tables, CPU and heap at rest. The heap of a server is measured by
/// what the end of one zone's servers frees.
fn add_rest_points<P: MembershipProtocol>(collector: &mut PointCollector, fleet: &mut TestFleet<P>) {
    let case = collector.case;
    let rest = measure_at_rest(fleet, case.window, case.size);
    // The kernel counts CPU time in steps of some milliseconds, so a small fleet runs for longer.
    let cpu_window = case.window.max(Duration::from_secs(MIN_CPU_SERVER_SECONDS / case.size as f64));
    let before = cpu::thread_cpu_time();
    fleet.run(cpu_window);
    let spent = before.zip(cpu::thread_cpu_time()).map(|(before, after)| after - before);
    collector.add_traffic("rest", &rest.traffic);
    collector.add("entries", "rest", "entries", rest.mean_entries);
    let heap_before = heap::live_bytes();
    let zone_servers: Vec<usize> = (0..case.size).filter(|server| server % ZONES == LOST_ZONE).collect();
    zone_servers.iter().for_each(|server| fleet.kill(*server));
    if let Some((before, after)) = heap_before.zip(heap::live_bytes()) {
        let bytes_per_server =
            (before - after) as f64 / zone_servers.len().max(1) as f64 + size_of::<P>() as f64;
        collector.add("state_bytes", "rest", "B", bytes_per_server);
    }
    if let Some(spent) = spent {
        let us = spent.us() as f64 / (cpu_window.secs() * case.size as f64);
        collector.add("cpu_with_queue_us_per_s", "rest", "us/s", us);
        if let Some(overhead) = simulator_cpu_us_per_s(case, &rest.traffic, cpu_window) {
            collector.add("cpu_of_queue_us_per_s", "rest", "us/s", overhead);
            collector.add("cpu_us_per_s", "rest", "us/s", us - overhead);
        }
    }
}

/// Returns the CPU time that the simulator's own event queue and network take for the same traffic, in
/// microseconds for each second of a server; `None` where the kernel does not report CPU time.
fn simulator_cpu_us_per_s(case: &Case, traffic: &TrafficSummary, cpu_window: Duration) -> Option<f64> {
    let rate = SendRate {
        servers: case.size,
        datagrams_per_s: traffic.datagrams_out_per_s,
        bytes_per_s: traffic.bytes_out_per_s,
    };
    let mut fleet: TestFleet<SendOnlyMember> = TestFleet::new(case.links.network(), case.size, case.seed);
    for server in 0..case.size {
        let lightweight =
            SendOnlyMember::new(server, rate, case.seed.wrapping_mul(1_000_003) + server as u64, fleet.now());
        fleet.start_member(server, lightweight);
    }
    fleet.run(Duration::from_ms(2000));
    let before = cpu::thread_cpu_time()?;
    fleet.run(cpu_window);
    let spent = cpu::thread_cpu_time()? - before;
    Some(spent.us() as f64 / (cpu_window.secs() * case.size as f64))
}

/// Points of one run, which take the run's protocol set, size and seed from its case.
struct PointCollector<'a> {
    case: &'a Case,
    points: Vec<Point>,
}

impl PointCollector<'_> {
    fn add(&mut self, figure: &str, case: &str, unit: &str, value: f64) {
        let figure = format!("{}.{figure}", self.case.protocols.name());
        self.points.push(Point::of_servers(&figure, case, unit, self.case.size, self.case.seed, value));
    }

    fn add_traffic(&mut self, case: &str, traffic: &TrafficSummary) {
        self.add("datagrams_out_per_s", case, "1/s", traffic.datagrams_out_per_s);
        self.add("bytes_out_per_s", case, "B/s", traffic.bytes_out_per_s);
        self.add("busiest_datagrams_out_per_s", case, "1/s", traffic.busiest_datagrams_out_per_s);
        self.add("busiest_bytes_out_per_s", case, "B/s", traffic.busiest_bytes_out_per_s);
        self.add("busiest_datagrams_in_per_s", case, "1/s", traffic.busiest_datagrams_in_per_s);
        self.add("busiest_bytes_in_per_s", case, "B/s", traffic.busiest_bytes_in_per_s);
        if traffic.max_bytes_out_in_a_second > 0.0 {
            self.add("most_bytes_out_in_a_second", case, "B", traffic.max_bytes_out_in_a_second);
        }
    }

    fn add_agreement(&mut self, case: &str, agreement: &Agreement) {
        self.add_traffic(case, &agreement.traffic);
        match agreement.agreed_after_s {
            Some(secs) => self.add("agree_s", case, "s", secs),
            None => self.add("not_agreed_within_s", case, "s", MAX_AGREEMENT_WAIT.secs()),
        }
    }
}
