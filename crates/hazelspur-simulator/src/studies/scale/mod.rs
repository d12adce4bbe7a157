//! What the real machines cost a server as the fleet grows, in two regions of three zones each: traffic of the
//! mean and of the busiest server, time until all agree, CPU and heap. `hazelspur-simulator scale` plays it and the
//! slope tests take their counts from it; it judges nothing.

pub mod points;
mod shares;

pub use shares::{SharesCase, run_shares_case};

use crate::membership_protocols::MembershipProtocol;
use crate::membership_protocols::lightweight::{Lightweight, Rate};
use crate::membership_protocols::zoned::{REGIONS, Together, ZONES, ZonedSwim};
use crate::network::Network;
use crate::test_fleet::{TestFleet, Traffic};
use crate::{cpu, heap};
use hazelspur::{Duration, Timestamp};
use points::Point;
use std::collections::VecDeque;

/// All start within this.
const START_STORM: Duration = Duration::from_ms(1000);
/// After a storm of starts the fleet is left alone for so long.
const SETTLE_TIME: Duration = Duration::from_ms(30_000);
/// How long regions are partitioned.
const PARTITION_DURATION: Duration = Duration::from_ms(60_000);
/// One server in so many restarts in a bunch.
const RESTART_DIVISOR: usize = 40;
/// How long a bunch of restarts takes.
const RESTART_BURST: Duration = Duration::from_ms(10_000);
/// How long a restarting server is away.
const RESTART_DOWNTIME: Duration = Duration::from_ms(1500);
/// The first server that restarts in a bunch.
const FIRST_RESTARTED: usize = 7;
/// CPU is taken over so many server-seconds at least.
const MIN_CPU_SERVER_SECONDS: f64 = 40_000.0;
/// Between two checks whether all agree.
const AGREEMENT_CHECK_PERIOD: Duration = Duration::from_ms(250);
/// Checks in a second, over which the worst second of traffic is counted.
const CHECKS_PER_SECOND: usize = 4;
/// Nobody waits longer than this for all to agree.
const MAX_AGREEMENT_WAIT: Duration = Duration::from_ms(180_000);
/// The zone that is lost; its first server is a contact point and a keeper.
const LOST_ZONE: usize = 0;

/// Room for a quarter more than there are.
pub fn max_servers(servers: usize) -> usize {
    servers + servers.div_ceil(4)
}

/// What lies between zones and regions.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// One way, from region to region.
    pub region_latency: Duration,
    /// Share of datagrams lost from region to region.
    pub region_loss: f64,
    /// Share of all datagrams lost.
    pub loss: f64,
}

impl Links {
    /// The network with these links.
    pub fn network(&self) -> Network {
        let mut network = Network::new(ZONES);
        network.regions = REGIONS;
        (network.region_lag, network.region_loss, network.loss) =
            (self.region_latency, self.region_loss, self.loss);
        network
    }
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// A storm of starts, and rest after it; CPU and heap are those at rest.
    StartStorm,
    /// A sixth gone at once; back cold a minute or more later.
    ZoneLoss,
    RegionPartition,
    RestartBurst,
}

impl Scenario {
    /// All situations, in the order of the table.
    pub const ALL: [Self; 4] = [Self::StartStorm, Self::ZoneLoss, Self::RegionPartition, Self::RestartBurst];

    /// How it is named in the printed tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::StartStorm => "storm-and-rest",
            Self::ZoneLoss => "zone",
            Self::RegionPartition => "regions",
            Self::RestartBurst => "bunch",
        }
    }
}

/// Which protocols run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolSet {
    Membership,
    /// Members, signals and shares of one limit.
    Combined,
}

impl ProtocolSet {
    /// Both machines, in the order of the table.
    pub const ALL: [Self; 2] = [Self::Membership, Self::Combined];

    /// How it is named in the printed tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Membership => "members",
            Self::Combined => "joint",
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub protocols: ProtocolSet,
    pub scenario: Scenario,
    pub size: usize,
    pub seed: u64,
    pub links: Links,
    /// Traffic is counted for so long from the beginning of each case.
    pub window: Duration,
}

