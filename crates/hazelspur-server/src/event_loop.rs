//! Event loop that polls the process's tasks in turns and advances the clock's input watermark.
//!
//! A turn records the time, polls the runtime's I/O driver until it has reported all input that had arrived
//! by then, and polls the tasks until none is ready. All that input is then read and handled, through however
//! many tasks it passes, and the watermark advances to the start of the turn. Tasks that wait for a time or
//! for a decision continue only after that.
//!
//! The driver has reported all earlier input once it reports the turn's `InputMarker`, however many events
//! come before. The tasks are polled outside the runtime's scheduler, where a task that yields or has used up
//! its budget is woken at once, so that the loop polls it again in the same turn.
//!
//! Endless input does not prolong a turn forever. Each reader takes at most as much as its socket can hold in
//! a turn (`ReadQuota`), which covers all that it held at the start of the turn. If tasks still never become
//! idle, for example since they wake each other, the turn ends after `MAX_TURN_CPU_TIME`, and this is logged.
//!
//! The watermark guards against two faults. A process that is suspended between reading input and a decision
//! would decide with the time of its resumption, and a wait for input that a signal interrupts returns
//! without events although input has arrived.

use crate::clock::{Clock, to_std};
use crate::input_marker::InputMarker;
use hazelspur::Duration;
use nix::time::{ClockId, clock_gettime};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker};
use std::time::Duration as StdDuration;
use tokio::runtime::Runtime;
use tokio::sync::Notify;

/// Number of polls of all tasks in a batch. The loop checks the processor time after each batch.
const POLLS_PER_BATCH: usize = 16;
/// Number of batches after which the loop polls the I/O driver although some tasks are ready, so that tasks
/// that wake each other cannot block input. The number is large, since input that is found prolongs the turn.
const BATCHES_PER_DRIVER_POLL: usize = 64;
/// Processor time after which a turn ends although some tasks are ready. The time of a suspension does not
/// count.
const MAX_TURN_CPU_TIME: Duration = Duration::from_ms(1000);

/// Waker of the tasks, which records that a task was woken and wakes the loop.
#[derive(Default)]
struct TaskWaker {
    is_woken: AtomicBool,
    notification: Notify,
}

impl TaskWaker {
    fn is_woken(&self) -> bool {
        self.is_woken.load(Ordering::Acquire)
    }

    fn reset(&self) {
        self.is_woken.store(false, Ordering::Release);
    }

    /// Waits until a task is woken.
    async fn woken(&self) {
        while !self.is_woken() {
            self.notification.notified().await;
        }
    }
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.is_woken.store(true, Ordering::Release);
        self.notification.notify_one();
    }
}

/// Progress of the tasks in a batch of polls.
enum Progress<T> {
    /// No task is ready.
    Idle,
    /// Some tasks are still ready after the last poll of the batch.
    Busy,
    /// The work of the process is complete.
    Complete(T),
}

/// Event loop that runs all work of the process.
pub struct EventLoop<F: Future> {
    clock: Rc<Clock>,
    work: Pin<Box<F>>,
    task_waker: Arc<TaskWaker>,
    /// `task_waker` as a waker, created once so that all polls use the same.
    waker: Waker,
}

impl<F: Future> EventLoop<F> {
    /// Creates a loop that polls `work`, for example a `LocalSet` with all tasks, and advances the watermark
    /// of `clock`.
    pub fn new(clock: Rc<Clock>, work: F) -> Self {
        let task_waker = Arc::new(TaskWaker::default());
        let waker = Waker::from(task_waker.clone());
        Self { clock, work: Box::pin(work), task_waker, waker }
    }

    /// Runs the work to its end on a current-thread runtime, and returns its output.
    ///
    /// # Errors
    /// Returns an error if the input marker cannot be created or placed.
    pub fn run(mut self, runtime: &Runtime) -> io::Result<F::Output> {
        let _runtime_guard = runtime.enter();
        let marker = InputMarker::new()?;
        loop {
            self.clock.begin_turn();
            if let Progress::Complete(output) = self.poll_batch() {
                return Ok(output);
            }
            while self.clock.watermark_is_awaited() {
                if let Some(output) = self.run_turn(runtime, &marker)? {
                    return Ok(output);
                }
            }
            self.wait(runtime);
        }
    }

    /// Polls the tasks until all input that had arrived at the start of the turn is reported, then advances
    /// the watermark and polls the tasks that wait for it.
    fn run_turn(&mut self, runtime: &Runtime, marker: &InputMarker) -> io::Result<Option<F::Output>> {
        self.clock.begin_turn();
        marker.place()?;
        runtime.block_on(marker.reached())?;
        if let Some(output) = self.poll_until_idle(runtime) {
            return Ok(Some(output));
        }
        self.clock.advance_watermark();
        match self.poll_batch() {
            Progress::Complete(output) => Ok(Some(output)),
            Progress::Idle | Progress::Busy => Ok(None),
        }
    }

    /// Polls the tasks until none is ready or the turn has used up its processor time.
    fn poll_until_idle(&mut self, runtime: &Runtime) -> Option<F::Output> {
        let mut cpu_time_after_first_batch = None;
        for batch in 1.. {
            match self.poll_batch() {
                Progress::Idle => break,
                Progress::Complete(output) => return Some(output),
                Progress::Busy if batch % BATCHES_PER_DRIVER_POLL == 0 => poll_driver(runtime),
                Progress::Busy => {}
            }
            let cpu_time = thread_cpu_time();
            if cpu_time.saturating_sub(*cpu_time_after_first_batch.get_or_insert(cpu_time))
                >= to_std(MAX_TURN_CPU_TIME)
            {
                log::warn!(cpu_ms = MAX_TURN_CPU_TIME.us() / 1000; "event loop turn ended with busy tasks");
                break;
            }
        }
        None
    }

    /// Polls the tasks until none is ready, at most `POLLS_PER_BATCH` times.
    fn poll_batch(&mut self) -> Progress<F::Output> {
        for _ in 0..POLLS_PER_BATCH {
            self.task_waker.reset();
            let mut context = Context::from_waker(&self.waker);
            if let Poll::Ready(output) = self.work.as_mut().poll(&mut context) {
                return Progress::Complete(output);
            }
            if !self.task_waker.is_woken() {
                return Progress::Idle;
            }
        }
        Progress::Busy
    }

    /// Waits for input and timers until a task is ready. Polls the driver once if a task is ready already.
    fn wait(&self, runtime: &Runtime) {
        if self.task_waker.is_woken() {
            poll_driver(runtime);
        } else {
            runtime.block_on(self.task_waker.woken());
        }
    }
}

/// Polls the runtime's I/O driver once without waiting.
fn poll_driver(runtime: &Runtime) {
    runtime.block_on(tokio::task::yield_now());
}

/// Returns the processor time that this thread has used.
fn thread_cpu_time() -> StdDuration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(StdDuration::from).unwrap_or_default()
}
