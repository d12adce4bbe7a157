//! SWIM's failure detector. When a member misses a probe:
//!
//! 1. `send_next_probe` pings one member a period;
//! 2. without an answer after `DIRECT_PROBE_FRACTION` of the period, `probe_indirectly` asks others to ping it;
//! 3. without any answer at the end of the period, `probe_failed` lowers the own local health and, unless this process is
//!    isolated or was just suspended itself, suspects the member;
//! 4. the suspicion spreads by gossip; further accusers shorten its timeout (`suspicion`), the member may refute it
//!    (`refutation`);
//! 5. one period before the timeout a final probe goes to the member;
//! 6. at the timeout each process concludes for itself that the member is dead; a degraded or isolated one waits.

use super::event::MembershipEvent;
use super::state::{Membership, PeriodBudget};
use super::suspicion::MAX_CONFIRMATIONS;
use super::update::MemberState;
use super::view::MemberStatus;
use crate::datagram::Body;
use crate::names::MemberName;
use hazelspur::{Duration, Timestamp};
use std::net::SocketAddr;

/// Part of a period after which others are asked to probe.
const DIRECT_PROBE_FRACTION: f64 = 0.4;
/// Largest part of a period after which others are asked to probe, so that their answer arrives in time.
const MAX_DIRECT_PROBE_FRACTION: f64 = 0.6;
/// Members that are asked to probe.
const INDIRECT_PROBERS: usize = 3;
/// Largest factor by which a period grows, so that updates still spread.
const MAX_PERIOD_STRETCH: f64 = 2.0;
/// Part of a period after which recent updates are sent on their own.
const GOSSIP_FRACTION: f64 = 0.5;
/// Probes that this process makes for others at once.
const MAX_INDIRECT_PROBES: usize = 64;
/// Part of the retention time: after a longer suspension the member list is read anew.
const REREAD_SUSPENSION_FRACTION: f64 = 0.5;

/// The probe of this period.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    target: MemberName,
    number: u32,
    /// When others are asked to probe; none once they are.
    pub(super) indirect_at: Option<Timestamp>,
}

/// A probe made for another member.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    number: u32,
    requester: SocketAddr,
    requester_number: u32,
    expires: Timestamp,
}

impl Membership {
    pub(super) fn begin_period(&mut self, now: Timestamp) {
        self.periods += 1;
        self.budget = PeriodBudget::FULL;
        self.next_period = now + self.config.probe_period.scaled(self.period_stretch());
        if let Some(probe) = self.probe.take() {
            self.probe_failed(now, probe.target);
        }
        for name in self.members.gone_longer_than(now, self.config.retention) {
            self.forget(name);
        }
        if self.me.state != MemberState::Left {
            self.send_next_probe(now);
            self.probe_seeds_and_dead();
        }
        self.refuted_in_period = false;
        self.continue_list_read();
        if !self.gossip_queue.is_empty() {
            self.gossip_at = Some(now + self.config.probe_period.scaled(GOSSIP_FRACTION));
        }
    }

    fn period_stretch(&self) -> f64 {
        self.health.multiplier().min(MAX_PERIOD_STRETCH)
    }

    // ---- probes ----

    fn send_next_probe(&mut self, now: Timestamp) {
        let Some(target) = self.next_target() else { return };
        let number = self.random.draw();
        let max_wait = MAX_DIRECT_PROBE_FRACTION * self.period_stretch();
        let wait = (DIRECT_PROBE_FRACTION * self.health.multiplier()).min(max_wait);
        let indirect_at = Some(now + self.config.probe_period.scaled(wait));
        self.probe = Some(Probe { target, number, indirect_at });
        self.send_to_member(target, Body::Ping { number, to: Some(target) });
    }

    /// The next member of this round; a new round visits all members in another random order.
    fn next_target(&mut self) -> Option<MemberName> {
        let mut is_new_round = false;
        loop {
            match self.probe_order.pop() {
                Some(name) if self.members.get(name).is_some_and(|member| !member.status.is_gone()) => {
                    return Some(name);
                }
                Some(_) => {}
                None if is_new_round => return None,
                None => {
                    is_new_round = true;
                    self.shuffle_probe_order();
                }
            }
        }
    }

    fn shuffle_probe_order(&mut self) {
        self.probe_order = self.members.by_name().keys().copied().collect();
        for i in (1..self.probe_order.len()).rev() {
            self.probe_order.swap(i, self.random.draw() as usize % (i + 1));
        }
    }

