//! The settings object, flattened to the project's words: `lanes[0].aim-us` becomes
//! `op_types.0.target_latency_us`, and so on.

use crate::Json;
use hazelspur::{Fact, Facts};

pub fn facts(object: Json) -> Facts {
    let mut facts = Facts::default();
    flatten(object, String::new(), &mut facts);
    facts
}

fn flatten(value: Json, name: String, facts: &mut Facts) {
    let below = |part: &str| if name.is_empty() { part.into() } else { format!("{name}.{part}") };
    if value.is_object() {
        value.fields().for_each(|(key, v)| flatten(v, below(&our_name(&key)), facts));
    } else if value.is_array() {
        value.items().enumerate().for_each(|(i, v)| flatten(v, below(&i.to_string()), facts));
    } else if let Some(text) = value.text() {
        facts.0.insert(name, Fact::Text(our_word(&text).into()));
    } else if let Some(flag) = value.flag() {
        facts.0.insert(name, Fact::Num(f64::from(u8::from(flag))));
    } else if !value.is_null() {
        facts.0.insert(name, Fact::Num(value.number().unwrap_or(f64::NAN)));
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
