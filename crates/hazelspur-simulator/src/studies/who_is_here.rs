//! The ways of knowing who is here, side by side: false deaths, time to notice, time to grow together,
//! traffic.

use crate::membership_protocols::{MembershipNotice, MembershipProtocol};
use crate::network::Network;
use crate::test_fleet::{Observation, TestFleet};
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hdrhistogram::Histogram;

/// A quiet fleet is left alone for this long after its start.
const SETTLE: Duration = Duration::from_ms(60_000);
/// How long traffic at rest is counted.
const REST: Duration = Duration::from_ms(60_000);
/// The longest wait for agreement after a storm of starts, in seconds.
const MAX_STORM_S: f64 = 60.0;
/// Between two rounds of pauses.
const PAUSE_PERIOD: Duration = Duration::from_ms(10_000);
/// One member in so many pauses in each round.
const PAUSED_DIVISOR: usize = 20;
/// A pause explains a false death for this long.
const MAX_PAUSE_EFFECT: Duration = Duration::from_ms(30_000);
/// Sites of the network.
const SITES: usize = 3;
/// Makes the seed of faults differ from the fleet's.
const FAULT_SEED_MASK: u64 = 0x57a6;
/// Microseconds in a second.
const US_PER_SECOND: u64 = 1_000_000;

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub size: usize,
    pub seed: u64,
    /// How long stops and loss go on.
    pub fault_duration: Duration,
    pub loss: f64,
    pub pause: Duration,
}

/// Figures of one seed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Times that somebody who ran was held for gone, by whoever.
    pub false_deaths: u64,
    /// Of those, where the one held for gone did not even stand still within the last 30 s.
    pub unexplained_deaths: u64,
    /// Milliseconds from a kill to each other one's notice of it.
    pub detection_ms: Histogram<u64>,
    /// Others that had not noticed after two minutes.
    pub undetected: u64,
    /// Seconds until all agree after two halves met again, which was after 60 s; none in 180.
    pub heal_s: Option<f64>,
    /// At rest, for each server and second.
    pub datagrams_per_s: f64,
    pub bytes_per_s: f64,
    /// Seconds until all agree after a start of all within one second; none in 60.
    pub storm_s: Option<f64>,
    pub storm_datagrams_per_s: f64,
}

/// Plays one seed: a storm of starts, rest, pauses with loss, kills, and two halves.
pub fn run_case<W: MembershipProtocol>(case: &Case) -> Outcome {
    let mut random = Pcg::new(case.seed ^ FAULT_SEED_MASK);
    let mut fleet: TestFleet<W> = TestFleet::new(Network::new(SITES), case.size * 2, case.seed);
    let storm = start_storm(&mut fleet, case.size);
    fleet.play(SETTLE);
    let rest = rest(&mut fleet, case.size);
    let deaths = pauses_with_loss(&mut fleet, &mut random, case);
    fleet.play(SETTLE);
    let (detection_ms, undetected) = killed(&mut fleet, &mut random, case.size);
    let heal_s = halves(&mut fleet);
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

/// What a start of all members took.
struct Storm {
    /// Seconds until all agreed; `None` where they did not.
    duration_s: Option<f64>,
    /// For each server and second.
    datagrams: f64,
}

/// Starts all members within a second, and waits until they agree.
fn start_storm<W: MembershipProtocol>(fleet: &mut TestFleet<W>, size: usize) -> Storm {
    for server in 0..size {
        fleet.start(server);
        fleet.play(Duration::from_us(US_PER_SECOND / size as u64));
    }
    let duration_s = until_agreed(fleet, MAX_STORM_S);
    let datagrams = rate(fleet.datagrams, size, duration_s.unwrap_or(MAX_STORM_S) + 1.0);
    Storm { duration_s, datagrams }
}

/// Traffic at rest, for each server and second.
struct Rest {
    datagrams: f64,
    bytes: f64,
}

fn rest<W: MembershipProtocol>(fleet: &mut TestFleet<W>, size: usize) -> Rest {
    let (datagrams, bytes) = (fleet.datagrams, fleet.bytes);
    fleet.play(REST);
    Rest {
        datagrams: rate(fleet.datagrams - datagrams, size, REST.secs()),
        bytes: rate(fleet.bytes - bytes, size, REST.secs()),
    }
}

/// Running members that others considered dead.
#[derive(Default)]
struct FalseDeaths {
    all: u64,
    /// Those that had not been paused lately.
    unexplained: u64,
}

impl FalseDeaths {
    fn add<W: MembershipProtocol>(&mut self, fleet: &TestFleet<W>, observation: &Observation) {
        if let MembershipNotice::Dead(server) = observation.notice
            && fleet.runs(server)
        {
            self.all += 1;
            let since_pause = observation.at - fleet.last_stop(server);
            self.unexplained += u64::from(since_pause > MAX_PAUSE_EFFECT);
        }
    }
}

/// Pauses one member in twenty in each ten seconds, while the network loses datagrams.
fn pauses_with_loss<W: MembershipProtocol>(
    fleet: &mut TestFleet<W>,
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
            fleet.stop(server, case.pause);
        }
        fleet.play(PAUSE_PERIOD);
        for observation in std::mem::take(&mut fleet.observations) {
            deaths.add(fleet, &observation);
        }
    }
    fleet.network.loss = 0.0;
    deaths
}

