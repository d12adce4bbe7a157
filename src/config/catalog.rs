//! The settings in force: typed tables of request classes and tenants, found by name or id in a time that does not grow
//! with their number, and the other figures as `Facts`. Fronts look names up in it, the module reads its figures,
//! and a `Change` alters it in place. It decides nothing and does no I/O.

use crate::config::facts::{Fact, Facts};
use crate::{Duration, RequestClassId, TenantId, Timestamp};
use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, DefaultHasher, Hash};
use std::rc::Rc;
use std::sync::Arc;

/// Twice the 8,700 routes that the fleet is to have in two years.
pub const MAX_OP_TYPES: usize = 17_400;
/// Twice its 42,000 tenants.
pub const MAX_TENANTS: usize = 84_000;
/// In bytes; a longer name fits no line of a gateway with a request beside it.
pub const LONGEST_NAME: usize = 255;
/// Figures beside the tables: a hundred times what a deployment has so far.
pub const MAX_FACTS: usize = 4096;
/// Keys of one request class or tenant, those included that nobody here goes by.
pub const MAX_KEYS: usize = 64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    IdempotentWithKey,
    #[default]
    NonIdempotent,
}

/// The terms of a request class. Who holds them goes on by them, whatever is in force meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Empty where the platform names its request classes by number.
    pub name: Arc<str>,
    pub latency_objective: Duration,
    /// Seconds more for each second of cost that is told.
    pub latency_objective_per_cost: f64,
    pub request_timeout: Duration,
    pub priority_weight: f64,
    /// What an ack past the target latency is worth, of one within it.
    pub late_value: f64,
    /// What an answer without its call is worth, of one with it.
    pub degraded_value: f64,
    pub repeats: Idempotency,
    /// For so long a keyed request's key is kept.
    pub window: Duration,
}

