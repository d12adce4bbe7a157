//! The local health of this process: the degree to which it trusts its own observations. A process that was
//! suspended or lost its network receives nothing although the other members run, so it first assumes that
//! the fault is its own.
//!
//! The score is the local health multiplier of Dadgar, Phillips and Currey, "Lifeguard: Local Health
//! Awareness for More Accurate Failure Detection" (2018). As an addition, late timers raise the score.

use hazelspur::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

/// Maximum factor by which timeouts grow; Lifeguard's parameter S.
const MAX_MULTIPLIER: u32 = 8;
/// Number of periods without any datagram after which the process counts as isolated.
const ISOLATED_AFTER_PERIODS: u64 = 6;
/// Fraction of a period by which a timer may be late before the process counts as suspended.
const LATE_TIMER_FRACTION: f64 = 0.5;
/// Increase of the score for a late timer.
const LATE_TIMER_PENALTY: u32 = 2;
/// Lowest score at which the process counts as degraded.
const DEGRADED_SCORE: u32 = MAX_MULTIPLIER / 2;

/// The status of this process in the fleet, as it judges itself. The serialized names are those that the
/// output of operators' commands shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LocalStatus {
    /// The process has not found the fleet yet, or has not read the whole member list.
    Joining,
    /// The process can rely on its observations.
    #[serde(rename = "Whole")]
    Healthy,
    /// The process was suspended recently, runs late or lacks answers to its probes, so missing answers may
    /// be its own fault.
    #[serde(rename = "Doubtful")]
    Degraded,
    /// The process receives no datagrams from any member.
    #[serde(rename = "CutOff")]
    Isolated,
    /// The process drains or has announced its end.
    Leaving,
}

impl LocalStatus {
    /// Returns the word for the status in log lines and in the output of operators' commands.
    pub fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Healthy => "whole",
            Self::Degraded => "doubtful",
            Self::Isolated => "cut-off",
            Self::Leaving => "leaving",
        }
    }
}

/// The local health score and the times from which isolation and degradation follow.
#[derive(Clone, Debug)]
pub(super) struct LocalHealth {
    /// The probe period.
    period: Duration,
    /// Local health score, from 0 for full health to `MAX_MULTIPLIER` - 1.
    score: u32,
    /// Time of the last datagram from another member. The time of suspensions is added to it.
    last_received: Timestamp,
    /// End of the time after a suspension during which the process counts as degraded.
    recovering_until: Timestamp,
}

impl LocalHealth {
    pub(super) fn new(period: Duration, now: Timestamp) -> Self {
        Self { period, score: 0, last_received: now, recovering_until: now }
    }

    /// Returns the factor by which timeouts are lengthened, at least 1.
    pub(super) fn multiplier(&self) -> f64 {
        f64::from(1 + self.score)
    }

    /// Improves the health by one step, after a probe was answered.
    pub(super) fn decrease_score(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Worsens the health by one step, after a probe was not answered or this process had to refute an
    /// update.
    pub(super) fn increase_score(&mut self) {
        self.add_penalty(1);
    }

    /// Records the arrival of a datagram from another member.
    pub(super) fn record_received(&mut self, now: Timestamp) {
        self.last_received = self.last_received.max(now);
    }

    /// Records that a timer due at `due` runs now. Returns the time for which the process was suspended, zero
    /// if the timer is in time.
    pub(super) fn record_timer_run(&mut self, now: Timestamp, due: Timestamp) -> Duration {
        let lateness = now - due;
        if lateness < self.period.scaled(LATE_TIMER_FRACTION) {
            return Duration::ZERO;
        }
        self.add_penalty(LATE_TIMER_PENALTY);
        self.recovering_until = now + self.period + self.period;
        // A process that does not run receives nothing, so the suspension does not count as silence of the
        // others.
        let received_while_suspended = (self.last_received + lateness).min(now);
        self.last_received = self.last_received.max(received_while_suspended);
        lateness
    }

    pub(super) fn is_degraded(&self, now: Timestamp) -> bool {
        now < self.recovering_until || self.score >= DEGRADED_SCORE
    }

    pub(super) fn is_isolated(&self, now: Timestamp) -> bool {
        now - self.last_received > Duration::from_us(self.period.us() * ISOLATED_AFTER_PERIODS)
    }

    fn add_penalty(&mut self, penalty: u32) {
        self.score = (self.score + penalty).min(MAX_MULTIPLIER - 1);
    }
}
