//! Processing of received datagrams, in this order: the sender's update about itself, its updates about other
//! members, and the body.

use super::event::MembershipEvent;
use super::state::Membership;
use super::update::{MemberState, MemberUpdate};
use super::view::MemberStatus;
use crate::datagram::{Body, Datagram, DatagramError, MAX_UPDATES};
use crate::names::MemberName;
use hazelspur::Timestamp;

/// Maximum time by which a generation may be ahead of this process's clock, in milliseconds.
const MAX_GENERATION_LEAD_MS: u64 = 600_000;
/// Number of periods after a datagram from a member during which suspicions of others about it are overruled.
const RECENTLY_HEARD_PERIODS: f64 = 2.0;

/// The circumstances of an update that was just applied to a member.
#[derive(Clone, Copy)]
struct Transition {
    /// The member that sent the update.
    reported_by: MemberName,
    /// The status before the update.
    previous_status: MemberStatus,
    /// Whether the update has a newer generation than the one before.
    restarted: bool,
}

impl Membership {
    /// Processes a datagram that `datagram::open` has accepted.
    ///
    /// # Errors
    /// Returns `DatagramError::Content` if the sender's update about itself is implausible, and
    /// `DatagramError::Replayed` if the datagram was received before, is of a generation that has ended,
    /// comes from a new member for which the table has no capacity, or bears this process's own name.
    pub fn receive(&mut self, now: Timestamp, datagram: &Datagram) -> Result<(), DatagramError> {
        let sender = &datagram.sender;
        if let Body::FleetQuery { number, after } = datagram.body {
            self.answer_fleet_query(now, sender.address, number, after);
            return Ok(());
        }
        if matches!(sender.state, MemberState::Suspected(_)) || !is_plausible(now, sender) {
            return Err(DatagramError::Content);
        }
        if sender.name == self.me.name {
            if sender.generation > self.me.generation {
                self.push_event(MembershipEvent::DuplicateName(sender.address));
            }
            return Err(DatagramError::Replayed);
        }
        self.receive_sender(now, datagram)?;
        self.health.record_received(now);
        for update in datagram.updates.iter().take(MAX_UPDATES) {
            self.merge(now, update, sender.name);
        }
        self.receive_body(now, datagram);
        self.update_status(now);
        Ok(())
    }

    /// Applies the sender's update about itself. The datagram shows that the sender runs, which overrules
    /// reports of others.
    fn receive_sender(&mut self, now: Timestamp, datagram: &Datagram) -> Result<(), DatagramError> {
        let (sender, name) = (&datagram.sender, datagram.sender.name);
        self.check_replay(datagram)?;
        self.merge(now, sender, name);
        let Some(member) = self.members.get_mut(name) else { return Err(DatagramError::Replayed) };
        member.replay_window.accept(datagram.sequence);
        member.last_heard = Some(now);
        member.record_update_source(name, now);
        member.announced_left |= sender.state == MemberState::Left;
        let contradicts_left_report = member.status == MemberStatus::Left && !member.announced_left;
        let was_dead = member.status == MemberStatus::Dead;
        if contradicts_left_report || was_dead || member.status == MemberStatus::Suspected {
            self.recovered_in_period += usize::from(was_dead);
            // The next datagram to the member carries the suspicion, so that the member refutes it for all
            // others.
            self.members.set_status(now, name, MemberStatus::Alive);
            self.push_event(MembershipEvent::Recovered(name));
        }
        Ok(())
    }

    /// Rejects a datagram of an ended generation or with a sequence number that was received before.
    fn check_replay(&mut self, datagram: &Datagram) -> Result<(), DatagramError> {
        let generation = datagram.sender.generation;
        let Some(member) = self.members.get_mut(datagram.sender.name) else { return Ok(()) };
        let known_generation = member.update.generation;
        if known_generation < generation {
            return Ok(());
        }
        let is_ended_generation = known_generation > generation || member.announced_left;
        if is_ended_generation || !member.replay_window.accept(datagram.sequence) {
            return Err(DatagramError::Replayed);
        }
        Ok(())
    }

    // ---- updates ----

    /// Merges an update that `reported_by` has sent.
    fn merge(&mut self, now: Timestamp, update: &MemberUpdate, reported_by: MemberName) {
        if !is_plausible(now, update) {
            return;
        }
        if update.name == self.me.name {
            return self.merge_own(update);
        }
        let Some(member) = self.members.get_mut(update.name) else {
            return self.add_member(now, update, reported_by);
        };
        if update.supersedes(&member.update) {
            let (previous_status, restarted) = (member.status, update.generation > member.update.generation);
            let transition = Transition { reported_by, previous_status, restarted };
            member.apply(update, reported_by, now);
            self.gossip_queue.enqueue(update.name);
            return self.apply_state(now, update, transition);
        }
        let same_incarnation =
            (update.generation, update.incarnation) == (member.update.generation, member.update.incarnation);
        if let (MemberState::Suspected(accuser), true) = (update.state, same_incarnation) {
            self.merge_accusation(now, update.name, accuser);
        }
    }

