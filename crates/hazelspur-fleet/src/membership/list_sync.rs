//! Reads the whole member list from others, page by page: when this process starts, after a long suspension,
//! and after the table has grown, because what a process reads first in a storm of starts is short.

use super::state::Membership;
use super::view::MemberStatus;
use crate::datagram::Body;
use crate::names::MemberName;

/// Part by which the table must have grown before the list is read again.
const REREAD_GROWTH_FRACTION: f64 = 0.05;
/// Periods between two readings.
const MIN_PERIODS_BETWEEN_READS: u64 = 3;

/// How far the member list was read.
#[derive(Clone, Debug)]
pub(super) struct ListSync {
    /// The list was read to its end.
    pub(super) is_complete: bool,
    is_reading: bool,
    /// Members that were known when the last reading ended.
    size_when_read: usize,
    /// The period in which the last reading ended.
    read_in_period: u64,
    /// The name after which the list goes on.
    after: Option<MemberName>,
    /// A page was requested in this period.
    is_requested: bool,
}

impl ListSync {
    /// A process that is alone has nothing to read.
    pub(super) fn new(has_no_other_seed: bool) -> Self {
        Self {
            is_complete: has_no_other_seed,
            is_reading: !has_no_other_seed,
            size_when_read: 0,
            read_in_period: 0,
            after: None,
            is_requested: false,
        }
    }

    /// Reads the list anew: members may have come and gone more than once.
    pub(super) fn restart(&mut self) {
        self.is_complete = false;
        self.is_reading = true;
        self.after = None;
    }

    fn has_grown(&self, members: usize, periods: u64) -> bool {
        self.is_complete
            && members as f64 > self.size_when_read as f64 * (1.0 + REREAD_GROWTH_FRACTION)
            && periods >= self.read_in_period + MIN_PERIODS_BETWEEN_READS
    }
}

impl Membership {
    /// In each period: requests again what was not answered, or begins another reading.
    pub(super) fn continue_list_read(&mut self) {
        self.list.is_requested = false;
        self.list.is_reading |= self.list.has_grown(self.members.len(), self.periods);
        if self.list.is_reading {
            self.request_list_page(None);
        }
    }

    /// After each datagram: requests a page of its sender, if no other member is known to run.
    pub(super) fn request_page_if_reading(&mut self, sender: MemberName) {
        if self.list.is_reading && !self.list.is_requested {
            self.request_list_page(Some(sender));
        }
    }

    /// A page has arrived; its updates are in the table already.
    pub(super) fn receive_list_page(&mut self, next: Option<MemberName>) {
        if !self.list.is_reading {
            return;
        }
        self.list.after = next;
        self.list.is_reading = next.is_some();
        if self.list.is_reading {
            self.request_list_page(None);
        } else {
            self.list.is_complete = true;
            self.list.size_when_read = self.members.len();
            self.list.read_in_period = self.periods;
        }
    }

    /// Requests a page of any living member, so that requests of new members spread over all; otherwise of
    /// `fallback`.
    fn request_list_page(&mut self, fallback: Option<MemberName>) {
        let any_alive = self.pick(1, |member| member.status == MemberStatus::Alive).pop();
        if let Some(name) = any_alive.or(fallback) {
            self.list.is_requested = true;
            self.send_to_member(name, Body::MemberListRequest { after: self.list.after });
        }
    }
}
