//! Replies to operators' queries, a bounded number in each period.

use super::state::Membership;
use super::table::Member;
use crate::datagram::{Body, MAX_QUERY_ROWS, MAX_QUERY_SITES, MemberRow, SiteSize};
use crate::names::{MemberName, SiteName};
use hazelspur::Timestamp;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Bound::{Excluded, Unbounded};

impl Membership {
    /// Queues a reply to an operator's query, unless this period's budget is spent.
    pub fn reply_to_operator(&mut self, address: SocketAddr, reply: Body) {
        if self.budget.operator_replies > 0 {
            self.budget.operator_replies -= 1;
            self.send(address, None, reply);
        }
    }

    /// Replies to a fleet query with the members after a name, or the first members if there is none.
    pub(super) fn answer_fleet_query(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        number: u32,
        after: Option<MemberName>,
    ) {
        if self.budget.operator_replies == 0 {
            return;
        }
        let members_after = self.members.by_name().range((after.map_or(Unbounded, Excluded), Unbounded));
        let mut members: Vec<MemberRow> =
            members_after.take(MAX_QUERY_ROWS + 1).map(|(_, member)| member_row(now, member)).collect();
        let has_more = members.len() > MAX_QUERY_ROWS;
        members.truncate(MAX_QUERY_ROWS);
        let next = members.last().filter(|_| has_more).map(|row| row.update.name);
        let sites = if after.is_none() { self.site_sizes() } else { Vec::new() };
        let (status, fleet) = (self.status, self.size(None));
        let reply = Body::FleetReply { number, status, fleet, sites, members, next };
        self.reply_to_operator(address, reply);
    }

    fn site_sizes(&self) -> Vec<SiteSize> {
        let sites: BTreeSet<SiteName> = self.members.sites().chain([self.me.site]).collect();
        let size_of = |site| SiteSize { site, size: self.size(Some(site)) };
        sites.into_iter().take(MAX_QUERY_SITES).map(size_of).collect()
    }
}

fn member_row(now: Timestamp, member: &Member) -> MemberRow {
    let age_ms = |since: Timestamp| (now - since).us() / 1000;
    MemberRow {
        update: member.update,
        status: member.status,
        status_age_ms: age_ms(member.status_since),
        update_age_ms: age_ms(member.updated_at),
        reported_by: member.reported_by,
        heard_ago_ms: member.last_heard.map(age_ms),
    }
}
