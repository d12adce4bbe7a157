//! Tests of turns of the event loop: a turn handles all input that had arrived, however much, in all tasks.

use super::run_in_event_loop;
use hazelspur::Duration;
use hazelspur_server::clock::{Clock, TimedOut, to_std};
use std::cell::Cell;
use std::io::Write;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};

/// Number of operations, a multiple of the events that one poll of the I/O driver returns and of a task's
/// budget.
const MANY_OPERATIONS: usize = 10_000;
/// Number of connections, also a multiple of the events that one poll of the I/O driver returns. Each takes
/// two descriptors of a process that may have 20,000.
const MANY_CONNECTIONS: usize = 7000;
/// Number of connections, more than the events of two polls, that fits into the descriptors beside
/// `MANY_CONNECTIONS` of a concurrent test.
const SEVERAL_CONNECTIONS: usize = 2100;
/// Timeout of the waits under test.
const WAIT_TIMEOUT: Duration = Duration::from_ms(300);
/// Time for which the thread is blocked, longer than the timeout.
const BLOCKING_TIME: Duration = Duration::from_ms(400);
/// Maximum duration of a wait of `WAIT_TIMEOUT` during a flood of input.
const MAX_WAIT_DURING_FLOOD: std::time::Duration = std::time::Duration::from_secs(10);

/// Returns both ends of a connection: one for the event loop, and a blocking one. It is a Unix socket, since
/// the system has fewer ports than these tests open connections.
fn connected_pair() -> (UnixStream, StdUnixStream) {
    let (local, peer) = StdUnixStream::pair().expect("two descriptors");
    local.set_nonblocking(true).expect("non-blocking mode");
    (UnixStream::from_std(local).expect("a stream"), peer)
}

/// Connections on each of which a task awaits a byte for at most `WAIT_TIMEOUT`.
struct AwaitedConnections {
    peers: Vec<StdUnixStream>,
    waiting_tasks: Vec<JoinHandle<bool>>,
}

impl AwaitedConnections {
    /// Opens the connections; the timeout of each task starts with the signal.
    fn open(clock: &Rc<Clock>, count: usize, start_signal: &Rc<tokio::sync::Notify>) -> Self {
        let (mut peers, mut waiting_tasks) = (Vec::new(), Vec::new());
        for _ in 0..count {
            let (mut stream, peer) = connected_pair();
            peers.push(peer);
            let (clock, start_signal) = (clock.clone(), start_signal.clone());
            waiting_tasks.push(spawn_local(async move {
                start_signal.notified().await;
                clock.timeout(WAIT_TIMEOUT, stream.read_u8()).await.is_ok()
            }));
        }
        Self { peers, waiting_tasks }
    }

    fn write_to_each(&mut self) {
        self.peers.iter_mut().for_each(|peer| peer.write_all(b"x").expect("written"));
    }

    async fn count_timed_out(self) -> usize {
        let mut count = 0;
        for task in self.waiting_tasks {
            count += usize::from(!task.await.expect("no panic"));
        }
        count
    }
}

/// Starts a task that reads bytes one by one and sends messages for each to a second task, which completes
/// the receiver after the last.
fn relay_one_by_one(mut stream: UnixStream, count: usize, messages_per_byte: usize) -> oneshot::Receiver<()> {
    let (sender, mut receiver) = unbounded_channel();
    let (done, all_received) = oneshot::channel();
    spawn_local(async move {
        for _ in 0..count {
            stream.read_u8().await.expect("a byte");
            (0..messages_per_byte).for_each(|_| sender.send(()).expect("the receiver is open"));
        }
        stream
    });
    spawn_local(async move {
        for _ in 0..count * messages_per_byte {
            receiver.recv().await.expect("a message");
        }
        done.send(()).expect("the receiver is open");
    });
    all_received
}

/// Lets every task that is ready continue until it waits.
async fn let_tasks_wait(clock: &Clock) {
    clock.sleep(Duration::from_ms(1)).await;
}