fn rate(count: u64, size: usize, secs: f64) -> f64 {
    count as f64 / size as f64 / secs
}

fn until_agreed<W: MembershipProtocol>(fleet: &mut TestFleet<W>, most_s: f64) -> Option<f64> {
    let from = fleet.now();
    loop {
        let passed = (fleet.now() - from).secs();
        if fleet.agree() {
            return Some(passed);
        }
        if passed >= most_s {
            return None;
        }
        fleet.play(Duration::from_ms(250));
    }
}

/// Three are killed one after the other; when each of the others noticed.
fn killed<W: MembershipProtocol>(
    fleet: &mut TestFleet<W>,
    chance: &mut Pcg,
    size: usize,
) -> (Histogram<u64>, u64) {
    let mut detection_ms = Histogram::new_with_bounds(1, 600_000, 3).expect("sound bounds");
    let mut undetected = 0;
    for _ in 0..3 {
        let of = loop {
            let of = chance.draw() as usize % size;
            if fleet.runs(of) && !crate::membership_protocols::SEED_MEMBERS.contains(&of) {
                break of;
            }
        };
        fleet.observations.clear();
        fleet.kill(of);
        let at = fleet.now();
        fleet.play(Duration::from_ms(120_000));
        let noticed = |said: &&Observation| said.notice == MembershipNotice::Dead(of);
        let mut by: Vec<(usize, Timestamp)> =
            fleet.observations.iter().filter(noticed).map(|said| (said.by, said.at)).collect();
        by.sort_unstable();
        by.dedup_by_key(|(by, _)| *by);
        undetected += (fleet.running() - by.len().min(fleet.running())) as u64;
        by.iter().for_each(|(_, when)| detection_ms.saturating_record((*when - at).us() / 1000));
        fleet.start(of);
        fleet.play(Duration::from_ms(30_000));
    }
    (detection_ms, undetected)
}

/// Two halves don't hear each other for a minute; how long after it all agree.
fn halves<W: MembershipProtocol>(fleet: &mut TestFleet<W>) -> Option<f64> {
    fleet.network.cut = Some(|from, to| from % 2 != to % 2);
    fleet.play(Duration::from_ms(60_000));
    fleet.network.cut = None;
    until_agreed(fleet, 180.0)
}

/// One line of the table, over the seeds of a size.
pub struct Row {
    pub protocol: &'static str,
    pub size: usize,
    pub outcomes: Vec<Outcome>,
}

impl Row {
    /// The cells of the row.
    pub fn cells(&self) -> Vec<String> {
        let all = |of: &dyn Fn(&Outcome) -> f64| -> Vec<f64> { self.outcomes.iter().map(of).collect() };
        let middle = |mut of: Vec<f64>| {
            of.sort_by(f64::total_cmp);
            of.get(of.len() / 2).copied().unwrap_or(f64::NAN)
        };
        let most = |of: Vec<f64>| of.into_iter().fold(0.0, f64::max);
        let mut notice: Histogram<u64> = Histogram::new_with_bounds(1, 600_000, 3).expect("sound bounds");
        for outcome in &self.outcomes {
            let _ = notice.add(&outcome.detection_ms); // the same bounds
        }
        let secs = |ms: u64| format!("{:.1}", ms as f64 / 1000.0);
        let ends = |of: &dyn Fn(&Outcome) -> Option<f64>| {
            let never = self.outcomes.iter().filter(|outcome| of(outcome).is_none()).count();
            let worst = most(all(&|outcome| of(outcome).unwrap_or(0.0)));
            if never > 0 { format!("{worst:.1}, {never} never") } else { format!("{worst:.1}") }
        };
        let sum = |of: &dyn Fn(&Outcome) -> u64| self.outcomes.iter().map(of).sum::<u64>();
        vec![
            self.protocol.into(),
            self.size.to_string(),
            format!("{} ({})", sum(&|o| o.false_deaths), sum(&|o| o.unexplained_deaths)),
            format!(
                "{}, {}, {}",
                secs(notice.value_at_quantile(0.5)),
                secs(notice.value_at_quantile(0.99)),
                sum(&|o| o.undetected)
            ),
            ends(&|o| o.heal_s),
            ends(&|o| o.storm_s),
            format!("{:.1}", most(all(&|o| o.storm_datagrams_per_s))),
            format!("{:.1}", middle(all(&|o| o.datagrams_per_s))),
            format!("{:.0}", middle(all(&|o| o.bytes_per_s))),
        ]
    }

    /// The header of the table.
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
