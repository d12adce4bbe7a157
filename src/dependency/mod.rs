//! Calls to the dependency that all servers share: when a call starts, its timeout, and its retries. The
//! rules are this project's own; the paper that the `admission` module follows does not treat dependency
//! calls.

pub(crate) mod call_attempts;
pub(crate) mod call_budget;
pub(crate) mod call_start;
