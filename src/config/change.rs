//! A change of the settings in force: the bounded difference between them and those of a newer file, checked whole
//! before any of it holds. What two texts can't have side by side yet is refused with its key named, and waits for
//! the next start.

use crate::config::catalog::{
    Catalog, Entries, EntryOf, Gathered, Gone, Idempotency, LONGEST_NAME, RequestClass, Table, Tenant,
    check_facts,
};
use crate::{Fact, Facts, RequestClassId, TenantId, Timestamp};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// Entries and figures that one change adds, alters or takes away; more is another file, not a change of this one.
pub const MAX_EDITS: usize = 4096;
/// Names of keyed request classes that were taken away and whose keys may still be asked for.
pub const MAX_GONE: usize = 4096;
/// For so many of the longest request timeouts after its window a repeat may still be read: one it may wait, one and a
/// half it may say that it waits, one and a half its first try may have run.
const READ_LATE: f64 = 4.0;
/// What may differ between servers while a change goes round, since each goes by it for itself alone.
const CHANGEABLE: [&str; 5] = [
    "limits.max_retry_after_us",
    "limits.retry_after",
    "over_share_worth",
    "rules.crowd_multiple",
    "servers",
];

#[derive(Clone, Debug, PartialEq)]
pub enum Edit<T> {
    /// New, or in the place of the one of its name.
    Put(T),
    Remove(Arc<str>),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    pub request_classes: Vec<Edit<RequestClass>>,
    pub tenants: Vec<Edit<Tenant>>,
    /// What each is from now on; none where it is not said any more.
    pub facts: Vec<(String, Option<Fact>)>,
    /// Whose requests those are that name no tenant, if that is another one.
    pub first_tenant: Option<Arc<str>>,
}

/// What became of a change: how many request classes and tenants came, were altered and went, and how many figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    pub request_classes: [usize; 3],
    pub tenants: [usize; 3],
    pub facts: usize,
}

impl Change {
    pub fn edits(&self) -> usize {
        self.request_classes.len()
            + self.tenants.len()
            + self.facts.len()
            + usize::from(self.first_tenant.is_some())
    }

    pub fn is_empty(&self) -> bool {
        self.edits() == 0
    }
}

/// Reads a newer file's entries beside those in force and keeps only what differs.
pub struct Difference<'a> {
    in_force: &'a Catalog,
    change: Change,
    /// Entries of each table so far.
    read: [usize; 2],
    /// Ids of those in force that the newer file has too; names of those that it has anew.
    kept: [BTreeSet<usize>; 2],
    new: [BTreeSet<Arc<str>>; 2],
}

impl Entries for Difference<'_> {
    fn request_class(&mut self, terms: RequestClass) -> Result<(), String> {
        let table = &self.in_force.request_classes;
        let id =
            table.find(&*terms.name).or_else(|| nameless(table, self.read[0], |old| &old.name, &terms.name));
        self.note(0, id, &terms.name, "lanes")?;
        // The worth of answers without calls comes with the facts, which don't change.
        let old = id.and_then(|id| table.get(id));
        let terms = RequestClass {
            degraded_value: old.map_or(terms.degraded_value, |old| old.degraded_value),
            ..terms
        };
        match old {
            Some(old) if **old == terms => Ok(()),
            _ if terms.name.is_empty() => Err(unnamed("lanes")),
            _ => {
                self.change.request_classes.push(Edit::Put(terms));
                self.bounded()
            }
        }
    }

    fn tenant(&mut self, terms: Tenant) -> Result<(), String> {
        let table = &self.in_force.tenants;
        let id =
            table.find(&*terms.name).or_else(|| nameless(table, self.read[1], |old| &old.name, &terms.name));
        if self.read[1] == 0 && id != Some(self.in_force.first_tenant.0) {
            self.change.first_tenant = Some(terms.name.clone());
        }
        self.note(1, id, &terms.name, "orgs")?;
        match id.and_then(|id| table.get(id)) {
            Some(old) if *old == terms => Ok(()),
            _ if terms.name.is_empty() => Err(unnamed("orgs")),
            _ => {
                self.change.tenants.push(Edit::Put(terms));
                self.bounded()
            }
        }
    }

    fn other_key(&mut self, key: &str) -> Result<(), String> {
        let known = self.in_force.other_keys.contains(key);
        if known { Ok(()) } else { Err(format!("settings: {key}: an unknown key, not there at the start")) }
    }
}

impl<'a> Difference<'a> {
    pub fn new(in_force: &'a Catalog) -> Self {
        let (kept, new) = Default::default();
        Self { in_force, change: Change::default(), read: [0, 0], kept, new }
    }

