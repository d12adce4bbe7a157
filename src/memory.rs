//! Memory of requests and stored keys, and the request that is rejected when memory is short.

use crate::config::settings::ControllerSettings;
use crate::rejection::{Rejection, RejectionReason};
use crate::request_table::RequestTable;

/// Share of the worker process's memory that requests and stored keys may use.
const USABLE_SHARE: f64 = 0.92;

/// Memory in use and its limit, in kB.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemoryUse {
    used_kb: f64,
    limit_kb: f64,
}

impl MemoryUse {
    /// Returns the memory that these requests and stored keys use. A started or paused request takes more
    /// than a queued one.
    pub(crate) fn new(requests: &RequestTable, stored_keys: usize, settings: &ControllerSettings) -> Self {
        let totals = requests.totals();
        let requests_kb = totals.waiting_kb() + totals.run_kb() * settings.run_memory_factor;
        let keys_kb = stored_keys as f64 * settings.key_memory_kb;
        Self { used_kb: keys_kb + requests_kb, limit_kb: settings.memory_kb * USABLE_SHARE }
    }

    /// Returns whether this much more memory can be used, in kB.
    pub(crate) fn fits(self, additional_kb: f64) -> bool {
        self.used_kb + additional_kb <= self.limit_kb
    }

    /// Returns the free memory, in kB; negative when the limit is exceeded.
    pub(crate) fn free_kb(self) -> f64 {
        self.limit_kb - self.used_kb
    }

    /// Returns the queued request to reject while the limit is exceeded: the last one in queue order. Paused
    /// requests stay, since their work would be lost.
    pub(crate) fn first_to_reject(self, requests: &RequestTable) -> Option<Rejection> {
        if self.used_kb <= self.limit_kb {
            return None;
        }
        let last = requests.last_queued()?;
        Some(Rejection { request: last.id, reason: RejectionReason::MemoryLimit })
    }
}