    /// Handles a suspicion that does not supersede the last update. It may still confirm a suspicion or begin
    /// one.
    fn merge_accusation(&mut self, now: Timestamp, name: MemberName, accuser: MemberName) {
        let Some(member) = self.members.get(name) else { return };
        match member.status {
            MemberStatus::Suspected => self.confirm_suspicion(now, name, accuser),
            MemberStatus::Alive if accuser != self.me.name && !self.was_recently_heard(now, name) => {
                self.suspect(now, name, accuser);
            }
            _ => {}
        }
    }

    /// Sets a member's status according to the update that was just applied to it.
    fn apply_state(&mut self, now: Timestamp, update: &MemberUpdate, transition: Transition) {
        let Transition { reported_by, previous_status, restarted } = transition;
        let name = update.name;
        match update.state {
            MemberState::Alive => {
                self.members.set_status(now, name, MemberStatus::Alive);
                if restarted {
                    self.push_event(MembershipEvent::Restarted(name));
                } else if matches!(previous_status, MemberStatus::Suspected | MemberStatus::Dead) {
                    self.push_event(MembershipEvent::Recovered(name));
                }
            }
            // The member will refute the suspicion. Until then its own recent datagram outweighs the report.
            MemberState::Suspected(_) if reported_by != name && self.was_recently_heard(now, name) => {
                self.members.set_status(now, name, MemberStatus::Alive);
            }
            MemberState::Suspected(_) if previous_status == MemberStatus::Dead && !restarted => {}
            MemberState::Suspected(accuser) => self.suspect(now, name, accuser),
            MemberState::Leaving => {
                self.members.set_status(now, name, MemberStatus::Leaving);
                self.push_event(MembershipEvent::Leaving(name));
            }
            MemberState::Left => {
                self.members.set_status(now, name, MemberStatus::Left);
                self.push_event(MembershipEvent::Left(name));
            }
        }
    }

    fn was_recently_heard(&self, now: Timestamp, name: MemberName) -> bool {
        let recent = self.config.probe_period.scaled(RECENTLY_HEARD_PERIODS);
        self.members.get(name).is_some_and(|member| member.was_heard_within(now, recent))
    }

    fn add_member(&mut self, now: Timestamp, update: &MemberUpdate, reported_by: MemberName) {
        if !self.ensure_capacity() {
            self.rejected_members += 1;
            return;
        }
        self.members.insert(now, update, reported_by);
        self.gossip_queue.enqueue(update.name);
        let position = self.random.draw() as usize % (self.probe_order.len() + 1);
        if self.probe_order.len() < self.members.capacity() {
            self.probe_order.insert(position, update.name);
        }
        if update.state == MemberState::Alive {
            self.push_event(MembershipEvent::Joined(update.name));
        }
        let transition = Transition { reported_by, previous_status: MemberStatus::Alive, restarted: false };
        self.apply_state(now, update, transition);
    }

    /// Returns whether the table has capacity for another member. If it is full, forgets the oldest member
    /// that is dead or has left.
    fn ensure_capacity(&mut self) -> bool {
        if self.members.len() < self.members.capacity() {
            return true;
        }
        let oldest = self.members.oldest_gone();
        oldest.map(|name| self.forget(name)).is_some()
    }

    // ---- bodies ----

    fn receive_body(&mut self, now: Timestamp, datagram: &Datagram) {
        let (sender, address) = (datagram.sender.name, datagram.sender.address);
        match datagram.body {
            Body::Ping { number, to } if to.is_none_or(|to| to == self.me.name) => {
                self.send(address, Some(sender), Body::Ack { number });
            }
            Body::Ack { number } => self.receive_ack(now, number),
            Body::PingRequest { number, target, target_address } => {
                self.receive_ping_request(now, address, number, target, target_address);
            }
            Body::MemberListRequest { after } if self.budget.list_pages > 0 => {
                self.budget.list_pages -= 1;
                // Until the page is filled when it is sent, `next` holds the name after which it begins.
                self.send(address, Some(sender), Body::MemberListPage { next: after });
            }
            Body::MemberListPage { next } => self.receive_list_page(next),
            _ => {}
        }
        self.request_page_if_reading(sender);
    }
}

/// Returns whether the update's generation can exist yet, given the permitted difference of clocks.
fn is_plausible(now: Timestamp, update: &MemberUpdate) -> bool {
    update.generation.0 <= now.us() / 1000 + MAX_GENERATION_LEAD_MS
}
