//! Harness for tests that run the built server between scripted peers: gateways, the worker, the dependency
//! and the registry. A test sends the peers' messages step by step; the messages that they receive are
//! recorded in a trace.
#![allow(dead_code)] // no test file uses all of it

use hazelspur_test_doubles::process::send_signal;
use hazelspur_test_doubles::reserved_address::ReservedAddress;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Settings of the server under test: request class `view` is idempotent, `book` is deduplicated by key.
pub(crate) const SETTINGS: &str = r#"{"family-info":{"n-cores":2,"mem-limit-kb":100000,"run-factor":8,"stop-mode":"drop",
 "meters":["core_use","on_cores"],"calls-out":50,"calls-over-us":5000000,"passes-deadline":true,"share-for-us":500000},
 "lanes":[{"name":"view","aim-us":3000000,"deadline-us":4000000,"semantics":"safe","importance":1},
 {"name":"book","aim-us":3000000,"deadline-us":4000000,"semantics":"keyed","memory-span-us":5000000}],
 "rules":{"fall-multiple":8,"cold-share":0.2,"cold-us":10000000,"drain-grace-us":300000},
 "limits":{"retry-after":true,"max-retry-after-us":1000000},"servers":1}"#;

/// Number of addresses reserved so far.
static NEXT_ADDRESS: AtomicUsize = AtomicUsize::new(0);
/// Reserved addresses. They are held until the test binary ends because a test may start a server again at
/// its address.
static RESERVED: Mutex<Vec<ReservedAddress>> = Mutex::new(Vec::new());
/// Maximum time for one expected event, such as a connection, a message or a log line.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(5);

/// The test's end of a connection to the server.
pub(crate) struct Peer {
    /// Role of the test's end, as the trace shows it.
    pub name: &'static str,
    pub stream: BufReader<TcpStream>,
}

/// A running server and the listeners of its scripted peers. Kills the server when dropped.
pub(crate) struct ServerHarness {
    pub server: Child,
    /// Address at which the server listens for gateways.
    pub listen: String,
    /// Listener of the worker, which the configuration calls `runtime`.
    pub runtime: TcpListener,
    /// Listener of the dependency, which the configuration calls `ledger`.
    pub ledger: TcpListener,
    /// Configuration file.
    pub file: PathBuf,
    /// Messages that the peers received, one a line.
    pub trace: String,
}

/// Returns a listener on a free loopback port, and its address.
pub(crate) fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Returns an IP address and port that no other test of this process gets.
fn reserve_address() -> String {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 77, (std::process::id() % 250) as u8, 1 + number as u8);
    let reserved = ReservedAddress::on(ip).expect("a port is free");
    let address = reserved.address().to_string();
    RESERVED.lock().expect("lock is not poisoned").push(reserved);
    address
}

/// Returns the next connection; panics if none comes within `TIMEOUT`.
pub(crate) fn accept(listener: &TcpListener) -> TcpStream {
    let deadline = Instant::now() + TIMEOUT;
    listener.set_nonblocking(true).expect("socket mode is set");
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("socket mode is set");
                return stream;
            }
            Err(e) => assert!(Instant::now() < deadline, "no connection within {TIMEOUT:?}: {e}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

pub(crate) fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("clock is after 1970").as_millis()
}

/// Returns the JSON-RPC line of a request, sent now, with JSON-RPC id `id` and the number `req` as its
/// request id. `extra_params` is JSON text that is appended to the parameters.
pub(crate) fn request(id: u32, req: u32, class: &str, extra_params: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"req":"{req:016x}","ts":{},"via":1,"timeout":4000,"need":20.5,"level":0.5,"data":"aGVsbG8="{extra_params}}}}}"#,
        now_ms()
    )
}

/// Returns the path of the configuration file of a test.
pub(crate) fn config_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("hazelspur-{}-{name}.json", std::process::id()))
}

/// Starts the server with this configuration. `shell_prefix` is run by the shell before it, for example to
/// set limits.
pub(crate) fn start(name: &str, config: &str, shell_prefix: &str) -> Child {
    let file = config_file(name);
    std::fs::write(&file, config).expect("file is written");
    let program = env!("CARGO_BIN_EXE_hazelspur-server");
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", &format!("{shell_prefix} exec {program}")]).env("ROUTER_CONFIG", &file);
    shell.stderr(Stdio::piped()).spawn().expect("server starts")
}

impl ServerHarness {
    /// Starts a server and connects a worker that is ready; returns the worker's link.
    pub(crate) fn new(name: &str, shell_prefix: &str) -> (Self, Peer) {
        Self::new_with(name, shell_prefix, |config| config)
    }

