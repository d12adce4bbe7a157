//! Processes, relays and test doubles of one run. Each run has its own network 127.N.0.0/16. The third octet
//! of an address is 1 for the servers themselves and 2 for their datagram relays; 3, 4 and 5 for the relays
//! through which each server reaches its worker, the dependency and the registry; and 10 plus the gateway's
//! number for the relays through which a gateway reaches the servers. The last octet is the server's number
//! plus one.

use crate::checker::ProcessIncarnation;
use crate::link_faults::LinkFaults;
use crate::relay::{self, Refusals};
use crate::script::{Fault, FaultKind, Party, SITES, Script, site};
use anyhow::Context;
use hazelspur_test_doubles::dependency::Dependency;
use hazelspur_test_doubles::gateway::{Gateway, GatewaySettings};
use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::registry::Registry;
use hazelspur_test_doubles::worker::{Worker, WorkerSettings};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Text of the fleet's key.
pub const KEY: &str = "a key for the fleet on this machine only";
/// Name of the installation.
pub const INSTALLATION: &str = "bed";
/// Grace period of a drain, in milliseconds.
pub const GRACE_MS: u64 = 300;
/// Time that a server may take from the shutdown notice to its exit, in milliseconds.
pub const STOP_MS: u64 = 1500;
/// Timeout of a request, in milliseconds: its gateway gives up, and its run ends if it still waits for its
/// call.
const REQUEST_TIMEOUT_MS: u64 = 3000;
/// Number of cores of each worker.
pub const CORES: usize = 2;
/// Concurrency limit of a worker per core.
pub const RUNS_PER_CORE: usize = 8;
/// Usual limit of the mean number of concurrent dependency calls of one server.
pub const CALLS_PER_SERVER: f64 = 8.0;
/// Window over which the number of concurrent dependency calls is averaged.
pub const CALL_AVERAGING_WINDOW: Duration = Duration::from_secs(5);
/// Highest number of servers of a run; an octet of an address holds the server's number.
const MAX_SERVERS: usize = 200;
/// Highest number of gateways of a run; an octet of an address holds the gateway's number.
const MAX_GATEWAYS: usize = 40;
/// Number of runs of this process so far, from which each run's network and directory are derived.
static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the server binary.
    pub server_binary: PathBuf,
    /// Number of servers.
    pub servers: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Timed faults.
    pub script: Script,
    /// Seed from which all random choices derive.
    pub seed: u64,
    /// Requests per second of all gateways together.
    pub rate: f64,
    /// Highest number of servers that the operator's file states for the fleet.
    pub max_servers: usize,
    /// Limit of the mean number of concurrent dependency calls that the settings give each server.
    pub calls_per_server: f64,
    /// Whether servers act on each other's load reports and share the dependency's slots by leases.
    pub coordinated: bool,
}

impl Plan {
    /// Returns the number of concurrent calls that the dependency takes, which is also the shared limit if
    /// the servers are coordinated.
    pub fn slots(&self) -> usize {
        self.servers * 2
    }

    /// Returns the names of the servers that vote on the allocator: the first five, which cover all three
    /// sites, or the first alone if there are fewer than five servers.
    fn allocator_voters(&self) -> Vec<String> {
        let count = if self.servers >= 5 { 5 } else { 1 };
        (0..count).map(|server| format!("n{server}")).collect()
    }
}

/// Processes, test doubles and relays of one run. Dropping it kills the processes and removes the directory,
/// unless the environment variable `HAZELSPUR_KEEP` is set.
pub struct TestFleet {
    /// Parameters of the run.
    pub plan: Plan,
    network: u8,
    /// Listener that keeps other runs on this machine from taking the network.
    _network_claim: TcpListener,
    directory: PathBuf,
    /// Faults of the links.
    pub link_faults: LinkFaults,
    /// Connections that a relay accepted but whose target refused them.
    pub refusals: Refusals,
    /// Worker of each server, indexed by server.
    pub workers: Vec<Worker>,
    /// Shared dependency.
    pub dependency: Dependency,
    /// Registry of the servers.
    pub registry: Registry,
    processes: Vec<Option<Child>>,
    suspended_since_ms: Vec<Option<u64>>,
    /// All process incarnations so far; the last one of a server is the one that may run.
    pub process_incarnations: Vec<ProcessIncarnation>,
    /// Gateways; empty until [`start_gateways`](Self::start_gateways).
    pub gateways: Vec<Gateway>,
    relay_runtime: tokio::runtime::Runtime,
}

