//! Calls to the dependency that all servers share: when a call starts, its timeout, and its retries. The
//! rules are this project's own, not those of the paper that the `admission` module follows.

pub(crate) mod call_attempts;
pub(crate) mod call_budget;
pub(crate) mod call_start;
