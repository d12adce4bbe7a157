//! Reading of the whole member list from other members, page by page. This process reads the list when it
//! starts, after a long suspension, and again when its table has grown, because a list read while many
//! servers start at once is short.

use super::state::Membership;
use super::view::MemberStatus;
use crate::datagram::Body;
use crate::names::MemberName;

/// Fraction by which the table must have grown since the last read before the list is read again.
const REREAD_GROWTH_FRACTION: f64 = 0.05;
/// Minimum number of periods between the end of one read and the start of the next.
const MIN_PERIODS_BETWEEN_READS: u64 = 3;

/// The progress of reading the member list.
#[derive(Clone, Debug)]
pub(super) struct ListSync {
    /// Whether the list was read to its end since the start or the last `restart`.
    pub(super) is_complete: bool,
    /// Whether a read is in progress.
    is_reading: bool,
    /// Number of members in the table when the last read ended.
    size_when_read: usize,
    /// Number of the period in which the last read ended.
    read_in_period: u64,
    /// The name after which the next page begins; `None` for the first page.
    after: Option<MemberName>,
    /// Whether a page was requested in the current period.
    is_requested: bool,
}

impl ListSync {
    /// Creates the state at the start of the process. Without another seed member there is no list to read.
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

    /// Begins a new read and marks the list as incomplete, because members may have come and gone several
    /// times.
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
    /// Requests a page if a read is in progress or the table has grown enough for another read. Called in
    /// each period, so that a request that was not answered is repeated.
    pub(super) fn continue_list_read(&mut self) {
        self.list.is_requested = false;
        self.list.is_reading |= self.list.has_grown(self.members.len(), self.periods);
        if self.list.is_reading {
            self.request_list_page(None);
        }
    }

    /// Requests a page if a read is in progress and no page was requested in the current period. Called after
    /// each datagram. The request goes to the sender if no other member is known to be alive.
    pub(super) fn request_page_if_reading(&mut self, sender: MemberName) {
        if self.list.is_reading && !self.list.is_requested {
            self.request_list_page(Some(sender));
        }
    }

    /// Handles a page whose updates were already merged into the table.
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

    /// Requests a page from a random living member, so that the requests of new members spread over the
    /// fleet. If none is known, requests it from `fallback`.
    fn request_list_page(&mut self, fallback: Option<MemberName>) {
        let any_alive = self.pick(1, |member| member.status == MemberStatus::Alive).pop();
        if let Some(name) = any_alive.or(fallback) {
            self.list.is_requested = true;
            self.send_to_member(name, Body::MemberListRequest { after: self.list.after });
        }
    }
}
