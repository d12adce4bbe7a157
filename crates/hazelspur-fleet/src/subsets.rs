//! Which few of many: each server works out alike who acts for all, or whom it goes to. Weighted rendezvous
//! hashing (Thaler and Ravishankar 1998; the weights after Schindelhauer and Schomaker 2005): a member that
//! comes or goes changes one place in a set, and servers whose pictures differ a little choose nearly alike.

use crate::hash::unit;
use crate::names::{MemberName, SiteName};
use std::collections::BTreeMap;

/// A member that can be chosen. A weight of zero or less, or none that is a number, is never chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub name: MemberName,
    pub site: SiteName,
    pub weight: f64,
}

/// The `k` that come first for a matter, best first. Another `round` gives another order, so that it is not
/// always the same ones.
pub fn first(about: &str, round: u64, k: usize, of: impl Iterator<Item = Candidate>) -> Vec<Candidate> {
    let mut all: Vec<(f64, Candidate)> = of
        .filter(|candidate| candidate.weight > 0.0 && candidate.weight.is_finite())
        .map(|candidate| (-unit(about, candidate.name.as_str(), round).ln() / candidate.weight, candidate))
        .collect();
    let order =
        |a: &(f64, Candidate), b: &(f64, Candidate)| a.0.total_cmp(&b.0).then(a.1.name.cmp(&b.1.name));
    if k < all.len() {
        all.select_nth_unstable_by(k, order);
        all.truncate(k);
    }
    all.sort_by(order);
    all.into_iter().map(|(_, candidate)| candidate).collect()
}

/// The same with the sites taken in turn, so that no site decides for another what it alone can see. The
/// order of the sites is by hash too.
pub fn over_sites(about: &str, round: u64, k: usize, of: impl Iterator<Item = Candidate>) -> Vec<Candidate> {
    let mut sites: BTreeMap<SiteName, Vec<Candidate>> = BTreeMap::new();
    for candidate in of {
        sites.entry(candidate.site).or_default().push(candidate);
    }
    let mut lines: Vec<(f64, Vec<Candidate>)> = sites
        .into_iter()
        .map(|(site, members)| {
            let place = unit(about, site.as_str(), round);
            (place, first(about, round, k, members.into_iter()))
        })
        .collect();
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut chosen = Vec::new();
    for rank in 0..k {
        for (_, line) in &lines {
            if chosen.len() < k && rank < line.len() {
                chosen.push(line[rank]);
            }
        }
    }
    chosen
}
