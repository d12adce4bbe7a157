//! Calls to the dependency that all servers share: when one starts, how long it may take, and when it is
//! tried again. These rules are ours.

pub(crate) mod call_attempts;
pub(crate) mod call_budget;
pub(crate) mod call_start;
