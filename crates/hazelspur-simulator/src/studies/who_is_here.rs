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

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub size: usize,
    pub seed: u64,
    /// How long stops and loss go on.
    pub trouble: Duration,
    pub loss: f64,
    pub stop: Duration,
}

/// Figures of one seed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Times that somebody who ran was held for gone, by whoever.
    pub false_deaths: u64,
    /// Of those, where the one held for gone did not even stand still within the last 30 s.
    pub without_cause: u64,
    /// Milliseconds from a kill to each other one's notice of it.
    pub notice_ms: Histogram<u64>,
    /// Others that had not noticed after two minutes.
    pub unnoticed: u64,
    /// Seconds until all agree after two halves met again, which was after 60 s; none in 180.
    pub together_s: Option<f64>,
    /// At rest, for each server and second.
    pub datagrams: f64,
    pub bytes: f64,
    /// Seconds until all agree after a start of all within one second; none in 60.
    pub storm_s: Option<f64>,
    pub storm_datagrams: f64,
}

/// One seed, through a storm of starts, rest, stops with loss, a kill, and two halves.
pub fn play<W: MembershipProtocol>(case: &Case) -> Outcome {
    let mut chance = Pcg::new(case.seed ^ 0x57a6);
    let mut fleet: TestFleet<W> = TestFleet::new(Network::new(3), case.size * 2, case.seed);
    for of in 0..case.size {
        fleet.start(of);
        fleet.play(Duration::from_us(1_000_000 / case.size as u64));
    }
    let storm_s = until_agreed(&mut fleet, 60.0);
    let storm_datagrams = rate(fleet.datagrams, case.size, storm_s.unwrap_or(60.0) + 1.0);
    fleet.play(SETTLE);

    let (datagrams, bytes) = (fleet.datagrams, fleet.bytes);
    let rest = Duration::from_ms(60_000);
    fleet.play(rest);
    let datagrams = rate(fleet.datagrams - datagrams, case.size, rest.secs());
    let bytes = rate(fleet.bytes - bytes, case.size, rest.secs());

    fleet.network.loss = case.loss;
    fleet.observations.clear();
    let end = fleet.now() + case.trouble;
    let (mut false_deaths, mut without_cause) = (0, 0);
    while fleet.now() < end {
        // In each ten seconds one in twenty stands still for a while.
        for _ in 0..(case.size / 20).max(1) {
            let of = chance.draw() as usize % case.size;
            fleet.stop(of, case.stop);
        }
        fleet.play(Duration::from_ms(10_000));
        for said in std::mem::take(&mut fleet.observations) {
            if let MembershipNotice::Dead(of) = said.notice
                && fleet.runs(of)
            {
                false_deaths += 1;
                without_cause += u64::from(said.at - fleet.last_stop(of) > Duration::from_ms(30_000));
            }
        }
    }
    fleet.network.loss = 0.0;
    fleet.play(SETTLE);

    let (notice_ms, unnoticed) = killed(&mut fleet, &mut chance, case.size);
    let together_s = halves(&mut fleet);
    Outcome {
        false_deaths,
        without_cause,
        notice_ms,
        unnoticed,
        together_s,
        datagrams,
        bytes,
        storm_s,
        storm_datagrams,
    }
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
    let mut notice_ms = Histogram::new_with_bounds(1, 600_000, 3).expect("sound bounds");
    let mut unnoticed = 0;
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
        unnoticed += (fleet.running() - by.len().min(fleet.running())) as u64;
        by.iter().for_each(|(_, when)| notice_ms.saturating_record((*when - at).us() / 1000));
        fleet.start(of);
        fleet.play(Duration::from_ms(30_000));
    }
    (notice_ms, unnoticed)
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
    pub way: &'static str,
    pub size: usize,
    pub outcomes: Vec<Outcome>,
}

impl Row {
    pub fn cells(&self) -> Vec<String> {
        let all = |of: &dyn Fn(&Outcome) -> f64| -> Vec<f64> { self.outcomes.iter().map(of).collect() };
        let middle = |mut of: Vec<f64>| {
            of.sort_by(f64::total_cmp);
            of.get(of.len() / 2).copied().unwrap_or(f64::NAN)
        };
        let most = |of: Vec<f64>| of.into_iter().fold(0.0, f64::max);
        let mut notice: Histogram<u64> = Histogram::new_with_bounds(1, 600_000, 3).expect("sound bounds");
        for outcome in &self.outcomes {
            let _ = notice.add(&outcome.notice_ms); // the same bounds
        }
        let secs = |ms: u64| format!("{:.1}", ms as f64 / 1000.0);
        let ends = |of: &dyn Fn(&Outcome) -> Option<f64>| {
            let never = self.outcomes.iter().filter(|outcome| of(outcome).is_none()).count();
            let worst = most(all(&|outcome| of(outcome).unwrap_or(0.0)));
            if never > 0 { format!("{worst:.1}, {never} never") } else { format!("{worst:.1}") }
        };
        let sum = |of: &dyn Fn(&Outcome) -> u64| self.outcomes.iter().map(of).sum::<u64>();
        vec![
            self.way.into(),
            self.size.to_string(),
            format!("{} ({})", sum(&|o| o.false_deaths), sum(&|o| o.without_cause)),
            format!(
                "{}, {}, {}",
                secs(notice.value_at_quantile(0.5)),
                secs(notice.value_at_quantile(0.99)),
                sum(&|o| o.unnoticed)
            ),
            ends(&|o| o.together_s),
            ends(&|o| o.storm_s),
            format!("{:.1}", most(all(&|o| o.storm_datagrams))),
            format!("{:.1}", middle(all(&|o| o.datagrams))),
            format!("{:.0}", middle(all(&|o| o.bytes))),
        ]
    }

    pub const HEAD: [&str; 9] = [
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
