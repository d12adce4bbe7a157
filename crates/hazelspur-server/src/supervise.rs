//! Tasks that serve all requests: begun again should one fail, ever later if it goes on failing.

use crate::clock::sleep;
use hazelspur::Duration;
use std::rc::Rc;
use std::time::{Duration as StdDuration, Instant};
use tokio::task::spawn_local;

const AGAIN: Duration = Duration::from_ms(10);
const LONGEST_AGAIN: Duration = Duration::from_ms(1000);
/// One that has run for so long before it failed is begun again soon.
const WELL: StdDuration = StdDuration::from_secs(10);

pub fn supervise<T: 'static, F: Future<Output = ()> + 'static>(
    name: &'static str,
    of: &Rc<T>,
    task: impl Fn(Rc<T>) -> F + 'static,
) {
    let of = of.clone();
    spawn_local(async move {
        let mut pause = AGAIN;
        loop {
            let began = Instant::now();
            if spawn_local(task(of.clone())).await.is_ok() {
                return;
            }
            if began.elapsed() >= WELL {
                pause = AGAIN;
            }
            log::error!(name, again_ms = pause.us() / 1000; "task failed");
            sleep(pause).await;
            pause = (pause + pause).min(LONGEST_AGAIN);
        }
    });
}
