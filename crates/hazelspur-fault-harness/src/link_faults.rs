//! Computes the faults in effect on the link between two parties, from the script and the time since its
//! start.

use crate::script::{FaultKind, Party, Script};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Faults in effect on one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Whether connections are closed, new ones are closed at once, and datagrams are dropped.
    pub cut: bool,
    /// Whether connections that `cut` closes end with a TCP reset.
    pub reset: bool,
    /// Whether nothing is delivered although connections stay open; bytes already read are held back.
    pub mute: bool,
    /// Whether connections are accepted and not read, so that the sender meets a full buffer; datagrams are
    /// dropped.
    pub swallow: bool,
    /// Whether connections carry one byte per millisecond.
    pub slow: bool,
    /// Delay of bytes and datagrams, in milliseconds.
    pub delay_ms: u64,
    /// Largest random extra delay of a datagram, in milliseconds, which changes the order of datagrams.
    pub reorder_ms: u64,
    /// Share of datagrams that are dropped, in percent.
    pub loss_percent: u64,
    /// Share of datagrams that are sent twice, in percent.
    pub duplicate_percent: u64,
}

/// Faults of all links over the time of a run; clones share one start time.
#[derive(Clone)]
pub struct LinkFaults {
    script: Arc<Script>,
    started: Arc<Mutex<Option<Instant>>>,
}

impl LinkFaults {
    /// Creates the faults of a script, none of which is in effect until [`start`](Self::start).
    pub fn new(script: Script) -> Self {
        Self { script: Arc::new(script), started: Arc::default() }
    }

    /// Starts the script.
    pub fn start(&self) {
        *self.started.lock().expect("lock not poisoned") = Some(Instant::now());
    }

    /// Returns the time since the start of the script in milliseconds, or `None` before it.
    pub fn elapsed_ms(&self) -> Option<u64> {
        let started = *self.started.lock().expect("lock not poisoned");
        started.map(|started| started.elapsed().as_millis() as u64)
    }

    /// Returns the faults in effect now on the direction from one party to another. A cut or reset applies to
    /// both directions, since it closes the connection; other faults go from the target of the fault to its
    /// peer.
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
