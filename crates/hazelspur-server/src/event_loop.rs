//! The event loop: polls the process's tasks in turns, and advances the clock's input watermark.
//!
//! A turn takes the time, lets the runtime's driver look at all input without waiting, and then polls the tasks
//! until none is ready any more. By then all input that had arrived before the turn is read and reported, through
//! however many tasks it passes, and the watermark advances to the time at which the turn began. Only after that
//! do the tasks go on that wait for a time or for a decision.
//!
//! Guarded against: a process that is suspended between its look at input and a decision would decide by the time
//! of its resumption, and a wait for input that a signal interrupts returns nothing although input has come.

use crate::clock::Clock;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll, Wake, Waker};

/// Polls of the tasks after which a turn ends although some are ready, so that tasks which wake each other can't
/// keep the process from its input. The watermark stays where it is then.
const MAX_POLLS_PER_TURN: usize = 1024;

/// Notes that a task was woken, and wakes the runtime.
#[derive(Default)]
struct TaskWaker {
    woken: AtomicBool,
    runtime: OnceLock<Waker>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.woken.store(true, Ordering::Release);
        if let Some(runtime) = self.runtime.get() {
            runtime.wake_by_ref();
        }
    }
}

/// Where the loop is between two polls by the runtime.
#[derive(Clone, Copy)]
enum Stage {
    /// The runtime waits for input and timers.
    Waiting,
    /// The runtime looks at input without waiting, for the turn that has begun.
    Looking,
}

/// What the tasks came to when they were polled.
enum Progress<T> {
    /// None is ready.
    Idle,
    /// Some are still ready after the most polls of a turn.
    Busy,
    /// The process's work is complete.
    Complete(T),
}

/// All work of the process, to be given to `Runtime::block_on` of a current-thread runtime.
pub struct EventLoop<F: Future> {
    clock: Rc<Clock>,
    work: Pin<Box<F>>,
    stage: Stage,
    task_waker: Arc<TaskWaker>,
    /// The same as a waker, always one and the same.
    waker: Waker,
}

impl<F: Future> EventLoop<F> {
    /// A loop that polls this work, a `LocalSet` with all tasks for example, and advances this clock's watermark.
    pub fn new(clock: Rc<Clock>, work: F) -> Self {
        let task_waker = Arc::new(TaskWaker::default());
        let waker = Waker::from(task_waker.clone());
        Self { clock, work: Box::pin(work), stage: Stage::Waiting, task_waker, waker }
    }

    /// Begins a turn: the runtime looks at input before it polls again.
    fn begin_turn(&mut self, context: &mut Context<'_>) -> Poll<F::Output> {
        self.clock.begin_turn();
        self.stage = Stage::Looking;
        // Wakes the loop only after the runtime's driver was polled.
        let _ = pin!(tokio::task::yield_now()).poll(context);
        Poll::Pending
    }

    /// Polls the tasks until none is ready.
    fn poll_tasks(&mut self) -> Progress<F::Output> {
        for _ in 0..MAX_POLLS_PER_TURN {
            self.task_waker.woken.store(false, Ordering::Release);
            let mut context = Context::from_waker(&self.waker);
            if let Poll::Ready(output) = self.work.as_mut().poll(&mut context) {
                return Progress::Complete(output);
            }
            if !self.task_waker.woken.load(Ordering::Acquire) {
                return Progress::Idle;
            }
        }
        Progress::Busy
    }

    /// Reports what the look at input found, then lets those go on that wait for that.
    fn run_turn(&mut self) -> Progress<F::Output> {
        match self.poll_tasks() {
            Progress::Idle => {
                let is_awaited = self.clock.watermark_is_awaited();
                self.clock.input_is_reported();
                if is_awaited { self.poll_tasks() } else { Progress::Idle }
            }
            progress => progress,
        }
    }
}

impl<F: Future> Future for EventLoop<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        self.task_waker.runtime.get_or_init(|| context.waker().clone());
        if matches!(self.stage, Stage::Waiting) {
            return self.begin_turn(context);
        }
        match self.run_turn() {
            Progress::Complete(output) => Poll::Ready(output),
            Progress::Busy => self.begin_turn(context),
            Progress::Idle if self.clock.watermark_is_awaited() => self.begin_turn(context),
            Progress::Idle => {
                self.stage = Stage::Waiting;
                Poll::Pending
            }
        }
    }
}
