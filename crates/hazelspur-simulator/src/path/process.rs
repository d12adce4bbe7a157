//! Runs one real server as a process with test doubles for its worker and registry, and reads its CPU time
//! and memory from the operating system. All processes started here are in one list, so that they end with
//! this program, by process id: also when a run fails, on a signal to this program, and at its time limit.

use crate::path::load::{Message, WireProtocol};
use crate::path::plan::{Arrival, ServerAddresses, TableSize, configuration};
use crate::path::wires::GatewayProtocol;
use anyhow::{Context, bail, ensure};
use hazelspur_test_doubles::registry::Registry;
use hazelspur_test_doubles::reserved_address::ReservedAddress;
use hazelspur_test_doubles::worker::{Worker, WorkerSettings};
use nix::sys::signal::{Signal, kill};
use nix::time::ClockId;
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Timeout for a start, and for a reload of the settings.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for a server to end after SIGTERM, before it is killed.
const END_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between two health checks, and between two checks whether a process has ended.
const HEALTH_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Timeout for an answer to a health check or a probe.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of lines at the end of a server's log that an error shows.
const SHOWN_LOG_LINES: usize = 5;
/// Greatest number of lines read in search of a probe's answer; notices may come before it.
const MAX_PROBE_LINES: usize = 16;
/// Request line of a health check.
const HEALTH_CHECK: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";

/// Running servers by process id, each with the directory of its files.
static RUNNING_SERVERS: Mutex<BTreeMap<u32, (Child, PathBuf)>> = Mutex::new(BTreeMap::new());
/// Number of the next server directory or probe.
static NEXT_RUN: AtomicU32 = AtomicU32::new(0);

fn running_servers() -> MutexGuard<'static, BTreeMap<u32, (Child, PathBuf)>> {
    RUNNING_SERVERS.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Kills all servers that still run and removes their files.
fn kill_all_servers() {
    for (_, (mut child, directory)) in std::mem::take(&mut *running_servers()) {
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_dir_all(directory);
    }
}

/// Starts a thread that kills all servers and ends this program with status 3, on SIGINT, on SIGTERM, or
/// after `limit`.
///
/// # Errors
/// Returns an error if the signal handlers cannot be installed.
pub fn end_servers_on_signal_or_after(limit: Duration) -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let entered = runtime.enter();
    let (mut interrupt, mut term) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    drop(entered);
    spawn(move || {
        let reason = runtime.block_on(async {
            tokio::select! {
                _ = interrupt.recv() => "interrupted",
                _ = term.recv() => "told to end",
                () = tokio::time::sleep(limit) => "the time limit is over",
            }
        });
        eprintln!("{reason}: what was started is ended");
        kill_all_servers();
        std::process::exit(3);
    });
    Ok(())
}

/// Memory use of a process, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// Anonymous memory now.
    pub anon_bytes: u64,
    /// Resident memory now.
    pub resident_bytes: u64,
    /// Greatest resident memory so far.
    pub peak_bytes: u64,
}

/// Options of a server to start.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions<'a> {
    /// Program of the server.
    pub program: &'a Path,
    /// Size of its tables.
    pub size: TableSize,
    /// Number of servers in the fleet according to the settings.
    pub servers: usize,
    /// Time that the worker takes for a request, in ms.
    pub run_ms: u64,
    /// Seed of the settings.
    pub seed: u64,
    /// Text of the operator's file, if there is one.
    pub operator_file: Option<&'a str>,
}

/// A running server with its test doubles; it is stopped when the value is dropped.
pub struct Server {
    id: u32,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Size of its configuration file, in bytes.
    pub settings_file_bytes: u64,
    started_at: Instant,
    _worker: Worker,
    _registry: Registry,
    _reserved_address: ReservedAddress,
}

/// Starts a worker test double that answers each request after `run_ms` milliseconds, or at once for 0.
pub fn start_worker(run_ms: u64) -> Worker {
    let settings =
        WorkerSettings { run_ms, makes_calls: false, fail_every: 0, cores: 64, call_deadline_ms: 0 };
    let worker = Worker::start("127.0.0.1:0", settings);
    worker.state().discards_history = true;
    worker
}