    pub(super) fn probe_indirectly(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_at = None;
        let (target, number) = (probe.target, probe.number);
        let Some(target_address) = self.members.get(target).map(|member| member.update.address) else {
            return;
        };
        let can_probe =
            |name: MemberName, status: MemberStatus| name != target && status == MemberStatus::Alive;
        for prober in self.pick(INDIRECT_PROBERS, |member| can_probe(member.update.name, member.status)) {
            self.send_to_member(prober, Body::PingRequest { number, target, target_address });
        }
    }

    pub(super) fn receive_ping_request(
        &mut self,
        now: Timestamp,
        requester: SocketAddr,
        requester_number: u32,
        target: MemberName,
        target_address: SocketAddr,
    ) {
        self.indirect_probes.retain(|probe| probe.expires > now);
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let number = self.random.draw();
        let expires = now + self.config.probe_period;
        self.indirect_probes.push(IndirectProbe { number, requester, requester_number, expires });
        self.send(target_address, Some(target), Body::Ping { number, to: Some(target) });
    }

    pub(super) fn receive_ack(&mut self, now: Timestamp, number: u32) {
        if self.probe.as_ref().is_some_and(|probe| probe.number == number) {
            self.probe = None;
            self.health.decrease_score();
            return;
        }
        let is_acked = |probe: &IndirectProbe| probe.number == number && probe.expires > now;
        if let Some(index) = self.indirect_probes.iter().position(is_acked) {
            let probe = self.indirect_probes.swap_remove(index);
            self.send(probe.requester, None, Body::Ack { number: probe.requester_number });
        }
    }

    /// A probe was answered neither directly nor indirectly.
    fn probe_failed(&mut self, now: Timestamp, target: MemberName) {
        self.health.increase_score();
        let has_just_resumed = self.resumed_at + self.config.probe_period > now;
        // A process that hears nobody, or was suspended, suspects nobody.
        if self.health.is_isolated(now) || self.health.is_degraded(now) && has_just_resumed {
            return;
        }
        let me = self.me.name;
        let Some(member) = self.members.get_mut(target) else { return };
        match member.status {
            MemberStatus::Alive => {
                member.update.state = MemberState::Suspected(me);
                member.record_update_source(me, now);
                self.gossip_queue.enqueue(target);
                self.suspect(now, target, me);
            }
            MemberStatus::Suspected => self.confirm_suspicion(now, target, me),
            // It announced that it leaves, and has.
            MemberStatus::Leaving => {
                self.members.set_status(now, target, MemberStatus::Left);
                self.push_event(MembershipEvent::Left(target));
            }
            MemberStatus::Left | MemberStatus::Dead => {}
        }
    }

    // ---- suspicions ----

    pub(super) fn suspect(&mut self, now: Timestamp, member: MemberName, accuser: MemberName) {
        self.members.suspect(now, member, accuser);
        self.push_event(MembershipEvent::Suspected { member, accuser });
    }

    /// Another accuser of a suspected member shortens the suspicion.
    pub(super) fn confirm_suspicion(&mut self, now: Timestamp, name: MemberName, accuser: MemberName) {
        let Some(member) = self.members.get(name) else { return };
        if !member.accusers.contains(&accuser) && member.accusers.len() <= MAX_CONFIRMATIONS {
            self.members.add_accuser(now, name, accuser);
            self.gossip_queue.enqueue(name);
        }
    }

    pub(super) fn process_expired_suspicions(&mut self, now: Timestamp) {
        while let Some(name) = self.members.expired_suspicion(now) {
            let is_final_probe_sent =
                self.members.get(name).is_none_or(|member| member.is_final_probe_sent());
            if self.health.is_isolated(now) || self.health.is_degraded(now) {
                // A process that cannot rely on its observations declares nobody dead.
                self.members.postpone(now, name, false);
            } else if !is_final_probe_sent {
                // A member that can be heard from here must not die of a refutation that was lost.
                self.members.postpone(now, name, true);
                self.ping_member(name);
            } else {
                self.members.set_status(now, name, MemberStatus::Dead);
                self.push_event(MembershipEvent::Died(name));
            }
        }
    }

    /// This process runs again after it was suspended.
    pub(super) fn resume(&mut self, now: Timestamp, suspended: Duration) {
        self.resumed_at = now;
        self.probe = None;
        self.members.postpone_all(suspended);
        if suspended > self.config.retention.scaled(REREAD_SUSPENSION_FRACTION) {
            self.list.restart();
        }
    }

    pub(super) fn forget(&mut self, name: MemberName) {
        self.members.remove(name);
        self.gossip_queue.remove(name);
    }
}
