//! What many servers come to in sum where each chooses alike: reports after a list that was gone, and which
//! few of many are chosen.

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::subset::{WeightedMember, select};
use hazelspur_fleet::{MemberName, SiteName};

/// How a server waits between its reports to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSpacing {
    /// 800 ms, 250 ms after a miss, the same for all.
    Fixed,
    /// The same on average, each wait by chance within a fifth, after a miss within the half.
    Jittered,
}

impl ReportSpacing {
    /// The wait before the next report.
    pub fn wait(self, missed: bool, chance: &mut Pcg) -> Duration {
        let (wait, part) = if missed { (250.0, 0.5) } else { (800.0, 0.2) };
        match self {
            Self::Fixed => Duration::from_secs(wait / 1000.0),
            Self::Jittered => {
                Duration::from_secs(wait * (1.0 - part + 2.0 * part * chance.draw_fraction()) / 1000.0)
            }
        }
    }
}

/// Reports of `servers` while the list takes none for 5 s and takes them again: the most within 20 ms over
/// the mean of the 20 s after that, and the longest that any server's place was without a report.
pub fn measure_reports(servers: usize, how: ReportSpacing, seed: u64) -> (f64, Duration) {
    /// When the control plane is down, in ms.
    const DOWN: std::ops::Range<u64> = 10_000..15_000;
    /// Width of a bin, in ms.
    const BIN: u64 = 20;
    let mut chance = Pcg::new(seed);
    let (mut bins, mut longest) = (vec![0u32; 40_000 / BIN as usize], Duration::ZERO);
    for _ in 0..servers {
        // A release starts them within a second.
        let mut at = Duration::from_secs(chance.draw_fraction());
        let mut last = at;
        while at < Duration::from_ms(40_000) {
            let ms = at.us() / 1000;
            // Nobody answers while it is gone: a report is given up after 700 ms.
            let missed = DOWN.contains(&ms);
            bins[(ms / BIN) as usize] += 1;
            if !missed {
                if ms > DOWN.end {
                    longest = longest.max(at - last);
                }
                last = at;
            }
            let held_up = if missed {
                Duration::from_ms(700).min(Duration::from_ms(DOWN.end - ms))
            } else {
                Duration::ZERO
            };
            at = at + held_up + how.wait(missed, &mut chance);
        }
    }
    let after = &bins[(DOWN.end / BIN) as usize..((DOWN.end + 20_000) / BIN) as usize];
    let mean = after.iter().map(|n| f64::from(*n)).sum::<f64>() / after.len() as f64;
    (f64::from(after.iter().copied().max().unwrap_or(0)) / mean.max(1e-9), longest)
}

/// Ways of choosing k of n.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubsetMethod {
    Random,
    /// In rounds: all are shuffled once a round, and each client of the round takes its part (Google's SRE
    /// book, chapter 20).
    Rounds,
    Rendezvous,
}

impl SubsetMethod {
    /// All ways, in the order of the table.
    pub const ALL: [Self; 3] = [Self::Random, Self::Rounds, Self::Rendezvous];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "chance",
            Self::Rounds => "rounds",
            Self::Rendezvous => "rendezvous",
        }
    }

    /// Whom client `me` goes to, of the servers that it knows by number.
    fn chosen(self, me: usize, known: &[usize], k: usize, seed: u64) -> Vec<usize> {
        match self {
            Self::Random => {
                let mut chance = Pcg::new(seed ^ (me as u64) << 20);
                let mut left = known.to_vec();
                (0..k.min(left.len()))
                    .map(|_| left.swap_remove(chance.draw() as usize % left.len()))
                    .collect()
            }
            Self::Rounds => {
                let parts = (known.len() / k).max(1);
                let mut shuffled = known.to_vec();
                let mut chance = Pcg::new(seed ^ (me / parts) as u64);
                for i in (1..shuffled.len()).rev() {
                    shuffled.swap(i, chance.draw() as usize % (i + 1));
                }
                shuffled.into_iter().skip(me % parts * k).take(k).collect()
            }
            Self::Rendezvous => {
                let site = SiteName::new("one").expect("a name");
                let named = |of: &usize| MemberName::new(&format!("n{of}")).expect("a name");
                let all = known.iter().map(|of| WeightedMember { name: named(of), site, weight: 1.0 });
                let chosen = select(&format!("client {me}"), seed, k, all);
                chosen.iter().filter_map(|c| c.name.as_str()[1..].parse().ok()).collect()
            }
        }
    }
}

