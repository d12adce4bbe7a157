//! Which rule holds between two parties now.

use crate::script::{Kind, Party, Script};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What holds one way of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rule {
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
    pub shuffle_ms: u64,
    /// Hundredths.
    pub lose: u64,
    /// Datagrams sent twice, in hundredths.
    pub double: u64,
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
    pub fn begin(&self) {
        *self.began.lock().expect("no panic before") = Some(Instant::now());
    }

    /// Milliseconds since the script began.
    pub fn at_ms(&self) -> Option<u64> {
        let began = *self.began.lock().expect("no panic before");
        began.map(|began| began.elapsed().as_millis() as u64)
    }

    /// The rule from one to the other now.
    pub fn rule(&self, from: Party, to: Party) -> Rule {
        let Some(now) = self.at_ms() else { return Rule::default() };
        let mut rule = Rule::default();
        for fault in &self.script.0 {
            let Some(end) = fault.to else { continue };
            let ahead = fault.of.covers(from) && end.covers(to);
            let either = ahead || fault.of.covers(to) && end.covers(from);
            if !(fault.from_ms..fault.end_ms()).contains(&now) || !either {
                continue;
            }
            match fault.kind {
                Kind::Cut => rule.cut = true,
                Kind::Reset => (rule.cut, rule.reset) = (true, true),
                Kind::Mute => rule.mute |= ahead,
                Kind::Swallow => rule.swallow |= ahead,
                Kind::Slow => rule.slow |= ahead,
                Kind::Delay(ms) if ahead => rule.delay_ms += ms,
                Kind::Shuffle(ms) if ahead => rule.shuffle_ms += ms,
                Kind::Lose(part) if ahead => rule.lose = rule.lose.max(part),
                Kind::Double(part) if ahead => rule.double = rule.double.max(part),
                _ => {}
            }
        }
        rule
    }
}
