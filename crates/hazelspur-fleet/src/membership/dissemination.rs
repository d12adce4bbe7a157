//! Chooses the updates that travel with a datagram.

use super::state::Membership;
use super::table::Member;
use super::update::{MemberState, MemberUpdate};
use super::view::MemberStatus;
use crate::datagram::{Body, Datagram, MAX_DATAGRAM_BYTES, MAX_UPDATES, encoded_length};
use crate::names::MemberName;
use std::ops::Bound::{Excluded, Unbounded};

/// Updates of the list's next page that fill a datagram up.
const PAGE_UPDATES: usize = 6;
/// Periods for which it is passed on that a member has left.
const LEFT_GOSSIP_PERIODS: f64 = 60.0;
/// Part of the retention time for which updates about dead members are passed on.
const DEAD_GOSSIP_FRACTION: f64 = 0.5;
/// Bytes kept free for the name after which a page of the list goes on.
const NEXT_NAME_BYTES: usize = 40;

/// A page of the member list.
struct ListPage {
    updates: Vec<MemberUpdate>,
    next: Option<MemberName>,
}

impl Membership {
    /// Fills a datagram with updates up to its longest length.
    pub(super) fn add_updates(&mut self, datagram: &mut Datagram, to: Option<MemberName>) {
        let free_bytes = MAX_DATAGRAM_BYTES.saturating_sub(encoded_length(datagram));
        if let Body::MemberListPage { next } = &mut datagram.body {
            let page = self.list_page(*next, free_bytes);
            (*next, datagram.updates) = (page.next, page.updates);
        } else {
            datagram.updates = self.updates_for(to, free_bytes);
        }
    }

    /// First what the receiver has to refute, then recent updates, then a page of the list.
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

    /// The update that is passed on about a member; the dead are passed on as suspected, so that they can
    /// refute it. Not as long as they are remembered: each process forgets them at another moment and would
    /// learn of them from the next.
    fn gossiped_update(&self, member: &Member) -> Option<MemberUpdate> {
        let gossip_duration = match member.status {
            MemberStatus::Left => self.config.probe_period.scaled(LEFT_GOSSIP_PERIODS),
            MemberStatus::Dead => self.config.retention.scaled(DEAD_GOSSIP_FRACTION),
            _ => return Some(member.update),
        };
        (self.next_period - member.status_since <= gossip_duration).then_some(member.update)
    }

    /// As much of the list after a name as fits, and where it goes on.
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
