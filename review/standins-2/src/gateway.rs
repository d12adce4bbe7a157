//! A gateway: sends requests on one connection at a steady pace, reads the answers, and never tries again.

use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// One request and its answers.
#[derive(Clone, Default)]
pub struct Request {
    pub body: Vec<u8>,
    /// Result of each answer; `None` for a refusal or a failure.
    pub answers: Vec<Option<Vec<u8>>>,
}

/// What a gateway sends.
#[derive(Clone)]
pub struct Traffic {
    pub number: u64,
    pub method: &'static str,
    pub owner: &'static str,
    pub timeout_ms: u64,
    pub gap: Duration,
    pub requests: u64,
}

/// Sends the traffic to a server and returns all requests with their answers.
pub fn send(server: SocketAddr, traffic: &Traffic, record: &Record) -> std::io::Result<Vec<Request>> {
    let stream = TcpStream::connect(server)?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let requests: Arc<Mutex<BTreeMap<u64, Request>>> = Arc::default();
    let (read_requests, read_record) = (requests.clone(), record.clone());
    let reader = std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            let Some(id) = number_after(&line, "\"id\":") else { continue };
            let mut requests = read_requests.lock().unwrap_or_else(|e| e.into_inner());
            let Some(request) = requests.get_mut(&id) else { continue };
            let result = text_after(&line, "\"data\":\"").filter(|_| line.contains("\"result\":"));
            let result = result.map(decode);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            match &result {
                Some(result) => {
                    read_record
                        .add(format!("gateway: {body:?} served {:?}", String::from_utf8_lossy(result)));
                }
                None => read_record.add(format!("gateway: {body:?} not served: {line}")),
            }
            request.answers.push(result);
        }
    });
    for id in 1..=traffic.requests {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let body = format!("change {}.{id}", traffic.number).into_bytes();
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{}\",\"params\":{{\"req\":\"{:016x}\",\"ts\":{},\
             \"via\":{},\"owner\":\"{}\",\"timeout\":{},\"need\":30.5,\"level\":0.5,\"data\":\"{}\"}}}}\n",
            traffic.method,
            (now.as_nanos() as u64) ^ (traffic.number << 56),
            now.as_millis(),
            traffic.number,
            traffic.owner,
            traffic.timeout_ms,
            encode(&body)
        );
        let request = Request { body, answers: Vec::new() };
        requests.lock().unwrap_or_else(|e| e.into_inner()).insert(id, request);
        writer.write_all(line.as_bytes())?;
        std::thread::sleep(traffic.gap);
    }
    std::thread::sleep(Duration::from_millis(traffic.timeout_ms + 500));
    writer.shutdown(std::net::Shutdown::Both)?;
    let _ = reader.join();
    let requests = requests.lock().unwrap_or_else(|e| e.into_inner());
    Ok(requests.values().cloned().collect())
}

fn number_after(line: &str, text: &str) -> Option<u64> {
    let rest = &line[line.find(text)? + text.len()..];
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

fn text_after<'a>(line: &'a str, text: &str) -> Option<&'a str> {
    let rest = &line[line.find(text)? + text.len()..];
    rest.split('"').next()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let all = chunk.iter().fold(0u32, |all, byte| all << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(all >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

/// Decodes base64 as the server writes it.
fn decode(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    for chunk in text.trim_end_matches('=').as_bytes().chunks(4) {
        let value = |digit: &u8| DIGITS.iter().position(|other| other == digit).unwrap_or(0) as u32;
        let all = chunk.iter().fold(0u32, |all, digit| all << 6 | value(digit)) << (6 * (4 - chunk.len()));
        out.extend(&all.to_be_bytes()[1..chunk.len()]);
    }
    out
}
