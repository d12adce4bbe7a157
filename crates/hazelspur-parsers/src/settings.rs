//! The settings object in the project's words: each of `lanes` is a request class, each of `orgs` a tenant, all else is
//! flattened: `family-info.n-cores` becomes `server.cores`, and so on. Each entry is handed on as it is read, so that
//! the whole is never held twice.

use crate::Json;
use hazelspur::config::catalog::{Catalog, Entries, EntryOf, MAX_FACTS, MAX_KEYS, take_entry};
use hazelspur::{Fact, Facts};

/// All of it as a catalog.
pub fn catalog(object: Json) -> Result<Catalog, String> {
    let mut catalog = Catalog::default();
    let facts = read(object, &mut catalog)?;
    catalog.complete(facts)
}

/// Hands request classes and tenants to who takes them, and gives back all else.
pub fn read(object: Json, to: &mut impl Entries) -> Result<Facts, String> {
    let (mut rest, mut tables) = (Flat::new(MAX_FACTS), Vec::new());
    for (key, value) in object.fields() {
        let table = match &*key {
            "lanes" => EntryOf::OpTypes,
            "orgs" => EntryOf::Tenants,
            _ => {
                rest.take(value, our_name(&key));
                continue;
            }
        };
        if tables.contains(&table) {
            return Err(format!("settings.{key}: there twice"));
        }
        tables.push(table);
        table.fits(value.items().count())?;
        for (at, entry) in value.items().enumerate() {
            let mut of = Flat::new(MAX_KEYS);
            of.take(entry, String::new());
            take_entry(to, table, at, &of.done(&format!("settings.{key}.{at}"))?)?;
        }
    }
    rest.done("settings")
}

/// The whole object as a plain map of dotted names, `most` at most.
pub fn facts(object: Json, most: usize) -> Result<Facts, String> {
    let mut flat = Flat::new(most);
    flat.take(object, String::new());
    flat.done("settings")
}

/// Figures by their dotted names; past the most they are counted and not held.
struct Flat {
    facts: Facts,
    most: usize,
    over: usize,
}

impl Flat {
    fn new(most: usize) -> Self {
        Self { facts: Facts::default(), most, over: 0 }
    }

    fn take(&mut self, value: Json, name: String) {
        let below = |part: &str| if name.is_empty() { part.into() } else { format!("{name}.{part}") };
        if value.is_object() {
            return value.fields().for_each(|(key, v)| self.take(v, below(&our_name(&key))));
        }
        if value.is_array() {
            return value.items().enumerate().for_each(|(i, v)| self.take(v, below(&i.to_string())));
        }
        let fact = match (value.text(), value.flag()) {
            (Some(text), _) => Fact::Text(our_word(&text).into()),
            (None, Some(flag)) => Fact::Num(f64::from(u8::from(flag))),
            _ if value.is_null() => return,
            _ => Fact::Num(value.number().unwrap_or(f64::NAN)),
        };
        if self.facts.0.len() >= self.most && !self.facts.has(&name) {
            self.over += 1;
        } else {
            self.facts.0.insert(name, fact);
        }
    }

    fn done(self, at: &str) -> Result<Facts, String> {
        match self.over {
            0 => Ok(self.facts),
            over => Err(format!("{at}: {} figures, {} at most", self.most + over, self.most)),
        }
    }
}

fn our_name(key: &str) -> String {
    match key {
        "lanes" => "op_types".into(),
        "aim-us" => "target_latency_us".into(),
        "aim-stretch" => "target_stretch".into(),
        "deadline-us" => "op_timeout_us".into(),
        "semantics" => "repeats".into(),
        "memory-span-us" => "window_us".into(),
        "family-info" => "server".into(),
        "n-cores" => "cores".into(),
        "mem-limit-kb" => "memory_kb".into(),
        "stop-mode" => "stop".into(),
        "say" => "value".into(),
        "share-for-us" => "share_reads_us".into(),
        "calls-out" => "calls_bound".into(),
        "class-skip-worth" => "skip_worth".into(),
        "fall-multiple" => "crowd_multiple".into(),
        "overload-for-us" => "crowd_over_us".into(),
        "orgs" => "tenants".into(),
        "quota-rps" => "quota_per_s".into(),
        _ => key.replace('-', "_"),
    }
}

fn our_word(text: &str) -> &str {
    match text {
        "safe" => "retryable",
        "unsafe" => "non-retryable",
        "silent" => "none",
        "request" => "op",
        _ => text,
    }
}
