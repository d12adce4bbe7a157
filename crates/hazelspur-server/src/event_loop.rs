//! The event loop: polls the process's tasks in turns, and advances the clock's input watermark.
//!
//! A turn takes the time, looks at input until the runtime's driver has reported all that had arrived by then, and
//! polls the tasks until none is ready any more. By then all that input is read and handled, through however many
//! tasks it passes, and the watermark advances to the time at which the turn began. Only after that do the tasks go
//! on that wait for a time or for a decision.
//!
//! A look is complete once it has reported the turn's `InputMarker`, however many events come before it. The tasks
//! are polled outside the runtime's scheduler, where a task that yields or has used up its budget is woken at once:
//! so the loop knows of it, and it is not put off to a later turn.
//!
//! Input without end does not keep a turn from its end: each reader takes in a turn no more than its socket can hold
//! (`ReadQuota`), and that is all that it held when the turn began. A turn whose tasks still never become idle, since
//! they wake each other for example, ends once it has used `MAX_TURN_CPU_TIME`; this is logged.
//!
//! Guarded against: a process that is suspended between its look at input and a decision would decide by the time
//! of its resumption, and a wait for input that a signal interrupts returns nothing although input has come.

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

/// Polls of the tasks in a row, each of several tasks, after which the loop looks at the processor time.
const POLLS_PER_BATCH: usize = 16;
/// Rows of polls after which the loop looks at input although some tasks are ready, so that tasks which wake each
/// other can't keep the process from its input. Rare, since what a look finds makes the turn longer.
const BATCHES_PER_DRIVER_POLL: usize = 64;
/// Processor time after which a turn ends although some tasks are ready. A suspension does not count.
const MAX_TURN_CPU_TIME: Duration = Duration::from_ms(1000);

/// Notes that a task was woken, and wakes the loop.
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

    /// Completes once a task is woken.
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

/// What the tasks came to when they were polled.
enum Progress<T> {
    /// None is ready.
    Idle,
    /// Some are still ready after the most polls in a row.
    Busy,
    /// The process's work is complete.
    Complete(T),
}

/// All work of the process.
pub struct EventLoop<F: Future> {
    clock: Rc<Clock>,
    work: Pin<Box<F>>,
    task_waker: Arc<TaskWaker>,
    /// The same as a waker, always one and the same.
    waker: Waker,
}

impl<F: Future> EventLoop<F> {
    /// A loop that polls this work, a `LocalSet` with all tasks for example, and advances this clock's watermark.
    pub fn new(clock: Rc<Clock>, work: F) -> Self {
        let task_waker = Arc::new(TaskWaker::default());
        let waker = Waker::from(task_waker.clone());
        Self { clock, work: Box::pin(work), task_waker, waker }
    }

    /// Runs the work to its end on a current-thread runtime.
    ///
    /// # Errors
    /// The input marker could not be made or placed.
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

    /// Reports all input that had arrived when the turn began, then lets those go on that wait for that.
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

    /// Polls the tasks until none is ready, or the turn has used up its processor time.
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
                log::warn!(cpu_ms = MAX_TURN_CPU_TIME.us() / 1000; "tasks never idle, turn ended");
                break;
            }
        }
        None
    }

    /// Polls the tasks until none is ready, or as often as may be in a row.
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

    /// Waits for input and timers until a task is ready; looks at input also if one is ready already.
    fn wait(&self, runtime: &Runtime) {
        if self.task_waker.is_woken() {
            poll_driver(runtime);
        } else {
            runtime.block_on(self.task_waker.woken());
        }
    }
}

/// Lets the runtime's driver look at input once, without waiting.
fn poll_driver(runtime: &Runtime) {
    runtime.block_on(tokio::task::yield_now());
}

/// The processor time that this thread has used.
fn thread_cpu_time() -> StdDuration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(StdDuration::from).unwrap_or_default()
}