impl Server {
    /// Starts the program with a configuration for its table size, and with an operator's file if one is
    /// given. The files are in a new directory.
    ///
    /// # Errors
    /// Returns an error if the files or the process cannot be created.
    pub fn start(start: &ServerOptions<'_>) -> anyhow::Result<Self> {
        let ServerOptions { program, size, servers, run_ms, seed, operator_file } = *start;
        let run = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
        let directory = std::env::temp_dir().join(format!("hazelspur-path-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let (worker, registry) = (start_worker(run_ms), Registry::start("127.0.0.1:0"));
        let reserved = ReservedAddress::on(Ipv4Addr::LOCALHOST)?;
        let address = reserved.address();
        let addresses =
            ServerAddresses { listen: address, worker: worker.address, registry: registry.address };
        let text = configuration(size, addresses, servers, seed);
        let file = directory.join("n1.json");
        std::fs::write(&file, &text)?;
        let mut command = Command::new(program);
        command.env("ROUTER_CONFIG", &file).env_remove("HAZELSPUR_FILE").env_remove("HAZELSPUR_LOG");
        if let Some(text) = operator_file {
            std::fs::write(directory.join("operator.star"), text)?;
            command.env("HAZELSPUR_FILE", directory.join("operator.star"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(directory.join("log"))?);
        let started_at = Instant::now();
        let child = command.spawn().with_context(|| format!("{program:?}"))?;
        let (id, settings_file_bytes) = (child.id(), text.len() as u64);
        running_servers().insert(id, (child, directory));
        Ok(Self {
            id,
            address,
            settings_file_bytes,
            started_at,
            _worker: worker,
            _registry: registry,
            _reserved_address: reserved,
        })
    }

    /// Waits until a health check finds the server ready; returns the time and the CPU time since the start.
    ///
    /// # Errors
    /// Returns an error with the last lines of the log if the server ends, or is not ready within 20 s.
    pub fn wait_until_serving(&self) -> anyhow::Result<(Duration, Duration)> {
        while self.started_at.elapsed() < START_TIMEOUT {
            ensure!(self.is_running(), "server ended before it was ready: {}", self.last_log_lines());
            if self.is_serving().unwrap_or(false) {
                return Ok((self.started_at.elapsed(), self.cpu_time()?));
            }
            sleep(HEALTH_CHECK_PERIOD);
        }
        bail!("server not ready within {} s: {}", START_TIMEOUT.as_secs(), self.last_log_lines())
    }

    /// Sets the last tenant's quota in the configuration file to `n + 1` and makes the server reload it.
    /// Returns the time until its log reports the change, the CPU time used until then, and the longest
    /// health check meanwhile.
    ///
    /// # Errors
    /// Returns an error if the log does not report the change within 20 s, or a health check fails meanwhile.
    pub fn reload(&self, n: u32) -> anyhow::Result<(Duration, Duration, Duration)> {
        let directory = running_servers()
            .get(&self.id)
            .map(|(_, directory)| directory.clone())
            .context("server has been stopped")?;
        let mut file: serde_json::Value = serde_json::from_slice(&std::fs::read(directory.join("n1.json"))?)?;
        let tenants = file["settings"]["orgs"].as_array_mut().context("configuration has no tenants")?;
        tenants.last_mut().context("configuration has no tenants")?["quota-rps"] = (n + 1).into();
        std::fs::write(directory.join("new.json"), file.to_string())?;
        std::fs::rename(directory.join("new.json"), directory.join("n1.json"))?;
        let logged_changes = || -> anyhow::Result<usize> {
            Ok(std::fs::read_to_string(directory.join("log"))?.matches("settings changed").count())
        };
        let (before, cpu, started_at) = (logged_changes()?, self.cpu_time()?, Instant::now());
        let mut stall = Duration::ZERO;
        kill(Pid::from_raw(self.id as i32), Signal::SIGHUP)?;
        while logged_changes()? == before {
            ensure!(
                self.is_running() && started_at.elapsed() < START_TIMEOUT,
                "server did not apply the changed settings: {}",
                self.last_log_lines()
            );
            let check_started_at = Instant::now();
            ensure!(self.is_serving()?, "server not ready during the reload");
            stall = stall.max(check_started_at.elapsed());
        }
        Ok((started_at.elapsed(), self.cpu_time()? - cpu, stall))
    }

    fn is_serving(&self) -> anyhow::Result<bool> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.write_all(HEALTH_CHECK)?;
        let mut line = String::new();
        BufReader::new(&stream).read_line(&mut line)?;
        let message: serde_json::Value = serde_json::from_str(&line)?;
        Ok(message["result"]["ready"] == true)
    }

    /// Sends one request, given by indices into the tables, and returns a description of the answer or of the
    /// failure.
    pub fn probe(&self, request_class: usize, tenant: usize) -> String {
        self.send_probe(request_class, tenant).unwrap_or_else(|why| format!("no answer ({why})"))
    }

    fn send_probe(&self, request_class: usize, tenant: usize) -> anyhow::Result<String> {
        let protocol = GatewayProtocol::new(NEXT_RUN.fetch_add(1, Ordering::Relaxed) | 0x8000_0000, 30);
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let arrival = Arrival { at: hazelspur::Duration::ZERO, request_class, tenant };
        stream.write_all(&protocol.encode_request(0, &arrival))?;
        let mut reader = BufReader::new(&stream);
        for _ in 0..MAX_PROBE_LINES {
            let mut line = Vec::new();
            ensure!(reader.read_until(b'\n', &mut line)? > 0, "closed");
            if let Some((_, Message::Answer(0, _))) = protocol.decode_message(&line) {
                return Ok(GatewayProtocol::describe(&line));
            }
        }
        bail!("none of {MAX_PROBE_LINES} lines answers it")
    }

    /// Returns the user and system CPU time of the process from its CPU clock: the sum that `/proc/PID/stat`
    /// shows, but without that file's resolution of 10 ms.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub fn cpu_time(&self) -> anyhow::Result<Duration> {
        let clock = ClockId::pid_cpu_clock_id(Pid::from_raw(self.id as i32))?;
        Ok(clock.now()?.into())
    }

    /// Returns the user and system CPU time of the process from `/proc/PID/stat`.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub fn cpu_time_by_stat(&self) -> anyhow::Result<Duration> {
        let ticks = nix::unistd::sysconf(nix::unistd::SysconfVar::CLK_TCK)?.unwrap_or(100) as f64;
        let text = std::fs::read_to_string(self.proc_file("stat"))?;
        // Fields are read after the program name, which may contain spaces and brackets: the state is field
        // 3, user and system time are fields 14 and 15.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let field = |number: usize| {
            fields
                .get(number - 3)
                .and_then(|n| n.parse::<f64>().ok())
                .context("missing number in /proc/PID/stat")
        };
        Ok(Duration::from_secs_f64((field(14)? + field(15)?) / ticks))
    }

