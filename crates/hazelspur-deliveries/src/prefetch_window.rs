//! Prefetch window of a queue: the number of its deliveries that may be unsettled in this process.
//!
//! Input: outcomes of requests and the number of unsettled deliveries. Output: the window for `basic.qos`
//! and, for a window below one, the duty cycle. A message that is not delivered yet waits in the queue at no
//! cost, so the window shrinks when requests are rejected, whether they came from a queue or from a gateway.

use hazelspur::{Duration, Timestamp};

/// Minimum time between two changes of the window.
const MIN_CYCLE: Duration = Duration::from_ms(500);
/// Initial window, in deliveries.
const INITIAL_WINDOW: f64 = 2.0;
/// Growth factor per cycle until the first rejection, and again after `CALM_CYCLES` cycles without one.
const FAST_GROWTH_FACTOR: f64 = 1.25;
/// Growth factor per cycle otherwise. It is small since each step may cause rejections of gateways' requests.
const SLOW_GROWTH_FACTOR: f64 = 1.05;
/// Number of cycles without a rejection after which the window grows fast again.
const CALM_CYCLES: u32 = 20;
/// Rejected fraction up to which the window does not shrink.
const TOLERATED_REJECTED_FRACTION: f64 = 0.005;
/// Weight of the rejected fraction in the divisor of the window: if all requests are rejected, the window is
/// divided by seven.
const REJECTED_FRACTION_WEIGHT: f64 = 6.0;
/// Minimum adaptive window; a window below one acts as a duty cycle.
const MIN_DUTY_CYCLE: f64 = 1.0 / 64.0;

/// Rule by which the window changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefetchRule {
    /// The window is always the maximum.
    Fixed,
    /// The window is the spare capacity of the admission controller, in whole requests.
    SpareCapacity,
    /// The window grows by a factor in each cycle in which it was full, and shrinks with the rejected
    /// fraction of requests. Below one it acts as a duty cycle.
    Adaptive,
}

/// Prefetch window of one queue.
#[derive(Clone, Debug)]
pub struct PrefetchWindow {
    rule: PrefetchRule,
    max: u16,
    window: f64,
    cycle_began: Timestamp,
    succeeded: u32,
    rejected: u32,
    was_full: bool,
    /// Number of cycles since the last one in which too many requests were rejected.
    calm_cycles: u32,
}

impl PrefetchWindow {
    /// Creates the window of a queue with at most `max` unsettled deliveries.
    pub fn new(rule: PrefetchRule, max: u16, now: Timestamp) -> Self {
        let max_window = f64::from(max);
        let window = match rule {
            PrefetchRule::Fixed => max_window,
            PrefetchRule::SpareCapacity | PrefetchRule::Adaptive => INITIAL_WINDOW.min(max_window),
        };
        Self {
            rule,
            max,
            window,
            cycle_began: now,
            succeeded: 0,
            rejected: 0,
            was_full: false,
            calm_cycles: CALM_CYCLES,
        }
    }

    /// Adds the numbers of requests, of gateways and queues alike, that were answered since the last call.
    pub fn record_outcomes(&mut self, succeeded: u32, rejected: u32) {
        self.succeeded += succeeded;
        self.rejected += rejected;
    }

    /// Records the number of unsettled deliveries of this queue, to learn whether the window is full.
    pub fn record_unsettled(&mut self, unsettled: usize) {
        self.was_full |= self.window < 1.0 || unsettled as f64 >= self.window.floor();
    }

    /// Ends the cycle if it has lasted `MIN_CYCLE`, and returns the new window if it changed.
    /// `spare_capacity` is the number of further requests that the admission controller could take. An
    /// adaptive window waits until at least one request was answered in the cycle.
    pub fn update(&mut self, now: Timestamp, spare_capacity: f64) -> Option<u16> {
        let answered = self.succeeded + self.rejected;
        let needs_outcomes = self.rule == PrefetchRule::Adaptive;
        if now - self.cycle_began < MIN_CYCLE || (answered == 0 && needs_outcomes) {
            return None;
        }
        let before = self.window();
        let rejected_fraction = f64::from(self.rejected) / f64::from(answered.max(1));
        self.window = match self.rule {
            PrefetchRule::Fixed => self.window,
            PrefetchRule::SpareCapacity => spare_capacity.floor(),
            PrefetchRule::Adaptive => self.adapted_window(rejected_fraction),
        }
        .clamp(self.min_window(), f64::from(self.max));
        (self.cycle_began, self.succeeded, self.rejected, self.was_full) = (now, 0, 0, false);
        (self.window() != before).then(|| self.window())
    }

    fn min_window(&self) -> f64 {
        if self.rule == PrefetchRule::Adaptive { MIN_DUTY_CYCLE } else { 1.0 }
    }

    fn adapted_window(&mut self, rejected_fraction: f64) -> f64 {
        if rejected_fraction > TOLERATED_REJECTED_FRACTION {
            self.calm_cycles = 0;
            return self.window / (1.0 + REJECTED_FRACTION_WEIGHT * rejected_fraction);
        }
        self.calm_cycles = self.calm_cycles.saturating_add(1);
        if !self.was_full {
            return self.window;
        }
        let growth = if self.calm_cycles > CALM_CYCLES { FAST_GROWTH_FACTOR } else { SLOW_GROWTH_FACTOR };
        self.window * growth
    }

    /// Returns the number of deliveries that may be unsettled, at least one.
    pub fn window(&self) -> u16 {
        self.window.max(1.0) as u16
    }

    /// Returns the fraction of the time in which a delivery may be processed: the window itself below one,
    /// else one.
    pub fn duty_cycle(&self) -> f64 {
        self.window.min(1.0)
    }
}
