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
    started: Arc<Mutex<Option<Instant>>>,
}

impl LinkFaults {
    /// Fair until `begin`.
    pub fn new(script: Script) -> Self {
        Self { script: Arc::new(script), started: Arc::default() }
    }

    /// Starts the script now.
    pub fn start(&self) {
        *self.started.lock().expect("no panic before") = Some(Instant::now());
    }

    /// Milliseconds since the script began.
    pub fn elapsed_ms(&self) -> Option<u64> {
        let started = *self.started.lock().expect("no panic before");
        started.map(|started| started.elapsed().as_millis() as u64)
    }

    /// The rule from one to the other now.
    pub fn condition_between(&self, from: Party, to: Party) -> LinkCondition {
        let Some(elapsed_ms) = self.elapsed_ms() else { return LinkCondition::default() };
        let mut condition = LinkCondition::default();
        for fault in &self.script.0 {
            let Some(peer) = fault.peer else { continue };
            let forward = fault.target.covers(from) && peer.covers(to);
            let either_way = forward || fault.target.covers(to) && peer.covers(from);
            if !(fault.start_ms..fault.end_ms()).contains(&elapsed_ms) || !either_way {
                continue;
            }
            match fault.kind {
                FaultKind::Cut => condition.cut = true,
                FaultKind::Reset => (condition.cut, condition.reset) = (true, true),
                FaultKind::Mute => condition.mute |= forward,
                FaultKind::Swallow => condition.swallow |= forward,
                FaultKind::Slow => condition.slow |= forward,
                FaultKind::Delay(ms) if forward => condition.delay_ms += ms,
                FaultKind::Reorder(ms) if forward => condition.reorder_ms += ms,
                FaultKind::Loss(percent) if forward => {
                    condition.loss_percent = condition.loss_percent.max(percent)
                }
                FaultKind::Duplicate(percent) if forward => {
                    condition.duplicate_percent = condition.duplicate_percent.max(percent)
                }
                _ => {}
            }
        }
        condition
    }
}
