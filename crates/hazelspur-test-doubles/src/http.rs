//! An HTTP/1.1 server that gives every call the same reply and counts the calls by reference or path.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// The server.
pub struct HttpServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls by their `X-Txn-Ref`, or path where there is none.
    calls: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl HttpServer {
    /// Starts on this address and answers each call with this status line and body.
    ///
    /// # Panics
    ///
    /// Where the address is not a loopback address, or is taken.
    pub fn start(address: &str, status: &'static str, body: &'static str) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let address = listener.local_addr().expect("an address");
        assert!(address.ip().is_loopback(), "test doubles stay on loopback");
        let calls = Arc::new(Mutex::new(BTreeMap::new()));
        let accept_calls = calls.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection_calls = accept_calls.clone();
                spawn(move || serve(&stream, status, body, &connection_calls));
            }
        });
        Self { address, calls }
    }

    /// How often each reference, or path, was called.
    pub fn calls(&self) -> BTreeMap<String, u32> {
        self.calls.lock().expect("no panic before").clone()
    }
}

/// Reads one call: its `X-Txn-Ref`, or its path where there is none, and its body. `None` at the end, or
/// where it is no call.
pub fn read_request(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let (mut request_line, mut reference, mut length) = (String::new(), None, 0);
    if reader.read_line(&mut request_line).map_or(true, |count| count == 0) {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).map_or(true, |count| count == 0) {
            return None;
        }
        match line.trim_end().split_once(": ") {
            Some(("Content-Length", value)) => length = value.parse().unwrap_or(0),
            Some(("X-Txn-Ref", value)) => reference = Some(value.to_string()),
            Some(_) => {}
            None => break,
        }
    }
    let mut body = Vec::new();
    reader.by_ref().take(length).read_to_end(&mut body).ok()?;
    let path = request_line.split(' ').nth(1).unwrap_or_default().to_string();
    Some((reference.unwrap_or(path), body))
}

fn serve(stream: &TcpStream, status: &str, body: &str, calls: &Mutex<BTreeMap<String, u32>>) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some((reference, _)) = read_request(&mut reader) {
        *calls.lock().expect("no panic before").entry(reference).or_default() += 1;
        let reply = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if (&*stream).write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}