/// Plays one run and returns its points.
pub fn run_case(case: &Case) -> Vec<Point> {
    match case.protocols {
        ProtocolSet::Membership => run_case_with::<ZonedSwim>(case),
        ProtocolSet::Combined => run_case_with::<Together<1>>(case),
    }
}

/// A server's traffic over a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficSummary {
    /// Of the mean server, a second.
    pub datagrams_out_per_s: f64,
    pub bytes_out_per_s: f64,
    /// Of the server with most of it, a second.
    pub busiest_datagrams_out_per_s: f64,
    pub busiest_bytes_out_per_s: f64,
    pub busiest_datagrams_in_per_s: f64,
    pub busiest_bytes_in_per_s: f64,
    /// The most bytes that one server sent in one second.
    pub max_bytes_out_in_a_second: f64,
}

impl TrafficSummary {
    /// The mean is over `servers`.
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
            datagrams_out_per_s: mean(|traffic| traffic.out),
            bytes_out_per_s: mean(|traffic| traffic.bytes_out),
            busiest_datagrams_out_per_s: busiest(|traffic| traffic.out),
            busiest_bytes_out_per_s: busiest(|traffic| traffic.bytes_out),
            busiest_datagrams_in_per_s: busiest(|traffic| traffic.came),
            busiest_bytes_in_per_s: busiest(|traffic| traffic.bytes_in),
            max_bytes_out_in_a_second: max_bytes_out_in_a_second as f64,
        }
    }
}

/// A window of a played town, and when all agreed.
#[derive(Clone, Copy, Debug)]
pub struct Agreement {
    pub traffic: TrafficSummary,
    /// Seconds from the beginning until all agreed first; none within three minutes.
    pub agreed_after_s: Option<f64>,
}

