//! A ledger that all servers share: so many slots, and a law of slowing down past them. Up to its slots a
//! call takes its time; past them all calls share the slots, and what is lost by changing between them grows
//! with their number, so a call takes the square of the crowd over the slots times as long (contention and
//! coherence of Gunther's Universal Scalability Law, 1993, with the second part only, and steeper, as a
//! shop's ledger would be).

use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How soon it is seen that a caller has given up.
const LOOK: Duration = Duration::from_millis(20);
const LONGEST_CALL: Duration = Duration::from_secs(5);
/// Changes kept of how many calls are in hand.
const MAX_CHANGES: usize = 100_000;

#[derive(Debug)]
pub struct Books {
    pub slots: usize,
    pub call_ms: f64,
    /// By how many times all calls are slower now.
    pub slow: f64,
    out: usize,
    /// The most calls at once so far.
    pub most_out: usize,
    /// When the number of calls in hand changed, and to what.
    changes: Vec<(Instant, usize)>,
    /// Effects by the request they were made for.
    pub effects: BTreeMap<String, u32>,
}

impl Books {
    fn change(&mut self, out: usize) {
        (self.out, self.most_out) = (out, self.most_out.max(out));
        if self.changes.len() < MAX_CHANGES {
            self.changes.push((Instant::now(), out));
        }
    }

    /// The most calls in hand on average over any stretch of this length.
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

pub struct Ledger {
    pub address: SocketAddr,
    books: Arc<Mutex<Books>>,
}

impl Ledger {
    pub fn start(address: &str, slots: usize, call_ms: f64) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let address = listener.local_addr().expect("an address");
        assert!(address.ip().is_loopback(), "stand-ins stay on loopback");
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

    pub fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().expect("no panic before")
    }
}

/// Waits so long; false as soon as the caller has closed its connection, which gives its call up.
fn lasts(stream: &TcpStream, takes: Duration) -> bool {
    let until = Instant::now() + takes;
    while let left = until.saturating_duration_since(Instant::now())
        && !left.is_zero()
    {
        let _ = stream.set_read_timeout(Some(left.clamp(Duration::from_millis(1), LOOK)));
        match stream.peek(&mut [0]) {
            Ok(0) => return false,
            Ok(_) => sleep(left.min(LOOK)),
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
        let given_up = !lasts(stream, takes.min(LONGEST_CALL));
        {
            let mut books = books.lock().expect("no panic before");
            let out = books.out - 1;
            books.change(out);
            *books.effects.entry(reference).or_default() += 1;
        }
        if given_up {
            return;
        }
        if (&*stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoted").is_err() {
            return;
        }
    }
}