/// Of n clients that each choose k of n servers: least and most load over the mean, the share of choices that
/// change when one server goes, and the share by which two clients of one number differ whose pictures differ
/// by a tenth.
pub fn measure_subsets(n: usize, k: usize, way: SubsetMethod, seed: u64) -> (f64, f64, f64, f64) {
    let all: Vec<usize> = (0..n).collect();
    let less: Vec<usize> = all.iter().copied().filter(|of| *of != n / 2).collect();
    let tenth: Vec<usize> = all.iter().copied().filter(|of| of % 10 != 3).collect();
    let mut load = vec![0u32; n];
    let (mut moved, mut differ) = (0, 0);
    for me in 0..n {
        let chosen = way.chosen(me, &all, k, seed);
        chosen.iter().for_each(|of| load[*of] += 1);
        let moves = |known: &[usize]| {
            let other = way.chosen(me, known, k, seed);
            chosen.iter().filter(|of| !other.contains(of)).count()
        };
        moved += moves(&less);
        differ += moves(&tenth);
    }
    let (all, mean) = ((n * k) as f64, k as f64);
    let over = |n: Option<&u32>| f64::from(n.copied().unwrap_or(0)) / mean;
    (over(load.iter().min()), over(load.iter().max()), moved as f64 / all, differ as f64 / all)
}

/// Turns without talk: the most in any 100 ms over the mean, and the longest wait, of `servers` that each
/// take every turn for a minute.
pub fn measure_time_slots(servers: usize, per_second: f64, longest: Duration) -> (f64, Duration) {
    use hazelspur_fleet::time_slots::SlotSchedule;
    let schedule = SlotSchedule::new(servers, per_second, longest);
    let start = Timestamp::from_us(1_700_000_000_000_000);
    let mut bins = vec![0u32; 600];
    let mut wait = Duration::ZERO;
    for of in 0..servers {
        let name = MemberName::new(&format!("n{of}")).expect("a name");
        let mut now = start;
        while now < start + Duration::from_ms(60_000) {
            let next = schedule.next_slot(name, "ledger", now);
            wait = wait.max(next - now);
            if let Some(bin) = bins.get_mut(((next - start).us() / 100_000) as usize) {
                *bin += 1;
            }
            now = next + Duration::from_us(1);
        }
    }
    let mean = bins.iter().map(|n| f64::from(*n)).sum::<f64>() / bins.len() as f64;
    (f64::from(bins.iter().copied().max().unwrap_or(0)) / mean.max(1e-9), wait)
}

/// Seeds from 1 on that a study's points are of.
const SEEDS: u64 = 3;

/// What docs/CAPACITY.md rests on of this, as the text of a study's file: the most loaded server over the mean
/// by subsets of four, and reports after a list that was gone.
pub fn study_json(sizes: &[usize], text: &str) -> String {
    let mut points = Vec::new();
    for size in sizes {
        for seed in 1..=SEEDS {
            let mut point = |figure: &str, case: &str, value: f64| {
                points.push(format!(
                    "{{\"figure\":\"{figure}\",\"case\":\"{case}\",\"unit\":\"times\",\"by\":\"servers\",\
                     \"size\":{size},\"seed\":{seed},\"value\":{value}}}"
                ));
            };
            for way in SubsetMethod::ALL {
                point("subsets.most_over_mean", way.name(), measure_subsets(*size, 4, way, seed).1);
            }
            for (how, case) in [(ReportSpacing::Fixed, "in step"), (ReportSpacing::Jittered, "spread")] {
                point("list.most_over_mean", case, measure_reports(*size, how, seed).0);
            }
        }
    }
    let sizes = sizes.iter().map(usize::to_string).collect::<Vec<_>>().join(",");
    let command = format!("cargo run --release -p hazelspur-simulator -- sums --sizes {sizes}");
    let points = points.join(",\n");
    format!(
        "{{\"study\":\"sums\",\"command\":\"{command}\",\"text\":\"{text}\",\"machine\":\"simulated\",\"points\":[\n\
         {points}\n]}}\n"
    )
}
