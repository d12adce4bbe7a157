//! How far this process trusts its own observations. A process that was suspended receives nothing, which is
//! no fault of the others, so it blames itself first.
//!
//! The score is the local health multiplier of Dadgar, Phillips and Currey, "Lifeguard: Local Health
//! Awareness for More Accurate Failure Detection" (2018). That a late timer counts as well is an addition.

use hazelspur::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

/// Lifeguard's S: the largest factor by which timeouts grow.
const MAX_MULTIPLIER: u32 = 8;
/// Periods without any datagram after which the process counts as isolated.
const ISOLATED_AFTER_PERIODS: u64 = 6;
/// Part of a period by which a timer may be late.
const LATE_TIMER_FRACTION: f64 = 0.5;
/// What a late timer adds to the score.
const LATE_TIMER_PENALTY: u32 = 2;
/// Score from which the process counts as degraded.
const DEGRADED_SCORE: u32 = MAX_MULTIPLIER / 2;

/// This process's standing towards the fleet, by its own judgement. The serialized names are those of
/// operators' commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LocalStatus {
    /// It has not found the fleet yet, or has not read the whole member list.
    Joining,
    /// Its observations count.
    #[serde(rename = "Whole")]
    Healthy,
    /// It was suspended or runs late, so what it observes may be its own fault.
    #[serde(rename = "Doubtful")]
    Degraded,
    /// It receives nothing from anybody.
    #[serde(rename = "CutOff")]
    Isolated,
    /// It drains or has ended.
    Leaving,
}

impl LocalStatus {
    /// The word that log lines and operators' commands show.
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

/// The score and the times on which it rests.
#[derive(Clone, Debug)]
pub(super) struct LocalHealth {
    period: Duration,
    score: u32,
    last_received: Timestamp,
    /// Until then the process does not act on what it concluded before a suspension.
    recovering_until: Timestamp,
}

impl LocalHealth {
    pub(super) fn new(period: Duration, now: Timestamp) -> Self {
        Self { period, score: 0, last_received: now, recovering_until: now }
    }

    /// The factor by which timeouts are longer, from 1 on.
    pub(super) fn multiplier(&self) -> f64 {
        f64::from(1 + self.score)
    }

    /// A probe was answered.
    pub(super) fn decrease_score(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A probe was not answered, or this process had to refute a suspicion.
    pub(super) fn increase_score(&mut self) {
        self.add_penalty(1);
    }

    /// A datagram of another member arrived.
    pub(super) fn record_received(&mut self, now: Timestamp) {
        self.last_received = self.last_received.max(now);
    }

    /// A timer that was due at `due` runs now: how long the process was suspended, zero if it was not.
    pub(super) fn record_timer_run(&mut self, now: Timestamp, due: Timestamp) -> Duration {
        let lateness = now - due;
        if lateness < self.period.scaled(LATE_TIMER_FRACTION) {
            return Duration::ZERO;
        }
        self.add_penalty(LATE_TIMER_PENALTY);
        self.recovering_until = now + self.period + self.period;
        // It received nothing meanwhile because it did not run.
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
