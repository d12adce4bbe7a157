//! What all fronts know of op types and tenants, from the platform's settings.

use crate::ops::deduplication::{Key, Scope};
use crate::start::startup::Startup;
use hazelspur::book::Repeats;
use hazelspur::{OpTypeId, Span, TenantId};
use std::rc::Rc;

/// The largest body of an op, in bytes.
pub const LONGEST_BODY: usize = 2048;

pub struct Catalog {
    names: Vec<Rc<str>>,
    timeouts: Vec<Span>,
    repeats: Vec<Repeats>,
    tenants: Vec<String>,
}

impl Catalog {
    pub fn new(told: &Startup) -> Self {
        Self {
            names: told.op_types.iter().map(|name| Rc::from(name.as_str())).collect(),
            timeouts: told.op_timeouts.clone(),
            repeats: told.repeats.clone(),
            tenants: told.tenants.clone(),
        }
    }

    pub fn find(&self, name: &str) -> Option<OpTypeId> {
        self.names.iter().position(|other| **other == *name).map(OpTypeId)
    }

    pub fn name(&self, op_type: OpTypeId) -> Rc<str> {
        self.names[op_type.0].clone()
    }

    pub fn timeout(&self, op_type: OpTypeId) -> Span {
        self.timeouts[op_type.0]
    }

    pub fn repeats(&self, op_type: OpTypeId) -> Repeats {
        self.repeats[op_type.0]
    }

    /// Whether its calls may be made again though they may have run.
    pub fn may_repeat(&self, op_type: OpTypeId) -> bool {
        self.repeats(op_type) == Repeats::Retryable
    }

    /// What a repeat of this op would name: its op key, or as a read what it is about.
    pub fn key(
        &self,
        op_type: OpTypeId,
        tenant: TenantId,
        op_key: Option<&str>,
        subject: Option<&str>,
    ) -> Option<Key> {
        let (scope, text) = match self.repeats(op_type) {
            Repeats::Keyed => (Scope::Keyed, op_key?),
            Repeats::Retryable => (Scope::Read, subject?),
            Repeats::NonRetryable => return None,
        };
        Some(Key { tenant, op_type, scope, text: text.into() })
    }

    /// No owner is the first tenant.
    pub fn tenant(&self, owner: Option<&str>) -> Option<TenantId> {
        owner.map_or(Some(0), |owner| self.tenants.iter().position(|t| t == owner)).map(TenantId)
    }
}
