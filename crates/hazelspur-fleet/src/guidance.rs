//! What servers found out together, as facts for the decision module: which have changed, and what holds when
//! a lease ends. The program and the laboratory tell their modules the same by this.

use crate::joint::{At, Joint};
use crate::shares::LimitId;
use hazelspur::Moment;
use std::collections::BTreeMap;

/// A figure that has grown by less than this part is the same; a smaller one never is, since what is used
/// must not be more than what is held.
const SAME: f64 = 0.01;

/// Facts by name; `None` takes one back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    pub facts: Vec<(String, Option<f64>)>,
    /// When the first lease in force ends by the steady clock, and what holds from then on.
    pub leases: Option<(Moment, Vec<(String, f64)>)>,
}

#[derive(Clone, Debug)]
pub struct Guidance {
    /// Whether the gate and what others say count.
    together: bool,
    /// Which limit is which fact of the module.
    limits: Vec<(LimitId, String)>,
    told: BTreeMap<String, f64>,
}

impl Guidance {
    pub fn new(together: bool, limits: Vec<(LimitId, String)>) -> Self {
        Self { together, limits, told: BTreeMap::new() }
    }

    /// The module was told otherwise meanwhile, since a lease had ended: all of it is told again.
    pub fn forget(&mut self) {
        self.told.clear();
    }

    pub fn next(&mut self, at: At, joint: &Joint) -> Told {
        let mut now: BTreeMap<String, f64> = BTreeMap::new();
        let mut leases: Option<(Moment, Vec<(String, f64)>)> = None;
        if let Some(shares) = &joint.shares {
            for (limit, name) in &self.limits {
                let share = shares.share(at.steady, *limit);
                now.insert(name.clone(), share.amount);
                if let Some(until) = share.until {
                    let (ends, floors) = leases.get_or_insert((until, Vec::new()));
                    *ends = until.min(*ends);
                    floors.push((name.clone(), share.floor));
                }
            }
        }
        if self.together {
            if let Some(common) = joint.common() {
                now.insert("joint.refused".into(), common.refused);
            }
            if !joint.gate.is_open() {
                now.insert("joint.breaker_open".into(), 1.0);
            }
        }
        let moved = |name: &str, value: f64| {
            self.told.get(name).is_none_or(|old| value < *old || value - old > SAME * old.abs().max(1e-3))
        };
        let mut facts: Vec<(String, Option<f64>)> = now
            .iter()
            .filter(|(name, value)| moved(name, **value))
            .map(|(name, value)| (name.clone(), Some(*value)))
            .collect();
        let gone = self.told.keys().filter(|name| !now.contains_key(*name));
        facts.extend(gone.map(|name| (name.clone(), None)));
        for (name, value) in &facts {
            match value {
                Some(value) => self.told.insert(name.clone(), *value),
                None => self.told.remove(name),
            };
        }
        Told { facts, leases }
    }
}
