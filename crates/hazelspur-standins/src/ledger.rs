//! A ledger that all servers share: so many slots, and a law of slowing down past them. Up to its slots a
//! call takes its time; past them all calls share the slots, and what is lost by changing between them grows
//! with their number, so a call takes the square of the crowd over the slots times as long (contention and
//! coherence of Gunther's Universal Scalability Law, 1993, with the second part only, and steeper, as a
//! shop's ledger would be).

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::Duration;

const LONGEST_CALL: Duration = Duration::from_secs(5);

#[derive(Debug)]
pub struct Books {
    pub slots: usize,
    pub call_ms: f64,
    /// By how many times all calls are slower now.
    pub slow: f64,
    out: usize,
    /// The most calls at once so far.
    pub most_out: usize,
    /// Effects by the op they were made for.
    pub effects: BTreeMap<String, u32>,
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
        let books = Books { slots, call_ms, slow: 1.0, out: 0, most_out: 0, effects: BTreeMap::new() };
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

fn serve(books: &Mutex<Books>, stream: &std::net::TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some((reference, _)) = crate::http::read_call(&mut reader) {
        let takes = {
            let mut books = books.lock().expect("no panic before");
            books.out += 1;
            books.most_out = books.most_out.max(books.out);
            let crowd = (books.out as f64 / books.slots.max(1) as f64).max(1.0);
            Duration::from_secs_f64(books.call_ms * books.slow * crowd * crowd / 1000.0)
        };
        sleep(takes.min(LONGEST_CALL));
        {
            let mut books = books.lock().expect("no panic before");
            books.out -= 1;
            *books.effects.entry(reference).or_default() += 1;
        }
        if (&*stream).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nnoted").is_err() {
            return;
        }
    }
}