impl Default for RequestClass {
    fn default() -> Self {
        let target = Duration::from_ms(1000);
        Self {
            name: "".into(),
            latency_objective: target,
            latency_objective_per_cost: 0.0,
            request_timeout: target.scaled(2.0),
            priority_weight: 1.0,
            late_value: 0.0,
            degraded_value: 0.0,
            repeats: Idempotency::NonIdempotent,
            window: Duration::from_ms(5000),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    pub name: Arc<str>,
    /// Requests a second of the whole fleet; none where nothing is said of it.
    pub quota_per_s: Option<f64>,
}

/// A key that no request class, or tenant, has here.
fn is_other(known: &[&str], key: &str) -> bool {
    !known.contains(&key.split('.').next().unwrap_or(key))
}

const OP_TYPE_KEYS: [&str; 8] = [
    "name",
    "target_latency_us",
    "target_stretch",
    "op_timeout_us",
    "importance",
    "late_worth",
    "repeats",
    "window_us",
];
const TENANT_KEYS: [&str; 2] = ["name", "quota_per_s"];

/// What is wrong with a figure, if anything: not finite, or negative where it can't be.
pub(crate) fn absurd(key: &str, fact: &Fact) -> Option<String> {
    const ABOVE_ZERO: [&str; 3] = ["server.cores", "server.memory_kb", "server.run_factor"];
    const NOT_NEGATIVE: [&str; 2] = [".importance", ".quota_per_s"];
    let Fact::Num(n) = fact else { return None };
    let bounded = key.ends_with("_us") || NOT_NEGATIVE.iter().any(|end| key.ends_with(end));
    let wrong = !n.is_finite() || ABOVE_ZERO.contains(&key) && *n <= 0.0 || bounded && *n < 0.0;
    wrong.then(|| format!("setting {key} is absurd: {n}"))
}

fn name(of: &Facts, at: &str) -> Result<Arc<str>, String> {
    let name = of.text("name");
    if name.len() > LONGEST_NAME {
        return Err(format!("setting {at}.name has {} bytes, {LONGEST_NAME} at most", name.len()));
    }
    Ok(name.into())
}

fn checked(of: &Facts, at: &str, numbers: &[&str]) -> Result<(), String> {
    for (key, fact) in &of.0 {
        let key = format!("{at}.{key}");
        match absurd(&key, fact) {
            Some(why) => return Err(why),
            None if matches!(fact, Fact::Text(_)) && numbers.iter().any(|n| key.ends_with(n)) => {
                return Err(format!("setting {key} is no number"));
            }
            None => {}
        }
    }
    Ok(())
}

impl RequestClass {
    /// From its own keys, such as `target_latency_us`; `at` is the place that errors name.
    pub fn told(of: &Facts, at: &str) -> Result<Self, String> {
        checked(of, at, &["_us", ".target_stretch", ".importance", ".late_worth"])?;
        if !of.has("target_latency_us") {
            return Err(format!("setting {at}.target_latency_us is missing"));
        }
        let plain = Self::default();
        let target = of.num("target_latency_us", 0.0);
        Ok(Self {
            name: name(of, at)?,
            latency_objective: Duration::from_us(target as u64),
            latency_objective_per_cost: of.num("target_stretch", plain.latency_objective_per_cost),
            request_timeout: Duration::from_us(of.num("op_timeout_us", target * 2.0) as u64),
            priority_weight: of.num("importance", plain.priority_weight),
            late_value: of.num("late_worth", plain.late_value),
            degraded_value: plain.degraded_value,
            repeats: match of.text("repeats") {
                "retryable" => Idempotency::Idempotent,
                "keyed" => Idempotency::IdempotentWithKey,
                "non-retryable" | "" => Idempotency::NonIdempotent,
                other => return Err(format!("setting {at}.repeats is not known: {other}")),
            },
            window: Duration::from_us(of.num("window_us", plain.window.us() as f64) as u64),
        })
    }
}

impl Tenant {
    pub fn told(of: &Facts, at: &str) -> Result<Self, String> {
        checked(of, at, &[".quota_per_s"])?;
        let quota_per_s = of.has("quota_per_s").then(|| of.num("quota_per_s", 0.0));
        Ok(Self { name: name(of, at)?, quota_per_s })
    }
}

/// Names to ids to entries. An id is given once and never again, so that what was kept for one entry does not
/// pass to another that comes under its name.
#[derive(Clone, Debug)]
pub struct Table<T, K = Arc<str>> {
    ids: HashMap<K, usize, BuildHasherDefault<DefaultHasher>>,
    entries: HashMap<usize, T, BuildHasherDefault<DefaultHasher>>,
    next: usize,
}

impl<T, K> Default for Table<T, K> {
    fn default() -> Self {
        Self { ids: HashMap::default(), entries: HashMap::default(), next: 0 }
    }
}

impl<T, K: Clone + Eq + Hash> Table<T, K> {
    pub fn find<Q: Eq + Hash + ?Sized>(&self, name: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.ids.get(name).copied()
    }

    pub fn get(&self, id: usize) -> Option<&T> {
        self.entries.get(&id)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A new entry, by name if it has one; the id it is given. The name must be free.
    pub fn add(&mut self, name: Option<K>, entry: T) -> usize {
        let id = self.next;
        self.next += 1;
        self.entries.insert(id, entry);
        if let Some(name) = name {
            self.ids.insert(name, id);
        }
        id
    }

    /// Another entry in the place of this name's; what stood there.
    pub fn replace(&mut self, id: usize, entry: T) -> Option<T> {
        self.entries.get_mut(&id).map(|old| std::mem::replace(old, entry))
    }

    pub fn remove<Q: Eq + Hash + ?Sized>(&mut self, name: &Q) -> Option<(usize, T)>
    where
        K: Borrow<Q>,
    {
        let id = self.ids.remove(name)?;
        self.entries.remove(&id).map(|entry| (id, entry))
    }

    /// In the order in which they came.
    pub fn in_order(&self) -> Vec<(usize, &T)> {
        let mut all: Vec<(usize, &T)> = self.entries.iter().map(|(id, entry)| (*id, entry)).collect();
        all.sort_unstable_by_key(|(id, _)| *id);
        all
    }
}

/// Takes request classes and tenants as they are read, in their order.
pub trait Entries {
    fn request_class(&mut self, terms: RequestClass) -> Result<(), String>;
    fn tenant(&mut self, terms: Tenant) -> Result<(), String>;
    /// A key of an entry that nobody here goes by.
    fn other_key(&mut self, key: &str) -> Result<(), String>;
}

/// Entries as they were read, to be compared later; their number is bounded by `EntryOf::fits`.
#[derive(Clone, Debug, Default)]
pub struct Gathered {
    pub(crate) request_classes: Vec<RequestClass>,
    pub(crate) tenants: Vec<Tenant>,
    pub(crate) other_keys: BTreeSet<String>,
}

impl Entries for Gathered {
    fn request_class(&mut self, terms: RequestClass) -> Result<(), String> {
        self.request_classes.push(terms);
        EntryOf::OpTypes.fits(self.request_classes.len())
    }

    fn tenant(&mut self, terms: Tenant) -> Result<(), String> {
        self.tenants.push(terms);
        EntryOf::Tenants.fits(self.tenants.len())
    }

    fn other_key(&mut self, key: &str) -> Result<(), String> {
        if self.other_keys.len() < MAX_KEYS {
            self.other_keys.insert(key.to_string());
        }
        Ok(())
    }
}

/// A keyed request class that was taken away: until then keys of its requests may be asked for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gone {
    pub window: Duration,
    pub until: Timestamp,
}

#[derive(Clone, Debug, Default)]
pub struct Catalog {
    pub(crate) request_classes: Table<Rc<RequestClass>>,
    pub(crate) tenants: Table<Tenant>,
    pub(crate) first_tenant: TenantId,
    /// All else that the settings say.
    pub facts: Facts,
    /// Keys of entries that nobody here goes by, as the start's settings had them.
    pub(crate) other_keys: BTreeSet<String>,
    /// The longest request timeout of the start: results are kept long enough for that.
    pub(crate) longest_timeout: Duration,
    pub(crate) gone: BTreeMap<Arc<str>, Gone>,
}

impl Entries for Catalog {
    fn request_class(&mut self, terms: RequestClass) -> Result<(), String> {
        EntryOf::OpTypes.fits(self.request_classes.len() + 1)?;
        let name = free_name(&self.request_classes, &terms.name, "lanes")?;
        self.longest_timeout = self.longest_timeout.max(terms.request_timeout);
        self.request_classes.add(name, Rc::new(terms));
        Ok(())
    }

    fn tenant(&mut self, terms: Tenant) -> Result<(), String> {
        EntryOf::Tenants.fits(self.tenants.len() + 1)?;
        let name = free_name(&self.tenants, &terms.name, "orgs")?;
        self.tenants.add(name, terms);
        Ok(())
    }

    fn other_key(&mut self, key: &str) -> Result<(), String> {
        if self.other_keys.len() < MAX_KEYS {
            self.other_keys.insert(key.to_string());
        }
        Ok(())
    }
}

fn free_name<T>(table: &Table<T>, name: &Arc<str>, of: &str) -> Result<Option<Arc<str>>, String> {
    match name {
        name if name.is_empty() => Ok(None),
        name if table.find(&**name).is_some() => Err(format!("settings.{of}: {name}: named twice")),
        name => Ok(Some(name.clone())),
    }
}

/// Reads one request class or tenant of the settings into whoever takes them; `at` is its number.
pub fn take_entry(to: &mut impl Entries, table: EntryOf, at: usize, of: &Facts) -> Result<(), String> {
    let (known, place): (&[&str], _) = match table {
        EntryOf::OpTypes => (&OP_TYPE_KEYS, "op_types"),
        EntryOf::Tenants => (&TENANT_KEYS, "tenants"),
    };
    let at = format!("{place}.{at}");
    if let Some(key) = of.0.keys().find(|key| is_other(known, key)) {
        to.other_key(&format!("{place}.{key}"))?;
    }
    match table {
        EntryOf::OpTypes => to.request_class(RequestClass::told(of, &at)?),
        EntryOf::Tenants => to.tenant(Tenant::told(of, &at)?),
    }
}

/// Reads a plain map of dotted names into whoever takes request classes and tenants; gives back all else.
pub fn take_facts(to: &mut impl Entries, facts: Facts) -> Result<Facts, String> {
    let mut rest = Facts::default();
    let mut entries: [BTreeMap<usize, Facts>; 2] = Default::default();
    for (name, fact) in facts.0 {
        let (first, below) = name.split_once('.').unwrap_or((&name, ""));
        let table = ["op_types", "tenants"].iter().position(|table| *table == first);
        let at = below.split_once('.').and_then(|(at, key)| Some((at.parse::<usize>().ok()?, key)));
        match (table, at) {
            (Some(table), Some((at, key))) => {
                entries[table].entry(at).or_default().0.insert(key.into(), fact);
            }
            _ => drop(rest.0.insert(name, fact)),
        }
    }
    for (table, entries) in [EntryOf::OpTypes, EntryOf::Tenants].into_iter().zip(entries) {
        table.fits(entries.len())?;
        for (expected, (at, of)) in entries.into_iter().enumerate() {
            if at != expected {
                return Err(format!("settings: entry {expected} of {table:?} is missing"));
            }
            take_entry(to, table, at, &of)?;
        }
    }
    Ok(rest)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryOf {
    OpTypes,
    Tenants,
}

impl EntryOf {
    /// Whether so many are held; else the key and both numbers.
    pub fn fits(self, count: usize) -> Result<(), String> {
        let (key, most) = match self {
            Self::OpTypes => ("lanes", MAX_OP_TYPES),
            Self::Tenants => ("orgs", MAX_TENANTS),
        };
        if count <= most { Ok(()) } else { Err(format!("settings.{key}: {count}, {most} at most")) }
    }
}

impl Catalog {
    /// From a plain map of dotted names: `request_classes.0.importance`, `tenants.3.quota_per_s`, `server.cores`.
    pub fn from_facts(facts: Facts) -> Result<Self, String> {
        let mut catalog = Self::default();
        let rest = take_facts(&mut catalog, facts)?;
        catalog.complete(rest)
    }

    /// With all that is not in a table. The worth of answers without calls goes to the request classes.
    pub fn complete(mut self, mut facts: Facts) -> Result<Self, String> {
        check_facts(&facts)?;
        for at in 0..self.request_classes.len() {
            if let Some(Fact::Num(worth)) = facts.0.remove(&format!("server.skip_worth.{at}"))
                && let Some(terms) = self.request_classes.get(at)
            {
                let terms = RequestClass { degraded_value: worth, ..(**terms).clone() };
                self.request_classes.replace(at, Rc::new(terms));
            }
        }
        self.facts = facts;
        Ok(self)
    }

    pub fn request_class(&self, id: RequestClassId) -> Option<&Rc<RequestClass>> {
        self.request_classes.get(id.0)
    }

    pub fn find_request_class(&self, name: &str) -> Option<(RequestClassId, Rc<RequestClass>)> {
        let id = self.request_classes.find(name)?;
        self.request_classes.get(id).map(|terms| (RequestClassId(id), terms.clone()))
    }

    pub fn tenant(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.get(id.0)
    }

    /// With its name; no owner is the first tenant, and where there are none they all are one.
    pub fn find_tenant(&self, owner: Option<&str>) -> Option<(TenantId, Arc<str>)> {
        let id = match owner {
            Some(owner) => TenantId(self.tenants.find(owner)?),
            None => self.first_tenant,
        };
        Some((id, self.tenant(id).map_or_else(|| "".into(), |tenant| tenant.name.clone())))
    }

    /// All of them, in the order in which they came.
    pub fn request_classes(&self) -> Vec<(RequestClassId, &RequestClass)> {
        self.request_classes
            .in_order()
            .into_iter()
            .map(|(id, terms)| (RequestClassId(id), &**terms))
            .collect()
    }

    pub fn tenants(&self) -> Vec<(TenantId, &Tenant)> {
        self.tenants.in_order().into_iter().map(|(id, terms)| (TenantId(id), terms)).collect()
    }

    /// How many request classes and tenants there are.
    pub fn size(&self) -> (usize, usize) {
        (self.request_classes.len(), self.tenants.len())
    }

    /// The longest request timeout at the start.
    pub fn longest_timeout(&self) -> Duration {
        self.longest_timeout
    }
}

pub(crate) fn check_facts(facts: &Facts) -> Result<(), String> {
    if facts.0.len() > MAX_FACTS {
        return Err(format!(
            "settings: {} figures beside op types and tenants, {MAX_FACTS} at most",
            facts.0.len()
        ));
    }
    facts.0.iter().find_map(|(key, fact)| absurd(key, fact)).map_or(Ok(()), Err)
}
