//! A dependency that all servers share, as an HTTP server.
//!
//! With at most as many concurrent calls as it has slots, a call takes its usual time. Above that the time
//! grows with the square of concurrent calls divided by slots (the coherence term of Gunther's Universal
//! Scalability Law, 1993, made steeper). It records the concurrency and the effects of the calls.

use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Longest time until the end of a caller's connection is noticed.
const DISCONNECT_POLL: Duration = Duration::from_millis(20);
/// Upper bound of the time of a call.
const MAX_CALL: Duration = Duration::from_secs(5);
/// Number of changes of concurrency that are recorded; later ones are left out.
const MAX_CHANGES: usize = 100_000;

/// A change of the number of concurrent calls.
#[derive(Clone, Copy, Debug)]
struct ConcurrencyChange {
    at: Instant,
    /// Number of concurrent calls from then on.
    calls: usize,
}

/// Settings of the dependency, and counts of its calls.
#[derive(Debug)]
pub struct DependencyState {
    /// Number of concurrent calls that are served without slowing down.
    pub slots: usize,
    /// Usual time of a call, in milliseconds.
    pub call_ms: f64,
    /// Factor on the time of calls that begin from now on; 1 stands for the usual time.
    pub slowdown: f64,
    concurrent_calls: usize,
    /// Highest number of concurrent calls so far.
    pub max_concurrent_calls: usize,
    changes: Vec<ConcurrencyChange>,
    /// Number of calls that took effect, cancelled ones included, by the reference that they carried.
    pub effects: BTreeMap<String, u32>,
}

impl DependencyState {
    fn record_concurrency(&mut self, calls: usize) {
        self.concurrent_calls = calls;
        self.max_concurrent_calls = self.max_concurrent_calls.max(calls);
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(ConcurrencyChange { at: Instant::now(), calls });
        }
    }

    /// Returns the highest mean number of concurrent calls over any time window of this length.
    pub fn max_mean_concurrency(&self, window: Duration) -> f64 {
        let Some(first) = self.changes.first() else { return 0.0 };
        // Concurrent calls integrated over time, up to each change; the number is constant between two
        // changes.
        let mut call_seconds_up_to = vec![0.0];
        for pair in self.changes.windows(2) {
            let call_seconds = (pair[1].at - pair[0].at).as_secs_f64() * pair[0].calls as f64;
            call_seconds_up_to.push(call_seconds_up_to[call_seconds_up_to.len() - 1] + call_seconds);
        }
        let (mut start, mut max_mean) = (0, 0.0f64);
        for (end, change) in self.changes.iter().enumerate() {
            while change.at - self.changes[start].at > window {
                start += 1;
            }
            // The window may begin between two changes; the time since the earlier one counts whole, which
            // can only raise the result.
            let before = call_seconds_up_to[start.saturating_sub(usize::from(change.at - first.at > window))];
            max_mean = max_mean.max((call_seconds_up_to[end] - before) / window.as_secs_f64());
        }
        max_mean
    }
}

/// A shared dependency on a loopback address, with threads of its own.
pub struct Dependency {
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<DependencyState>>,
}

impl Dependency {
    /// Starts a dependency that listens on this address; `call_ms` is the usual time of a call, in
    /// milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if the address is not a loopback address or is in use.
    pub fn start(address: &str, slots: usize, call_ms: f64) -> Self {
        let listener = TcpListener::bind(address).expect("address is free");
        let address = listener.local_addr().expect("valid address");
        assert!(address.ip().is_loopback(), "address of a test double is not a loopback address");
        let state = DependencyState {
            slots,
            call_ms,
            slowdown: 1.0,
            concurrent_calls: 0,
            max_concurrent_calls: 0,
            changes: Vec::new(),
            effects: BTreeMap::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let accept_state = state.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let call_state = accept_state.clone();
                spawn(move || serve(&call_state, &stream));
            }
        });
        Self { address, state }
    }

    /// Returns the state, locked until the guard is dropped.
    pub fn state(&self) -> MutexGuard<'_, DependencyState> {
        self.state.lock().expect("lock is not poisoned")
    }
}

/// Waits for the duration of a call and returns true; returns false as soon as the caller has closed its
/// connection, which cancels the call.
fn wait_for_caller(stream: &TcpStream, duration: Duration) -> bool {
    let deadline = Instant::now() + duration;
    while let remaining = deadline.saturating_duration_since(Instant::now())
        && !remaining.is_zero()
    {
        let _ = stream.set_read_timeout(Some(remaining.clamp(Duration::from_millis(1), DISCONNECT_POLL)));
        match stream.peek(&mut [0]) {
            Ok(0) => return false,
            Ok(_) => sleep(remaining.min(DISCONNECT_POLL)),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
    let _ = stream.set_read_timeout(None);
    true
}

fn serve(state: &Mutex<DependencyState>, stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some((reference, _)) = crate::http::read_request(&mut reader) {
        let duration = {
            let mut state = state.lock().expect("lock is not poisoned");
            let calls = state.concurrent_calls + 1;
            state.record_concurrency(calls);
            let overload = (state.concurrent_calls as f64 / state.slots.max(1) as f64).max(1.0);
            Duration::from_secs_f64(state.call_ms * state.slowdown * overload * overload / 1000.0)
        };
        let cancelled = !wait_for_caller(stream, duration.min(MAX_CALL));
        {
            let mut state = state.lock().expect("lock is not poisoned");
            let calls = state.concurrent_calls - 1;
            state.record_concurrency(calls);
            *state.effects.entry(reference).or_default() += 1;
        }
        if cancelled {
            return;
        }
        if (&*stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoted").is_err() {
            return;
        }
    }
}
