//! A broker for AMQP 0-9-1.
//!
//! It uses the codec of the `amq-protocol` crate, so that a mistake in the project's own codec can't cancel
//! out. It holds queues in memory, with dead letters, message expiration and a length limit, applies a
//! prefetch limit to each channel, sends publisher confirms, and records each message, delivery and
//! settlement.

mod connection;
mod delivery;
mod message;
mod methods;
mod publish;
mod state;

pub use message::{DeliveryRecord, Message, MessageEnd, Queue, SettledBy};
pub use state::BrokerState;

use crate::WRITE_TIMEOUT;
use amq_protocol::frame::parse_frame;
use amq_protocol::protocol::basic::AMQPProperties;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Time between two checks of message expiration, heartbeats and blocked connections.
const TICK: Duration = Duration::from_millis(4);
/// Highest number of bytes of a connection that are kept while they form no complete frame; with more it is
/// closed.
const MAX_UNREAD_BYTES: usize = 4 * 1024 * 1024;

/// A broker on a loopback address, with threads of its own; it stops when dropped.
pub struct Broker {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// State, and a condition variable that is notified after the frames of a client were handled and at each
    /// tick.
    shared: Arc<(Mutex<BrokerState>, Condvar)>,
}

impl Broker {
    /// Starts a broker on any free port of 127.0.0.1.
    pub fn start() -> Self {
        Self::start_at("127.0.0.1:0".parse().expect("valid address"))
    }

    /// Starts a broker on this loopback address.
    ///
    /// # Panics
    ///
    /// Panics if the address is not a loopback address or is in use.
    pub fn start_at(address: SocketAddr) -> Self {
        assert!(address.ip().is_loopback(), "address of a test double is not a loopback address");
        let state = BrokerState { frame_max: 131_072, heartbeat_s: 20, ..BrokerState::default() };
        let mut broker = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        broker.listen();
        let shared = Arc::downgrade(&broker.shared);
        spawn(move || {
            while let Some(shared) = shared.upgrade() {
                shared.0.lock().expect("lock is not poisoned").tick();
                shared.1.notify_all();
                drop(shared);
                sleep(TICK);
            }
        });
        broker
    }

    fn listen(&mut self) {
        let listener = TcpListener::bind(self.address).expect("address is free");
        self.address = listener.local_addr().expect("valid address");
        listener.set_nonblocking(true).expect("listener can be made non-blocking");
        let shared = self.shared.clone();
        spawn(move || {
            while !shared.0.lock().expect("lock is not poisoned").stopped {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let shared = shared.clone();
                        spawn(move || serve(&shared, stream));
                    }
                    Err(_) => sleep(TICK),
                }
            }
        });
    }

    /// Returns the state, locked until the guard is dropped. A second call while a guard is alive, as in one
    /// statement, deadlocks.
    pub fn state(&self) -> MutexGuard<'_, BrokerState> {
        self.shared.0.lock().expect("lock is not poisoned")
    }

    /// Declares a queue. Rejected and expired messages go to the queue `dead_letter_queue`, or are dropped
    /// without one.
    pub fn declare(&self, name: &str, dead_letter_queue: Option<&str>) {
        let queue = Queue { dead_letter_queue: dead_letter_queue.map(str::to_string), ..Queue::default() };
        self.state().queues.insert(name.into(), queue);
    }

    /// Puts a message into a queue, as if a client had published it, and returns its serial number.
    ///
    /// # Panics
    ///
    /// Panics if there is no such queue.
    pub fn publish(&self, queue: &str, properties: AMQPProperties, body: &[u8]) -> u64 {
        let mut state = self.state();
        let message = Message { properties, body: body.to_vec(), ..Message::default() };
        let serial = state.enqueue(queue, message, false).expect("queue is declared");
        state.deliver_ready();
        serial
    }

    /// Waits until the condition holds and returns true, or returns false after the timeout.
    pub fn wait_until(&self, timeout: Duration, mut condition: impl FnMut(&mut BrokerState) -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.state();
        while !condition(&mut state) {
            let Some(remaining) = deadline.checked_duration_since(Instant::now()) else { return false };
            state = self.shared.1.wait_timeout(state, remaining).expect("lock is not poisoned").0;
        }
        true
    }

    /// Breaks all connections and stops listening; messages stay in their queues.
    pub fn stop(&self) {
        let mut state = self.state();
        state.stopped = true;
        (0..state.connections.len()).for_each(|n| state.drop_connection(n));
    }

    /// Listens again on the same address after `stop`.
    pub fn restart(&mut self) {
        // The listener's thread has to notice the stop first.
        sleep(TICK * 4);
        self.state().stopped = false;
        self.listen();
    }

    /// Breaks all connections and goes on accepting new ones.
    pub fn cut_connections(&self) {
        let mut state = self.state();
        (0..state.connections.len()).for_each(|n| state.drop_connection(n));
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            self.stop();
        }
    }
}

fn serve(shared: &(Mutex<BrokerState>, Condvar), mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
    let Ok(writer) = stream.try_clone() else { return };
    let connection_index = shared.0.lock().expect("lock is not poisoned").accept(writer);
    let (mut unread, mut chunk) = (Vec::new(), [0; 16 * 1024]);
    while let Ok(count @ 1..) = stream.read(&mut chunk) {
        unread.extend_from_slice(&chunk[..count]);
        let mut state = shared.0.lock().expect("lock is not poisoned");
        let mut used = 0;
        while state.connections[connection_index].alive {
            let Ok((rest, frame)) = parse_frame(&unread[used..]) else { break };
            used = unread.len() - rest.len();
            state.handle_frame(connection_index, frame);
        }
        unread.drain(..used);
        state.deliver_ready();
        let alive = state.connections[connection_index].alive;
        drop(state);
        shared.1.notify_all();
        if !alive || unread.len() > MAX_UNREAD_BYTES {
            break;
        }
    }
    shared.0.lock().expect("lock is not poisoned").drop_connection(connection_index);
    shared.1.notify_all();
}
