//! A control plane: servers report, gateways read a list that is as late as it is told to be.

use crate::now_ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// A name stays listed for so long after its last report, in ms.
const LAPSE_MS: u64 = 3000;
/// Reports kept of each name.
const KEPT: usize = 256;

#[derive(Clone, Default)]
pub struct List(Arc<Mutex<BTreeMap<String, VecDeque<u64>>>>);

impl List {
    /// Who was listed so many ms ago.
    pub fn listed(&self, late_ms: u64) -> BTreeSet<String> {
        let at = now_ms().saturating_sub(late_ms);
        let there = |reports: &VecDeque<u64>| reports.iter().any(|ms| *ms <= at && *ms + LAPSE_MS > at);
        let reports = self.0.lock().expect("no panic before");
        reports.iter().filter(|(_, reports)| there(reports)).map(|(name, _)| name.clone()).collect()
    }

    /// The most reports of all names that came within one second so far.
    pub fn busiest_second(&self) -> usize {
        let mut each: BTreeMap<u64, usize> = BTreeMap::new();
        for ms in self.0.lock().expect("no panic before").values().flatten() {
            *each.entry(ms / 1000).or_default() += 1;
        }
        each.into_values().max().unwrap_or(0)
    }
}

pub struct Control {
    pub address: SocketAddr,
    pub list: List,
}

impl Control {
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let address = listener.local_addr().expect("an address");
        assert!(address.ip().is_loopback(), "stand-ins stay on loopback");
        let list = List::default();
        let at = list.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let at = at.clone();
                spawn(move || {
                    let mut reader = BufReader::new(&stream);
                    while let Some((path, _)) = crate::http::read_call(&mut reader) {
                        let name = path.rsplit('/').next().unwrap_or_default().to_string();
                        let mut reports = at.0.lock().expect("no panic before");
                        let reports = reports.entry(name).or_default();
                        reports.push_back(now_ms());
                        if reports.len() > KEPT {
                            reports.pop_front();
                        }
                        if (&stream)
                            .write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, list }
    }
}
