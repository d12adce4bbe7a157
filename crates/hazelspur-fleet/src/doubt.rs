//! How far this process trusts itself. A process that stood still hears nobody: that is no fault of the
//! others, so it blames itself first. The score is the local health multiplier of Dadgar, Phillips and
//! Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2018); that a late timer
//! counts is ours.

use hazelspur::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

/// Lifeguard's S: waits grow up to this many times.
const WORST: u32 = 8;
/// Silent for so many periods: cut off.
const SILENT_PERIODS: u64 = 6;
/// A timer that is late by more than this part of a period was held up.
const LATE_PART: f64 = 0.5;

/// How this process stands to the others, by its own judgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// It has not found anybody yet, or has not read the whole list.
    Joining,
    Whole,
    /// It stood still or runs late: what it thinks of others may be its own fault.
    Doubtful,
    /// It hears nobody.
    CutOff,
    Leaving,
}

impl Condition {
    pub fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Whole => "whole",
            Self::Doubtful => "doubtful",
            Self::CutOff => "cut-off",
            Self::Leaving => "leaving",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Doubt {
    period: Duration,
    score: u32,
    heard: Timestamp,
    /// Until then what was concluded before a standstill is not acted on.
    until: Timestamp,
}

impl Doubt {
    pub fn new(period: Duration, now: Timestamp) -> Self {
        Self { period, score: 0, heard: now, until: now }
    }

    /// By how much all waits are longer, from 1 on.
    pub fn factor(&self) -> f64 {
        f64::from(1 + self.score)
    }

    pub fn answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A probe went unanswered, or others had to be told that we are here.
    pub fn blamed(&mut self) {
        self.score = (self.score + 1).min(WORST - 1);
    }

    pub fn heard(&mut self, now: Timestamp) {
        self.heard = self.heard.max(now);
    }

    pub fn last_heard(&self) -> Timestamp {
        self.heard
    }

    /// A timer was due at `due`: how long the process stood still, zero if it did not.
    pub fn ran(&mut self, now: Timestamp, due: Timestamp) -> Duration {
        let late = now - due;
        if late < self.period.scaled(LATE_PART) {
            return Duration::ZERO;
        }
        self.score = (self.score + 2).min(WORST - 1);
        self.until = now + self.period + self.period;
        // It heard nobody meanwhile because it did not listen.
        self.heard = self.heard + late;
        late
    }

    pub fn doubtful(&self, now: Timestamp) -> bool {
        now < self.until || self.score >= WORST / 2
    }

    pub fn cut_off(&self, now: Timestamp) -> bool {
        now - self.heard > Duration::from_us(self.period.us() * SILENT_PERIODS)
    }
}
