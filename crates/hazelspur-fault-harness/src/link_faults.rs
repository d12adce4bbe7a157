//! Which rule holds between two parties now.

use crate::script::{FaultKind, Party, Script};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What holds one way of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Connections end and none is made.
    pub cut: bool,
    /// They end with a reset.
    pub reset: bool,
    /// Nothing arrives.
    pub mute: bool,
    /// Connections are accepted and never read.
    pub swallow: bool,
    /// One byte each millisecond.
    pub slow: bool,
    /// Everything is late by so much, in milliseconds.
    pub delay_ms: u64,
    /// Datagrams are late by up to so much, in milliseconds.
    pub reorder_ms: u64,
    /// Hundredths.
    pub loss_percent: u64,
    /// Datagrams sent twice, in hundredths.
    pub duplicate_percent: u64,
}

/// The faults of links at each moment of a run.
#[derive(Clone)]
pub struct LinkFaults {
    script: Arc<Script>,
    began: Arc<Mutex<Option<Instant>>>,
}

impl LinkFaults {
    /// Fair until `begin`.
    pub fn new(script: Script) -> Self {
        Self { script: Arc::new(script), began: Arc::default() }
    }

    /// Starts the script now.
    pub fn start(&self) {
        *self.began.lock().expect("no panic before") = Some(Instant::now());
    }

    /// Milliseconds since the script began.
    pub fn elapsed_ms(&self) -> Option<u64> {
        let began = *self.began.lock().expect("no panic before");
        began.map(|began| began.elapsed().as_millis() as u64)
    }

    /// The rule from one to the other now.
    pub fn condition_between(&self, from: Party, to: Party) -> LinkCondition {
        let Some(now) = self.elapsed_ms() else { return LinkCondition::default() };
        let mut rule = LinkCondition::default();
        for fault in &self.script.0 {
            let Some(end) = fault.peer else { continue };
            let ahead = fault.target.covers(from) && end.covers(to);
            let either = ahead || fault.target.covers(to) && end.covers(from);
            if !(fault.start_ms..fault.end_ms()).contains(&now) || !either {
                continue;
            }
            match fault.kind {
                FaultKind::Cut => rule.cut = true,
                FaultKind::Reset => (rule.cut, rule.reset) = (true, true),
                FaultKind::Mute => rule.mute |= ahead,
                FaultKind::Swallow => rule.swallow |= ahead,
                FaultKind::Slow => rule.slow |= ahead,
                FaultKind::Delay(ms) if ahead => rule.delay_ms += ms,
                FaultKind::Reorder(ms) if ahead => rule.reorder_ms += ms,
                FaultKind::Loss(part) if ahead => rule.loss_percent = rule.loss_percent.max(part),
                FaultKind::Duplicate(part) if ahead => {
                    rule.duplicate_percent = rule.duplicate_percent.max(part)
                }
                _ => {}
            }
        }
        rule
    }
}
