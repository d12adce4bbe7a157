//! What is held of the settings: bounds that are told, look-ups that don't grow, ids that are given once.

mod helpers;

use hazelspur::config::catalog::{
    Catalog, Entries, LONGEST_NAME, MAX_FACTS, MAX_OP_TYPES, MAX_TENANTS, RequestClass, Table, Tenant,
};
use hazelspur::recently_seen::{RECENTLY_SEEN_CAPACITY, RecentlySeen};
use hazelspur::{Fact, Facts};
use std::cell::Cell;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

fn named<T>(table: &str, count: usize, add: impl Fn(&mut Catalog, Arc<str>) -> Result<T, String>) -> Catalog {
    let mut catalog = Catalog::default();
    (0..count)
        .for_each(|i| drop(add(&mut catalog, format!("{table}-{i}").into()).expect("within its bound")));
    catalog
}

fn request_class(catalog: &mut Catalog, name: Arc<str>) -> Result<(), String> {
    catalog.request_class(RequestClass { name, ..RequestClass::default() })
}

fn tenant(catalog: &mut Catalog, name: Arc<str>) -> Result<(), String> {
    catalog.tenant(Tenant { name, quota_per_s: Some(1.0) })
}

#[test]
fn each_bound_is_told_with_both_its_numbers() {
    let mut routes = named("route", MAX_OP_TYPES, request_class);
    let mut tenants = named("tenant", MAX_TENANTS, tenant);
    let last = (
        routes.find_request_class("route-17399").is_some(),
        tenants.find_tenant(Some("tenant-83999")).is_some(),
    );
    assert_eq!(last, (true, true), "the last ones are held too");
    let figures = (0..=MAX_FACTS).map(|i| (format!("new.{i}"), Fact::Num(1.0))).collect();
    let long = |name: &str| {
        let mut facts = helpers::facts("");
        facts.0.insert(name.into(), Fact::Text("x".repeat(LONGEST_NAME + 1)));
        Catalog::from_facts(facts).err().unwrap_or_default()
    };
    let told = [
        request_class(&mut routes, "one-more".into()).err().unwrap_or_default(),
        tenant(&mut tenants, "one-more".into()).err().unwrap_or_default(),
        Catalog::from_facts(Facts(figures)).err().unwrap_or_default(),
        long("op_types.0.name"),
        long("tenants.0.name"),
        Catalog::from_facts(helpers::facts("op_types.2.target_latency_us=1")).err().unwrap_or_default(),
        Catalog::from_facts(helpers::facts("op_types.1.importance=1")).err().unwrap_or_default(),
        Catalog::from_facts(helpers::facts("tenants.0.name=a tenants.1.name=a")).err().unwrap_or_default(),
        Catalog::from_facts(helpers::facts("op_types.0.importance=much")).err().unwrap_or_default(),
        Catalog::from_facts(helpers::facts("tenants.0.quota_per_s=-1")).err().unwrap_or_default(),
    ];
    expect_test::expect![[r#"
        settings.lanes: 17401, 17400 at most
        settings.orgs: 84001, 84000 at most
        settings: 4097 figures beside op types and tenants, 4096 at most
        setting op_types.0.name has 256 bytes, 255 at most
        setting tenants.0.name has 256 bytes, 255 at most
        settings: entry 1 of OpTypes is missing
        setting op_types.1.target_latency_us is missing
        settings.orgs: a: named twice
        setting op_types.0.importance is no number
        setting tenants.0.quota_per_s is absurd: -1
    "#]]
    .assert_eq(&told.map(|line| line + "\n").concat());
}

thread_local!(static LOOKED_AT: Cell<u64> = const { Cell::new(0) });

/// A name that counts how many others it is compared with.
#[derive(Clone, Debug)]
struct Counted(u64);

impl PartialEq for Counted {
    fn eq(&self, other: &Self) -> bool {
        LOOKED_AT.set(LOOKED_AT.get() + 1);
        self.0 == other.0
    }
}

impl Eq for Counted {}

impl Hash for Counted {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

type Find<'a> = &'a dyn Fn(&Table<u64, Counted>, &Counted) -> Option<usize>;

/// Entries looked at by a hundred look-ups over the whole of a table of this size, a missing name among them.
fn looked_at(size: u64, find: Find) -> f64 {
    let mut table = Table::default();
    (0..size).for_each(|i| _ = table.add(Some(Counted(i)), i));
    LOOKED_AT.set(0);
    for i in 0..100 {
        let name = Counted(i * size / 99);
        assert_eq!(find(&table, &name).is_some(), name.0 < size);
    }
    LOOKED_AT.get() as f64 / 100.0
}

#[test]
fn a_look_up_does_not_grow_with_the_table_and_a_walk_over_all_would_be_told() {
    let grows = |find: Find| looked_at(42_000, find) > 1.2 * looked_at(420, find).max(1.0);
    assert!(!grows(&|table, name| table.find(name)));
    // planted
    let walk = |table: &Table<u64, Counted>, name: &Counted| {
        table.in_order().into_iter().find(|(_, entry)| Counted(**entry) == *name).map(|(id, _)| id)
    };
    assert!(grows(&walk));
}

#[test]
fn an_id_is_given_once_and_a_name_goes_with_its_entry() {
    let mut table: Table<&str> = Table::default();
    let first = table.add(Some("a".into()), "first");
    assert_eq!(table.remove("a"), Some((first, "first")));
    assert_eq!((table.find("a"), table.get(first), table.len()), (None, None, 0));
    let second = table.add(Some("a".into()), "second");
    assert!(second > first);
    assert_eq!((table.find("a"), table.get(first)), (Some(second), None));
}

#[test]
fn what_is_learned_is_kept_of_those_seen_lately_only() {
    let mut lately: RecentlySeen<u64, u64, RECENTLY_SEEN_CAPACITY> = RecentlySeen::default();
    let mut most = 0;
    for who in 0..200_000 {
        *lately.touch(who) = who;
        lately.touch(7);
        most = most.max(lately.len());
    }
    assert_eq!(most, RECENTLY_SEEN_CAPACITY);
    assert!(lately.len() >= RECENTLY_SEEN_CAPACITY / 2);
    assert_eq!(
        (lately.get(&199_999), lately.get(&7).is_some(), lately.get(&0)),
        (Some(&199_999), true, None)
    );
}
