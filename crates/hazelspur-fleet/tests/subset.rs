//! Subset selection by weighted rendezvous hashing.

mod helpers;

use hazelspur_fleet::subset::{WeightedMember, select, select_across_sites};
use hazelspur_fleet::{MemberName, SiteName};
use helpers::{name, site};
use std::collections::{BTreeMap, BTreeSet};

fn member(index: usize) -> WeightedMember {
    WeightedMember { name: name(index), site: site(index), weight: 1.0 }
}

fn names(members: &[WeightedMember]) -> BTreeSet<MemberName> {
    members.iter().map(|member| member.name).collect()
}

#[test]
fn membership_change_replaces_at_most_one_selected_member() {
    for count in [5, 40, 300] {
        let all = |count: usize| (0..count).map(member);
        let (before, after) = (select("try", 1, 4, all(count)), select("try", 1, 4, all(count + 1)));
        assert!(names(&before).difference(&names(&after)).count() <= 1, "{count}");
        let without = all(count).filter(|member| member.name != before[0].name);
        assert_eq!(names(&before).difference(&names(&select("try", 1, 4, without))).count(), 1, "{count}");
        assert_ne!(
            names(&before),
            names(&select("try", 2, 4, all(count))),
            "{count}: the round does not change the selection"
        );
    }
    let unselectable =
        [f64::NAN, 0.0, -1.0, f64::INFINITY].map(|weight| WeightedMember { weight, ..member(1) });
    assert_eq!(select("try", 1, 4, unselectable.into_iter()), vec![]);
}

#[test]
fn members_are_selected_by_weight_and_sites_in_turn() {
    let weighted =
        |index: usize| WeightedMember { weight: if index < 10 { 3.0 } else { 1.0 }, ..member(index) };
    let mut selected_by_weight: BTreeMap<bool, usize> = BTreeMap::new();
    for round in 0..4000 {
        let selected = select("load", round, 1, (0..40).map(weighted));
        *selected_by_weight.entry(selected[0].weight > 1.0).or_default() += 1;
    }
    // Ten members of weight 3 and thirty of weight 1 get half of all selections each.
    assert!((1850..2150).contains(&selected_by_weight[&true]), "{selected_by_weight:?}");
    for round in 0..50 {
        let selected = select_across_sites("try", round, 6, (0..200).map(member));
        let sites = selected.iter().fold(BTreeMap::new(), |mut sites: BTreeMap<SiteName, usize>, member| {
            *sites.entry(member.site).or_default() += 1;
            sites
        });
        assert!(sites.len() == 3 && sites.values().all(|count| *count == 2), "{sites:?}");
    }
    // With one server in one site and three in the other, all three places are still filled.
    let uneven = (0..9).filter(|index| index % 3 == 0).map(member).chain([member(1)]);
    assert_eq!(select_across_sites("try", 0, 3, uneven).len(), 3);
}
