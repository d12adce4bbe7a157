//! What is written down about requests and request classes, and samples with the figures worked out from them.

use crate::config::request_class::RequestClass;
use crate::{ClientId, Duration, RequestClassId, RequestId, SessionKey, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How many users and callers are remembered, runs and calls of a request class, and waits of its callers.
pub const SEEN_KEPT: usize = 4096;
pub const SAMPLES: usize = 24;
pub const WAITS: usize = 32;
/// Request classes and tenants of whom something learned is kept: those seen lately, however many the settings have.
pub const LEARNED_KEPT: usize = 4096;

/// The last few samples of something; figures are worked out when asked for.
#[derive(Clone, Debug)]
pub struct Recent<T, const MOST: usize> {
    pub samples: VecDeque<T>,
}

impl<T, const MOST: usize> Default for Recent<T, MOST> {
    fn default() -> Self {
        Self { samples: VecDeque::new() }
    }
}

impl<T: Copy, const MOST: usize> Recent<T, MOST> {
    pub fn push(&mut self, sample: T) {
        if self.samples.len() == MOST {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }
}

fn sorted(samples: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sorted: Vec<f64> = samples.collect();
    sorted.sort_by(f64::total_cmp);
    sorted
}

pub fn mean(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = samples.fold((0.0, 0u32), |(sum, n), sample| (sum + sample, n + 1));
    (n > 0).then(|| sum / f64::from(n))
}

/// The middle sample; between the two in the middle of an even number.
pub fn middle(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let sorted = sorted(samples);
    let upper = sorted.get(sorted.len() / 2)?;
    Some((sorted[(sorted.len() - 1) / 2] * upper).sqrt())
}

/// How many equal parts would be as uneven as these: two alike are 2, a heavy and a light one little over 1.
pub fn parts(weights: impl Iterator<Item = f64>) -> f64 {
    let (sum, squares) = weights.fold((0.0, 0.0), |(sum, squares), w| (sum + w, squares + w * w));
    if squares > 0.0 { sum * sum / squares } else { 1.0 }
}

impl<const MOST: usize> Recent<f64, MOST> {
    /// The mean without the top `share`, so that a few very costly requests don't pass for a slow server.
    pub fn mean_without_top(&self, share: f64) -> Option<f64> {
        let sorted = sorted(self.samples.iter().copied());
        mean(sorted[..sorted.len() - (sorted.len() as f64 * share) as usize].iter().copied())
    }

    pub fn mean_of_upper_half(&self) -> Option<f64> {
        let sorted = sorted(self.samples.iter().copied());
        mean(sorted[sorted.len() / 2..].iter().copied())
    }
}

impl<const MOST: usize> Recent<(f64, f64), MOST> {
    /// The second figure expected at `x`: a line through the samples, level or rising, and level where
    /// `x` says nothing. Waits for disk don't grow with cost, and rough hints say less than they claim.
    pub fn expect(&self, x: f64, costly: f64) -> Option<f64> {
        let n = self.samples.len().max(1) as f64;
        let of = |f: &dyn Fn(&(f64, f64)) -> f64| self.samples.iter().map(f).sum::<f64>() / n;
        let (mx, my) = (of(&|s| s.0), of(&|s| s.1));
        let spread = of(&|s| (s.0 - mx).powi(2));
        if spread < 1e-12 {
            let ys: Recent<f64, MOST> = Recent { samples: self.samples.iter().map(|s| s.1).collect() };
            return ys.mean_without_top(costly);
        }
        let slope = (of(&|s| (s.0 - mx) * (s.1 - my)) / spread).clamp(0.0, my / mx);
        Some(my + slope * (x - mx))
    }
}

/// What the last acked requests and the last requests read tell of a request class.
#[derive(Clone, Debug, Default)]
pub struct Learned {
    /// Cost told and seconds run (disk waits too), and seconds at calls, of the last acked requests.
    pub runs: Recent<(f64, f64), SAMPLES>,
    pub calls: Recent<f64, SAMPLES>,
    /// How long callers of the last requests read would still wait, in steps.
    pub waits: Recent<u64, WAITS>,
}

/// What is known of those seen lately: past `MOST` the half that was not seen for longest is forgotten.
#[derive(Clone, Debug)]
pub struct Lately<K, V, const MOST: usize> {
    known: BTreeMap<K, (u64, V)>,
    /// Counts who is seen: the order, not the time.
    seen: u64,
}

impl<K, V, const MOST: usize> Default for Lately<K, V, MOST> {
    fn default() -> Self {
        Self { known: BTreeMap::new(), seen: 0 }
    }
}

impl<K: Ord + Copy, V: Default, const MOST: usize> Lately<K, V, MOST> {
    /// What is known of one that is seen now.
    pub fn see(&mut self, who: K) -> &mut V {
        if self.known.len() >= MOST && !self.known.contains_key(&who) {
            let mut order: Vec<u64> = self.known.values().map(|(seen, _)| *seen).collect();
            order.sort_unstable();
            let middle = order[order.len() / 2];
            self.known.retain(|_, (seen, _)| *seen >= middle);
        }
        self.seen += 1;
        let (seen, known) = self.known.entry(who).or_default();
        *seen = self.seen;
        known
    }

    pub fn get(&self, who: &K) -> Option<&V> {
        self.known.get(who).map(|(_, known)| known)
    }

    pub fn get_mut(&mut self, who: &K) -> Option<&mut V> {
        self.known.get_mut(who).map(|(_, known)| known)
    }

    pub fn forget(&mut self, who: &K) {
        self.known.remove(who);
    }

    pub fn all(&self) -> impl Iterator<Item = &V> {
        self.known.values().map(|(_, known)| known)
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Held,
    AwaitsResult,
    Running,
    WantsCall,
    Calling,
}

#[derive(Clone, Debug, Default)]
pub struct Op {
    pub seq: u64,
    pub request_class: RequestClassId,
    /// As they were when it was read.
    pub terms: Rc<RequestClass>,
    pub user: Option<SessionKey>,
    pub caller: ClientId,
    pub arrived: Timestamp,
    pub due: Timestamp,
    pub target_at: Timestamp,
    pub kb: f64,
    pub cost: f64,
    /// Seconds of running expected when it was read.
    pub expected: f64,
    pub long: bool,
    pub rank: f64,
    pub retry_of: Option<RequestId>,
    pub write: bool,
    pub state: State,
    pub listed: bool,
    pub admitted: bool,
    pub key_kept: bool,
    pub ran: bool,
    pub paused: bool,
    pub owed: bool,
    pub began: Timestamp,
    pub at_calls: Duration,
    pub call_began: Timestamp,
    pub call_tries: u32,
    /// Before this no call is made again; once one is out, when it was made.
    pub call_after: Timestamp,
    pub stop_sent: Option<Timestamp>,
}

impl Op {
    /// Seconds since it began, less those at calls.
    pub fn ran_for(&self, now: Timestamp) -> f64 {
        (now - self.began - self.at_calls).secs()
    }

    pub fn call_over(&mut self, now: Timestamp) {
        self.at_calls = self.at_calls + (now - self.call_began);
        self.state = State::Running;
    }
}

/// What a server says of itself to those it shares with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The bound on calls that its requests of late would need; none before the first call.
    pub calls: Option<f64>,
    /// How long calls take now, in seconds.
    pub call_secs: Option<f64>,
    /// Share of its last requests that it refused.
    pub refused: f64,
}

/// Writes down who was seen now and says when before. Past a number those not seen for `idle` are dropped, and
/// then ever later ones until half are gone, so that names which are always new take no more room nor time.
pub fn note<K: Ord>(
    seen: &mut BTreeMap<K, Timestamp>,
    who: K,
    now: Timestamp,
    mut idle: Duration,
) -> Option<Timestamp> {
    let most = if seen.len() < SEEN_KEPT { SEEN_KEPT } else { SEEN_KEPT / 2 };
    while seen.len() > most {
        seen.retain(|_, last| now - *last < idle);
        idle = idle.scaled(0.5);
    }
    seen.insert(who, now)
}

/// A request read: when and from whom, how long after the caller's one before, and the run expected in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    pub at: Timestamp,
    pub caller: ClientId,
    pub gap: f64,
    pub expected: f64,
}

/// One control cycle: power is throughput over response time, both per unit of cost.
#[derive(Clone, Copy, Debug)]
pub struct Cycle {
    pub power: f64,
    pub response: f64,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Error,
    Rejected,
    TimedOut,
    Unreachable,
    ConnectionLost,
    Preempted,
    NeverStarted,
}
