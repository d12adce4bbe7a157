//! Selects a few of many members by weighted rendezvous hashing (Thaler and Ravishankar 1998; weights after
//! Schindelhauer and Schomaker 2005). Each server computes the same selection without communication. A
//! member that joins or leaves replaces at most one selected member, so servers whose membership views
//! differ a little select nearly the same members.

use crate::hash::hash_to_unit_interval;
use crate::names::{MemberName, SiteName};
use std::collections::BTreeMap;

/// A candidate for selection. It is never selected if its weight is not a positive finite number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedMember {
    /// The member's name.
    pub name: MemberName,
    /// The site in which the member runs.
    pub site: SiteName,
    /// Relative frequency with which the member is selected.
    pub weight: f64,
}

/// An item with its rank; the lowest rank is the best.
struct Ranked<T> {
    rank: f64,
    item: T,
}

/// Selects up to `count` members, best first. `topic` names the subject of the selection, such as the shared
/// dependency. Another topic or `round` gives another order.
pub fn select(
    topic: &str,
    round: u64,
    count: usize,
    members: impl Iterator<Item = WeightedMember>,
) -> Vec<WeightedMember> {
    let mut ranked: Vec<Ranked<WeightedMember>> = members
        .filter(|member| member.weight > 0.0 && member.weight.is_finite())
        .map(|member| Ranked { rank: rank(topic, round, &member), item: member })
        .collect();
    let order = |a: &Ranked<WeightedMember>, b: &Ranked<WeightedMember>| {
        a.rank.total_cmp(&b.rank).then(a.item.name.cmp(&b.item.name))
    };
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, order);
        ranked.truncate(count);
    }
    ranked.sort_by(order);
    ranked.into_iter().map(|ranked| ranked.item).collect()
}

/// Selects up to `count` members like `select`, but takes one member of each site in turn, so that the
/// selection represents all sites and no site decides for another.
pub fn select_across_sites(
    topic: &str,
    round: u64,
    count: usize,
    members: impl Iterator<Item = WeightedMember>,
) -> Vec<WeightedMember> {
    let mut members_by_site: BTreeMap<SiteName, Vec<WeightedMember>> = BTreeMap::new();
    for member in members {
        members_by_site.entry(member.site).or_default().push(member);
    }
    let mut sites: Vec<Ranked<Vec<WeightedMember>>> = members_by_site
        .into_iter()
        .map(|(site, members)| Ranked {
            rank: hash_to_unit_interval(topic, site.as_str(), round),
            item: select(topic, round, count, members.into_iter()),
        })
        .collect();
    sites.sort_by(|a, b| a.rank.total_cmp(&b.rank));
    let interleaved = (0..count).flat_map(|turn| sites.iter().filter_map(move |site| site.item.get(turn)));
    interleaved.take(count).copied().collect()
}

fn rank(topic: &str, round: u64, member: &WeightedMember) -> f64 {
    -hash_to_unit_interval(topic, member.name.as_str(), round).ln() / member.weight
}
