//! The study `who-is-here`: compares membership protocols by false deaths, time to detect a killed member,
//! time to agree after a partition and after a start of all members, and traffic.

use crate::membership_protocols::{MembershipNotice, MembershipProtocol};
use crate::network::Network;
use crate::test_fleet::{Observation, TestFleet};
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hdrhistogram::Histogram;

/// Time without a fault, after the start and after the pauses.
const SETTLE_TIME: Duration = Duration::from_ms(60_000);
/// Time over which traffic at rest is counted.
const REST_DURATION: Duration = Duration::from_ms(60_000);
/// Longest wait for agreement after a start of all members, in seconds.
const MAX_STORM_S: f64 = 60.0;
/// Time between two rounds of pauses.
const PAUSE_PERIOD: Duration = Duration::from_ms(10_000);
/// One member in this many pauses in each round, but one at least.
const PAUSED_DIVISOR: usize = 20;
/// Longest time after a pause at which a false death still counts as its effect.
const MAX_PAUSE_EFFECT: Duration = Duration::from_ms(30_000);
/// Number of sites of the network.
const SITES: usize = 3;
/// Mask by which the seed of faults differs from that of the fleet.
const FAULT_SEED_MASK: u64 = 0x57a6;
/// Microseconds in a second.
const US_PER_SECOND: u64 = 1_000_000;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Number of members.
    pub size: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the phase in which members are paused and datagrams lost.
    pub fault_duration: Duration,
    /// Fraction of datagrams lost in that phase.
    pub loss: f64,
    /// Duration of each pause.
    pub pause: Duration,
}

/// Result of one run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of times that a member considered another one dead that was running.
    pub false_deaths: u64,
    /// Number of those false deaths of members that had not been paused within the last 30 s.
    pub unexplained_deaths: u64,
    /// Milliseconds from a kill until each of the other members detected it.
    pub detection_ms: Histogram<u64>,
    /// Number of members that had not detected a kill after two minutes, over all kills.
    pub undetected: u64,
    /// Seconds until all members agreed after a partition of 60 s; `None` if they did not within 180 s.
    pub heal_s: Option<f64>,
    /// Datagrams a second for each server at rest.
    pub datagrams_per_s: f64,
    /// Bytes a second for each server at rest.
    pub bytes_per_s: f64,
    /// Seconds until all members agreed after they had started within one second; `None` if they did not
    /// within 60 s.
    pub storm_s: Option<f64>,
    /// Datagrams a second for each server from the first start until all agreed.
    pub storm_datagrams_per_s: f64,
}

/// Runs one case: a start of all members, rest, pauses with loss, kills, and a partition into two halves.
pub fn run_case<P: MembershipProtocol>(case: &Case) -> Outcome {
    let mut random = Pcg::new(case.seed ^ FAULT_SEED_MASK);
    let mut fleet: TestFleet<P> = TestFleet::new(Network::new(SITES), case.size * 2, case.seed);
    let storm = start_storm(&mut fleet, case.size);
    fleet.run(SETTLE_TIME);
    let rest = measure_rest(&mut fleet, case.size);
    let deaths = pauses_with_loss(&mut fleet, &mut random, case);
    fleet.run(SETTLE_TIME);
    let (detection_ms, undetected) = measure_detection(&mut fleet, &mut random, case.size);
    let heal_s = measure_heal_time(&mut fleet);
    Outcome {
        false_deaths: deaths.all,
        unexplained_deaths: deaths.unexplained,
        detection_ms,
        undetected,
        heal_s,
        datagrams_per_s: rest.datagrams,
        bytes_per_s: rest.bytes,
        storm_s: storm.duration_s,
        storm_datagrams_per_s: storm.datagrams,
    }
}

/// Time and traffic of a start of all members.
struct Storm {
    /// Seconds until all agreed; `None` if they did not.
    duration_s: Option<f64>,
    /// Datagrams for each server and second.
    datagrams: f64,
}