/// Plays for `window`, and on until all agree or three minutes are over.
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
        if agreed_after_s.is_none() && fleet.agree() {
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
        fleet.play(AGREEMENT_CHECK_PERIOD);
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

/// All start within a second, each at its part of it.
pub fn start_all<P: MembershipProtocol>(
    fleet: &mut TestFleet<P>,
    servers: impl ExactSizeIterator<Item = usize>,
) {
    let interval = Duration::from_us(START_STORM.us() / servers.len().max(1) as u64);
    for server in servers {
        fleet.start(server);
        fleet.play(interval);
    }
}

/// A fleet of so many, started and at rest.
pub fn settled_fleet<P: MembershipProtocol>(size: usize, seed: u64, links: &Links) -> TestFleet<P> {
    let mut fleet = TestFleet::new(links.network(), max_servers(size), seed);
    start_all(&mut fleet, 0..size);
    let started = fleet.now();
    while !fleet.agree() && fleet.now() - started < MAX_AGREEMENT_WAIT {
        fleet.play(AGREEMENT_CHECK_PERIOD);
    }
    fleet.play(SETTLE_TIME);
    fleet
}

/// What a fleet at rest sends and holds.
#[derive(Clone, Copy, Debug)]
pub struct RestMeasurement {
    pub traffic: TrafficSummary,
    /// Entries in the tables of the mean and of the fullest server.
    pub mean_entries: f64,
    pub max_entries: usize,
}

/// Counts the traffic of `fleet` for `window`.
pub fn measure_at_rest<P: MembershipProtocol>(
    fleet: &mut TestFleet<P>,
    window: Duration,
    size: usize,
) -> RestMeasurement {
    let before: Vec<Traffic> = fleet.traffic().collect();
    let (mut a_second_ago, mut max_bytes_out, started) = (before.clone(), 0, fleet.now());
    while fleet.now() - started < window {
        fleet.play(Duration::from_ms(1000));
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
    let entries: Vec<usize> = fleet.members().map(|(_, member)| member.entries()).collect();
    let sum: usize = entries.iter().sum();
    let mean = sum as f64 / entries.len().max(1) as f64;
    RestMeasurement { traffic, mean_entries: mean, max_entries: entries.into_iter().max().unwrap_or(0) }
}

/// Plays one situation of one fleet, and returns its points.
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
    // Traffic of the second in which they start counts too; the time until all agree is from its end.
    let before: Vec<Traffic> = fleet.traffic().collect();
    start_all(&mut fleet, 0..size);
    let first = TrafficSummary::from_counts(&before, &fleet.traffic().collect::<Vec<_>>(), 0, 1.0, size);
    let agreement = measure_agreement(&mut fleet, case.window, size);
    collector.add_agreement("storm", &agreement);
    collector.add("datagrams_out_per_s", "first second of the storm", "1/s", first.datagrams_out_per_s);
    collector.add("bytes_out_per_s", "first second of the storm", "B/s", first.bytes_out_per_s);
    fleet.play(SETTLE_TIME);
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
    fleet.network.cut = Some(|from, to| from % ZONES % REGIONS != to % ZONES % REGIONS);
    fleet.play(PARTITION_DURATION);
    fleet.network.cut = None;
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

/// A server that left, and when it starts again.
#[derive(Clone, Copy)]
struct Restart {
    at: Timestamp,
    server: usize,
}

/// Restarts one server in so many, one after the other, each of which is away for `RESTART_DOWNTIME`.
fn restart_one_by_one<P: MembershipProtocol>(fleet: &mut TestFleet<P>, size: usize) {
    let restarts = (size / RESTART_DIVISOR).max(1);
    let gap = Duration::from_us(RESTART_BURST.us() / restarts as u64);
    let mut down: VecDeque<Restart> = VecDeque::new();
    let started = fleet.now();
    for i in 0..restarts {
        // Neither seed members nor voters, and of all zones in turn.
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
        fleet.play(next - fleet.now());
    }
    down.into_iter().for_each(|restart| finish_restart(fleet, restart));
}

fn finish_restart<P: MembershipProtocol>(fleet: &mut TestFleet<P>, restart: Restart) {
    fleet.play(restart.at - fleet.now());
    fleet.start(restart.server);
}

/// Traffic, entries, CPU and heap at rest. The heap is that of a zone's servers, taken from what their end
/// gives back.
fn add_rest_points<P: MembershipProtocol>(collector: &mut PointCollector, fleet: &mut TestFleet<P>) {
    let case = collector.case;
    let rest = measure_at_rest(fleet, case.window, case.size);
    // The kernel counts in steps of some milliseconds: a small fleet is played for longer.
    let cpu_window = case.window.max(Duration::from_secs(MIN_CPU_SERVER_SECONDS / case.size as f64));
    let before = cpu::of_this_thread();
    fleet.play(cpu_window);
    let spent = before.zip(cpu::of_this_thread()).map(|(before, after)| after - before);
    collector.add_traffic("rest", &rest.traffic);
    collector.add("entries", "rest", "entries", rest.mean_entries);
    let heap_before = heap::live();
    let zone_servers: Vec<usize> = (0..case.size).filter(|server| server % ZONES == LOST_ZONE).collect();
    zone_servers.iter().for_each(|server| fleet.kill(*server));
    if let Some((before, after)) = heap_before.zip(heap::live()) {
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

/// CPU of the laboratory's own queue and network for the same traffic, in microseconds a server-second.
fn simulator_cpu_us_per_s(case: &Case, traffic: &TrafficSummary, cpu_window: Duration) -> Option<f64> {
    let rate =
        Rate { servers: case.size, datagrams: traffic.datagrams_out_per_s, bytes: traffic.bytes_out_per_s };
    let mut fleet: TestFleet<Lightweight> = TestFleet::new(case.links.network(), case.size, case.seed);
    for server in 0..case.size {
        let lightweight =
            Lightweight::new(server, rate, case.seed.wrapping_mul(1_000_003) + server as u64, fleet.now());
        fleet.start_as(server, lightweight);
    }
    fleet.play(Duration::from_ms(2000));
    let before = cpu::of_this_thread()?;
    fleet.play(cpu_window);
    let spent = cpu::of_this_thread()? - before;
    Some(spent.us() as f64 / (cpu_window.secs() * case.size as f64))
}

/// Collects the points of one run.
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