    /// Measures the CPU time of the process over `length`, and returns it as a share of one core. The server
    /// must not get requests meanwhile.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub fn idle_cpu_share(&self, length: Duration) -> anyhow::Result<f64> {
        let (cpu_before, started_at) = (self.cpu_time()?, Instant::now());
        sleep(length);
        Ok((self.cpu_time()? - cpu_before).as_secs_f64() / started_at.elapsed().as_secs_f64())
    }

    /// Returns the memory use of the process from `/proc`.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub fn memory(&self) -> anyhow::Result<Memory> {
        let bytes = |file: &str, key: &str| -> anyhow::Result<u64> {
            let text = std::fs::read_to_string(self.proc_file(file))?;
            let line = text
                .lines()
                .find_map(|line| line.strip_prefix(key))
                .context("missing line in /proc/PID/smaps_rollup or /proc/PID/status")?;
            Ok(line.trim().trim_end_matches(" kB").parse::<u64>()? * 1024)
        };
        Ok(Memory {
            anon_bytes: bytes("smaps_rollup", "Anonymous:")?,
            resident_bytes: bytes("smaps_rollup", "Rss:")?,
            peak_bytes: bytes("status", "VmHWM:")?,
        })
    }

    fn proc_file(&self, file: &str) -> PathBuf {
        Path::new("/proc").join(self.id.to_string()).join(file)
    }

    fn is_running(&self) -> bool {
        running_servers().get_mut(&self.id).is_some_and(|(child, _)| matches!(child.try_wait(), Ok(None)))
    }

    fn last_log_lines(&self) -> String {
        let directory = running_servers().get(&self.id).map(|(_, directory)| directory.clone());
        let text = directory.and_then(|directory| std::fs::read_to_string(directory.join("log")).ok());
        let text = text.unwrap_or_default();
        let lines: Vec<&str> = text.lines().rev().take(SHOWN_LOG_LINES).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join(" / ")
    }

    /// Sends SIGTERM and waits for the end; a server that does not end in time is killed.
    fn stop(&self) {
        if self.is_running() {
            // The process has not been waited for, so the system cannot have reused its process id.
            let _ = kill(Pid::from_raw(self.id as i32), Signal::SIGTERM);
        }
        let give_up_at = Instant::now() + END_TIMEOUT;
        while self.is_running() && Instant::now() < give_up_at {
            sleep(HEALTH_CHECK_PERIOD);
        }
        if let Some((mut child, directory)) = running_servers().remove(&self.id) {
            if child.try_wait().ok().flatten().is_none() {
                eprintln!(
                    "server {} did not leave within {} s and is killed",
                    self.id,
                    END_TIMEOUT.as_secs()
                );
                let _ = child.kill();
                let _ = child.wait();
            }
            let _ = std::fs::remove_dir_all(directory);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}
