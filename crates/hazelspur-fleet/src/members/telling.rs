//! What goes out: with each datagram, as a part of the list, and to an operator.

use super::*;
use crate::talk::MAX_SITES;

impl Members {
    /// What is passed on about a member; the lost go as suspected, so that they can speak up. Not for as long as
    /// they are remembered: each forgets them at a moment of its own, and would meet them anew from the next.
    pub(super) fn told(&self, entry: &Entry) -> Option<Claim> {
        let told_for = match entry.standing {
            Standing::Left => self.terms.period.scaled(LEFT_TOLD as f64),
            Standing::Lost => self.terms.remember.scaled(LOST_TOLD),
            _ => return Some(entry.claim),
        };
        (self.next_period - entry.since <= told_for).then_some(entry.claim)
    }

    /// First what the addressee has to refute, then news, then a page of the list.
    pub(super) fn goes_along(&mut self, to: Option<MemberName>, room: usize) -> Vec<Claim> {
        let to_refute = |entry: &&Entry| entry.claim.says != Says::Alive;
        let of_it = to.and_then(|to| self.table.get(&to)).filter(to_refute).map(|entry| entry.claim);
        let mut claims: Vec<Claim> = of_it.into_iter().collect();
        let mut left = claims.iter().fold(room, |left, claim| left.saturating_sub(size(claim)));
        let mut news = std::mem::take(&mut self.news);
        news.take(MAX_CLAIMS - 1, self.table.len() + 1, |name| {
            let claim =
                if name == self.me.name { Some(self.me) } else { self.table.get(&name).map(|e| e.claim) };
            let Some(claim) = claim else { return true };
            let fits = size(&claim) <= left;
            if fits {
                left -= size(&claim);
                claims.push(claim);
            }
            fits
        });
        let most = PAGE.min(MAX_CLAIMS.saturating_sub(claims.len()));
        for claim in news.page(&self.table, most, |entry| self.told(entry)) {
            if size(&claim) <= left && !claims.iter().any(|other| other.name == claim.name) {
                left -= size(&claim);
                claims.push(claim);
            }
        }
        self.news = news;
        claims
    }

    pub(super) fn list_from(&self, body: &Body) -> Option<MemberName> {
        if let Body::Page { next } = body { *next } else { None }
    }

    /// As much of the list behind a name as there is room for, and where it goes on.
    pub(super) fn list_behind(
        &self,
        after: Option<MemberName>,
        room: usize,
    ) -> (Vec<Claim>, Option<MemberName>) {
        // The name that says where it goes on needs room too.
        let (mut claims, mut left) = (Vec::new(), room.saturating_sub(40));
        let mut behind = self.table.range((after.map_or(Unbounded, Excluded), Unbounded));
        let mut last = after;
        for (name, entry) in behind.by_ref() {
            if let Some(claim) = self.told(entry) {
                if size(&claim) > left || claims.len() >= MAX_CLAIMS {
                    return (claims, last);
                }
                left -= size(&claim);
                claims.push(claim);
            }
            last = Some(*name);
        }
        (claims, None)
    }

    /// Answers an operator's command with what is ready; as many in a period as are shown otherwise.
    pub fn answer(&mut self, to: SocketAddr, body: Body) {
        if self.shows_left > 0 {
            self.shows_left -= 1;
            self.send(to, None, body);
        }
    }

    /// Answers an operator's command, a part at a time.
    pub(super) fn show(&mut self, now: Timestamp, to: SocketAddr, number: u32, after: Option<MemberName>) {
        if self.shows_left == 0 {
            return;
        }
        self.shows_left -= 1;
        let ms = |since: Timestamp| (now - since).us() / 1000;
        let shown = |entry: &Entry| ShownRow {
            claim: entry.claim,
            standing: entry.standing,
            since_ms: ms(entry.since),
            word_ms: ms(entry.word),
            by: entry.by,
            heard_ms: entry.heard.map(ms),
        };
        let behind = self.table.range((after.map_or(Unbounded, Excluded), Unbounded));
        let mut rows: Vec<ShownRow> = behind.take(MAX_ROWS + 1).map(|(_, entry)| shown(entry)).collect();
        let more = rows.len() > MAX_ROWS;
        rows.truncate(MAX_ROWS);
        let next = rows.last().filter(|_| more).map(|row| row.claim.name);
        let mut sites = Vec::new();
        if after.is_none() {
            let names: BTreeSet<SiteName> = self.table.values().map(|entry| entry.claim.site).collect();
            let names = names.into_iter().chain([self.me.site]).collect::<BTreeSet<_>>();
            sites.extend(names.into_iter().take(MAX_SITES).map(|site| (site, self.size(Some(site)))));
        }
        let (condition, fleet) = (self.condition, self.size(None));
        self.send(to, None, Body::Shown { number, condition, fleet, sites, rows, next });
    }
}

fn size(claim: &Claim) -> usize {
    postcard::experimental::serialized_size(claim).unwrap_or(talk::LONGEST)
}
