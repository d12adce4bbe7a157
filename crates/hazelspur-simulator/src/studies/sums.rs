//! The study `sums`: the combined load of servers that all follow the same rule. It covers load reports after
//! an outage of the control plane, subsets of servers that clients choose, and time slots of servers that
//! cannot communicate. Nothing here runs a whole server.

use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::subset::{WeightedMember, select};
use hazelspur_fleet::{MemberName, SiteName};

/// Rule for the wait between two load reports of a server to the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSpacing {
    /// 800 ms after a report that was accepted, and 250 ms after one that was missed.
    Fixed,
    /// The same means, with each wait drawn evenly from within a fifth of its mean, or within half of it
    /// after a report that was missed.
    Jittered,
}

impl ReportSpacing {
    /// Returns the wait before the next report.
    pub fn wait(self, missed: bool, random: &mut Pcg) -> Duration {
        let (wait_ms, jitter) = if missed { (250.0, 0.5) } else { (800.0, 0.2) };
        match self {
            Self::Fixed => Duration::from_secs(wait_ms / 1000.0),
            Self::Jittered => {
                Duration::from_secs(wait_ms * (1.0 - jitter + 2.0 * jitter * random.draw_fraction()) / 1000.0)
            }
        }
    }
}

/// Simulates the reports of `servers` over 40 s, in which the control plane accepts none for 5 s. Returns the
/// most reports within 20 ms over the mean, both of the 20 s after that outage, and the longest time between
/// two accepted reports of one server, among those pairs whose second report came after the outage.
pub fn measure_reports(servers: usize, spacing: ReportSpacing, seed: u64) -> (f64, Duration) {
    /// Time of the outage, in ms from the start.
    const OUTAGE_MS: std::ops::Range<u64> = 10_000..15_000;
    /// Width of a bin of the histogram, in ms.
    const BIN_MS: u64 = 20;
    let mut random = Pcg::new(seed);
    let (mut bins, mut longest_gap) = (vec![0u32; 40_000 / BIN_MS as usize], Duration::ZERO);
    for _ in 0..servers {
        // A deployment starts all servers within a second.
        let mut at = Duration::from_secs(random.draw_fraction());
        let mut last_accepted = at;
        while at < Duration::from_ms(40_000) {
            let ms = at.us() / 1000;
            // During the outage there is no answer, and a report times out after 700 ms.
            let missed = OUTAGE_MS.contains(&ms);
            bins[(ms / BIN_MS) as usize] += 1;
            if !missed {
                if ms > OUTAGE_MS.end {
                    longest_gap = longest_gap.max(at - last_accepted);
                }
                last_accepted = at;
            }
            let timeout = if missed {
                Duration::from_ms(700).min(Duration::from_ms(OUTAGE_MS.end - ms))
            } else {
                Duration::ZERO
            };
            at = at + timeout + spacing.wait(missed, &mut random);
        }
    }
    let bins_after = &bins[(OUTAGE_MS.end / BIN_MS) as usize..((OUTAGE_MS.end + 20_000) / BIN_MS) as usize];
    let mean = bins_after.iter().map(|count| f64::from(*count)).sum::<f64>() / bins_after.len() as f64;
    (f64::from(bins_after.iter().copied().max().unwrap_or(0)) / mean.max(1e-9), longest_gap)
}

/// Method by which each client chooses its subset of the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubsetMethod {
    /// Each client draws its servers at random.
    Random,
    /// Deterministic subsetting: clients are numbered and grouped in rounds; all servers are shuffled once a
    /// round, and each client of the round takes the next few of them (Google's SRE book, chapter 20).
    Rounds,
    /// Rendezvous hashing, as `hazelspur_fleet::subset` does it.
    Rendezvous,
}

impl SubsetMethod {
    /// All methods, in the order of the table.
    pub const ALL: [Self; 3] = [Self::Random, Self::Rounds, Self::Rendezvous];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "chance",
            Self::Rounds => "rounds",
            Self::Rendezvous => "rendezvous",
        }
    }

    /// Returns the servers that a client chooses from those that it knows, by number.
    fn choose(self, client: usize, known: &[usize], subset_size: usize, seed: u64) -> Vec<usize> {
        match self {
            Self::Random => {
                let mut random = Pcg::new(seed ^ (client as u64) << 20);
                let mut remaining = known.to_vec();
                (0..subset_size.min(remaining.len()))
                    .map(|_| remaining.swap_remove(random.draw() as usize % remaining.len()))
                    .collect()
            }
            Self::Rounds => {
                let subsets_per_round = (known.len() / subset_size).max(1);
                let mut shuffled = known.to_vec();
                let mut random = Pcg::new(seed ^ (client / subsets_per_round) as u64);
                for i in (1..shuffled.len()).rev() {
                    shuffled.swap(i, random.draw() as usize % (i + 1));
                }
                shuffled
                    .into_iter()
                    .skip(client % subsets_per_round * subset_size)
                    .take(subset_size)
                    .collect()
            }
            Self::Rendezvous => {
                let site = SiteName::new("one").expect("a name");
                let name_of = |server: &usize| MemberName::new(&format!("n{server}")).expect("a name");
                let members =
                    known.iter().map(|server| WeightedMember { name: name_of(server), site, weight: 1.0 });
                let chosen = select(&format!("client {client}"), seed, subset_size, members);
                chosen.iter().filter_map(|member| member.name.as_str()[1..].parse().ok()).collect()
            }
        }
    }
}

