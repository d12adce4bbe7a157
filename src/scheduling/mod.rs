//! Scheduling: in which order requests run, how many run at once, and which ones can't succeed any more.
//! These rules are ours; the paper leaves them open.

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

/// Time between two timer ticks: what falls due before the next one is decided now.
pub(crate) const TIMER_TICK: Duration = Duration::from_ms(40);
