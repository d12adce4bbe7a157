//! Tests of the event loop and the clock's input watermark: input that arrived before a time is reported
//! before any timeout or decision for that time. A task that blocks the thread simulates a suspension of the
//! process.

mod decisions;
mod timeouts;
mod turns;

use hazelspur_server::clock::Clock;
use hazelspur_server::event_loop::EventLoop;
use std::io::Write;
use std::net::{TcpListener, TcpStream as StdTcpStream};
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs the future of a test in an event loop, like the process runs its work.
fn run_in_event_loop<F: Future>(test: impl FnOnce(Rc<Clock>) -> F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    let clock = Rc::new(Clock::default());
    let tasks = LocalSet::new();
    let work = tasks.run_until(test(clock.clone()));
    EventLoop::new(clock, work).run(&runtime).expect("a descriptor")
}

/// Returns both ends of a TCP connection: one for the event loop, and a blocking one.
fn connected_pair() -> (TcpStream, StdTcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let peer = StdTcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (accepted, _) = listener.accept().expect("a connection");
    accepted.set_nonblocking(true).expect("non-blocking mode");
    (TcpStream::from_std(accepted).expect("a stream"), peer)
}

/// Writes bytes as the peer, then blocks the thread.
fn block_thread_while_peer_writes(peer: &mut StdTcpStream, bytes: &[u8], blocked_ms: u64) {
    peer.write_all(bytes).expect("written");
    std::thread::sleep(StdDuration::from_millis(blocked_ms));
}