/// Chooses a subset of the servers for each of as many clients as there are servers. Returns, in this order:
/// the least and the most clients of one server over the mean, the fraction of all choices that change when
/// one server goes, and the fraction that change when the client does not know a tenth of the servers.
pub fn measure_subsets(
    servers: usize,
    subset_size: usize,
    method: SubsetMethod,
    seed: u64,
) -> (f64, f64, f64, f64) {
    let known: Vec<usize> = (0..servers).collect();
    let without_one: Vec<usize> = known.iter().copied().filter(|server| *server != servers / 2).collect();
    let without_tenth: Vec<usize> = known.iter().copied().filter(|server| server % 10 != 3).collect();
    let mut load = vec![0u32; servers];
    let (mut moved, mut differing) = (0, 0);
    for client in 0..servers {
        let chosen = method.choose(client, &known, subset_size, seed);
        chosen.iter().for_each(|server| load[*server] += 1);
        let changed = |known: &[usize]| {
            let changed_choice = method.choose(client, known, subset_size, seed);
            chosen.iter().filter(|server| !changed_choice.contains(server)).count()
        };
        moved += changed(&without_one);
        differing += changed(&without_tenth);
    }
    let (choices, mean) = ((servers * subset_size) as f64, subset_size as f64);
    let over_mean = |load: Option<&u32>| f64::from(load.copied().unwrap_or(0)) / mean;
    (
        over_mean(load.iter().min()),
        over_mean(load.iter().max()),
        moved as f64 / choices,
        differing as f64 / choices,
    )
}

/// Simulates `servers` that act in each of their time slots for a minute, without communication. Returns the
/// most actions within 100 ms over the mean, and the longest wait of a server for its next slot. `per_second`
/// is the wanted rate of actions over all servers; `max_period` bounds the period of the slot schedule.
pub fn measure_time_slots(servers: usize, per_second: f64, max_period: Duration) -> (f64, Duration) {
    use hazelspur_fleet::time_slots::SlotSchedule;
    let schedule = SlotSchedule::new(servers, per_second, max_period);
    let start = Timestamp::from_us(1_700_000_000_000_000);
    let mut bins = vec![0u32; 600];
    let mut longest_wait = Duration::ZERO;
    for server in 0..servers {
        let name = MemberName::new(&format!("n{server}")).expect("a name");
        let mut now = start;
        while now < start + Duration::from_ms(60_000) {
            let next = schedule.next_slot(name, "ledger", now);
            longest_wait = longest_wait.max(next - now);
            if let Some(bin) = bins.get_mut(((next - start).us() / 100_000) as usize) {
                *bin += 1;
            }
            now = next + Duration::from_us(1);
        }
    }
    let mean = bins.iter().map(|count| f64::from(*count)).sum::<f64>() / bins.len() as f64;
    (f64::from(bins.iter().copied().max().unwrap_or(0)) / mean.max(1e-9), longest_wait)
}

/// Number of seeds in the study's file; the seeds count from 1.
const STUDY_SEEDS: u64 = 3;

/// Returns the text of a study's file in JSON, with the figures that docs/CAPACITY.md uses: the load of the
/// most loaded server over the mean with subsets of four, and the peak of reports after an outage. `revision`
/// names the commit.
pub fn study_json(sizes: &[usize], revision: &str) -> String {
    let mut points = Vec::new();
    for size in sizes {
        for seed in 1..=STUDY_SEEDS {
            let mut point = |figure: &str, case: &str, value: f64| {
                points.push(format!(
                    "{{\"figure\":\"{figure}\",\"case\":\"{case}\",\"unit\":\"times\",\"by\":\"servers\",\
                     \"size\":{size},\"seed\":{seed},\"value\":{value}}}"
                ));
            };
            for method in SubsetMethod::ALL {
                point("subsets.most_over_mean", method.name(), measure_subsets(*size, 4, method, seed).1);
            }
            for (spacing, case) in [(ReportSpacing::Fixed, "in step"), (ReportSpacing::Jittered, "spread")] {
                point("list.most_over_mean", case, measure_reports(*size, spacing, seed).0);
            }
        }
    }
    let sizes = sizes.iter().map(usize::to_string).collect::<Vec<_>>().join(",");
    let command = format!("cargo run --release -p hazelspur-simulator -- sums --sizes {sizes}");
    let points = points.join(",\n");
    format!(
        "{{\"study\":\"sums\",\"command\":\"{command}\",\"text\":\"{revision}\",\"machine\":\"simulated\",\"points\":[\n\
         {points}\n]}}\n"
    )
}
