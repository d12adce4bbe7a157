//! The server process under test: writes its configuration, starts it, sends it signals, records its resource
//! usage and waits for its exit.

use super::plan::{FileChange, GRACE_PERIOD_MS, Plan};
use anyhow::Context;
use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::process::send_signal;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// File descriptors that the server may use.
pub const MAX_DESCRIPTORS: usize = 160;
/// Memory that the server may use, in MB.
pub const MAX_MEMORY_MB: u64 = 64;
/// Time after which a start counts as failed.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two health checks, and between two checks for the exit of the process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of connecting and of reading in a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Addresses of a server and its peers.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address at which the server listens.
    pub listen: SocketAddr,
    /// Two addresses of the same worker.
    pub worker: [SocketAddr; 2],
    /// Address of the shared dependency.
    pub dependency: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Address of the broker.
    pub broker: SocketAddr,
}

/// Exit of a process and its use of resources.
#[derive(Clone, Copy, Debug, Default)]
pub struct End {
    /// Whether the process was alive when its kill was due.
    pub killed: bool,
    /// Exit status; `None` if the process was killed or ended by a signal.
    pub status: Option<i32>,
    /// Peak resident memory, in kB.
    pub memory_kb: u64,
    /// Highest observed number of open file descriptors.
    pub descriptors: usize,
    /// Number of files that the process left in its folder for temporary files.
    pub files_left: usize,
}

/// Server process, which is killed when the value is dropped.
pub struct Server {
    child: Child,
    addresses: Addresses,
    folder: PathBuf,
    stop_ms: i64,
    end: End,
}

fn config_text(addresses: &Addresses, stop_ms: i64, worker_address: usize) -> String {
    let Addresses { listen, dependency, registry, .. } = addresses;
    let worker = addresses.worker[worker_address];
    let grace_us = GRACE_PERIOD_MS * 1000;
    format!(
        r#"{{"name":"n1","listen":"{listen}","runtime":"{worker}","ledger":"{dependency}","control":"{registry}",
 "seed":"000000000000002a","stop_ms":{stop_ms},"limits":{{"cores":1.0,"memory_mb":{MAX_MEMORY_MB},"sockets":{MAX_DESCRIPTORS}}},
 "settings":{{"family-info":{{"n-cores":2,"mem-limit-kb":100000,"run-factor":8,"stop-mode":"drop",
 "meters":["core_use","on_cores"],"calls-out":50,"calls-over-us":5000000,"passes-deadline":true}},
 "lanes":[{{"name":"view","aim-us":1000000,"deadline-us":2000000,"semantics":"safe","importance":1}},
 {{"name":"book","aim-us":1000000,"deadline-us":2000000,"semantics":"keyed","memory-span-us":20000000}},
 {{"name":"pay","aim-us":1000000,"deadline-us":2000000,"semantics":"unsafe"}}],
 "rules":{{"fall-multiple":8,"cold-share":0.2,"cold-us":10000000,"drain-grace-us":{grace_us}}},
 "limits":{{"retry-after":true,"max-retry-after-us":1000000}},"servers":1}}}}"#
    )
}

impl Server {
    /// Writes the files of the server into `folder` and starts `program` with them. The log is appended to
    /// the file `log` there.
    ///
    /// # Errors
    /// Returns an error if a file cannot be written or the process cannot be started.
    pub fn start(program: &Path, folder: &Path, addresses: Addresses, plan: &Plan) -> anyhow::Result<Self> {
        let temporary = folder.join("tmp");
        std::fs::create_dir_all(&temporary)?;
        let config_path = folder.join("config.json");
        std::fs::write(&config_path, config_text(&addresses, plan.stop_ms, 0))?;
        let mut command = Command::new(program);
        command
            .env("ROUTER_CONFIG", &config_path)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        if plan.queued_messages > 0 {
            let operator_file = folder.join("operator.star");
            let broker = addresses.broker;
            let text = format!(
                "amqp(brokers = [\"{broker}\"], user = \"u\", password = \"p\", spread_s = 0.03)\nqueue(name = \"orders\", window = \"fixed\", most = 4)\n"
            );
            std::fs::write(&operator_file, text)?;
            command.arg("--file").arg(operator_file);
        }
        command.stderr(File::options().create(true).append(true).open(folder.join("log"))?);
        let child = command.spawn().with_context(|| format!("cannot start {program:?}"))?;
        let (folder, stop_ms) = (folder.to_path_buf(), plan.stop_ms);
        Ok(Self { child, addresses, folder, stop_ms, end: End::default() })
    }

