//! The queue of members whose updates are passed on, from which each datagram is filled:
//!
//! - recent updates, those first that were transmitted least often. Each is transmitted as often as makes it
//!   likely that all members receive it (SWIM's infection-style dissemination);
//! - pages of the whole member list in turn, which repair the loss of recent updates.

use super::update::MemberUpdate;
use crate::names::MemberName;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Ratio of the transmissions of an update to the decimal logarithm, rounded up, of the fleet's size.
const TRANSMISSIONS_PER_LOG_SIZE: u32 = 4;

/// An entry of the queue, ordered by the number of transmissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    transmissions: u32,
    name: MemberName,
}

/// The members with recent updates. The capacity of the member table bounds their number.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    /// The number of transmissions of each member's update.
    transmissions: BTreeMap<MemberName, u32>,
    /// The same entries, ordered by the number of transmissions.
    by_transmissions: BTreeSet<QueueEntry>,
    /// The last member of the last page; `None` if the next page is the first.
    page_after: Option<MemberName>,
}

impl GossipQueue {
    /// Queues the update about a member, and resets its number of transmissions.
    pub(super) fn enqueue(&mut self, name: MemberName) {
        self.remove(name);
        self.insert(name, 0);
    }

    pub(super) fn remove(&mut self, name: MemberName) {
        if let Some(transmissions) = self.transmissions.remove(&name) {
            self.by_transmissions.remove(&QueueEntry { transmissions, name });
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.transmissions.is_empty()
    }

    /// Offers up to `max` members to `try_add`, least transmitted first, until it rejects one. Counts each
    /// accepted member as transmitted once more, and removes it after the last of its transmissions.
    pub(super) fn transmit(
        &mut self,
        max: usize,
        fleet_size: usize,
        mut try_add: impl FnMut(MemberName) -> bool,
    ) {
        let log_size = (((fleet_size + 1) as f64).log10().ceil() as u32).max(1);
        let max_transmissions = TRANSMISSIONS_PER_LOG_SIZE * log_size;
        let next: Vec<QueueEntry> = self.by_transmissions.iter().take(max).copied().collect();
        for QueueEntry { transmissions, name } in next {
            if !try_add(name) {
                return;
            }
            self.remove(name);
            if transmissions + 1 < max_transmissions {
                self.insert(name, transmissions + 1);
            }
        }
    }

    /// Returns the updates of the next `count` members of the member list. The first page follows the last
    /// one.
    pub(super) fn next_page<T>(
        &mut self,
        members: &BTreeMap<MemberName, T>,
        count: usize,
        update_of: impl Fn(&T) -> Option<MemberUpdate>,
    ) -> Vec<MemberUpdate> {
        let after = self.page_after.map_or(Unbounded, Excluded);
        let page = members.range((after, Unbounded)).take(count);
        let is_full = page.clone().count() == count;
        self.page_after = page.clone().last().filter(|_| is_full).map(|(name, _)| *name);
        page.filter_map(|(_, member)| update_of(member)).collect()
    }

    fn insert(&mut self, name: MemberName, transmissions: u32) {
        self.transmissions.insert(name, transmissions);
        self.by_transmissions.insert(QueueEntry { transmissions, name });
    }
}
