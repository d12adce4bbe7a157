//! A control plane: servers report to it, gateways read the list of servers as it was some time ago.

use crate::now_ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// How long a name stays listed after its last report, in milliseconds.
const LISTED_FOR_MS: u64 = 3000;
/// Reports kept of each name.
const REPORT_CAPACITY: usize = 256;

/// The reports of all servers by name, shared with the control plane's threads.
#[derive(Clone, Default)]
pub struct ServerList(Arc<Mutex<BTreeMap<String, VecDeque<u64>>>>);

impl ServerList {
    fn report(&self, name: &str) {
        let mut reports_by_name = self.0.lock().expect("no panic before");
        let reports = reports_by_name.entry(name.to_string()).or_default();
        reports.push_back(now_ms());
        if reports.len() > REPORT_CAPACITY {
            reports.pop_front();
        }
    }

    /// The names that were listed so many milliseconds ago.
    pub fn listed(&self, age_ms: u64) -> BTreeSet<String> {
        let at = now_ms().saturating_sub(age_ms);
        let was_listed =
            |reports: &VecDeque<u64>| reports.iter().any(|ms| *ms <= at && *ms + LISTED_FOR_MS > at);
        let reports_by_name = self.0.lock().expect("no panic before");
        reports_by_name
            .iter()
            .filter(|(_, reports)| was_listed(reports))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The most reports of all names that came within one second so far.
    pub fn max_reports_in_a_second(&self) -> usize {
        let mut reports_per_second: BTreeMap<u64, usize> = BTreeMap::new();
        for ms in self.0.lock().expect("no panic before").values().flatten() {
            *reports_per_second.entry(ms / 1000).or_default() += 1;
        }
        reports_per_second.into_values().max().unwrap_or(0)
    }
}

/// A control plane on a loopback address.
pub struct Registry {
    /// Where it listens.
    pub address: SocketAddr,
    /// What servers reported.
    pub list: ServerList,
}

impl Registry {
    /// Starts on this address.
    ///
    /// # Panics
    ///
    /// Where the address is not a loopback address, or is taken.
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let address = listener.local_addr().expect("an address");
        assert!(address.ip().is_loopback(), "test doubles stay on loopback");
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
