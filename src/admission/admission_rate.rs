//! The admission rate R and its token bucket (Wu, Tantawi and Yu, section IV, equation 2).
//!
//! R starts to limit after a congested cycle with queued requests, at the rate admitted in that cycle. Each
//! further such cycle divides it by [`DECREASE_DIVISOR`]; a cycle without congestion raises it by
//! [`INCREASE_PER_S`]. It stops limiting once it exceeds the admitted rate or keeps the cores idle. Input:
//! one [`CycleResult`] per control cycle. Output: an event when limiting starts or stops.

use crate::Timestamp;
use crate::admission::power_test::CycleResult;
use crate::event::ControllerEvent;

/// Divisor of R after a congested cycle with queued requests.
const DECREASE_DIVISOR: f64 = 1.1;
/// Increase of R after a cycle without congestion, in requests per second.
const INCREASE_PER_S: f64 = 2.0;
/// Lower bound of R, in requests per second.
const MIN_RATE_PER_S: f64 = 1.0;
/// Capacity of the bucket, as the time in which R fills it, in seconds.
const BURST_S: f64 = 0.25;
/// Lower bound of the capacity of the bucket, so that a low R still admits requests.
const MIN_BURST_TOKENS: f64 = 1.0;
/// Tokens that one admission takes.
const TOKENS_PER_ADMISSION: f64 = 1.0;

/// The admission rate R with its token bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionRate {
    /// R in requests per second; `None` while it does not limit.
    rate_per_s: Option<f64>,
    tokens: f64,
    refilled_at: Timestamp,
}

impl AdmissionRate {
    /// Returns a rate that does not limit.
    pub(crate) fn unlimited(now: Timestamp) -> Self {
        Self { rate_per_s: None, tokens: 0.0, refilled_at: now }
    }

    /// Returns whether R limits new sessions now.
    pub(crate) fn is_limited(&self) -> bool {
        self.rate_per_s.is_some()
    }

    /// Returns whether a new session may pass now.
    pub(crate) fn admits_new_session(&self) -> bool {
        self.rate_per_s.is_none() || self.tokens >= TOKENS_PER_ADMISSION
    }

    /// Takes the token of an admitted request. Requests of active sessions take one even from an empty
    /// bucket, so the number of tokens may fall below zero.
    pub(crate) fn take_token(&mut self) {
        self.tokens -= TOKENS_PER_ADMISSION;
    }

    /// Puts back the token of an admitted request that never ran.
    pub(crate) fn return_token(&mut self) {
        self.tokens += TOKENS_PER_ADMISSION;
    }

    /// Adds the tokens that accrued since the last refill.
    pub(crate) fn refill(&mut self, now: Timestamp) {
        let rate = self.rate_per_s.unwrap_or(0.0);
        let gain = rate * (now - self.refilled_at).secs();
        self.tokens = (self.tokens + gain).clamp(-rate, (rate * BURST_S).max(MIN_BURST_TOKENS));
        self.refilled_at = now;
    }

    /// Adjusts R by the result of a control cycle. Returns an event if limiting starts or stops.
    pub(crate) fn adjust(&mut self, now: Timestamp, cycle: &CycleResult) -> Option<ControllerEvent> {
        match self.rate_per_s {
            None if cycle.is_congested && cycle.had_queue => Some(self.start_limiting(now, cycle)),
            Some(rate) if cycle.idles_cores => Some(self.stop_limiting(rate, cycle)),
            Some(rate) if cycle.is_congested && cycle.had_queue => {
                self.rate_per_s = Some((rate / DECREASE_DIVISOR).max(MIN_RATE_PER_S));
                None
            }
            Some(rate) if !cycle.is_congested => self.increase(rate, cycle),
            _ => None,
        }
    }

    fn start_limiting(&mut self, now: Timestamp, cycle: &CycleResult) -> ControllerEvent {
        self.rate_per_s = Some(cycle.admitted_per_s.max(MIN_RATE_PER_S));
        self.tokens = 0.0;
        self.refilled_at = now;
        ControllerEvent::RateLimited { admitted_per_s: cycle.admitted_per_s, cycle: cycle.figures }
    }

    fn increase(&mut self, rate: f64, cycle: &CycleResult) -> Option<ControllerEvent> {
        let raised = rate + INCREASE_PER_S;
        self.rate_per_s = Some(raised);
        let is_above_demand = raised > cycle.admitted_per_s * DECREASE_DIVISOR + INCREASE_PER_S;
        is_above_demand.then(|| self.stop_limiting(raised, cycle))
    }

    fn stop_limiting(&mut self, rate_per_s: f64, cycle: &CycleResult) -> ControllerEvent {
        self.rate_per_s = None;
        let CycleResult { admitted_per_s, figures, .. } = *cycle;
        ControllerEvent::Unlimited { rate_per_s, admitted_per_s, cycle: figures }
    }
}
