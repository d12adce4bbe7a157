//! The power test (Wu, Tantawi and Yu, section III, Algorithm 1): detects whether the server was congested in
//! a control cycle.
//!
//! Power is throughput over response time, where throughput is the cost of successful requests per second,
//! and response time is per second of cost. A cycle ends after [`CYCLE_SUCCESSES`] successes or
//! [`MAX_CYCLE`], whichever comes first, or as soon as the admission rate keeps the cores idle; it lasts at
//! least [`MIN_CYCLE`]. Input: successes, started runs, timer ticks. Output: one [`CycleResult`] per cycle.

use crate::event::CycleFigures;
use crate::statistics::SampleWindow;
use crate::{Duration, Timestamp};

/// Share of the best power below which a cycle counts as congested, if its response time is longer as well.
const MIN_POWER_RATIO: f64 = 0.9;
/// Number of successes that ends a cycle.
const CYCLE_SUCCESSES: usize = 60;
/// Minimum length of a cycle.
const MIN_CYCLE: Duration = Duration::from_ms(500);
/// Maximum length of a cycle.
pub(crate) const MAX_CYCLE: Duration = Duration::from_ms(4000);
/// Number of recent cycles among which the best power is found; an older best may come from another mix of
/// requests.
const CYCLE_CAPACITY: usize = 16;
/// Share of ticks with all cores taken below which an admission rate without queued requests keeps the cores
/// idle.
const IDLE_CORE_SATURATION: f64 = 0.5;
/// Lower bound of divisors; keeps the figures of a cycle without successes finite.
const MIN_DIVISOR: f64 = 1e-9;

/// A response within the latency objective.
#[derive(Clone, Copy, Debug)]
struct Success {
    cost_s: f64,
    response_s: f64,
}

/// Figures of a finished control cycle.
#[derive(Clone, Copy, Debug)]
struct Cycle {
    power: f64,
    /// Response time in seconds per second of cost.
    response_time_per_cost: f64,
}

/// Result of the power test for one control cycle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CycleResult {
    /// Whether power fell and response time rose (`oFactor` in the paper).
    pub(crate) is_congested: bool,
    /// Whether admitted requests were queued in at least half of the ticks.
    pub(crate) had_queue: bool,
    /// Whether the admission rate kept the cores idle.
    pub(crate) idles_cores: bool,
    /// Rate of started runs, in requests per second.
    pub(crate) admitted_per_s: f64,
    /// Figures of the cycle for the log.
    pub(crate) figures: CycleFigures,
}

/// The current control cycle and the last finished ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct PowerTest {
    cycle_began_at: Timestamp,
    successes: Vec<Success>,
    started_runs: u32,
    ticks: u32,
    ticks_with_queue: u32,
    cycles: SampleWindow<Cycle, CYCLE_CAPACITY>,
}

impl PowerTest {
    /// Returns a test whose first cycle counts as begun at `cycle_began_at`.
    pub(crate) fn new(cycle_began_at: Timestamp) -> Self {
        Self { cycle_began_at, ..Self::default() }
    }

    /// Records a response within the latency objective.
    pub(crate) fn record_success(&mut self, cost_s: f64, response_s: f64) {
        self.successes.push(Success { cost_s, response_s });
    }

    /// Records the start of a run.
    pub(crate) fn record_started_run(&mut self) {
        self.started_runs += 1;
    }

    /// Records a timer tick. `has_queue` says whether admitted requests are queued.
    pub(crate) fn record_tick(&mut self, has_queue: bool) {
        self.ticks += 1;
        self.ticks_with_queue += u32::from(has_queue);
    }

    /// Ends the cycle if it is over and returns its result. `is_limited` says whether the admission rate
    /// limits now; `core_saturation` is the share of recent ticks with all cores taken.
    pub(crate) fn end_cycle(
        &mut self,
        now: Timestamp,
        is_limited: bool,
        core_saturation: f64,
    ) -> Option<CycleResult> {
        let length = now - self.cycle_began_at;
        let had_queue = self.ticks_with_queue * 2 >= self.ticks.max(1);
        let idles_cores = is_limited && !had_queue && core_saturation < IDLE_CORE_SATURATION;
        let is_complete = self.successes.len() >= CYCLE_SUCCESSES || length >= MAX_CYCLE;
        if length < MIN_CYCLE || !(is_complete || idles_cores) {
            return None;
        }
        let cycle = self.measure_cycle(length);
        let had_successes = !self.successes.is_empty();
        let admitted_per_s = f64::from(self.started_runs) / length.secs();
        self.start_cycle(now);
        self.cycles.push(cycle);
        let best = self.cycles.iter().max_by(|a, b| a.power.total_cmp(&b.power))?;
        let power_ratio = cycle.power / best.power;
        let is_slower = cycle.response_time_per_cost > best.response_time_per_cost || !had_successes;
        Some(CycleResult {
            is_congested: power_ratio < MIN_POWER_RATIO && is_slower,
            had_queue,
            idles_cores,
            admitted_per_s,
            figures: CycleFigures {
                power_ratio,
                response: cycle.response_time_per_cost,
                best_response: best.response_time_per_cost,
            },
        })
    }

    fn measure_cycle(&self, length: Duration) -> Cycle {
        let cost_s = self.successes.iter().fold(0.0, |sum, success| sum + success.cost_s);
        let response_s = self.successes.iter().fold(0.0, |sum, success| sum + success.response_s);
        let response_time_per_cost = response_s / cost_s.max(MIN_DIVISOR);
        let power = cost_s / length.secs() / response_time_per_cost.max(MIN_DIVISOR);
        Cycle { power, response_time_per_cost }
    }

    fn start_cycle(&mut self, now: Timestamp) {
        self.cycle_began_at = now;
        self.successes.clear();
        self.started_runs = 0;
        self.ticks = 0;
        self.ticks_with_queue = 0;
    }
}
