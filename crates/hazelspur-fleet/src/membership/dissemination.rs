//! Choice of the updates that travel with a datagram.

use super::state::Membership;
use super::table::Member;
use super::update::{MemberState, MemberUpdate};
use super::view::MemberStatus;
use crate::datagram::{Body, Datagram, MAX_DATAGRAM_BYTES, MAX_UPDATES, encoded_length};
use crate::names::MemberName;
use std::ops::Bound::{Excluded, Unbounded};

/// Maximum number of updates from the next page of the member list that fill up a datagram.
const PAGE_UPDATES: usize = 6;
/// Number of periods for which updates about members that have left are passed on.
const LEFT_GOSSIP_PERIODS: f64 = 60.0;
/// Fraction of the retention time for which updates about dead members are passed on.
const DEAD_GOSSIP_FRACTION: f64 = 0.5;
/// Bytes reserved in a page for the name after which the next page begins.
const NEXT_NAME_BYTES: usize = 40;

/// A page of the member list.
struct ListPage {
    updates: Vec<MemberUpdate>,
    /// The name after which the next page begins; `None` on the last page.
    next: Option<MemberName>,
}

impl Membership {
    /// Fills a datagram with updates up to the maximum length. `to` is the receiver's name, if known.
    pub(super) fn add_updates(&mut self, datagram: &mut Datagram, to: Option<MemberName>) {
        let free_bytes = MAX_DATAGRAM_BYTES.saturating_sub(encoded_length(datagram));
        if let Body::MemberListPage { next } = &mut datagram.body {
            let page = self.list_page(*next, free_bytes);
            (*next, datagram.updates) = (page.next, page.updates);
        } else {
            datagram.updates = self.updates_for(to, free_bytes);
        }
    }

    /// Selects first the update that the receiver has to refute, then recent updates, then a page of the
    /// member list.
    fn updates_for(&mut self, to: Option<MemberName>, free_bytes: usize) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        let mut free_bytes = free_bytes;
        if let Some(update) = to.and_then(|to| self.update_to_refute(to)) {
            free_bytes = free_bytes.saturating_sub(encoded_size(&update));
            updates.push(update);
        }
        let mut queue = std::mem::take(&mut self.gossip_queue);
        queue.transmit(MAX_UPDATES - 1, self.members.len() + 1, |name| {
            let Some(update) = self.latest_update(name) else { return true };
            let fits = encoded_size(&update) <= free_bytes;
            if fits {
                free_bytes -= encoded_size(&update);
                updates.push(update);
            }
            fits
        });
        let count = PAGE_UPDATES.min(MAX_UPDATES.saturating_sub(updates.len()));
        for update in queue.next_page(self.members.by_name(), count, |member| self.gossiped_update(member)) {
            let is_new = !updates.iter().any(|other: &MemberUpdate| other.name == update.name);
            if is_new && encoded_size(&update) <= free_bytes {
                free_bytes -= encoded_size(&update);
                updates.push(update);
            }
        }
        self.gossip_queue = queue;
        updates
    }

    /// Returns the last update about a member if it states anything but that the member is alive.
    fn update_to_refute(&self, name: MemberName) -> Option<MemberUpdate> {
        let update = self.members.get(name)?.update;
        Some(update).filter(|update| update.state != MemberState::Alive)
    }

    fn latest_update(&self, name: MemberName) -> Option<MemberUpdate> {
        if name == self.me.name {
            return Some(self.me);
        }
        self.members.get(name).map(|member| member.update)
    }

    /// Returns the update to pass on about a member, or `None` if the member ended too long ago. Updates
    /// about dead members state a suspicion, so that a member that still runs can refute it. They are passed
    /// on for less time than the members are remembered: processes forget a member at different moments and
    /// would otherwise learn of it again from each other.
    fn gossiped_update(&self, member: &Member) -> Option<MemberUpdate> {
        let gossip_duration = match member.status {
            MemberStatus::Left => self.config.probe_period.scaled(LEFT_GOSSIP_PERIODS),
            MemberStatus::Dead => self.config.retention.scaled(DEAD_GOSSIP_FRACTION),
            _ => return Some(member.update),
        };
        (self.next_period - member.status_since <= gossip_duration).then_some(member.update)
    }

    /// Returns the page of the member list that begins after a name, with as many updates as fit.
    fn list_page(&self, after: Option<MemberName>, free_bytes: usize) -> ListPage {
        let mut free_bytes = free_bytes.saturating_sub(NEXT_NAME_BYTES);
        let mut updates = Vec::new();
        let mut last = after;
        for (name, member) in self.members.by_name().range((after.map_or(Unbounded, Excluded), Unbounded)) {
            if let Some(update) = self.gossiped_update(member) {
                if encoded_size(&update) > free_bytes || updates.len() >= MAX_UPDATES {
                    return ListPage { updates, next: last };
                }
                free_bytes -= encoded_size(&update);
                updates.push(update);
            }
            last = Some(*name);
        }
        ListPage { updates, next: None }
    }
}

fn encoded_size(update: &MemberUpdate) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(MAX_DATAGRAM_BYTES)
}
