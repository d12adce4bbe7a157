//! Supervision of the tasks that serve all requests: a task that panics is started again, after a pause that
//! doubles while it goes on failing.

use crate::clock;
use hazelspur::Duration;
use std::rc::Rc;
use std::time::{Duration as StdDuration, Instant};
use tokio::task::spawn_local;

/// The first pause before a restart.
const RESTART_PAUSE: Duration = Duration::from_ms(10);
/// The longest pause before a restart.
const MAX_RESTART_PAUSE: Duration = Duration::from_ms(1000);
/// A task that ran for this long before it failed is restarted after the first pause again.
const STABLE_RUN_TIME: StdDuration = StdDuration::from_secs(10);

/// Runs a task on the state that it shares with its successors, until it returns. `name` appears in the log.
pub fn supervise<T: 'static, F: Future<Output = ()> + 'static>(
    name: &'static str,
    state: &Rc<T>,
    task: impl Fn(Rc<T>) -> F + 'static,
) {
    let state = state.clone();
    spawn_local(async move {
        let mut pause = RESTART_PAUSE;
        loop {
            let started = Instant::now();
            if spawn_local(task(state.clone())).await.is_ok() {
                return;
            }
            if started.elapsed() >= STABLE_RUN_TIME {
                pause = RESTART_PAUSE;
            }
            log::error!(name, again_ms = pause.us() / 1000; "task failed");
            clock::pause(pause).await;
            pause = (pause + pause).min(MAX_RESTART_PAUSE);
        }
    });
}
