//! Stand-ins for the cases of the review: a runtime, a ledger, a control plane, an AMQP 0-9-1 broker, a TCP
//! proxy and a gateway. Only the standard library is used, and every address is a loopback address.

pub mod broker;
pub mod gateway;
pub mod http;
pub mod proxy;
pub mod runtime;
pub mod server;
pub mod settings;

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns whether the disruption is switched on: `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Writer of `record.txt`: one line an event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn create(path: &PathBuf) -> std::io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.0.elapsed().as_millis();
        let mut file = self.0.1.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{at:>7} {}", text.as_ref());
    }
}

/// What `run.sh` hands to each case.
pub struct Case {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
}

impl Case {
    /// Reads the arguments: the repository, the file of the record, an empty temporary folder.
    pub fn from_args() -> Self {
        let args: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
        let [root, record, temp] = args.as_slice() else {
            eprintln!("usage: CASE ROOT RECORD_FILE TEMP_FOLDER");
            exit(COULD_NOT_RUN);
        };
        let record = Record::create(record).unwrap_or_else(|e| could_not_run(&e.to_string()));
        record.line(format!("disruption: {}", if trouble() { "on" } else { "off" }));
        Self { root: root.clone(), temp: temp.clone(), record }
    }
}

pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    exit(COULD_NOT_RUN)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(data: &[u8]) -> String {
    let mut out = String::new();
    for part in data.chunks(3) {
        let bits =
            part.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for at in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= part.len() { digit as char } else { '=' });
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(value) = ALPHABET.iter().position(|digit| *digit == byte) else { return Vec::new() };
        (bits, count) = (bits << 6 | value as u32, count + 6);
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}

/// Pseudo-random numbers (SplitMix64) from a fixed seed.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number in the range.
    pub fn draw(&mut self, range: std::ops::RangeInclusive<u64>) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        range.start() + (mixed ^ (mixed >> 31)) % (range.end() - range.start() + 1)
    }
}
