//! What servers choose together, in the drive: `Joint` of each server over the network of datagrams, or an
//! oracle that sees the true state of all a little late.

use super::{Drive, Event, Way};
use crate::ways::own::{address, name, number, terms};
use hazelspur::{Duration, GuidanceKey, Timestamp};
use hazelspur_fleet::guidance::{Guidance, GuidanceUpdate, GuidedLimit, LeaseExpiry};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::node::LocalLoad;
use hazelspur_fleet::quota::{LimitId, QuotaConfig, SharedLimit, fair_level};
use hazelspur_fleet::{Clocks, Datagram, FleetNode, Generation, LimitName};

/// A server looks at its own work so often; the oracle at that of all, of which it sees the last look.
const LOOK: Duration = Duration::from_ms(200);
pub const ORACLE_LATE: Duration = Duration::from_ms(250);
const CALLS: &str = "calls";
const BOUND: GuidanceKey = GuidanceKey::CallConcurrencyLimit;

/// One server's part.
pub struct Part {
    pub node: FleetNode,
    guidance: Guidance,
    /// The tick that is set.
    set: Timestamp,
    expiry: Option<LeaseExpiry>,
}

/// The truth a moment ago.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    wants: Vec<f64>,
    refused: f64,
    down: bool,
}

/// Five keepers that lie apart, and a fourth more servers than there are as the most.
pub fn share_terms(servers: usize, slots: f64, floor: f64) -> QuotaConfig {
    let calls = SharedLimit {
        name: LimitName::new(CALLS).expect("a short name"),
        total: slots,
        guaranteed_fraction: floor,
        residual_duration: Duration::from_ms(500),
        max_turn: None,
    };
    QuotaConfig {
        voters: if servers < 5 { vec![name(0)] } else { (0..5).map(|i| name(i * servers / 5)).collect() },
        max_servers: most(servers),
        vote_duration: Duration::from_ms(4000),
        limits: vec![calls],
    }
}

pub fn most(servers: usize) -> usize {
    servers + servers.div_ceil(4)
}

impl Drive {
    pub(super) fn at(&self) -> Clocks {
        // The lab's servers agree on the time; leases would bear any other steady clock.
        Clocks { wall: self.kernel.now, monotonic: self.kernel.now }
    }

    pub(super) fn begin_part(&mut self, of: usize, seed: u64) {
        let at = self.at();
        let (servers, talks) = (self.plan.servers, self.plan.way == Way::Talk);
        let mut members = terms(of, most(servers));
        if !talks {
            members.seeds = vec![address(of)];
        }
        let slots = self.plan.slots_each * servers as f64;
        let shares = talks.then(|| share_terms(servers, slots, self.plan.floor));
        let limits = if talks { vec![GuidedLimit { limit: LimitId(0), key: BOUND }] } else { Vec::new() };
        let node = FleetNode::new(members, shares, Generation(at.wall.us() / 1000), seed, at);
        let part =
            Part { node, guidance: Guidance::new(true, limits), set: Timestamp::default(), expiry: None };
        self.parts[of] = matches!(self.plan.way, Way::Talk | Way::Alone).then_some(part);
        if self.parts[of].is_some() {
            let life = self.servers[of].life;
            let first = LOOK.scaled(self.chance.unit());
            self.kernel.at(at.wall + first, Event::Look(of, life));
            self.spoke(of);
        }
    }

    /// What this server did lately goes to its part, and what comes of that to its module.
    pub(super) fn look(&mut self, of: usize) {
        let (at, now) = (self.at(), self.kernel.now);
        let server = &mut self.servers[of];
        let (Some(controller), Some(part)) = (&server.controller, &mut self.parts[of]) else { return };
        let view = controller.load_report(now);
        part.node.observe(
            at,
            LocalLoad { call_secs: view.call_latency_s, rejected_fraction: view.rejected_share },
        );
        part.node.set_demand(CALLS, view.needed_call_concurrency.unwrap_or(1.0));
        let life = server.life;
        self.kernel.at(now + LOOK, Event::Look(of, life));
        self.spoke(of);
        self.guide(of);
    }

    pub(super) fn hears(&mut self, of: usize, came: &Datagram) {
        let at = self.at();
        let Some(part) = &mut self.parts[of] else { return };
        let _ = part.node.receive(at, came); // what is dropped is dropped
        self.spoke(of);
        self.guide(of);
    }

    pub(super) fn ticks(&mut self, of: usize) {
        let at = self.at();
        let Some(part) = &mut self.parts[of] else { return };
        part.set = Timestamp::default();
        part.node.tick(at);
        if part.node.breaker.next_probe().is_some_and(|next| next <= at.wall) {
            part.node.breaker.probe_sent(at.wall);
            let reached = !self.ledger.down && !self.links[of].down;
            self.figures.vain += u64::from(!reached);
            part.node.call_finished(at, reached);
        }
        self.spoke(of);
        self.guide(of);
    }

