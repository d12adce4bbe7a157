//! Tests of the catalog: its bounds and their error texts, the cost of look-ups, ids that are never reused,
//! and the map of recently seen keys.

mod helpers;

use hazelspur::config::entries::EntryVisitor;
use hazelspur::config::entry_kind::{MAX_REQUEST_CLASSES, MAX_TENANTS};
use hazelspur::config::flat_settings::MAX_SETTINGS;
use hazelspur::config::table::{Entry, MAX_NAME_BYTES, Table};
use hazelspur::recently_seen::{RECENTLY_SEEN_CAPACITY, RecentlySeen};
use hazelspur::{Catalog, ConfigError, FlatSettings, RequestClass, SettingValue, Tenant};
use std::cell::Cell;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Returns a catalog with `count` entries, named by table and number.
fn catalog_with<T>(
    table: &str,
    count: usize,
    add: impl Fn(&mut Catalog, Arc<str>) -> Result<T, ConfigError>,
) -> Catalog {
    let mut catalog = Catalog::default();
    (0..count)
        .for_each(|i| drop(add(&mut catalog, format!("{table}-{i}").into()).expect("within its bound")));
    catalog
}

fn add_request_class(catalog: &mut Catalog, name: Arc<str>) -> Result<(), ConfigError> {
    catalog.visit_request_class(RequestClass { name, ..RequestClass::default() })
}

fn add_tenant(catalog: &mut Catalog, name: Arc<str>) -> Result<(), ConfigError> {
    catalog.visit_tenant(Tenant { name, quota_per_s: Some(1.0) })
}

/// Returns the text of an error, empty if there is none.
fn error_text(result: Result<(), ConfigError>) -> String {
    result.err().map(|error| error.to_string()).unwrap_or_default()
}

#[test]
fn configuration_errors_name_the_key_and_the_bound() {
    let mut classes = catalog_with("route", MAX_REQUEST_CLASSES, add_request_class);
    let mut tenants = catalog_with("tenant", MAX_TENANTS, add_tenant);
    let last_entries_found = (
        classes.find_request_class("route-17399").is_some(),
        tenants.find_tenant(Some("tenant-83999")).is_some(),
    );
    assert_eq!(last_entries_found, (true, true), "the last entries are found");
    let settings = (0..=MAX_SETTINGS).map(|i| (format!("new.{i}"), SettingValue::Number(1.0)));
    let error_of_flat = |settings: FlatSettings| error_text(Catalog::from_flat(settings).map(drop));
    let error_of = |overrides: &str| error_of_flat(helpers::flat_settings(overrides));
    let error_of_long_name = |key: &str| {
        let mut settings = helpers::flat_settings("");
        settings.insert(key.into(), SettingValue::Text("x".repeat(MAX_NAME_BYTES + 1)));
        error_of_flat(settings)
    };
    let errors = [
        error_text(add_request_class(&mut classes, "one-more".into())),
        error_text(add_tenant(&mut tenants, "one-more".into())),
        error_of_flat(settings.collect()),
        error_of_long_name("op_types.0.name"),
        error_of_long_name("tenants.0.name"),
        error_of("op_types.2.target_latency_us=1"),
        error_of("op_types.1.importance=1"),
        error_of("tenants.0.name=a tenants.1.name=a"),
        error_of("op_types.0.importance=much"),
        error_of("tenants.0.quota_per_s=-1"),
    ];
    expect_test::expect![[r#"
        settings.lanes: 17401 entries, at most 17400 allowed
        settings.orgs: 84001 entries, at most 84000 allowed
        settings: 4097 keys beside op types and tenants, at most 4096 allowed
        setting op_types.0.name is too long: 256 bytes, at most 255 allowed
        setting tenants.0.name is too long: 256 bytes, at most 255 allowed
        settings: entry 1 of OpTypes is missing
        setting op_types.1.target_latency_us is missing
        settings.orgs: duplicate name a
        setting op_types.0.importance is not a number
        setting tenants.0.quota_per_s is out of range: -1
    "#]]
    .assert_eq(&errors.map(|line| line + "\n").concat());
}

thread_local!(static COMPARISONS: Cell<u64> = const { Cell::new(0) });

/// A name that counts its comparisons with other names.
#[derive(Clone, Debug)]
struct CountingName(u64);

impl PartialEq for CountingName {
    fn eq(&self, other: &Self) -> bool {
        COMPARISONS.set(COMPARISONS.get() + 1);
        self.0 == other.0
    }
}

impl Eq for CountingName {}

impl Hash for CountingName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

type Lookup<'a> = &'a dyn Fn(&Table<u64, CountingName>, &CountingName) -> Option<usize>;

/// Returns the mean number of comparisons over 100 look-ups spread across a table of this size, one of them
/// of an absent name.
fn comparisons_per_lookup(size: u64, find: Lookup) -> f64 {
    let mut table = Table::default();
    (0..size).for_each(|i| _ = table.add(Some(CountingName(i)), i));
    COMPARISONS.set(0);
    for i in 0..100 {
        let name = CountingName(i * size / 99);
        assert_eq!(find(&table, &name).is_some(), name.0 < size);
    }
    COMPARISONS.get() as f64 / 100.0
}

#[test]
fn lookup_cost_does_not_grow_with_table_size() {
    let grows = |find: Lookup| {
        comparisons_per_lookup(42_000, find) > 1.2 * comparisons_per_lookup(420, find).max(1.0)
    };
    assert!(!grows(&|table, name| table.find(name)));
    // Proves that the check above detects a scan of the table.
    let scan = |table: &Table<u64, CountingName>, name: &CountingName| {
        table.in_order().into_iter().find(|entry| CountingName(*entry.value) == *name).map(|entry| entry.id)
    };
    assert!(grows(&scan));
}

#[test]
fn ids_are_not_reused_and_a_removed_entry_frees_its_name() {
    let mut table: Table<&str> = Table::default();
    let first = table.add(Some("a".into()), "first");
    assert_eq!(table.remove("a"), Some(Entry { id: first, value: "first" }));
    assert_eq!((table.find("a"), table.get(first), table.len()), (None, None, 0));
    let second = table.add(Some("a".into()), "second");
    assert!(second > first);
    assert_eq!((table.find("a"), table.get(first)), (Some(second), None));
}

#[test]
fn recently_seen_map_keeps_only_the_latest_keys() {
    let mut recently_seen: RecentlySeen<u64, u64, RECENTLY_SEEN_CAPACITY> = RecentlySeen::default();
    let mut max_len = 0;
    for key in 0..200_000 {
        *recently_seen.touch(key) = key;
        recently_seen.touch(7);
        max_len = max_len.max(recently_seen.len());
    }
    assert_eq!(max_len, RECENTLY_SEEN_CAPACITY);
    assert!(recently_seen.len() >= RECENTLY_SEEN_CAPACITY / 2);
    assert_eq!(
        (recently_seen.get(&199_999), recently_seen.get(&7).is_some(), recently_seen.get(&0)),
        (Some(&199_999), true, None)
    );
}
