//! The ledger and the control plane: HTTP/1.1 servers with one call at a time on a connection.

use crate::{Chance, Record};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Reads one request; returns its `X-Txn-Ref` and its body.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<u8>)> {
    let (mut length, mut reference, mut first) = (0, String::new(), true);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() && !first {
            break;
        }
        first = false;
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            } else if name.eq_ignore_ascii_case("x-txn-ref") {
                reference = value.trim().to_string();
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((reference, body))
}

/// Answers every report with 204.
pub fn start_control_plane() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let mut writer = stream.try_clone().expect("a second handle");
                let mut reader = BufReader::new(stream);
                while read_request(&mut reader).is_some() {
                    let reply = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
                    if writer.write_all(reply).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// How the ledger answers.
#[derive(Clone)]
pub struct LedgerPlan {
    /// Time of a call.
    pub call: Duration,
    /// Every how many calls the reply is followed by a second copy of itself; 0 for never.
    pub copy_every: u64,
    /// Time from the reply to its second copy, in milliseconds.
    pub copy_after_ms: RangeInclusive<u64>,
}

#[derive(Default)]
pub struct LedgerState {
    pub calls: u64,
    pub copies: u64,
    /// The reply that was made for each call, by the request that the call names.
    pub replies: BTreeMap<String, Vec<u8>>,
}

pub struct Ledger {
    pub address: SocketAddr,
    pub state: Arc<Mutex<LedgerState>>,
}

impl Ledger {
    pub fn start(plan: LedgerPlan, record: Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(LedgerState::default()));
        let shared = state.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (plan, state, record) = (plan.clone(), shared.clone(), record.clone());
                spawn(move || serve(stream, &plan, &state, &record));
            }
        });
        Self { address, state }
    }
}

fn serve(stream: TcpStream, plan: &LedgerPlan, state: &Mutex<LedgerState>, record: &Record) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a second handle")));
    let mut reader = BufReader::new(stream);
    while let Some((reference, body)) = read_request(&mut reader) {
        sleep(plan.call);
        let receipt = format!("receipt of {reference} for {}", String::from_utf8_lossy(&body)).into_bytes();
        let is_copied = {
            let mut state = state.lock().expect("the state");
            state.calls += 1;
            state.replies.insert(reference.clone(), receipt.clone());
            plan.copy_every > 0 && state.calls.is_multiple_of(plan.copy_every)
        };
        let mut reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", receipt.len()).into_bytes();
        reply.extend_from_slice(&receipt);
        if writer.lock().expect("the writer").write_all(&reply).is_err() {
            return;
        }
        record.line(format!("ledger answered {reference}: {}", String::from_utf8_lossy(&receipt)));
        if is_copied {
            let writer = writer.clone();
            let record = record.clone();
            let copies = {
                let mut state = state.lock().expect("the state");
                state.copies += 1;
                state.copies
            };
            let after = Duration::from_millis(Chance::new(copies).draw(plan.copy_after_ms.clone()));
            spawn(move || {
                sleep(after);
                let sent = writer.lock().expect("the writer").write_all(&reply).is_ok();
                let how = if sent { "written" } else { "not written, connection closed" };
                record.line(format!("ledger: second copy of the reply to {reference} {how}"));
            });
        }
    }
}
