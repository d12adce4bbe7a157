//! The processes of one run: real servers with their test doubles, and processes of lightweight members. A
//! process is killed when the value that holds it is dropped.

use super::member::{Counters, Order, Task};
use super::{Fleet, INSTALLATION, KEY, Plan, QUOTA_LEASE_S, SHARED_LIMIT, STOP_MS, WORKER_CORES};
use anyhow::Context;
use hazelspur_test_doubles::dependency::Dependency;
use hazelspur_test_doubles::gateway::{Gateway, GatewaySettings, Response};
use hazelspur_test_doubles::registry::Registry;
use hazelspur_test_doubles::worker::{Worker, WorkerSettings};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::{Duration, Instant};

/// Request timeout, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 3000;
/// Duration of a dependency call, in milliseconds.
const CALL_MS: f64 = 10.0;
/// Time that a worker takes to run a request, in milliseconds.
const RUN_MS: u64 = 15;
/// Concurrency limit of a worker for each of its cores.
const CONCURRENCY_LIMIT_PER_CORE: usize = 8;
/// Pause between two checks for the exit of a process.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Real servers with their workers and shared test doubles.
pub struct RealServers {
    fleet: Fleet,
    server_binary: PathBuf,
    /// Folder for configuration, operator's files and logs.
    pub folder: PathBuf,
    /// Process of each server; `None` before its start and after its exit.
    processes: Vec<Option<Child>>,
    workers: Vec<Worker>,
    dependency: Dependency,
    registry: Registry,
    /// Gateway that sends requests, once they have been started.
    gateway: Option<Gateway>,
}

impl RealServers {
    /// Writes the key file and starts the test doubles, but no server.
    ///
    /// # Errors
    /// Returns an error if the key file cannot be written.
    pub fn new(plan: &Plan, fleet: &Fleet, folder: PathBuf) -> anyhow::Result<Self> {
        std::fs::write(folder.join("key"), KEY)?;
        let worker_settings = WorkerSettings {
            run_ms: RUN_MS,
            makes_calls: true,
            fail_every: 0,
            cores: WORKER_CORES,
            call_deadline_ms: REQUEST_TIMEOUT_MS,
        };
        Ok(Self {
            workers: (0..fleet.real).map(|_| Worker::start("127.0.0.1:0", worker_settings)).collect(),
            dependency: Dependency::start("127.0.0.1:0", fleet.call_slots() as usize, CALL_MS),
            registry: Registry::start("127.0.0.1:0"),
            processes: (0..fleet.real).map(|_| None).collect(),
            gateway: None,
            fleet: fleet.clone(),
            server_binary: plan.server_binary.clone(),
            folder,
        })
    }