    /// A call is over, or reached nobody.
    pub(super) fn reached(&mut self, of: usize, reached: bool) {
        let at = self.at();
        self.figures.vain += u64::from(!reached);
        let Some(part) = &mut self.parts[of] else { return };
        part.node.call_finished(at, reached);
        self.spoke(of);
    }

    /// Takes what a part has to say, and sets its next tick.
    pub(super) fn spoke(&mut self, of: usize) {
        let at = self.at();
        let Some(part) = &mut self.parts[of] else { return };
        while let Some(OutgoingDatagram { address, datagram }) = part.node.next_datagram(at) {
            let to = number(address);
            if to >= self.servers.len() {
                continue;
            }
            self.figures.datagrams += 1;
            let arrive = self.network.carry(&mut self.chance, of, to);
            for after in arrive {
                self.kernel.at(at.wall + after, Event::Datagram(to, Box::new(datagram.clone())));
            }
        }
        while part.node.membership.next_event().is_some() {}
        let next_try = part.node.breaker.next_probe().map(|next| next - at.wall);
        let wait = next_try
            .into_iter()
            .fold(part.node.time_to_next_tick(at), Duration::min)
            .max(Duration::from_us(1));
        let next = at.wall + wait;
        if part.set == Timestamp::default() || next < part.set || part.set <= at.wall {
            part.set = next;
            let life = self.servers[of].life;
            self.kernel.at(next, Event::Tick(of, life, next));
        }
    }

    pub(super) fn is_set(&self, of: usize, at: Timestamp) -> bool {
        self.parts[of].as_ref().is_some_and(|part| part.set == at)
    }

    pub(super) fn guide(&mut self, of: usize) {
        let (at, now) = (self.at(), self.kernel.now);
        let Some(part) = &mut self.parts[of] else { return };
        let GuidanceUpdate { changes, expiry } = part.guidance.next_update(at, &part.node);
        part.expiry = expiry;
        if changes.is_empty() {
            return;
        }
        if let Some(controller) = &mut self.servers[of].controller {
            changes.iter().for_each(|change| controller.set_guidance(now, change.key, change.value));
        }
        self.pull(of);
    }

    /// Leases end by themselves, whatever else is late.
    pub(super) fn end_leases(&mut self, of: usize) {
        let now = self.kernel.now;
        let Some(part) = &mut self.parts[of] else { return };
        let Some(expiry) = part.expiry.take_if(|expiry| now >= expiry.at) else { return };
        part.guidance.forget();
        if let Some(controller) = &mut self.servers[of].controller {
            expiry.values.iter().for_each(|value| controller.set_guidance(now, value.key, Some(value.value)));
        }
    }

    /// Divides by what was true a look ago.
    pub(super) fn oracle(&mut self) {
        let now = self.kernel.now;
        let truth = std::mem::take(&mut self.truth);
        let slots = self.plan.slots_each * self.plan.servers as f64;
        let wants = fair_level(slots, truth.wants.clone());
        for of in 0..self.servers.len() {
            let Some(controller) = &mut self.servers[of].controller else { continue };
            if let Some(want) = truth.wants.get(of) {
                controller.set_guidance(now, BOUND, Some(want.min(wants).max(0.05)));
            }
            controller.set_guidance(now, GuidanceKey::RejectedShare, Some(truth.refused));
            controller.set_guidance(now, GuidanceKey::BreakerOpen, truth.down.then_some(1.0));
            self.pull(of);
        }
        let views: Vec<_> = self
            .servers
            .iter()
            .map(|server| server.controller.as_ref().map(|controller| controller.load_report(now)))
            .collect();
        let here = views.iter().flatten().count().max(1) as f64;
        self.truth = Truth {
            wants: views
                .iter()
                .map(|v| v.map_or(0.0, |v| v.needed_call_concurrency.unwrap_or(1.0)))
                .collect(),
            refused: views.iter().flatten().map(|view| view.rejected_share).sum::<f64>() / here,
            down: self.ledger.down,
        };
        self.kernel.at(now + ORACLE_LATE, Event::Oracle);
    }

    /// Sum of what all may use of the slots now, over the slots; and how many hold a lease.
    pub fn in_force(&self) -> (f64, usize) {
        let at = self.at();
        let shares = self.parts.iter().flatten().filter_map(|part| part.node.share(at, CALLS));
        let (sum, held) = shares.fold((0.0, 0), |(sum, held), share| {
            (sum + share.amount, held + usize::from(share.expires.is_some()))
        });
        (sum / (self.plan.slots_each * self.plan.servers as f64), held)
    }
}
