//! Computes the latency ratio: the mean latency of calls divided by the best latency remembered. The best
//! latency of a bounded number of past windows is remembered, just as the admission controller remembers
//! the best power of its last control cycles, so a latency that stays high becomes the normal one.

use super::MAX_LATENCY_RATIO;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Length of one window.
const WINDOW: Duration = Duration::from_ms(8000);
/// Number of past windows whose best latency is remembered.
const REMEMBERED_WINDOWS: usize = 16;

/// The best latency of the current window and of the past windows remembered.
#[derive(Clone, Debug, Default)]
pub struct LatencyRatioTracker {
    /// Best latency of each past window, in seconds, oldest first.
    past_best_secs: VecDeque<f64>,
    /// Best latency of the current window, in seconds; zero before the first observation.
    current_best_secs: f64,
    current_window_began: Timestamp,
}

impl LatencyRatioTracker {
    /// Records the mean latency of calls, in seconds, and returns its ratio to the best latency remembered,
    /// at most `MAX_LATENCY_RATIO`. Returns zero for a latency that is not a positive finite number.
    pub fn observe(&mut self, now: Timestamp, latency_secs: f64) -> f32 {
        if !(latency_secs.is_finite() && latency_secs > 0.0) {
            return 0.0;
        }
        if self.current_best_secs == 0.0 || now - self.current_window_began >= WINDOW {
            self.begin_window(now, latency_secs);
        }
        self.current_best_secs = self.current_best_secs.min(latency_secs);
        let best_secs = self.past_best_secs.iter().copied().fold(self.current_best_secs, f64::min);
        (latency_secs / best_secs).min(f64::from(MAX_LATENCY_RATIO)) as f32
    }

    fn begin_window(&mut self, now: Timestamp, latency_secs: f64) {
        if self.current_best_secs > 0.0 {
            self.past_best_secs.push_back(self.current_best_secs);
        }
        if self.past_best_secs.len() > REMEMBERED_WINDOWS {
            self.past_best_secs.pop_front();
        }
        self.current_best_secs = latency_secs;
        self.current_window_began = now;
    }
}
