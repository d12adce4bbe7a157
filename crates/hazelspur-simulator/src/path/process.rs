//! One real server as a process beside its stand-ins, and what the system says it took. All processes of this
//! tool are in one register, so that they end with it: by process id, also when a play fails, at a signal to
//! the tool, and when its time is over.

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

/// Timeout of a server's start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a server's end.
const END_TIMEOUT: Duration = Duration::from_secs(4);
/// Between two health checks.
const HEALTH_CHECK_PERIOD: Duration = Duration::from_millis(5);
/// Timeout of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Lines of a server's log that are shown where it failed.
const SHOWN_LOG_LINES: usize = 5;
/// Notices looked through for a probe's answer.
const MAX_PROBE_LINES: usize = 16;
/// A health check on the wire.
const HEALTH_CHECK: &[u8] = b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";

static RUNNING_SERVERS: Mutex<BTreeMap<u32, (Child, PathBuf)>> = Mutex::new(BTreeMap::new());
static NEXT_RUN: AtomicU32 = AtomicU32::new(0);

fn running_servers() -> MutexGuard<'static, BTreeMap<u32, (Child, PathBuf)>> {
    RUNNING_SERVERS.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Kills what is left and removes its files.
fn kill_all_servers() {
    for (_, (mut child, directory)) in std::mem::take(&mut *running_servers()) {
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_dir_all(directory);
    }
}

/// From now on all servers end with a signal to this tool, and after `limit` in any case; the tool ends with
/// status 3 then.
///
/// # Errors
/// Where signals can't be listened for.
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

/// What a process holds now, and the most it held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    pub anon_bytes: u64,
    pub resident_bytes: u64,
    pub peak_bytes: u64,
}

/// What a server is started with.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions<'a> {
    /// The server's program.
    pub program: &'a Path,
    /// Sizes of its tables.
    pub size: TableSize,
    /// Servers of the fleet, by the settings.
    pub servers: usize,
    /// How long the runtime takes for a request, in ms.
    pub run_ms: u64,
    /// Seed of the settings.
    pub seed: u64,
    /// Text of the operator's file, if there is one.
    pub operator_file: Option<&'a str>,
}

/// A server that runs, and what it is connected to.
pub struct Server {
    id: u32,
    pub address: SocketAddr,
    pub settings_file_bytes: u64,
    started_at: Instant,
    _worker: Worker,
    _registry: Registry,
    _reserved_address: ReservedAddress,
}

/// A stand-in runtime that answers after so many milliseconds, at once for 0.
pub fn start_worker(run_ms: u64) -> Worker {
    let settings =
        WorkerSettings { run_ms, makes_calls: false, fail_every: 0, cores: 64, call_deadline_ms: 0 };
    let worker = Worker::start("127.0.0.1:0", settings);
    worker.state().discards_history = true;
    worker
}

impl Server {
    /// Starts the program with settings of this size, and with an operator's file if one is given, in files of its
    /// own.
    ///
    /// # Errors
    /// Where the files or the process can't be made.
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

    /// Waits until a health check says that it is serving; gives the time and the CPU time from the start.
    ///
    /// # Errors
    /// Where it ends, or is not serving within 20 s; the last lines of its log are in the message.
    pub fn wait_until_serving(&self) -> anyhow::Result<(Duration, Duration)> {
        while self.started_at.elapsed() < START_TIMEOUT {
            ensure!(self.is_running(), "the server ended: {}", self.last_log_lines());
            if self.is_serving().unwrap_or(false) {
                return Ok((self.started_at.elapsed(), self.cpu_time()?));
            }
            sleep(HEALTH_CHECK_PERIOD);
        }
        bail!("not serving within {} s: {}", START_TIMEOUT.as_secs(), self.last_log_lines())
    }

    /// Gives the last tenant another quota in the file, `n` times more than one, and has the server read it again: how
    /// long until its log says that it holds, the CPU time of that, and the longest that a health check took meanwhile.
    ///
    /// # Errors
    /// Where the server does not say so within 20 s.
    pub fn reload(&self, n: u32) -> anyhow::Result<(Duration, Duration, Duration)> {
        let directory = running_servers()
            .get(&self.id)
            .map(|(_, directory)| directory.clone())
            .context("it has ended")?;
        let mut file: serde_json::Value = serde_json::from_slice(&std::fs::read(directory.join("n1.json"))?)?;
        let tenants = file["settings"]["orgs"].as_array_mut().context("there are no tenants")?;
        tenants.last_mut().context("there are no tenants")?["quota-rps"] = (n + 1).into();
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
                "no change in force: {}",
                self.last_log_lines()
            );
            let check_started_at = Instant::now();
            ensure!(self.is_serving()?, "not serving");
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

    /// Asks for one request by places in the tables; says what was answered, "unknown" among that.
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

    /// CPU time of the whole process, user and system, by its CPU clock: the sum that `/proc/PID/stat` shows,
    /// without that file's steps of 10 ms.
    ///
    /// # Errors
    /// Where the process is gone.
    pub fn cpu_time(&self) -> anyhow::Result<Duration> {
        let clock = ClockId::pid_cpu_clock_id(Pid::from_raw(self.id as i32))?;
        Ok(clock.now()?.into())
    }

    /// The same by `/proc/PID/stat`.
    ///
    /// # Errors
    /// Where the process is gone.
    pub fn cpu_time_by_stat(&self) -> anyhow::Result<Duration> {
        let ticks = nix::unistd::sysconf(nix::unistd::SysconfVar::CLK_TCK)?.unwrap_or(100) as f64;
        let text = std::fs::read_to_string(self.proc_file("stat"))?;
        // Past the name, which may hold anything: state is field 3, user and system time are 14 and 15.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let field =
            |number: usize| fields.get(number - 3).and_then(|n| n.parse::<f64>().ok()).context("stat");
        Ok(Duration::from_secs_f64((field(14)? + field(15)?) / ticks))
    }

    /// CPU time a second while nothing is asked of it, over so long.
    ///
    /// # Errors
    /// Where the process is gone.
    pub fn idle_cpu_share(&self, length: Duration) -> anyhow::Result<f64> {
        let (cpu_before, started_at) = (self.cpu_time()?, Instant::now());
        sleep(length);
        Ok((self.cpu_time()? - cpu_before).as_secs_f64() / started_at.elapsed().as_secs_f64())
    }

    /// # Errors
    /// Where the process is gone.
    pub fn memory(&self) -> anyhow::Result<Memory> {
        let bytes = |file: &str, key: &str| -> anyhow::Result<u64> {
            let text = std::fs::read_to_string(self.proc_file(file))?;
            let line = text.lines().find_map(|line| line.strip_prefix(key)).context("no such line")?;
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

    /// Tells it to leave and waits; one that does not is killed.
    fn stop(&self) {
        if self.is_running() {
            // Not waited for yet, so the number is still its own.
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
