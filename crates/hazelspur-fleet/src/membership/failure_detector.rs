//! SWIM's failure detector. The steps from a probe to the conclusion that a member is dead are:
//!
//! 1. `send_next_probe` pings one member in each period.
//! 2. If no answer arrives within `DIRECT_PROBE_FRACTION` of the period, `probe_indirectly` asks other
//!    members to ping it.
//! 3. If no answer arrives by the end of the period, `probe_failed` lowers this process's local health. It
//!    then suspects the member, unless this process is isolated or was just suspended itself.
//! 4. The suspicion spreads by gossip. Further accusers shorten its timeout (`suspicion`), and the member may
//!    refute it (`refutation`).
//! 5. One period before the timeout, a final probe goes to the member.
//! 6. At the timeout, each process concludes for itself that the member is dead. A degraded or isolated
//!    process postpones this.

use super::event::MembershipEvent;
use super::state::{Membership, PeriodBudget};
use super::suspicion::MAX_CONFIRMATIONS;
use super::update::MemberState;
use super::view::MemberStatus;
use crate::datagram::Body;
use crate::names::MemberName;
use hazelspur::{Duration, Timestamp};
use std::net::SocketAddr;

/// Fraction of a period after which other members are asked to probe the target.
const DIRECT_PROBE_FRACTION: f64 = 0.4;
/// Maximum fraction of a period after which other members are asked to probe the target, so that their answer
/// arrives within the period.
const MAX_DIRECT_PROBE_FRACTION: f64 = 0.6;
/// Number of members that are asked to probe the target.
const INDIRECT_PROBERS: usize = 3;
/// Maximum factor by which poor local health lengthens a period, so that updates still spread.
const MAX_PERIOD_STRETCH: f64 = 2.0;
/// Fraction of a period after which recent updates are sent in gossip datagrams.
const GOSSIP_FRACTION: f64 = 0.5;
/// Maximum number of concurrent probes on behalf of other members.
const MAX_INDIRECT_PROBES: usize = 64;
/// Fraction of the retention time. After a longer suspension of this process the member list is read anew.
const REREAD_SUSPENSION_FRACTION: f64 = 0.5;

/// The probe of the current period.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    target: MemberName,
    number: u32,
    /// Time at which other members are asked to probe the target; `None` after they were asked.
    pub(super) indirect_at: Option<Timestamp>,
}

/// A probe on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    number: u32,
    /// Address of the member that asked for the probe.
    requester: SocketAddr,
    /// The number under which the requester expects the answer.
    requester_number: u32,
    /// Time after which an answer is no longer passed on.
    expires: Timestamp,
}

impl Membership {
    /// Ends the last period and begins a new one: evaluates the last probe, forgets members whose retention
    /// time is over, and sends the next probes.
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

    /// Returns the next member to probe. Each round visits all members in a new random order.
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

    /// Asks other members to probe the target of the current probe.
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

    /// Probes `target` on behalf of another member, unless too many such probes are open.
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

    /// Handles the answer to a probe of this process or to one on behalf of another member.
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

    /// Handles a probe that was answered neither directly nor indirectly.
    fn probe_failed(&mut self, now: Timestamp, target: MemberName) {
        self.health.increase_score();
        let has_just_resumed = self.resumed_at + self.config.probe_period > now;
        // The missing answer may be the fault of this process if it hears nobody or was just suspended.
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
            // The member announced that it drains, so a missing answer means that it has ended.
            MemberStatus::Leaving => {
                self.members.set_status(now, target, MemberStatus::Left);
                self.push_event(MembershipEvent::Left(target));
            }
            MemberStatus::Left | MemberStatus::Dead => {}
        }
    }

    // ---- suspicions ----

    /// Begins a suspicion.
    pub(super) fn suspect(&mut self, now: Timestamp, member: MemberName, accuser: MemberName) {
        self.members.suspect(now, member, accuser);
        self.push_event(MembershipEvent::Suspected { member, accuser });
    }

    /// Adds an accuser to a suspicion, which shortens its timeout.
    pub(super) fn confirm_suspicion(&mut self, now: Timestamp, name: MemberName, accuser: MemberName) {
        let Some(member) = self.members.get(name) else { return };
        if !member.accusers.contains(&accuser) && member.accusers.len() <= MAX_CONFIRMATIONS {
            self.members.add_accuser(now, name, accuser);
            self.gossip_queue.enqueue(name);
        }
    }

    /// Sends the final probe of each suspicion whose timer has run out. After the final probe, declares the
    /// member dead.
    pub(super) fn process_expired_suspicions(&mut self, now: Timestamp) {
        while let Some(name) = self.members.expired_suspicion(now) {
            let is_final_probe_sent =
                self.members.get(name).is_none_or(|member| member.is_final_probe_sent());
            if self.health.is_isolated(now) || self.health.is_degraded(now) {
                // This process cannot rely on its observations, so it declares nobody dead.
                self.members.postpone(now, name, false);
            } else if !is_final_probe_sent {
                // The refutation may have been lost. A member that answers this process must not be declared
                // dead.
                self.members.postpone(now, name, true);
                self.ping_member(name);
            } else {
                self.members.set_status(now, name, MemberStatus::Dead);
                self.push_event(MembershipEvent::Died(name));
            }
        }
    }

    /// Handles the end of a suspension of this process that lasted for `suspended`.
    pub(super) fn resume(&mut self, now: Timestamp, suspended: Duration) {
        self.resumed_at = now;
        self.probe = None;
        self.members.postpone_all(suspended);
        if suspended > self.config.retention.scaled(REREAD_SUSPENSION_FRACTION) {
            self.list.restart();
        }
    }

    /// Removes a member from the table and the gossip queue.
    pub(super) fn forget(&mut self, name: MemberName) {
        self.members.remove(name);
        self.gossip_queue.remove(name);
    }
}
