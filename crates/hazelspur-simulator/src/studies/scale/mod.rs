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
const STORM: Duration = Duration::from_ms(1000);
/// After a storm of starts the fleet is left alone for so long.
const SETTLE: Duration = Duration::from_ms(30_000);
/// How long regions are partitioned.
const APART: Duration = Duration::from_ms(60_000);
/// One server in so many restarts in a bunch.
const BUNCH_PART: usize = 40;
/// How long a bunch of restarts takes.
const BUNCH: Duration = Duration::from_ms(10_000);
/// How long a restarting server is away.
const AWAY: Duration = Duration::from_ms(1500);
/// The first server that restarts in a bunch.
const FIRST_RESTARTED: usize = 7;
/// CPU is taken over so many server-seconds at least.
const CPU_SERVER_SECS: f64 = 40_000.0;
/// Between two checks whether all agree.
const LOOK: Duration = Duration::from_ms(250);
/// Checks in a second, over which the worst second of traffic is counted.
const LOOKS_A_SECOND: usize = 4;
/// Nobody waits longer than this for all to agree.
const LONGEST: Duration = Duration::from_ms(180_000);
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
    fn of(
        before: &[Traffic],
        after: &[Traffic],
        max_bytes_out_in_a_second: u64,
        secs: f64,
        servers: usize,
    ) -> Self {
        let first = |at: usize| before.get(at).copied().unwrap_or_default();
        let each: Vec<Traffic> = after.iter().enumerate().map(|(at, after)| after.since(first(at))).collect();
        let most = |of: fn(&Traffic) -> u64| each.iter().map(of).max().unwrap_or(0) as f64 / secs;
        let mean = |of: fn(&Traffic) -> u64| each.iter().map(of).sum::<u64>() as f64 / servers as f64 / secs;
        Self {
            datagrams_out_per_s: mean(|t| t.out),
            bytes_out_per_s: mean(|t| t.bytes_out),
            busiest_datagrams_out_per_s: most(|t| t.out),
            busiest_bytes_out_per_s: most(|t| t.bytes_out),
            busiest_datagrams_in_per_s: most(|t| t.came),
            busiest_bytes_in_per_s: most(|t| t.bytes_in),
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
fn watch<W: MembershipProtocol>(fleet: &mut TestFleet<W>, window: Duration, size: usize) -> Agreement {
    let from = fleet.now();
    let before: Vec<Traffic> = fleet.traffic().collect();
    let (mut second, mut worst) = (before.clone(), 0);
    let (mut agreed, mut load, mut looks) = (None, None, 0);
    loop {
        let passed = fleet.now() - from;
        if agreed.is_none() && fleet.agree() {
            agreed = Some(passed.secs());
        }
        if load.is_none() && passed >= window {
            let after: Vec<Traffic> = fleet.traffic().collect();
            load = Some(TrafficSummary::of(&before, &after, worst, passed.secs(), size));
        }
        if let Some(load) = load
            && (agreed.is_some() || passed >= LONGEST)
        {
            return Agreement { traffic: load, agreed_after_s: agreed };
        }
        fleet.play(LOOK);
        looks += 1;
        if looks % LOOKS_A_SECOND == 0 {
            let after: Vec<Traffic> = fleet.traffic().collect();
            let sent = |(at, after): (usize, &Traffic)| {
                after.bytes_out - second.get(at).map_or(0, |before| before.bytes_out)
            };
            worst = after.iter().enumerate().map(sent).max().unwrap_or(0).max(worst);
            second = after;
        }
    }
}

/// All start within a second, each at its part of it.
pub fn start_all<W: MembershipProtocol>(
    fleet: &mut TestFleet<W>,
    numbers: impl ExactSizeIterator<Item = usize>,
) {
    let part = Duration::from_us(STORM.us() / numbers.len().max(1) as u64);
    for of in numbers {
        fleet.start(of);
        fleet.play(part);
    }
}

/// A fleet of so many, started and at rest.
pub fn settled_fleet<W: MembershipProtocol>(size: usize, seed: u64, links: &Links) -> TestFleet<W> {
    let mut fleet = TestFleet::new(links.network(), max_servers(size), seed);
    start_all(&mut fleet, 0..size);
    let from = fleet.now();
    while !fleet.agree() && fleet.now() - from < LONGEST {
        fleet.play(LOOK);
    }
    fleet.play(SETTLE);
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
pub fn measure_at_rest<W: MembershipProtocol>(
    fleet: &mut TestFleet<W>,
    window: Duration,
    size: usize,
) -> RestMeasurement {
    let before: Vec<Traffic> = fleet.traffic().collect();
    let (mut second, mut worst, from) = (before.clone(), 0, fleet.now());
    while fleet.now() - from < window {
        fleet.play(Duration::from_ms(1000));
        let after: Vec<Traffic> = fleet.traffic().collect();
        let sent = after.iter().zip(&second).map(|(after, before)| after.bytes_out - before.bytes_out);
        worst = sent.max().unwrap_or(0).max(worst);
        second = after;
    }
    let load = TrafficSummary::of(&before, &second, worst, (fleet.now() - from).secs(), size);
    let entries: Vec<usize> = fleet.members().map(|(_, way)| way.entries()).collect();
    let sum: usize = entries.iter().sum();
    let mean = sum as f64 / entries.len().max(1) as f64;
    RestMeasurement { traffic: load, mean_entries: mean, max_entries: entries.into_iter().max().unwrap_or(0) }
}

/// Plays one situation of one fleet, and returns its points.
pub fn run_case_with<W: MembershipProtocol>(case: &Case) -> Vec<Point> {
    let mut out = Sheet { case, points: Vec::new() };
    match case.scenario {
        Scenario::StartStorm => storm_and_rest::<W>(case, &mut out),
        Scenario::ZoneLoss => zone_lost::<W>(case, &mut out),
        Scenario::RegionPartition => regions_apart::<W>(case, &mut out),
        Scenario::RestartBurst => bunched_restarts::<W>(case, &mut out),
    }
    out.points
}

fn storm_and_rest<W: MembershipProtocol>(case: &Case, out: &mut Sheet) {
    let size = case.size;
    let mut fleet: TestFleet<W> = TestFleet::new(case.links.network(), max_servers(size), case.seed);
    // Traffic of the second in which they start counts too; the time until all agree is from its end.
    let before: Vec<Traffic> = fleet.traffic().collect();
    start_all(&mut fleet, 0..size);
    let first = TrafficSummary::of(&before, &fleet.traffic().collect::<Vec<_>>(), 0, 1.0, size);
    let watched = watch(&mut fleet, case.window, size);
    out.watched("storm", &watched);
    out.point("datagrams_out_per_s", "first second of the storm", "1/s", first.datagrams_out_per_s);
    out.point("bytes_out_per_s", "first second of the storm", "B/s", first.bytes_out_per_s);
    fleet.play(SETTLE);
    rest_points(out, &mut fleet);
}

fn zone_lost<W: MembershipProtocol>(case: &Case, out: &mut Sheet) {
    let size = case.size;
    let mut fleet: TestFleet<W> = settled_fleet(size, case.seed, &case.links);
    let lost: Vec<usize> = (0..size).filter(|server| server % ZONES == LOST_ZONE).collect();
    lost.iter().for_each(|server| fleet.kill(*server));
    let gone = watch(&mut fleet, case.window, size - lost.len());
    out.watched("zone lost", &gone);
    start_all(&mut fleet, lost.into_iter());
    let back = watch(&mut fleet, case.window, size);
    out.watched("zone back", &back);
}

fn regions_apart<W: MembershipProtocol>(case: &Case, out: &mut Sheet) {
    let mut fleet: TestFleet<W> = settled_fleet(case.size, case.seed, &case.links);
    fleet.network.cut = Some(|from, to| from % ZONES % REGIONS != to % ZONES % REGIONS);
    fleet.play(APART);
    fleet.network.cut = None;
    let healed = watch(&mut fleet, case.window, case.size);
    out.watched("regions healed", &healed);
}

fn bunched_restarts<W: MembershipProtocol>(case: &Case, out: &mut Sheet) {
    let size = case.size;
    let mut fleet: TestFleet<W> = settled_fleet(size, case.seed, &case.links);
    let before: Vec<Traffic> = fleet.traffic().collect();
    let from = fleet.now();
    restart_in_a_bunch(&mut fleet, size);
    let during = (fleet.now() - from).secs();
    let load = TrafficSummary::of(&before, &fleet.traffic().collect::<Vec<_>>(), 0, during, size);
    out.load("bunched restarts, while they go on", &load);
    let watched = watch(&mut fleet, case.window, size);
    out.watched("bunched restarts, after the last", &watched);
}

/// A server that left, and when it starts again.
#[derive(Clone, Copy)]
struct Restart {
    at: Timestamp,
    server: usize,
}

/// Restarts one server in so many, one after the other, each of which is away for `AWAY`.
fn restart_in_a_bunch<W: MembershipProtocol>(fleet: &mut TestFleet<W>, size: usize) {
    let many = (size / BUNCH_PART).max(1);
    let gap = Duration::from_us(BUNCH.us() / many as u64);
    let mut away: VecDeque<Restart> = VecDeque::new();
    let from = fleet.now();
    for i in 0..many {
        // Neither seed members nor voters, and of all zones in turn.
        let server = (i * BUNCH_PART + i % ZONES + FIRST_RESTARTED) % size;
        fleet.leave(server);
        away.push_back(Restart { at: fleet.now() + AWAY, server });
        if i + 1 == many {
            break;
        }
        let next = from + gap.scaled((i + 1) as f64);
        while let Some(restart) = away.pop_front_if(|restart| restart.at <= next) {
            start_again(fleet, restart);
        }
        fleet.play(next - fleet.now());
    }
    away.into_iter().for_each(|restart| start_again(fleet, restart));
}

fn start_again<W: MembershipProtocol>(fleet: &mut TestFleet<W>, restart: Restart) {
    fleet.play(restart.at - fleet.now());
    fleet.start(restart.server);
}

/// Traffic, entries, CPU and heap at rest. The heap is that of a zone's servers, taken from what their end
/// gives back.
fn rest_points<W: MembershipProtocol>(out: &mut Sheet, fleet: &mut TestFleet<W>) {
    let case = out.case;
    let rest = measure_at_rest(fleet, case.window, case.size);
    // The kernel counts in steps of some milliseconds: a small fleet is played for longer.
    let long = case.window.max(Duration::from_secs(CPU_SERVER_SECS / case.size as f64));
    let before = cpu::of_this_thread();
    fleet.play(long);
    let spent = before.zip(cpu::of_this_thread()).map(|(before, after)| after - before);
    out.load("rest", &rest.traffic);
    out.point("entries", "rest", "entries", rest.mean_entries);
    let held = heap::live();
    let zone: Vec<usize> = (0..case.size).filter(|of| of % ZONES == LOST_ZONE).collect();
    zone.iter().for_each(|of| fleet.kill(*of));
    if let Some((before, after)) = held.zip(heap::live()) {
        let each = (before - after) as f64 / zone.len().max(1) as f64 + size_of::<W>() as f64;
        out.point("state_bytes", "rest", "B", each);
    }
    if let Some(spent) = spent {
        let us = spent.us() as f64 / (long.secs() * case.size as f64);
        out.point("cpu_with_queue_us_per_s", "rest", "us/s", us);
        if let Some(queue) = queue_alone(case, &rest.traffic, long) {
            out.point("cpu_of_queue_us_per_s", "rest", "us/s", queue);
            out.point("cpu_us_per_s", "rest", "us/s", us - queue);
        }
    }
}

/// CPU of the laboratory's own queue and network for the same traffic, in microseconds a server-second.
fn queue_alone(case: &Case, load: &TrafficSummary, long: Duration) -> Option<f64> {
    let rate = Rate { servers: case.size, datagrams: load.datagrams_out_per_s, bytes: load.bytes_out_per_s };
    let mut fleet: TestFleet<Lightweight> = TestFleet::new(case.links.network(), case.size, case.seed);
    for of in 0..case.size {
        let lightweight =
            Lightweight::new(of, rate, case.seed.wrapping_mul(1_000_003) + of as u64, fleet.now());
        fleet.start_as(of, lightweight);
    }
    fleet.play(Duration::from_ms(2000));
    let before = cpu::of_this_thread()?;
    fleet.play(long);
    let spent = cpu::of_this_thread()? - before;
    Some(spent.us() as f64 / (long.secs() * case.size as f64))
}

/// Collects the points of one run.
struct Sheet<'a> {
    case: &'a Case,
    points: Vec<Point>,
}

impl Sheet<'_> {
    fn point(&mut self, figure: &str, case: &str, unit: &str, value: f64) {
        let figure = format!("{}.{figure}", self.case.protocols.name());
        self.points.push(Point::of_servers(&figure, case, unit, self.case.size, self.case.seed, value));
    }

    fn load(&mut self, case: &str, load: &TrafficSummary) {
        self.point("datagrams_out_per_s", case, "1/s", load.datagrams_out_per_s);
        self.point("bytes_out_per_s", case, "B/s", load.bytes_out_per_s);
        self.point("busiest_datagrams_out_per_s", case, "1/s", load.busiest_datagrams_out_per_s);
        self.point("busiest_bytes_out_per_s", case, "B/s", load.busiest_bytes_out_per_s);
        self.point("busiest_datagrams_in_per_s", case, "1/s", load.busiest_datagrams_in_per_s);
        self.point("busiest_bytes_in_per_s", case, "B/s", load.busiest_bytes_in_per_s);
        if load.max_bytes_out_in_a_second > 0.0 {
            self.point("most_bytes_out_in_a_second", case, "B", load.max_bytes_out_in_a_second);
        }
    }

    fn watched(&mut self, case: &str, watched: &Agreement) {
        self.load(case, &watched.traffic);
        match watched.agreed_after_s {
            Some(secs) => self.point("agree_s", case, "s", secs),
            None => self.point("not_agreed_within_s", case, "s", LONGEST.secs()),
        }
    }
}