impl TestFleet {
    fn address(&self, third_octet: usize, server: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.network, third_octet as u8, server as u8 + 1), port))
    }

    /// Creates the network, directory, test doubles and relays of a run; servers and gateways are started
    /// later.
    ///
    /// # Errors
    ///
    /// Fails if the number of servers or gateways is out of range, or if no network, directory or relay can
    /// be created.
    pub fn new(plan: Plan) -> anyhow::Result<Self> {
        anyhow::ensure!(
            (1..=MAX_SERVERS).contains(&plan.servers),
            "number of servers is {}, allowed are 1 to {MAX_SERVERS}",
            plan.servers
        );
        anyhow::ensure!(
            plan.gateways <= MAX_GATEWAYS,
            "number of gateways is {}, allowed are up to {MAX_GATEWAYS}",
            plan.gateways
        );
        let run = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
        let (network, claim) = claim_network(std::process::id().wrapping_mul(13) + run)
            .context("claiming a network in 127.0.0.0/8")?;
        let directory = std::env::temp_dir().join(format!("hazelspur-bed-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        // The key file is written once per run, since a starting server may be reading it.
        std::fs::write(directory.join("key"), KEY)?;
        let relay_runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let worker_settings = WorkerSettings {
            run_ms: 15,
            makes_calls: true,
            fail_every: 0,
            cores: CORES,
            call_deadline_ms: REQUEST_TIMEOUT_MS,
        };
        let link_faults = LinkFaults::new(plan.script.clone());
        let mut fleet = Self {
            workers: (0..plan.servers).map(|_| Worker::start("127.0.0.1:0", worker_settings)).collect(),
            dependency: Dependency::start("127.0.0.1:0", plan.slots(), 10.0),
            registry: Registry::start("127.0.0.1:0"),
            processes: (0..plan.servers).map(|_| None).collect(),
            suspended_since_ms: vec![None; plan.servers],
            process_incarnations: Vec::new(),
            gateways: Vec::new(),
            network,
            _network_claim: claim,
            directory,
            link_faults,
            refusals: Refusals::default(),
            relay_runtime,
            plan,
        };
        fleet.start_relays().context("starting the relays")?;
        Ok(fleet)
    }

    fn start_relays(&mut self) -> anyhow::Result<()> {
        let senders =
            (0..self.plan.servers).map(|server| (self.address(1, server, 7946), Party::Server(server)));
        let senders: BTreeMap<SocketAddr, Party> = senders.collect();
        let senders = Arc::new(Mutex::new(senders));
        for server in 0..self.plan.servers {
            let server_party = Party::Server(server);
            let mut links = vec![
                (
                    (server_party, Party::Worker(server)),
                    self.address(3, server, 7300),
                    self.workers[server].address,
                ),
                ((server_party, Party::Dependency), self.address(4, server, 9042), self.dependency.address),
                ((server_party, Party::Registry), self.address(5, server, 7946), self.registry.address),
            ];
            links.extend((0..self.plan.gateways).map(|gateway| {
                let endpoints = (Party::Gateway(gateway), server_party);
                (endpoints, self.address(10 + gateway, server, 9000), self.address(1, server, 9000))
            }));
            for (endpoints, listen, target) in links {
                let (link_faults, refusals) = (self.link_faults.clone(), self.refusals.clone());
                self.relay_runtime.block_on(relay::tcp(
                    link_faults,
                    endpoints,
                    (listen, target),
                    refusals,
                ))?;
            }
            let (listen, target) = (self.address(2, server, 7946), self.address(1, server, 7946));
            let seed = self.plan.seed ^ server as u64;
            let link_faults = self.link_faults.clone();
            self.relay_runtime.block_on(relay::udp(
                link_faults,
                server_party,
                listen,
                target,
                senders.clone(),
                seed,
            ))?;
        }
        Ok(())
    }

    /// Returns the address at which a server itself receives membership datagrams, without a relay.
    pub fn membership_address(&self, server: usize) -> SocketAddr {
        self.address(1, server, 7946)
    }

    /// Returns the path of the operator's file of a server.
    pub fn operator_file(&self, server: usize) -> PathBuf {
        self.directory.join(format!("n{server}.star"))
    }

    /// Returns the path of the log of a server.
    pub fn log_file(&self, server: usize) -> PathBuf {
        self.directory.join(format!("n{server}.log"))
    }

    /// Returns whether the process of a server runs, as of the last [`reap`](Self::reap).
    pub fn is_running(&self, server: usize) -> bool {
        self.processes[server].is_some()
    }

    /// Starts a process of a server, unless one runs.
    ///
    /// # Errors
    ///
    /// Fails if its files cannot be written or the process cannot be started.
    pub fn start_server(&mut self, server: usize) -> anyhow::Result<()> {
        if self.processes[server].is_some() {
            return Ok(());
        }
        let settings_file = self.directory.join(format!("n{server}.json"));
        let key_file = self.directory.join("key");
        std::fs::write(&settings_file, self.settings(server))?;
        let contacts: Vec<String> =
            (0..self.plan.servers.min(3)).map(|server| self.address(2, server, 7946).to_string()).collect();
        let coordination = if self.plan.coordinated {
            format!(
                "    together = True,\n    keepers = {:?},\n    lease_s = 4,\n    shares = [{{\"limit\": \"calls\", \"total\": {}}}],\n",
                self.plan.allocator_voters(),
                self.plan.slots()
            )
        } else {
            String::new()
        };
        let operator_text = format!(
            "fleet(\n    installation = {INSTALLATION:?},\n    site = {:?},\n    at = \"{}\",\n    listen = \"{}\",\n    contacts = {contacts:?},\n    key_file = {key_file:?},\n    most = {},\n{coordination})\n",
            SITES[site(server)],
            self.address(2, server, 7946),
            self.address(1, server, 7946),
            self.plan.max_servers,
        );
        std::fs::write(self.operator_file(server), operator_text)?;
        let server_faults =
            self.plan.script.0.iter().filter(|fault| fault.target.covers(Party::Server(server)));
        let clock_offset_ms = server_faults
            .filter_map(|fault| if let FaultKind::ClockOffset(ms) = fault.kind { Some(ms) } else { None })
            .sum::<i64>();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log_file(server))?;
        let mut command = Command::new(&self.plan.server_binary);
        command.env("ROUTER_CONFIG", &settings_file).arg("--file").arg(self.operator_file(server));
        command.arg(format!("--clock-apart-ms={clock_offset_ms}"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().with_context(|| format!("starting {:?}", self.plan.server_binary))?;
        self.processes[server] = Some(child);
        self.process_incarnations.push(ProcessIncarnation {
            server,
            started_ms: now_ms(),
            ..ProcessIncarnation::default()
        });
        Ok(())
    }

    /// Returns the content of the settings file of a server.
    fn settings(&self, server: usize) -> String {
        let settings = serde_json::json!({
            "family-info": {"n-cores": CORES, "mem-limit-kb": 100_000, "run-factor": 8, "stop-mode": "drop",
                "meters": ["core_use", "on_cores"], "calls-out": self.plan.calls_per_server, "calls-over-us": CALL_AVERAGING_WINDOW.as_micros() as u64,
                "passes-deadline": true},
            "lanes": [
                {"name": "view", "aim-us": 1_500_000, "deadline-us": REQUEST_TIMEOUT_MS * 1000, "semantics": "safe", "importance": 1},
                {"name": "set-qty", "aim-us": 1_500_000, "deadline-us": REQUEST_TIMEOUT_MS * 1000, "semantics": "keyed",
                    "memory-span-us": 60_000_000},
                {"name": "book", "aim-us": 1_500_000, "deadline-us": REQUEST_TIMEOUT_MS * 1000, "semantics": "unsafe"}],
            "rules": {"fall-multiple": RUNS_PER_CORE, "cold-share": 0.2, "cold-us": 5_000_000,
                "drain-grace-us": GRACE_MS * 1000},
            "limits": {"retry-after": true, "max-retry-after-us": 1_000_000},
            "servers": self.plan.servers,
        });
        serde_json::json!({
            "name": format!("n{server}"), "listen": self.address(1, server, 9000).to_string(),
            "runtime": self.address(3, server, 7300).to_string(), "ledger": self.address(4, server, 9042).to_string(),
            "control": self.address(5, server, 7946).to_string(), "seed": format!("{:016x}", self.plan.seed ^ server as u64),
            "stop_ms": STOP_MS, "limits": {"sockets": 512}, "settings": settings,
        })
        .to_string()
    }

    /// Starts all gateways, which differ in retries, choice of servers and age of their list of servers.
    pub fn start_gateways(&mut self) {
        for gateway in 0..self.plan.gateways {
            let gateway_settings = GatewaySettings {
                by_request_hash: gateway % 2 == 1,
                retries: [0, 1, 3, 8][gateway % 4],
                retries_elsewhere: gateway % 3 != 2,
                obeys_retry_after: gateway % 4 < 2,
                requests_per_s: self.plan.rate / self.plan.gateways as f64,
                list_age_ms: 1000 + 400 * (gateway as u64 % 4),
                timeout_ms: REQUEST_TIMEOUT_MS,
            };
            let servers =
                (0..self.plan.servers).map(|server| self.address(10 + gateway, server, 9000)).collect();
            let list = self.registry.list.clone();
            let list_servers = Box::new(move || {
                let names = list.listed(gateway_settings.list_age_ms);
                names.iter().filter_map(|name| name.strip_prefix('n')?.parse().ok()).collect()
            });
            let seed = self.plan.seed.wrapping_mul(31) + gateway as u64;
            self.gateways.push(Gateway::start(gateway, gateway_settings, servers, list_servers, seed));
        }
    }

    fn pid(&self, server: usize) -> Option<Pid> {
        // The process id is not reused yet, since the child has not been waited for.
        self.processes[server].as_ref().map(|child| Pid::from_raw(child.id() as i32))
    }

    fn latest_process(&mut self, server: usize) -> Option<&mut ProcessIncarnation> {
        self.process_incarnations.iter_mut().rev().find(|process| process.server == server)
    }

    /// Returns the numbers of the servers that a party names.
    pub fn servers_of(&self, party: Party) -> Vec<usize> {
        (0..self.plan.servers).filter(|server| party.covers(Party::Server(*server))).collect()
    }

    /// Applies the begin or the end of a fault of processes or of the dependency. Faults of links, which the
    /// relays apply, and clock offsets, which a process has from its start, have no effect here.
    ///
    /// # Errors
    ///
    /// Fails if a server cannot be restarted.
    pub fn apply(&mut self, fault: &Fault, begins: bool) -> anyhow::Result<()> {
        let servers = self.servers_of(fault.target);
        match (fault.kind, begins) {
            (FaultKind::Kill, true) => servers.into_iter().for_each(|server| self.kill(server)),
            (FaultKind::Suspend, true) => servers.into_iter().for_each(|server| self.suspend(server)),
            (FaultKind::Suspend, false) => servers.into_iter().for_each(|server| self.resume(server)),
            (FaultKind::Terminate, true) => servers.into_iter().for_each(|server| self.terminate(server)),
            (FaultKind::Kill | FaultKind::Terminate, false) => {
                for server in servers {
                    self.resume(server);
                    self.wait_for_exit(server, STOP_MS + 5000);
                    self.start_server(server)?;
                }
            }
            (FaultKind::Slowdown(factor), begins) => {
                self.dependency.state().slowdown = if begins { factor as f64 } else { 1.0 }
            }
            _ => {}
        }
        Ok(())
    }

    fn kill(&mut self, server: usize) {
        if let Some(pid) = self.pid(server) {
            let _ = kill(pid, Signal::SIGKILL);
            if let Some(process) = self.latest_process(server) {
                process.killed = true;
            }
            self.wait_for_exit(server, 10_000);
        }
    }

    fn suspend(&mut self, server: usize) {
        if let Some(pid) = self.pid(server).filter(|_| self.suspended_since_ms[server].is_none()) {
            let _ = kill(pid, Signal::SIGSTOP);
            self.suspended_since_ms[server] = Some(now_ms());
        }
    }

    fn resume(&mut self, server: usize) {
        let suspended_at_ms = self.suspended_since_ms[server].take();
        if let (Some(suspended_at_ms), Some(pid)) = (suspended_at_ms, self.pid(server)) {
            let _ = kill(pid, Signal::SIGCONT);
            if let Some(process) = self.latest_process(server) {
                process.suspensions.push((suspended_at_ms, now_ms()));
            }
        }
    }

    fn terminate(&mut self, server: usize) {
        if let Some(pid) = self.pid(server) {
            let _ = kill(pid, Signal::SIGTERM);
            if let Some(process) = self.latest_process(server) {
                process.notice_ms.get_or_insert(now_ms());
            }
        }
    }

    /// Waits for the exit of a process that was killed or sent SIGTERM, at most for so many milliseconds.
    fn wait_for_exit(&mut self, server: usize, within_ms: u64) {
        let deadline_ms = now_ms() + within_ms;
        let exit_expected =
            self.latest_process(server).is_some_and(|process| process.notice_ms.is_some() || process.killed);
        while exit_expected && now_ms() < deadline_ms && self.processes[server].is_some() {
            self.reap();
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
    }

    /// Records the processes that have exited, and the peak memory of all.
    pub fn reap(&mut self) {
        for server in 0..self.processes.len() {
            let Some(child) = &mut self.processes[server] else { continue };
            let (pid, exit_status) = (child.id(), child.try_wait().ok().flatten());
            let peak_memory_kb = peak_memory_kb(pid);
            if let Some(process) =
                self.process_incarnations.iter_mut().rev().find(|process| process.server == server)
            {
                process.peak_memory_kb = process.peak_memory_kb.max(peak_memory_kb);
                if let Some(status) = exit_status {
                    (process.ended_ms, process.exit_status) = (Some(now_ms()), status.code());
                }
            }
            if exit_status.is_some() {
                (self.processes[server], self.suspended_since_ms[server]) = (None, None);
            }
        }
    }

    /// Returns the last three log lines of each server that does not run.
    pub fn last_log_lines(&self) -> String {
        let not_running = (0..self.plan.servers).filter(|server| !self.is_running(*server));
        let log_ends = not_running.map(|server| {
            let text = std::fs::read_to_string(self.log_file(server)).unwrap_or_default();
            let last: Vec<&str> = text.lines().rev().take(3).collect();
            format!("n{server}: {}", last.into_iter().rev().collect::<Vec<_>>().join(" / "))
        });
        log_ends.collect::<Vec<_>>().join("\n")
    }

    /// Resumes suspended servers, sends SIGTERM to all, and waits for their exit.
    pub fn stop_all(&mut self) {
        for server in 0..self.plan.servers {
            self.resume(server);
            self.terminate(server);
        }
        for server in 0..self.plan.servers {
            self.wait_for_exit(server, STOP_MS + 8000);
        }
    }
}

/// Claims the first network, counted from `from`, that no other run on this machine has. Returns its second
/// octet and the listener that holds the claim.
///
/// # Errors
///
/// Fails if all networks are taken.
pub(crate) fn claim_network(from: u32) -> std::io::Result<(u8, TcpListener)> {
    /// Number of networks in 127.0.0.0/8 that a run may take.
    const NETWORKS: u32 = 180;
    let network = |offset: u32| 64 + (from.wrapping_add(offset) % NETWORKS) as u8;
    let claim =
        |network: u8| TcpListener::bind((Ipv4Addr::new(127, network, 250, 250), 7999)).map(|l| (network, l));
    (0..NETWORKS)
        .map(|offset| claim(network(offset)))
        .find(Result::is_ok)
        .unwrap_or_else(|| claim(network(0)))
}

/// Returns the peak resident memory of a process in kB, or 0 if it is unknown.
fn peak_memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("HAZELSPUR_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