/// Returns the number of connections that timed out although a byte had arrived on each while the thread was
/// blocked.
fn count_timeouts(count: usize) -> usize {
    run_in_event_loop(async |clock: Rc<Clock>| {
        let start_signal = Rc::new(tokio::sync::Notify::new());
        let mut connections = AwaitedConnections::open(&clock, count, &start_signal);
        let_tasks_wait(&clock).await;
        start_signal.notify_waiters();
        let_tasks_wait(&clock).await;
        let start_time = Instant::now();
        connections.write_to_each();
        std::thread::sleep(to_std(BLOCKING_TIME).saturating_sub(start_time.elapsed()));
        connections.count_timed_out().await
    })
}

/// More connections have input than one poll of the I/O driver returns.
#[test]
fn input_on_many_connections_counts_before_a_timeout() {
    assert_eq!(count_timeouts(MANY_CONNECTIONS), 0);
}

/// Relays bytes that are read one by one, and returns `Ok` if a third task is notified of the last message
/// before its timeout. The thread is blocked past the timeout once all bytes were written.
fn relay_within_timeout(bytes: usize, messages_per_byte: usize) -> Result<(), TimedOut> {
    run_in_event_loop(async |clock: Rc<Clock>| {
        let (stream, mut peer) = connected_pair();
        let relayed = relay_one_by_one(stream, bytes, messages_per_byte);
        let_tasks_wait(&clock).await;
        let waiting_clock = clock.clone();
        let waiting = spawn_local(async move { waiting_clock.timeout(WAIT_TIMEOUT, relayed).await });
        let_tasks_wait(&clock).await;
        peer.write_all(&vec![1; bytes]).expect("written");
        std::thread::sleep(to_std(BLOCKING_TIME));
        waiting.await.expect("no panic").map(|received| received.expect("all were received"))
    })
}

/// A task that uses up its budget of operations yields before it has read all input.
#[test]
fn reads_beyond_the_task_budget_count_before_a_timeout() {
    assert_eq!([300, MANY_OPERATIONS].map(|bytes| relay_within_timeout(bytes, 1)), [Ok(()); 2]);
}

/// The budget is used up by messages to another task.
#[test]
fn messages_beyond_the_task_budget_count_before_a_timeout() {
    assert_eq!([300, MANY_OPERATIONS].map(|messages| relay_within_timeout(1, messages)), [Ok(()); 2]);
}

#[test]
fn work_of_a_yielding_task_counts_before_a_timeout() {
    let result = run_in_event_loop(async |clock: Rc<Clock>| {
        let (mut stream, mut peer) = connected_pair();
        let reading = spawn_local(async move {
            stream.read_u8().await.expect("a byte");
            for _ in 0..MANY_OPERATIONS {
                tokio::task::yield_now().await;
            }
        });
        let waiting_clock = clock.clone();
        let waiting = spawn_local(async move {
            waiting_clock.timeout(WAIT_TIMEOUT, reading).await.map(|read| read.is_ok())
        });
        let_tasks_wait(&clock).await;
        peer.write_all(b"x").expect("written");
        std::thread::sleep(to_std(BLOCKING_TIME));
        waiting.await.expect("no panic")
    });
    assert_eq!(result, Ok(true));
}

#[test]
fn many_connections_and_messages_count_before_a_timeout() {
    let (timed_out, relayed) = run_in_event_loop(async |clock: Rc<Clock>| {
        let start_signal = Rc::new(tokio::sync::Notify::new());
        let (stream, mut peer) = connected_pair();
        let relayed = relay_one_by_one(stream, MANY_OPERATIONS, 1);
        let (waiting_clock, wait_signal) = (clock.clone(), start_signal.clone());
        let relayed = spawn_local(async move {
            wait_signal.notified().await;
            waiting_clock.timeout(WAIT_TIMEOUT, relayed).await.is_ok()
        });
        let mut connections = AwaitedConnections::open(&clock, SEVERAL_CONNECTIONS, &start_signal);
        let_tasks_wait(&clock).await;
        start_signal.notify_waiters();
        let_tasks_wait(&clock).await;
        connections.write_to_each();
        peer.write_all(&[1; MANY_OPERATIONS]).expect("written");
        std::thread::sleep(to_std(BLOCKING_TIME));
        (connections.count_timed_out().await, relayed.await.expect("no panic"))
    });
    assert_eq!((timed_out, relayed), (0, true));
}

