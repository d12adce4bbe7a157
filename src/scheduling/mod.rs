//! Scheduling: the order of runs, the number of concurrent runs, and the rejection of requests that cannot
//! succeed any more. The rules are this project's own; the paper that the `admission` module follows leaves
//! them open.

use crate::Duration;

pub(crate) mod attempt_age;
pub(crate) mod class_profile;
pub(crate) mod concurrency;
pub(crate) mod core_usage;
pub(crate) mod expiry;
pub(crate) mod late_rejection;
pub(crate) mod next_runnable;
pub(crate) mod preemption;
pub(crate) mod queue_order;
pub(crate) mod slowdown;
pub(crate) mod warm_up;

/// Interval of the timer. What falls due before the next tick is decided at the current one.
pub(crate) const TIMER_TICK: Duration = Duration::from_ms(40);