    /// Does the same as `new` with the configuration changed by `edit`.
    pub(crate) fn new_with(name: &str, shell_prefix: &str, edit: impl Fn(String) -> String) -> (Self, Peer) {
        let mut server = Self::started_with(name, shell_prefix, edit);
        let mut link = server.accept_worker_link();
        link.send("ready hot 1000\r\n");
        link.record_next(&mut server.trace);
        (server, link)
    }

    /// Starts a server without a worker.
    pub(crate) fn started(name: &str, shell_prefix: &str) -> Self {
        Self::started_with(name, shell_prefix, |config| config)
    }

    /// Starts a server without a worker, with the configuration changed by `edit`.
    pub(crate) fn started_with(name: &str, shell_prefix: &str, edit: impl Fn(String) -> String) -> Self {
        let (listen, runtime, ledger, config) = Self::prepare();
        let server = start(name, &edit(config), shell_prefix);
        Self { server, listen, runtime, ledger, file: config_file(name), trace: String::new() }
    }

    /// Returns an address for a server, the listeners of its worker and its dependency, and its
    /// configuration.
    pub(crate) fn prepare() -> (String, TcpListener, TcpListener, String) {
        let listen = reserve_address();
        let (runtime, ledger, config) = Self::listen_for_peers(&listen);
        (listen, runtime, ledger, config)
    }

    /// Returns new listeners of a worker and a dependency, and the configuration of the server at `listen`
    /// that names them. The registry accepts all reports.
    pub(crate) fn listen_for_peers(listen: &str) -> (TcpListener, TcpListener, String) {
        let ((runtime, runtime_address), (ledger, ledger_address)) = (listener(), listener());
        let (control, control_address) = listener();
        std::thread::spawn(move || {
            for stream in control.incoming().flatten() {
                std::thread::spawn(move || {
                    let mut reports = BufReader::new(stream);
                    while reports.read_line(&mut String::new()).is_ok_and(|n| n > 2) {}
                    let _ =
                        reports.get_mut().write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
                });
            }
        });
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","runtime":"{runtime_address}","ledger":"{ledger_address}","control":"{control_address}","seed":"000000000000002a","stop_ms":1500,"settings":{SETTINGS}}}"#
        );
        (runtime, ledger, config)
    }

    /// Sends a request and records the command that the worker receives for it.
    pub(crate) fn start_run(&mut self, gateway: &mut Peer, link: &mut Peer, request: &str) {
        gateway.send(&format!("{request}\n"));
        link.record_next(&mut self.trace);
    }

    /// Replaces the configuration file and sends SIGHUP to the server.
    pub(crate) fn reload(&mut self, config: &str) {
        let new_file = self.file.with_extension("new");
        std::fs::write(&new_file, config).expect("file is written");
        std::fs::rename(&new_file, &self.file).expect("both paths are on one file system");
        self.signal("-HUP");
    }

    /// Accepts the server's next worker link and records the first message on it.
    pub(crate) fn accept_worker_link(&mut self) -> Peer {
        let mut link = Peer::new("runtime", accept(&self.runtime));
        link.record_next(&mut self.trace);
        link
    }

    pub(crate) fn connect_gateway(&self) -> Peer {
        Peer::new("gateway", TcpStream::connect(&self.listen).expect("server listens"))
    }

    /// Accepts the connection of the server's next dependency call.
    pub(crate) fn accept_dependency_call(&self) -> Peer {
        Peer::new("ledger", accept(&self.ledger))
    }

    pub(crate) fn signal(&self, name: &str) {
        send_signal(self.server.id(), name);
    }

    /// Prints the server's log; the server must have exited.
    fn print_log(&mut self) {
        let mut log = String::new();
        if let Some(stderr) = &mut self.server.stderr {
            let _ = stderr.read_to_string(&mut log);
        }
        eprintln!("log of the server at {}:\n{log}", self.listen);
    }

    /// Waits until the server exits and records its exit code.
    pub(crate) fn wait_for_exit(&mut self) {
        let status = self.server.wait().expect("server exits");
        let _ = writeln!(self.trace, "exit {:?}", status.code());
    }
}

impl Drop for ServerHarness {
    fn drop(&mut self) {
        let _ = self.server.kill();
        let _ = self.server.wait();
        if std::thread::panicking() {
            self.print_log();
        }
    }
}