/// Peer that writes endlessly to a connection until it is dropped.
struct Flood {
    is_ended: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Flood {
    fn start(mut peer: StdUnixStream) -> Self {
        let is_ended = Arc::new(AtomicBool::new(false));
        let thread_is_ended = is_ended.clone();
        let thread = std::thread::spawn(move || {
            while !thread_is_ended.load(Ordering::Relaxed) && peer.write_all(&[1; 4096]).is_ok() {}
        });
        Self { is_ended, thread: Some(thread) }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.is_ended.store(true, Ordering::Relaxed);
        let thread = self.thread.take().expect("dropped once");
        thread.join().expect("no panic");
    }
}

/// Returns the duration of a wait of `WAIT_TIMEOUT` while a task reads a flood.
fn measure_wait_during_flood(read: impl AsyncFn(&Clock, UnixStream) + 'static) -> std::time::Duration {
    run_in_event_loop(async |clock: Rc<Clock>| {
        let (stream, peer) = connected_pair();
        let reader_clock = clock.clone();
        let reader = spawn_local(async move { read(&reader_clock, stream).await });
        let _flood = Flood::start(peer);
        let start_time = Instant::now();
        clock.sleep(WAIT_TIMEOUT).await;
        let elapsed = start_time.elapsed();
        // Closes the connection, so that the flooding thread ends.
        reader.abort();
        let _ = reader.await;
        elapsed
    })
}

#[test]
fn timeout_ends_while_a_task_reads_a_flood_byte_by_byte() {
    let elapsed = measure_wait_during_flood(async |_, mut stream| while stream.read_u8().await.is_ok() {});
    assert!(elapsed >= to_std(WAIT_TIMEOUT) && elapsed < MAX_WAIT_DURING_FLOOD, "{elapsed:?}");
}

#[test]
fn timeout_ends_while_tasks_wake_each_other_endlessly() {
    let elapsed = run_in_event_loop(async |clock: Rc<Clock>| {
        let (first_sender, first_receiver) = unbounded_channel();
        let (second_sender, second_receiver) = unbounded_channel();
        let forward = |mut from: UnboundedReceiver<()>, to: tokio::sync::mpsc::UnboundedSender<()>| async move {
            while from.recv().await.is_some_and(|()| to.send(()).is_ok()) {}
        };
        first_sender.send(()).expect("the receiver is open");
        spawn_local(forward(first_receiver, second_sender));
        spawn_local(forward(second_receiver, first_sender));
        let start_time = Instant::now();
        clock.sleep(WAIT_TIMEOUT).await;
        start_time.elapsed()
    });
    assert!(elapsed < MAX_WAIT_DURING_FLOOD, "{elapsed:?}");
}

/// A reader takes what its socket can hold in one turn and continues in the next, so that turns end.
#[test]
fn reader_of_a_flood_is_limited_to_its_quota_in_each_turn() {
    let turn_count = Rc::new(Cell::new(0));
    let last_turn = turn_count.clone();
    let elapsed = measure_wait_during_flood(async move |clock, mut stream| {
        let quota = hazelspur_server::read_quota::ReadQuota::default();
        let mut chunk = vec![0; 4096];
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            quota.take(clock, count, socket2::SockRef::from(&stream)).await;
            last_turn.set(clock.completed_turns());
        }
    });
    assert!(
        elapsed < MAX_WAIT_DURING_FLOOD && turn_count.get() > 3,
        "{elapsed:?}, {} turns",
        turn_count.get()
    );
}