    fn note(&mut self, table: usize, id: Option<usize>, name: &Arc<str>, of: &str) -> Result<(), String> {
        self.read[table] += 1;
        let first = match id {
            Some(id) => self.kept[table].insert(id),
            None => self.new[table].insert(name.clone()),
        };
        if first { Ok(()) } else { Err(format!("settings.{of}: {name}: named twice")) }
    }

    fn bounded(&self) -> Result<(), String> {
        match self.change.edits() {
            edits if edits > MAX_EDITS => {
                Err(format!("settings: more than {MAX_EDITS} differences, the most of one change"))
            }
            _ => Ok(()),
        }
    }

    /// Of a file that was gathered elsewhere.
    pub fn of(in_force: &'a Catalog, read: Gathered, facts: &Facts) -> Result<Change, String> {
        let mut difference = Self::new(in_force);
        read.other_keys.iter().try_for_each(|key| difference.other_key(key))?;
        read.request_classes.into_iter().try_for_each(|terms| difference.request_class(terms))?;
        read.tenants.into_iter().try_for_each(|terms| difference.tenant(terms))?;
        difference.complete(facts)
    }

    /// With what the newer file says beside its entries.
    pub fn complete(mut self, facts: &Facts) -> Result<Change, String> {
        check_facts(facts)?;
        for (id, terms) in self.in_force.request_classes.in_order() {
            if !self.kept[0].contains(&id) {
                self.change.request_classes.push(Edit::Remove(terms.name.clone()));
                self.bounded()?;
            }
        }
        for (id, terms) in self.in_force.tenants.in_order() {
            if !self.kept[1].contains(&id) {
                self.change.tenants.push(Edit::Remove(terms.name.clone()));
                self.bounded()?;
            }
        }
        let old = &self.in_force.facts;
        for (key, _) in old.0.iter().filter(|(key, _)| !facts.has(key)) {
            self.change.facts.push((key.clone(), None));
        }
        for (key, fact) in facts.0.iter().filter(|(key, fact)| old.0.get(*key) != Some(fact)) {
            self.change.facts.push((key.clone(), Some(fact.clone())));
        }
        self.bounded()?;
        Ok(self.change)
    }
}

impl Catalog {
    /// Whether a change may hold here, all of it; else the key at fault and why.
    pub fn check(&self, now: Timestamp, change: &Change) -> Result<(), String> {
        if change.edits() > MAX_EDITS {
            return Err(format!(
                "settings: {} differences, {MAX_EDITS} at most in one change",
                change.edits()
            ));
        }
        for (key, fact) in &change.facts {
            if !CHANGEABLE.contains(&key.as_str()) {
                return Err(format!("settings: {key}: waits for the next start"));
            }
            if let Some(why) = fact.as_ref().and_then(|fact| crate::config::catalog::absurd(key, fact)) {
                return Err(format!("settings: {why}"));
            }
        }
        sized(
            "lanes",
            &self.request_classes,
            &change.request_classes,
            |terms| &terms.name,
            EntryOf::OpTypes,
        )?;
        sized("orgs", &self.tenants, &change.tenants, |terms| &terms.name, EntryOf::Tenants)?;
        for edit in &change.request_classes {
            match edit {
                Edit::Put(terms) => self.check_op_type(now, terms)?,
                Edit::Remove(name) => {
                    let keyed = self
                        .find_request_class(name)
                        .is_some_and(|(_, terms)| terms.repeats == Idempotency::IdempotentWithKey);
                    if keyed && self.gone.len() >= MAX_GONE {
                        return Err(format!(
                            "settings: op_types.{name}: {MAX_GONE} keyed ones went lately, the most"
                        ));
                    }
                }
            }
        }
        let there = |name: &Arc<str>| {
            let comes = |edit: &Edit<Tenant>| matches!(edit, Edit::Put(terms) if terms.name == *name);
            let goes = change.tenants.contains(&Edit::Remove(name.clone()));
            self.tenants.find(&**name).is_some() && !goes || change.tenants.iter().any(comes)
        };
        match &change.first_tenant {
            Some(name) if !there(name) => Err(format!("settings.orgs: {name}: the first tenant is none")),
            _ => Ok(()),
        }
    }

