//! What goes along with each datagram: news first, those that went out least often before others, each so
//! often as makes it likely that all have heard it; then a page of the list in turn, so that whatever was
//! missed is mended.

use crate::claim::Claim;
use crate::names::MemberName;
use std::collections::{BTreeMap, BTreeSet};

/// A piece of news goes out so many times the logarithm (to 10, rounded up) of the fleet's size.
const TIMES: u32 = 4;

#[derive(Clone, Debug, Default)]
pub struct News {
    /// How often each is out already, and the same by that count.
    out: BTreeMap<MemberName, u32>,
    by_count: BTreeSet<(u32, MemberName)>,
    /// The page went so far.
    after: Option<MemberName>,
}

impl News {
    /// There is something new about this member. One entry a member: the table bounds it.
    pub fn add(&mut self, name: MemberName) {
        self.remove(name);
        self.out.insert(name, 0);
        self.by_count.insert((0, name));
    }

    pub fn remove(&mut self, name: MemberName) {
        if let Some(count) = self.out.remove(&name) {
            self.by_count.remove(&(count, name));
        }
    }

    pub fn waiting(&self) -> usize {
        self.out.len()
    }

    /// What goes out next, as long as `fits` takes it, `most` at most; counted as out.
    pub fn take(&mut self, most: usize, fleet: usize, mut fits: impl FnMut(MemberName) -> bool) {
        let enough = TIMES * (((fleet + 1) as f64).log10().ceil() as u32).max(1);
        let next: Vec<(u32, MemberName)> = self.by_count.iter().take(most).copied().collect();
        for (count, name) in next {
            if !fits(name) {
                return;
            }
            self.remove(name);
            if count + 1 < enough {
                self.out.insert(name, count + 1);
                self.by_count.insert((count + 1, name));
            }
        }
    }

    /// The next `most` of the list, round and round.
    pub fn page<T>(
        &mut self,
        list: &BTreeMap<MemberName, T>,
        most: usize,
        told: impl Fn(&T) -> Option<Claim>,
    ) -> Vec<Claim> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.after.map_or(Unbounded, Excluded);
        let behind = list.range((after, Unbounded)).take(most);
        let looked: Vec<(MemberName, Option<Claim>)> = behind.map(|(name, of)| (*name, told(of))).collect();
        self.after = if looked.len() < most { None } else { looked.last().map(|(name, _)| *name) };
        looked.into_iter().filter_map(|(_, claim)| claim).collect()
    }
}
