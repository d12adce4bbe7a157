//! Supervision of the tasks that the whole server depends on: a task that panics is restarted after a pause,
//! which doubles with each further panic.

use crate::clock;
use hazelspur::Duration;
use std::rc::Rc;
use std::time::{Duration as StdDuration, Instant};
use tokio::task::spawn_local;

/// The first pause before a restart.
const RESTART_PAUSE: Duration = Duration::from_ms(10);
/// The longest pause before a restart.
const MAX_RESTART_PAUSE: Duration = Duration::from_ms(1000);
/// Run time after which a task counts as stable: its next restart has the first pause again.
const STABLE_RUN_TIME: StdDuration = StdDuration::from_secs(10);

/// Spawns a task and restarts it whenever it panics, until it returns. Each run gets the same `state`; `name`
/// appears in the log.
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
