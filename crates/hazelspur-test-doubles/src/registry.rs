//! A registry: servers report to it over HTTP, and gateways read the list of servers as it was some time ago.

use crate::now_ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// Time for which a server stays listed after a report, in milliseconds.
const LISTED_FOR_MS: u64 = 3000;
/// Number of recent reports that are kept for each server.
const REPORT_CAPACITY: usize = 256;

/// Times of the recent reports of each server, in Unix milliseconds by name; shared with the registry's
/// threads.
#[derive(Clone, Default)]
pub struct ServerList(Arc<Mutex<BTreeMap<String, VecDeque<u64>>>>);

impl ServerList {
    fn report(&self, name: &str) {
        let mut reports_by_name = self.0.lock().expect("lock is not poisoned");
        let reports = reports_by_name.entry(name.to_string()).or_default();
        reports.push_back(now_ms());
        if reports.len() > REPORT_CAPACITY {
            reports.pop_front();
        }
    }

    /// Returns the names of the servers that were listed `age_ms` milliseconds ago.
    pub fn listed(&self, age_ms: u64) -> BTreeSet<String> {
        let at = now_ms().saturating_sub(age_ms);
        let was_listed =
            |reports: &VecDeque<u64>| reports.iter().any(|ms| *ms <= at && *ms + LISTED_FOR_MS > at);
        let reports_by_name = self.0.lock().expect("lock is not poisoned");
        reports_by_name
            .iter()
            .filter(|(_, reports)| was_listed(reports))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the highest number of reports, of all servers together, within one second of the clock. Only
    /// the reports that are kept count.
    pub fn max_reports_in_a_second(&self) -> usize {
        let mut reports_per_second: BTreeMap<u64, usize> = BTreeMap::new();
        for ms in self.0.lock().expect("lock is not poisoned").values().flatten() {
            *reports_per_second.entry(ms / 1000).or_default() += 1;
        }
        reports_per_second.into_values().max().unwrap_or(0)
    }
}

/// A registry on a loopback address, with threads of its own.
pub struct Registry {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Reports of the servers.
    pub list: ServerList,
}

impl Registry {
    /// Starts a registry that listens on this address.
    ///
    /// # Panics
    ///
    /// Panics if the address is not a loopback address or is in use.
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("address is free");
        let address = listener.local_addr().expect("valid address");
        assert!(address.ip().is_loopback(), "address of a test double is not a loopback address");
        let list = ServerList::default();
        let accept_list = list.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection_list = accept_list.clone();
                spawn(move || serve(&connection_list, &stream));
            }
        });
        Self { address, list }
    }
}

fn serve(list: &ServerList, stream: &TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Some((path, _)) = crate::http::read_request(&mut reader) {
        list.report(path.rsplit('/').next().unwrap_or_default());
        let mut writer = stream;
        if writer.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
    }
}