/// Starts all members within a second, and waits until they agree.
fn start_storm<P: MembershipProtocol>(fleet: &mut TestFleet<P>, size: usize) -> Storm {
    for server in 0..size {
        fleet.start(server);
        fleet.run(Duration::from_us(US_PER_SECOND / size as u64));
    }
    let duration_s = seconds_until_agreed(fleet, MAX_STORM_S);
    let datagrams = rate(fleet.datagrams, size, duration_s.unwrap_or(MAX_STORM_S) + 1.0);
    Storm { duration_s, datagrams }
}

/// Traffic at rest, for each server and second.
struct Rest {
    datagrams: f64,
    bytes: f64,
}

fn measure_rest<P: MembershipProtocol>(fleet: &mut TestFleet<P>, size: usize) -> Rest {
    let (datagrams, bytes) = (fleet.datagrams, fleet.bytes);
    fleet.run(REST_DURATION);
    Rest {
        datagrams: rate(fleet.datagrams - datagrams, size, REST_DURATION.secs()),
        bytes: rate(fleet.bytes - bytes, size, REST_DURATION.secs()),
    }
}

/// Number of times that a running member was considered dead.
#[derive(Default)]
struct FalseDeaths {
    all: u64,
    /// False deaths of members that had not been paused within `MAX_PAUSE_EFFECT`.
    unexplained: u64,
}

impl FalseDeaths {
    fn count<P: MembershipProtocol>(&mut self, fleet: &TestFleet<P>, observation: &Observation) {
        if let MembershipNotice::Dead(server) = observation.notice
            && fleet.is_running(server)
        {
            self.all += 1;
            let since_pause = observation.at - fleet.last_pause_end(server);
            self.unexplained += u64::from(since_pause > MAX_PAUSE_EFFECT);
        }
    }
}

/// Pauses one member in twenty in each ten seconds, while the network loses datagrams.
fn pauses_with_loss<P: MembershipProtocol>(
    fleet: &mut TestFleet<P>,
    random: &mut Pcg,
    case: &Case,
) -> FalseDeaths {
    fleet.network.loss = case.loss;
    fleet.observations.clear();
    let end = fleet.now() + case.fault_duration;
    let mut deaths = FalseDeaths::default();
    while fleet.now() < end {
        for _ in 0..(case.size / PAUSED_DIVISOR).max(1) {
            let server = random.draw() as usize % case.size;
            fleet.pause(server, case.pause);
        }
        fleet.run(PAUSE_PERIOD);
        for observation in std::mem::take(&mut fleet.observations) {
            deaths.count(fleet, &observation);
        }
    }
    fleet.network.loss = 0.0;
    deaths
}

fn rate(count: u64, size: usize, secs: f64) -> f64 {
    count as f64 / size as f64 / secs
}

fn seconds_until_agreed<P: MembershipProtocol>(fleet: &mut TestFleet<P>, max_s: f64) -> Option<f64> {
    let started = fleet.now();
    loop {
        let passed = (fleet.now() - started).secs();
        if fleet.members_agree() {
            return Some(passed);
        }
        if passed >= max_s {
            return None;
        }
        fleet.run(Duration::from_ms(250));
    }
}

/// Kills three members one after the other, none of them a seed member, and starts each again. Returns the
/// times in milliseconds until each other member detected a kill, and the number of members that did not.
fn measure_detection<P: MembershipProtocol>(
    fleet: &mut TestFleet<P>,
    random: &mut Pcg,
    size: usize,
) -> (Histogram<u64>, u64) {
    let mut detection_ms = Histogram::new_with_bounds(1, 600_000, 3).expect("sound bounds");
    let mut undetected = 0;
    for _ in 0..3 {
        let killed = loop {
            let server = random.draw() as usize % size;
            if fleet.is_running(server) && !crate::membership_protocols::SEED_MEMBERS.contains(&server) {
                break server;
            }
        };
        fleet.observations.clear();
        fleet.kill(killed);
        let killed_at = fleet.now();
        fleet.run(Duration::from_ms(120_000));
        let is_detection = |observation: &&Observation| observation.notice == MembershipNotice::Dead(killed);
        let mut detections: Vec<(usize, Timestamp)> = fleet
            .observations
            .iter()
            .filter(is_detection)
            .map(|observation| (observation.observer, observation.at))
            .collect();
        detections.sort_unstable();
        detections.dedup_by_key(|(observer, _)| *observer);
        undetected += (fleet.running_count() - detections.len().min(fleet.running_count())) as u64;
        detections.iter().for_each(|(_, noticed_at)| {
            detection_ms.saturating_record((*noticed_at - killed_at).us() / 1000)
        });
        fleet.start(killed);
        fleet.run(Duration::from_ms(30_000));
    }
    (detection_ms, undetected)
}

