//! What servers found out together, as facts for the decision module: which have changed, and what holds when
//! a lease ends. The program and the laboratory tell their modules the same by this.

use crate::joint::{At, Joint};
use crate::quota::LimitId;
use hazelspur::{GuidanceKey, Timestamp};
use std::collections::BTreeMap;

/// A figure that has grown by less than this part is the same; a smaller one never is, since what is used
/// must not be more than what is held.
const SAME: f64 = 0.01;

/// Facts by name; `None` takes one back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    pub facts: Vec<(GuidanceKey, Option<f64>)>,
    /// When the first lease in force ends by the steady clock, and what holds from then on.
    pub leases: Option<(Timestamp, Vec<(GuidanceKey, f64)>)>,
}

#[derive(Clone, Debug)]
pub struct Guidance {
    /// Whether the gate and what others say count.
    together: bool,
    /// Which limit is which fact of the module.
    limits: Vec<(LimitId, GuidanceKey)>,
    told: BTreeMap<GuidanceKey, f64>,
}

impl Guidance {
    pub fn new(together: bool, limits: Vec<(LimitId, GuidanceKey)>) -> Self {
        Self { together, limits, told: BTreeMap::new() }
    }

    /// The module was told otherwise meanwhile, since a lease had ended: all of it is told again.
    pub fn forget(&mut self) {
        self.told.clear();
    }

    pub fn next(&mut self, at: At, joint: &Joint) -> Told {
        let mut now: BTreeMap<GuidanceKey, f64> = BTreeMap::new();
        let mut leases: Option<(Timestamp, Vec<(GuidanceKey, f64)>)> = None;
        if let Some(shares) = &joint.quota {
            for (limit, name) in &self.limits {
                let share = shares.share(at.steady, *limit);
                now.insert(*name, share.amount);
                if let Some(until) = share.expires {
                    let (ends, floors) = leases.get_or_insert((until, Vec::new()));
                    *ends = until.min(*ends);
                    floors.push((*name, share.guaranteed));
                }
            }
        }
        if self.together {
            if let Some(common) = joint.common() {
                now.insert(GuidanceKey::RejectedShare, common.rejected_fraction);
            }
            if !joint.breaker.is_closed() {
                now.insert(GuidanceKey::BreakerOpen, 1.0);
            }
        }
        let moved = |name: &GuidanceKey, value: f64| {
            self.told.get(name).is_none_or(|old| value < *old || value - old > SAME * old.abs().max(1e-3))
        };
        let mut facts: Vec<(GuidanceKey, Option<f64>)> = now
            .iter()
            .filter(|(name, value)| moved(name, **value))
            .map(|(name, value)| (*name, Some(*value)))
            .collect();
        let gone = self.told.keys().filter(|name| !now.contains_key(*name));
        facts.extend(gone.map(|name| (*name, None)));
        for (name, value) in &facts {
            match value {
                Some(value) => self.told.insert(*name, *value),
                None => self.told.remove(name),
            };
        }
        Told { facts, leases }
    }
}