impl Peer {
    pub(crate) fn new(name: &'static str, stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).expect("time limit is set");
        Self { name, stream: BufReader::new(stream) }
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).expect("server reads");
    }

    /// Returns the next line; `(closed)` if the connection is closed or no line comes within `TIMEOUT`.
    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) | Err(_) => "(closed)".into(),
            Ok(_) => line.trim_end().into(),
        }
    }

    /// Reads a body; `length` is its length in bytes as decimal text.
    pub(crate) fn read_body(&mut self, length: &str) -> String {
        let mut body = vec![0; length.trim().parse().expect("length is a number")];
        self.stream.read_exact(&mut body).expect("body has the stated length");
        String::from_utf8(body).expect("text is UTF-8")
    }

    /// Records and returns the next message. Gauge queries are answered and not recorded; the query that ends
    /// the replay of notices on a new link is returned.
    pub(crate) fn record_next(&mut self, trace: &mut String) -> String {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let mut line = if Instant::now() < deadline { self.read_line() } else { "(nothing)".into() };
            if let Some(tag) = line.strip_prefix("gauges ") {
                self.send(&format!("load {tag} 0.5 1\r\n"));
                if tag.starts_with("link") {
                    return line;
                }
                continue;
            }
            if let ["start" | "give", .., length] = line.split(' ').collect::<Vec<_>>()[..] {
                let body = self.read_body(length);
                line = format!("{line} {body}");
                self.read_line();
            }
            let _ = writeln!(trace, "{} < {line}", self.name);
            return line;
        }
    }

    /// Records a dependency call: request line, request id and body. Other headers may differ between runs.
    pub(crate) fn record_call(&mut self, trace: &mut String) {
        let mut recorded = self.read_line();
        let mut length = String::new();
        loop {
            let line = self.read_line();
            match line.split_once(": ") {
                Some(("X-Txn-Ref", id)) => recorded += &format!(" {id}"),
                Some(("Content-Length", n)) => length = n.into(),
                Some(_) => {}
                None => break,
            }
        }
        let body = self.read_body(&length);
        let _ = writeln!(trace, "{} < {recorded} {body}", self.name);
    }
}

/// Returns the configuration with a non-idempotent request class `pay`, tenants `a` and `b`, and a
/// deduplication window of this length.
pub(crate) fn with_tenants(config: String, window_ms: u32) -> String {
    let extra_classes = r#"{"name":"pay","aim-us":3000000,"deadline-us":4000000,"semantics":"unsafe"}],"orgs":
        [{"name":"a","quota-rps":50},{"name":"b","quota-rps":50}],"rules""#;
    let window_setting = format!("\"memory-span-us\":{}", window_ms * 1000);
    config
        .replace("],\n \"rules\"", &format!(",{extra_classes}"))
        .replace("\"memory-span-us\":5000000", &window_setting)
}

/// Returns the configuration with another address of the registry.
pub(crate) fn with_registry(config: &str, control: &str) -> String {
    with_endpoint(config, "control", control)
}

/// Returns the configuration with another address of the dependency.
pub(crate) fn with_ledger(config: &str, ledger: &str) -> String {
    with_endpoint(config, "ledger", ledger)
}

fn with_endpoint(config: &str, key: &str, address: &str) -> String {
    let key = format!("\"{key}\":\"");
    let (before, rest) = config.split_once(&key).expect("endpoint is in the configuration");
    let (_, after) = rest.split_once('"').expect("an address");
    format!("{before}{key}{address}\"{after}")
}

/// Returns an address that refuses connections until the test binary ends. The port of a closed listener
/// would not do, because another process may listen on it at any time.
pub(crate) fn refusing_address() -> String {
    reserve_address()
}

/// Waits until `ms` milliseconds after `since`.
pub(crate) fn wait_until(since: Instant, ms: u64) {
    while since.elapsed() < Duration::from_millis(ms) {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Returns the worker's notice that a run succeeded; `number` is the number of the notice.
pub(crate) fn success_notice(number: u32, req: u32) -> String {
    format!("end {number} {} complete 5 4\r\ndone\r\n", id(req))
}

/// Returns the request id with this number.
pub(crate) fn id(req: u32) -> String {
    format!("{req:016x}")
}

/// Log lines of a server, in the order in which they arrive.
pub(crate) struct LogLines(Receiver<String>);

impl LogLines {
    /// Starts reading the log of a server.
    pub(crate) fn of(server: &mut Child) -> Self {
        let (sender, receiver) = channel();
        let stderr = server.stderr.take().expect("stderr is piped");
        std::thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
        Self(receiver)
    }

    /// Returns the next line that contains one of these texts, without its timestamp; skips other lines.
    pub(crate) fn next(&self, texts: &[&str]) -> String {
        loop {
            let line = self.0.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("no log line with {texts:?}"));
            if texts.iter().any(|text| line.contains(text)) {
                return line.split_once(' ').map_or("", |(_, text)| text).to_string();
            }
        }
    }
}

/// Writes an operator's file; returns the shell command that passes its path to the server.
pub(crate) fn operator_file(name: &str, text: &str) -> String {
    let path = config_file(name).with_extension("star");
    std::fs::write(&path, text).expect("file is written");
    format!("export HAZELSPUR_FILE={};", path.display())
}