/// Partitions the fleet into two halves for a minute. Returns the seconds until all agree after that, if they
/// do.
fn measure_heal_time<P: MembershipProtocol>(fleet: &mut TestFleet<P>) -> Option<f64> {
    fleet.network.partition = Some(|from, to| from % 2 != to % 2);
    fleet.run(Duration::from_ms(60_000));
    fleet.network.partition = None;
    seconds_until_agreed(fleet, 180.0)
}

/// Row of the table: one protocol at one size, over all seeds.
pub struct Row {
    /// Name of the protocol.
    pub protocol: &'static str,
    /// Number of members.
    pub size: usize,
    /// Results, one for each seed.
    pub outcomes: Vec<Outcome>,
}

impl Row {
    /// Returns the cells of the row, in the order of `HEADER`.
    pub fn cells(&self) -> Vec<String> {
        let all =
            |figure: &dyn Fn(&Outcome) -> f64| -> Vec<f64> { self.outcomes.iter().map(figure).collect() };
        let median = |mut values: Vec<f64>| {
            values.sort_by(f64::total_cmp);
            values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
        };
        let max = |values: Vec<f64>| values.into_iter().fold(0.0, f64::max);
        let mut detection_ms: Histogram<u64> =
            Histogram::new_with_bounds(1, 600_000, 3).expect("sound bounds");
        for outcome in &self.outcomes {
            // Cannot fail: all histograms have the same bounds.
            let _ = detection_ms.add(&outcome.detection_ms);
        }
        let seconds = |ms: u64| format!("{:.1}", ms as f64 / 1000.0);
        let worst_or_never = |figure: &dyn Fn(&Outcome) -> Option<f64>| {
            let never = self.outcomes.iter().filter(|outcome| figure(outcome).is_none()).count();
            let worst = max(all(&|outcome| figure(outcome).unwrap_or(0.0)));
            if never > 0 { format!("{worst:.1}, {never} never") } else { format!("{worst:.1}") }
        };
        let sum = |figure: &dyn Fn(&Outcome) -> u64| self.outcomes.iter().map(figure).sum::<u64>();
        vec![
            self.protocol.into(),
            self.size.to_string(),
            format!("{} ({})", sum(&|o| o.false_deaths), sum(&|o| o.unexplained_deaths)),
            format!(
                "{}, {}, {}",
                seconds(detection_ms.value_at_quantile(0.5)),
                seconds(detection_ms.value_at_quantile(0.99)),
                sum(&|o| o.undetected)
            ),
            worst_or_never(&|o| o.heal_s),
            worst_or_never(&|o| o.storm_s),
            format!("{:.1}", max(all(&|o| o.storm_datagrams_per_s))),
            format!("{:.1}", median(all(&|o| o.datagrams_per_s))),
            format!("{:.0}", median(all(&|o| o.bytes_per_s))),
        ]
    }

    /// Header of the table.
    pub const HEADER: [&str; 9] = [
        "way",
        "servers",
        "false deaths (without a stop)",
        "noticed after s: median, 99th; never",
        "halves together, worst s",
        "storm over, worst s",
        "in the storm, datagrams/s",
        "at rest, datagrams/s",
        "bytes/s",
    ];
}
