//! What an instance is told at its start: a plain map of dotted names to values.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    Num(f64),
    Text(String),
}

/// For example `request_classes.0.target_latency_us` or `server.cores`; flags are 0 or 1.
#[derive(Clone, Debug, Default)]
pub struct Facts(pub BTreeMap<String, Fact>);

impl Facts {
    pub fn num(&self, name: &str, default: f64) -> f64 {
        match self.0.get(name) {
            Some(Fact::Num(n)) => *n,
            _ => default,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Fact::Text(t)) => t,
            _ => "",
        }
    }

    pub fn has(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }
}
