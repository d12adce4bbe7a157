//! Probes of addresses and members from which this process hears nothing, so that the two sides of a healed
//! partition find each other: dead members in each period, and seed addresses at which no member is known to
//! run (all of them in each period while this process joins or is isolated, otherwise a random one every
//! `SEED_PROBE_PERIODS`).

use super::local_health::LocalStatus;
use super::state::Membership;
use super::view::MemberStatus;
use crate::datagram::Body;
use std::net::SocketAddr;

/// Number of periods from one probe of a seed address at which no member is known to run to the next, unless
/// this process joins or is isolated.
const SEED_PROBE_PERIODS: u64 = 10;
/// Maximum number of additional dead members probed in a period after some have recovered.
const MAX_EXTRA_REJOIN_PROBES: usize = 7;
/// Additional dead members to probe for each one that has recovered.
const REJOIN_PROBES_PER_RECOVERY: usize = 2;

impl Membership {
    /// Probes seed addresses and dead members, once in each period.
    pub(super) fn probe_seeds_and_dead(&mut self) {
        for address in self.seeds_to_probe() {
            let number = self.random.draw();
            self.send(address, None, Body::Ping { number, to: None });
        }
        let recovered = std::mem::take(&mut self.recovered_in_period);
        let probes = 1 + (REJOIN_PROBES_PER_RECOVERY * recovered).min(MAX_EXTRA_REJOIN_PROBES);
        for _ in 0..probes.min(self.members.dead().len()) {
            let index = self.random.draw() as usize % self.members.dead().len();
            let Some(name) = self.members.dead().iter().nth(index).copied() else { break };
            self.ping_member(name);
        }
    }

    /// Returns the seed addresses to probe in the current period.
    fn seeds_to_probe(&mut self) -> Vec<SocketAddr> {
        let seeds = self.config.seeds.iter().copied();
        let not_running: Vec<SocketAddr> =
            seeds.filter(|seed| *seed != self.config.address && !self.is_running_at(*seed)).collect();
        if not_running.is_empty() || !self.list.is_complete || self.status == LocalStatus::Isolated {
            return not_running;
        }
        if !self.periods.is_multiple_of(SEED_PROBE_PERIODS) {
            return Vec::new();
        }
        vec![not_running[self.random.draw() as usize % not_running.len()]]
    }

    fn is_running_at(&self, address: SocketAddr) -> bool {
        let is_running = |status: MemberStatus| status != MemberStatus::Dead && status.may_serve();
        self.members.iter().any(|member| member.update.address == address && is_running(member.status))
    }
}