    /// Waits until a health check reports that the server is ready; returns the time that this took.
    ///
    /// # Errors
    /// Returns an error if the process exits, or is not ready within 30 s.
    pub fn wait_until_serving(&mut self) -> anyhow::Result<Duration> {
        let began = Instant::now();
        while began.elapsed() < START_TIMEOUT {
            anyhow::ensure!(self.child.try_wait()?.is_none(), "the server exited before it was ready");
            if is_ready(self.addresses.listen) {
                return Ok(began.elapsed());
            }
            sleep(POLL_INTERVAL);
        }
        anyhow::bail!("the server was not ready within {} s", START_TIMEOUT.as_secs())
    }

    /// Sends a signal, written as an option of the `kill` command such as `-TERM`, if the process still runs.
    pub fn signal(&mut self, name: &str) {
        if self.child.try_wait().is_ok_and(|ended| ended.is_none()) {
            send_signal(self.child.id(), name);
        }
    }

    /// Changes the configuration file and sends SIGHUP.
    ///
    /// # Errors
    /// Returns an error if the file cannot be changed.
    pub fn reload(&mut self, change: FileChange) -> anyhow::Result<()> {
        let config_path = self.folder.join("config.json");
        let text = |worker_address| config_text(&self.addresses, self.stop_ms, worker_address);
        match change {
            FileChange::Unchanged => {}
            FileChange::Moved => std::fs::write(&config_path, text(1))?,
            FileChange::Missing => std::fs::remove_file(&config_path).or_else(ignore_missing)?,
            FileChange::HalfWritten => std::fs::write(&config_path, &text(0)[..text(0).len() / 2])?,
        }
        self.signal("-HUP");
        Ok(())
    }

    /// Records the peak memory and the current number of file descriptors of the process.
    pub fn record_usage(&mut self) {
        let process = Path::new("/proc").join(self.child.id().to_string());
        let descriptors = std::fs::read_dir(process.join("fd")).map_or(0, Iterator::count);
        self.end.descriptors = self.end.descriptors.max(descriptors);
        let status = std::fs::read_to_string(process.join("status")).unwrap_or_default();
        let memory_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let memory_kb = memory_kb.and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok());
        self.end.memory_kb = self.end.memory_kb.max(memory_kb.unwrap_or(0));
    }

    /// Waits for the exit of the process until `kill_ms`, in Unix milliseconds, and kills it if it still runs
    /// then.
    ///
    /// # Errors
    /// Returns an error if the status of the process or its folder for temporary files cannot be read.
    pub fn wait_or_kill(mut self, kill_ms: u64) -> anyhow::Result<End> {
        while now_ms() < kill_ms && self.child.try_wait()?.is_none() {
            sleep(POLL_INTERVAL);
        }
        let ended = self.child.try_wait()?;
        self.end.killed = ended.is_none();
        self.end.status = ended.and_then(|status| status.code());
        let _ = self.child.kill();
        self.child.wait()?;
        self.end.files_left = std::fs::read_dir(self.folder.join("tmp"))?.count();
        Ok(self.end)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // A run that ends early, by an error or a panic, must not leave the process behind.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn ignore_missing(error: std::io::Error) -> std::io::Result<()> {
    if error.kind() == std::io::ErrorKind::NotFound { Ok(()) } else { Err(error) }
}

fn is_ready(listen: SocketAddr) -> bool {
    let check = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&listen, CHECK_TIMEOUT)?;
        stream.set_read_timeout(Some(CHECK_TIMEOUT))?;
        stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line)
    };
    check().is_ok_and(|line| line.contains("\"ready\":true"))
}