    /// Writes the files of a real server and starts it.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written or the process cannot be started.
    pub fn start(&mut self, index: usize) -> anyhow::Result<()> {
        let (fleet, name) = (&self.fleet, self.fleet.name(index));
        let path = |extension| self.folder.join(format!("{name}.{extension}"));
        std::fs::write(path("json"), self.config_text(index))?;
        let seeds: Vec<String> = fleet.seed_addresses().iter().map(ToString::to_string).collect();
        let operator_file = format!(
            "fleet(\n    installation = {INSTALLATION:?},\n    site = {:?},\n    at = \"{}\",\n    \
             contacts = {seeds:?},\n    key_file = {:?},\n    most = {},\n    together = True,\n    \
             keepers = {:?},\n    lease_s = {QUOTA_LEASE_S},\n    \
             shares = [{{\"limit\": \"{SHARED_LIMIT}\", \"total\": {}}}],\n)\n",
            fleet.site(index),
            fleet.gossip_address(index),
            self.folder.join("key"),
            fleet.max_members(),
            fleet.voters(),
            fleet.call_slots(),
        );
        std::fs::write(path("star"), operator_file)?;
        let log = std::fs::File::create(path("log"))?;
        let mut command = Command::new(&self.server_binary);
        command.env("ROUTER_CONFIG", path("json")).arg("--file").arg(path("star"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().with_context(|| format!("cannot start {:?}", self.server_binary))?;
        self.processes[index] = Some(child);
        Ok(())
    }

    fn config_text(&self, index: usize) -> String {
        let deadline_us = REQUEST_TIMEOUT_MS * 1000;
        let settings = serde_json::json!({
            "family-info": {"n-cores": WORKER_CORES, "mem-limit-kb": 100_000, "run-factor": 8, "stop-mode": "drop",
                "meters": ["core_use", "on_cores"], "calls-out": 8.0, "calls-over-us": 5_000_000,
                "passes-deadline": true},
            "lanes": [
                {"name": "view", "aim-us": 1_500_000, "deadline-us": deadline_us, "semantics": "safe",
                    "importance": 1},
                {"name": "set-qty", "aim-us": 1_500_000, "deadline-us": deadline_us, "semantics": "keyed",
                    "memory-span-us": 60_000_000},
                {"name": "book", "aim-us": 1_500_000, "deadline-us": deadline_us, "semantics": "unsafe"}],
            "rules": {"fall-multiple": CONCURRENCY_LIMIT_PER_CORE, "cold-share": 0.2, "cold-us": 5_000_000,
                "drain-grace-us": 300_000},
            "limits": {"retry-after": true, "max-retry-after-us": 1_000_000},
            "servers": self.fleet.members,
        });
        serde_json::json!({
            "name": self.fleet.name(index), "listen": self.fleet.gateway_address(index).to_string(),
            "runtime": self.workers[index].address.to_string(), "ledger": self.dependency.address.to_string(),
            "control": self.registry.address.to_string(),
            "seed": format!("{:016x}", self.fleet.seed ^ index as u64),
            "stop_ms": STOP_MS, "limits": {"sockets": 512}, "settings": settings,
        })
        .to_string()
    }

    /// Starts a gateway that sends `rate` requests per second to all listed servers; none if the rate is 0.
    pub fn start_requests(&mut self, rate: f64) {
        if rate <= 0.0 {
            return;
        }
        let gateway_settings = GatewaySettings {
            by_request_hash: false,
            retries: 1,
            retries_elsewhere: true,
            obeys_retry_after: true,
            requests_per_s: rate,
            list_age_ms: 1000,
            timeout_ms: REQUEST_TIMEOUT_MS,
        };
        let (list, servers) = (self.registry.list.clone(), self.fleet.real);
        let list_servers = Box::new(move || {
            let names = list.listed(gateway_settings.list_age_ms);
            let indices = names.iter().filter_map(|name| name.strip_prefix('n')?.parse().ok());
            indices.filter(|index| *index < servers).collect()
        });
        let servers = (0..servers).map(|index| self.fleet.gateway_address(index)).collect();
        self.gateway = Some(Gateway::start(0, gateway_settings, servers, list_servers, self.fleet.seed));
    }

    /// Returns the process ids of the real servers; `None` for one that does not run.
    pub fn ids(&self) -> Vec<Option<u32>> {
        self.processes.iter().map(|child| child.as_ref().map(Child::id)).collect()
    }

    /// Checks that no server has exited.
    ///
    /// # Errors
    /// Returns an error with the last line of the log of a server that has exited.
    pub fn check_running(&mut self) -> anyhow::Result<()> {
        for (index, child) in self.processes.iter_mut().enumerate() {
            let Some(status) = child.as_mut().map(Child::try_wait).transpose()?.flatten() else { continue };
            *child = None;
            let name = self.fleet.name(index);
            let log = std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
            let last_line = log.lines().last().unwrap_or("its log is empty");
            anyhow::bail!("{name} exited early with {status}; last line of its log: {last_line}");
        }
        Ok(())
    }

    /// Stops the requests and all servers. Returns the number of requests that succeeded and the number of
    /// attempts that were sent.
    ///
    /// # Errors
    /// Returns an error if a server had to be killed or did not exit with status 0.
    pub fn stop(&mut self) -> anyhow::Result<(usize, usize)> {
        let attempts = self.gateway.take().map(|mut gateway| gateway.finish()).unwrap_or_default();
        let is_acked = |attempt: &&hazelspur_test_doubles::gateway::Attempt| {
            attempt.responses.iter().any(|response| response.0 == Response::Succeeded)
        };
        let requests = (attempts.iter().filter(is_acked).count(), attempts.len());
        for child in self.processes.iter().flatten() {
            // The process has not been waited for yet, so its id cannot have been reused.
            let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM);
        }
        let deadline = Instant::now() + Duration::from_millis(STOP_MS + 8000);
        let mut failures = Vec::new();
        for (index, child) in self.processes.iter_mut().enumerate() {
            let Some(mut child) = child.take() else { continue };
            let status = loop {
                match child.try_wait()? {
                    Some(status) => break Some(status),
                    None if Instant::now() >= deadline => break None,
                    None => std::thread::sleep(EXIT_POLL_INTERVAL),
                }
            };
            if status.is_none() {
                let _ = child.kill();
                let _ = child.wait();
            }
            if !status.is_some_and(|status| status.success()) {
                failures.push(format!("{} exited with {status:?}", self.fleet.name(index)));
            }
        }
        anyhow::ensure!(failures.is_empty(), failures.join("; "));
        Ok(requests)
    }
}

impl Drop for RealServers {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Process of lightweight members.
pub struct LightweightProcess {
    child: Child,
    orders: Option<ChildStdin>,
    answers: Receiver<String>,
    /// Index in the fleet of the first member.
    pub first_member: usize,
    /// Number of members.
    pub count: usize,
}

impl LightweightProcess {
    /// Starts the process and sends it its task, without waiting. Its first answer means that all sockets are
    /// bound.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started or its input cannot be written.
    pub fn start(plan: &Plan, task: &Task) -> anyhow::Result<Self> {
        let mut command = Command::new(&plan.own_binary);
        command.arg(super::command::MEMBERS_SUBCOMMAND).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().with_context(|| format!("cannot start {:?}", plan.own_binary))?;
        let (mut orders, output) =
            (child.stdin.take(), child.stdout.take().context("lightweight members have no output")?);
        let (answer_sender, answers) = sync_channel(1);
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if answer_sender.send(line).is_err() {
                    break;
                }
            }
        });
        let task_line = serde_json::to_string(task)?;
        let sent = orders.as_mut().map(|orders| writeln!(orders, "{task_line}"));
        let process = Self { child, orders, answers, first_member: task.first_member, count: task.count };
        sent.context("lightweight members have no input")?
            .context("cannot write to the input of lightweight members")?;
        Ok(process)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends an order, without waiting for the answer.
    ///
    /// # Errors
    /// Returns an error if the input of the process cannot be written.
    pub fn send_order(&mut self, order: Order) -> anyhow::Result<()> {
        let line = serde_json::to_string(&order)?;
        writeln!(self.orders.as_mut().context("lightweight members have no input")?, "{line}")
            .context("cannot write to the input of lightweight members")
    }

