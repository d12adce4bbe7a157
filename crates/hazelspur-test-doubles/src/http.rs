//! An HTTP/1.1 server that answers every call with the same response and counts the calls by reference or
//! path.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// An HTTP server with a fixed response, on a loopback address.
pub struct HttpServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Number of calls by `X-Txn-Ref` header, or by path for calls without one.
    calls: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl HttpServer {
    /// Starts a server on this address that answers each call with this status, such as `200 OK`, and this
    /// body.
    ///
    /// # Panics
    ///
    /// Panics if the address is not a loopback address or is in use.
    pub fn start(address: &str, status: &'static str, body: &'static str) -> Self {
        let listener = TcpListener::bind(address).expect("address is free");
        let address = listener.local_addr().expect("valid address");
        assert!(address.ip().is_loopback(), "address of a test double is not a loopback address");
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

    /// Returns the number of calls by `X-Txn-Ref` header, or by path for calls without one.
    pub fn calls(&self) -> BTreeMap<String, u32> {
        self.calls.lock().expect("lock is not poisoned").clone()
    }
}

/// Reads one HTTP request and returns its `X-Txn-Ref` header, or its path if there is none, and its body.
/// Returns `None` if the stream ends within the header or fails.
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
        *calls.lock().expect("lock is not poisoned").entry(reference).or_default() += 1;
        let reply = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if (&*stream).write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}
