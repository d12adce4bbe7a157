//! A dependency that all servers share. Up to its slots a call takes its usual time; past them the time grows with the
//! square of concurrent calls over slots (the coherence term of Gunther's Universal Scalability Law, 1993, made
//! steeper).

use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How soon the end of a caller's connection is noticed.
const DISCONNECT_POLL: Duration = Duration::from_millis(20);
/// The longest time that a call takes.
const MAX_CALL: Duration = Duration::from_secs(5);
/// Recorded changes of the number of concurrent calls.
const MAX_CHANGES: usize = 100_000;

/// What the dependency does and has counted.
#[derive(Debug)]
pub struct Books {
    /// Calls that it serves at once without slowing down.
    pub slots: usize,
    /// The usual time of a call, in milliseconds.
    pub call_ms: f64,
    /// The factor by which all calls are slower now.
    pub slow: f64,
    out: usize,
    /// The highest number of concurrent calls so far.
    pub most_out: usize,
    /// When the number of concurrent calls changed, and to what.
    changes: Vec<(Instant, usize)>,
    /// Calls that took effect, by the reference that they carried.
    pub effects: BTreeMap<String, u32>,
}

impl Books {
    fn change(&mut self, out: usize) {
        (self.out, self.most_out) = (out, self.most_out.max(out));
        if self.changes.len() < MAX_CHANGES {
            self.changes.push((Instant::now(), out));
        }
    }

    /// The highest mean of concurrent calls over any time of this length.
    pub fn most_on_average(&self, over: Duration) -> f64 {
        let Some((first, _)) = self.changes.first() else { return 0.0 };
        // Call-seconds up to each change: between two changes the number stands.
        let mut sums = vec![0.0];
        for two in self.changes.windows(2) {
            let took = (two[1].0 - two[0].0).as_secs_f64() * two[0].1 as f64;
            sums.push(sums[sums.len() - 1] + took);
        }
        let (mut from, mut most) = (0, 0.0f64);
        for (to, (at, _)) in self.changes.iter().enumerate() {
            while *at - self.changes[from].0 > over {
                from += 1;
            }
            // The stretch may begin within the step before: that counts whole.
            let before = sums[from.saturating_sub(usize::from(*at - *first > over))];
            most = most.max((sums[to] - before) / over.as_secs_f64());
        }
        most
    }
}

/// A shared dependency on a loopback address.
pub struct Ledger {
    /// Where it listens.
    pub address: SocketAddr,
    books: Arc<Mutex<Books>>,
}

impl Ledger {
    /// Starts on this address.
    ///
    /// # Panics
    ///
    /// Where the address is not a loopback address, or is taken.
    pub fn start(address: &str, slots: usize, call_ms: f64) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let address = listener.local_addr().expect("an address");
        assert!(address.ip().is_loopback(), "test doubles stay on loopback");
        let books = Books {
            slots,
            call_ms,
            slow: 1.0,
            out: 0,
            most_out: 0,
            changes: Vec::new(),
            effects: BTreeMap::new(),
        };
        let books = Arc::new(Mutex::new(books));
        let at = books.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let at = at.clone();
                spawn(move || serve(&at, &stream));
            }
        });
        Self { address, books }
    }

    /// Its state, locked.
    pub fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().expect("no panic before")
    }
}

/// Waits so long; false as soon as the caller has closed its connection, which cancels its call.
fn wait_for_caller(stream: &TcpStream, takes: Duration) -> bool {
    let until = Instant::now() + takes;
    while let left = until.saturating_duration_since(Instant::now())
        && !left.is_zero()
    {
        let _ = stream.set_read_timeout(Some(left.clamp(Duration::from_millis(1), DISCONNECT_POLL)));
        match stream.peek(&mut [0]) {
            Ok(0) => return false,
            Ok(_) => sleep(left.min(DISCONNECT_POLL)),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
    let _ = stream.set_read_timeout(None);
    true
}

fn serve(books: &Mutex<Books>, stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some((reference, _)) = crate::http::read_call(&mut reader) {
        let takes = {
            let mut books = books.lock().expect("no panic before");
            let out = books.out + 1;
            books.change(out);
            let crowd = (books.out as f64 / books.slots.max(1) as f64).max(1.0);
            Duration::from_secs_f64(books.call_ms * books.slow * crowd * crowd / 1000.0)
        };
        let cancelled = !wait_for_caller(stream, takes.min(MAX_CALL));
        {
            let mut books = books.lock().expect("no panic before");
            let out = books.out - 1;
            books.change(out);
            *books.effects.entry(reference).or_default() += 1;
        }
        if cancelled {
            return;
        }
        if (&*stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoted").is_err() {
            return;
        }
    }
}