    /// What a request class may not become while requests of its name may be in hand or have keys that are kept.
    fn check_op_type(&self, now: Timestamp, terms: &RequestClass) -> Result<(), String> {
        let refuse = |key: &str, why: &str| Err(format!("settings: op_types.{}.{key}: {why}", terms.name));
        let keyed = terms.repeats == Idempotency::IdempotentWithKey;
        if keyed && terms.request_timeout > self.longest_timeout {
            return refuse(
                "op_timeout_us",
                "keys are kept for no longer than the start's waits; waits for the next start",
            );
        }
        let old = self.find_request_class(&terms.name).map(|(_, old)| old);
        let gone = self.gone.get(&terms.name).filter(|gone| gone.until > now);
        let kept = old.filter(|old| old.repeats == Idempotency::IdempotentWithKey).map(|old| old.window);
        let Some(window) = kept.max(gone.map(|gone| gone.window)) else { return Ok(()) };
        if !keyed {
            return refuse(
                "repeats",
                "its keys are kept, a repeat would run again; waits for the next start",
            );
        }
        if terms.window < window {
            return refuse(
                "window_us",
                "shorter than that of ops whose keys are kept; waits for the next start",
            );
        }
        Ok(())
    }

    /// Makes a change that was checked hold. Ids of what went are given back; who holds terms keeps them.
    pub fn apply(
        &mut self,
        now: Timestamp,
        change: &Change,
    ) -> (Changed, Vec<RequestClassId>, Vec<TenantId>) {
        let (mut changed, mut old_types, mut old_tenants) = (Changed::default(), Vec::new(), Vec::new());
        self.gone.retain(|_, gone| gone.until > now);
        let longest = self.longest_timeout;
        for edit in &change.request_classes {
            match edit {
                Edit::Put(terms) => {
                    let put = put(&mut self.request_classes, &terms.name, Rc::new(terms.clone()));
                    changed.request_classes[put] += 1;
                }
                Edit::Remove(name) => {
                    let Some((id, terms)) = self.request_classes.remove(&**name) else { continue };
                    changed.request_classes[2] += 1;
                    old_types.push(RequestClassId(id));
                    if terms.repeats == Idempotency::IdempotentWithKey {
                        let until = now + terms.window + longest.scaled(READ_LATE);
                        self.gone.insert(name.clone(), Gone { window: terms.window, until });
                    }
                }
            }
        }
        for edit in &change.tenants {
            match edit {
                Edit::Put(terms) => changed.tenants[put(&mut self.tenants, &terms.name, terms.clone())] += 1,
                Edit::Remove(name) => {
                    let Some((id, _)) = self.tenants.remove(&**name) else { continue };
                    changed.tenants[2] += 1;
                    old_tenants.push(TenantId(id));
                }
            }
        }
        if let Some(first) = change.first_tenant.as_ref().and_then(|name| self.tenants.find(&**name)) {
            self.first_tenant = TenantId(first);
        }
        for (key, fact) in &change.facts {
            match fact {
                Some(fact) => self.facts.0.insert(key.clone(), fact.clone()),
                None => self.facts.0.remove(key),
            };
        }
        changed.facts = change.facts.len();
        (changed, old_types, old_tenants)
    }
}

/// Entries without a name are found by their place, as long as none of them differs.
fn nameless<T>(table: &Table<T>, at: usize, of: impl Fn(&T) -> &Arc<str>, name: &Arc<str>) -> Option<usize> {
    table.get(at).filter(|old| name.is_empty() && of(old).is_empty()).map(|_| at)
}

fn unnamed(of: &str) -> String {
    format!("settings.{of}: an entry without a name can't change in place")
}

/// 0 where it is new, 1 where another one stood there.
fn put<T>(table: &mut Table<T>, name: &Arc<str>, entry: T) -> usize {
    match table.find(&**name) {
        Some(id) => {
            table.replace(id, entry);
            1
        }
        None => {
            table.add(Some(name.clone()), entry);
            0
        }
    }
}

/// Names are sound, nothing is edited twice, the table stays within its bound and is not another one altogether.
fn sized<T, E>(
    of: &str,
    table: &Table<E>,
    edits: &[Edit<T>],
    name: impl Fn(&T) -> &Arc<str>,
    entries: EntryOf,
) -> Result<(), String> {
    let (mut seen, mut comes, mut goes) = (BTreeSet::new(), 0, 0);
    for edit in edits {
        let name = match edit {
            Edit::Put(terms) => name(terms),
            Edit::Remove(name) => name,
        };
        let there = table.find(&**name).is_some();
        if name.is_empty() || name.len() > LONGEST_NAME || !seen.insert(name.clone()) {
            return Err(format!(
                "settings.{of}: {name}: no name, one over {LONGEST_NAME} bytes, or edited twice"
            ));
        }
        match edit {
            Edit::Put(_) => comes += usize::from(!there),
            Edit::Remove(_) if !there => return Err(format!("settings.{of}: {name}: is not there to go")),
            Edit::Remove(_) => goes += 1,
        }
    }
    if goes == table.len() && goes > 0 {
        return Err(format!("settings.{of}: none of those in force is left: another installation's file"));
    }
    entries.fits(table.len() + comes - goes)
}
