//! Requests to which a rule of the controller applies, found in one walk over the requests and then used up
//! one decision at a time.
//!
//! A rule that walked over all requests for each of its decisions would take quadratic time for many requests
//! that it ends at once. Invariant: the candidates of a scope are complete, since within a scope rules only
//! come to apply to fewer requests; whether the rule still applies is checked when a candidate is used.

use crate::Timestamp;
use std::collections::VecDeque;

/// Time and state for which candidates were found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CandidateScope {
    /// Time of the decision.
    pub(crate) now: Timestamp,
    /// Number of inputs that the controller has received.
    pub(crate) input_count: u64,
    /// [`RequestTable::change_count`](crate::request_table::RequestTable::change_count).
    pub(crate) change_count: u64,
}

/// Candidates of one rule, in the order in which the rule uses them.
#[derive(Clone, Debug)]
pub(crate) struct Candidates<T> {
    scope: Option<CandidateScope>,
    found: VecDeque<T>,
}

impl<T> Default for Candidates<T> {
    fn default() -> Self {
        Self { scope: None, found: VecDeque::new() }
    }
}

impl<T: Copy> Candidates<T> {
    /// Returns the first candidate to which the rule still applies; it stays the first one until the rule no
    /// longer applies. `find` finds the candidates, once in a scope.
    pub(crate) fn first(
        &mut self,
        scope: CandidateScope,
        find: impl FnOnce() -> Vec<T>,
        still_applies: impl Fn(T) -> bool,
    ) -> Option<T> {
        if self.scope != Some(scope) {
            self.scope = Some(scope);
            self.found = find().into();
        }
        while let Some(candidate) = self.found.front().copied() {
            if still_applies(candidate) {
                return Some(candidate);
            }
            self.found.pop_front();
        }
        None
    }
}