    /// Waits for the answer to the task or an order.
    ///
    /// # Errors
    /// Returns an error if no answer comes within the timeout, or it is not valid.
    pub fn wait_for_answer(&mut self, timeout: Duration) -> anyhow::Result<Counters> {
        let line = self.answers.recv_timeout(timeout);
        let line = line.with_context(|| {
            format!("lightweight members from {}: no answer within {timeout:?}", self.first_member)
        })?;
        Ok(serde_json::from_str(&line)?)
    }

    /// Checks that the process has not exited.
    ///
    /// # Errors
    /// Returns an error with its exit status if it has.
    pub fn check_running(&mut self) -> anyhow::Result<()> {
        let status = self.child.try_wait()?;
        anyhow::ensure!(
            status.is_none(),
            "lightweight members from {}: exited early with {status:?}",
            self.first_member
        );
        Ok(())
    }

    /// Closes the input of the process and waits for its exit.
    ///
    /// # Errors
    /// Returns an error if the process does not exit within the timeout, or not with status 0.
    pub fn stop(&mut self, timeout: Duration) -> anyhow::Result<()> {
        self.orders = None;
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                anyhow::ensure!(
                    status.success(),
                    "lightweight members from {}: exited with {status}",
                    self.first_member
                );
                return Ok(());
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        anyhow::bail!(
            "lightweight members from {}: no exit within {timeout:?} of the end of the input",
            self.first_member
        )
    }
}

impl Drop for LightweightProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
