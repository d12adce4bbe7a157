//! The built server between scripted peers (gateway, worker, dependency, registry) that a test drives step by
//! step; what they receive is recorded in a trace.
#![allow(dead_code)] // each test file uses its part

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

pub(crate) const SETTINGS: &str = r#"{"family-info":{"n-cores":2,"mem-limit-kb":100000,"run-factor":8,"stop-mode":"drop",
 "meters":["core_use","on_cores"],"calls-out":50,"calls-over-us":5000000,"passes-deadline":true,"share-for-us":500000},
 "lanes":[{"name":"view","aim-us":3000000,"deadline-us":4000000,"semantics":"safe","importance":1},
 {"name":"book","aim-us":3000000,"deadline-us":4000000,"semantics":"keyed","memory-span-us":5000000}],
 "rules":{"fall-multiple":8,"cold-share":0.2,"cold-us":10000000,"drain-grace-us":300000},
 "limits":{"retry-after":true,"max-retry-after-us":1000000},"servers":1}"#;

static NEXT_ADDRESS: AtomicUsize = AtomicUsize::new(0);
/// Held until the test binary ends: a server may come back to its address.
static RESERVED: Mutex<Vec<ReservedAddress>> = Mutex::new(Vec::new());
pub(crate) const TIMEOUT: Duration = Duration::from_secs(5);

/// The test's end of a connection to the server.
pub(crate) struct Peer {
    pub name: &'static str,
    pub stream: BufReader<TcpStream>,
}

pub(crate) struct ServerHarness {
    pub server: Child,
    pub listen: String,
    pub runtime: TcpListener,
    pub ledger: TcpListener,
    pub file: PathBuf,
    pub trace: String,
}

pub(crate) fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// An IP address and port that no other test of this process gets.
fn reserve_address() -> String {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 77, (std::process::id() % 250) as u8, 1 + number as u8);
    let reserved = ReservedAddress::on(ip).expect("a free port");
    let address = reserved.address().to_string();
    RESERVED.lock().expect("no panic before").push(reserved);
    address
}

/// The next connection, or a failed test.
pub(crate) fn accept(listener: &TcpListener) -> TcpStream {
    let deadline = Instant::now() + TIMEOUT;
    listener.set_nonblocking(true).expect("a mode");
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a mode");
                return stream;
            }
            Err(e) => assert!(Instant::now() < deadline, "no connection came: {e}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

pub(crate) fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis()
}

pub(crate) fn request(id: u32, req: u32, class: &str, extra_params: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"req":"{req:016x}","ts":{},"via":1,"timeout":4000,"need":20.5,"level":0.5,"data":"aGVsbG8="{extra_params}}}}}"#,
        now_ms()
    )
}

pub(crate) fn config_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("hazelspur-{}-{name}.json", std::process::id()))
}

/// Starts the program with this configuration, through a shell that may set limits first.
pub(crate) fn start(name: &str, config: &str, shell_prefix: &str) -> Child {
    let file = config_file(name);
    std::fs::write(&file, config).expect("a file");
    let program = env!("CARGO_BIN_EXE_hazelspur-server");
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", &format!("{shell_prefix} exec {program}")]).env("ROUTER_CONFIG", &file);
    shell.stderr(Stdio::piped()).spawn().expect("the server starts")
}

impl ServerHarness {
    /// Starts a server, with a worker that is up.
    pub(crate) fn new(name: &str, shell_prefix: &str) -> (Self, Peer) {
        Self::new_with(name, shell_prefix, |config| config)
    }

    /// The same with an edited configuration.
    pub(crate) fn new_with(name: &str, shell_prefix: &str, edit: impl Fn(String) -> String) -> (Self, Peer) {
        let mut server = Self::started_with(name, shell_prefix, edit);
        let mut link = server.accept_worker_link();
        link.send("ready hot 1000\r\n");
        link.record_next(&mut server.trace);
        (server, link)
    }

    pub(crate) fn started(name: &str, shell_prefix: &str) -> Self {
        Self::started_with(name, shell_prefix, |config| config)
    }

    pub(crate) fn started_with(name: &str, shell_prefix: &str, edit: impl Fn(String) -> String) -> Self {
        let (listen, runtime, ledger, config) = Self::prepare();
        let server = start(name, &edit(config), shell_prefix);
        Self { server, listen, runtime, ledger, file: config_file(name), trace: String::new() }
    }

    /// An address for a server, its upstream endpoints, and the configuration that names them.
    pub(crate) fn prepare() -> (String, TcpListener, TcpListener, String) {
        let listen = reserve_address();
        let (runtime, ledger, config) = Self::listen_for_peers(&listen);
        (listen, runtime, ledger, config)
    }

    /// New upstream endpoints, and the configuration that names them.
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

    /// Sends a request and records the command that it causes.
    pub(crate) fn start_run(&mut self, gateway: &mut Peer, link: &mut Peer, request: &str) {
        gateway.send(&format!("{request}\n"));
        link.record_next(&mut self.trace);
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub(crate) fn reload(&mut self, config: &str) {
        let new_file = self.file.with_extension("new");
        std::fs::write(&new_file, config).expect("a file");
        std::fs::rename(&new_file, &self.file).expect("one file system");
        self.signal("-HUP");
    }

    /// Accepts the server's next link to the worker.
    pub(crate) fn accept_worker_link(&mut self) -> Peer {
        let mut link = Peer::new("runtime", accept(&self.runtime));
        link.record_next(&mut self.trace);
        link
    }

    pub(crate) fn connect_gateway(&self) -> Peer {
        Peer::new("gateway", TcpStream::connect(&self.listen).expect("the server listens"))
    }

    pub(crate) fn accept_dependency_call(&self) -> Peer {
        Peer::new("ledger", accept(&self.ledger))
    }

    pub(crate) fn signal(&self, name: &str) {
        send_signal(self.server.id(), name);
    }

    /// Shows what the server logged, once it has ended.
    fn print_log(&mut self) {
        let mut log = String::new();
        if let Some(stderr) = &mut self.server.stderr {
            let _ = stderr.read_to_string(&mut log);
        }
        eprintln!("log of the server at {}:\n{log}", self.listen);
    }

    pub(crate) fn wait_for_exit(&mut self) {
        let status = self.server.wait().expect("the server ends");
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
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time limit");
        Self { name, stream: BufReader::new(stream) }
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).expect("the server reads");
    }

    pub(crate) fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) | Err(_) => "(closed)".into(),
            Ok(_) => line.trim_end().into(),
        }
    }

    pub(crate) fn read_body(&mut self, length: &str) -> String {
        let mut body = vec![0; length.trim().parse().expect("a length")];
        self.stream.read_exact(&mut body).expect("a body");
        String::from_utf8(body).expect("text")
    }

    /// Records the next message. Gauge queries are answered and not recorded; one that ends a replay is returned.
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

    /// Records a dependency call, without what differs between runs.
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

/// Settings with a non-idempotent request class, tenants, and a deduplication window of this length.
pub(crate) fn with_tenants(config: String, window_ms: u32) -> String {
    let extra_classes = r#"{"name":"pay","aim-us":3000000,"deadline-us":4000000,"semantics":"unsafe"}],"orgs":
        [{"name":"a","quota-rps":50},{"name":"b","quota-rps":50}],"rules""#;
    let window_setting = format!("\"memory-span-us\":{}", window_ms * 1000);
    config
        .replace("],\n \"rules\"", &format!(",{extra_classes}"))
        .replace("\"memory-span-us\":5000000", &window_setting)
}

/// The same endpoints but for the registry.
pub(crate) fn with_registry(config: &str, control: &str) -> String {
    with_endpoint(config, "control", control)
}

/// The same endpoints but for the dependency.
pub(crate) fn with_ledger(config: &str, ledger: &str) -> String {
    with_endpoint(config, "ledger", ledger)
}

fn with_endpoint(config: &str, key: &str, address: &str) -> String {
    let key = format!("\"{key}\":\"");
    let (before, rest) = config.split_once(&key).expect("the key");
    let (_, after) = rest.split_once('"').expect("an address");
    format!("{before}{key}{address}\"{after}")
}

/// An address that refuses connections until the test binary ends. A port of a listener that was closed may get
/// another listener at any time.
pub(crate) fn refusing_address() -> String {
    reserve_address()
}

/// Waits until this long after a moment.
pub(crate) fn wait_until(since: Instant, ms: u64) {
    while since.elapsed() < Duration::from_millis(ms) {
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The worker's notice that a run succeeded.
pub(crate) fn success_notice(number: u32, req: u32) -> String {
    format!("end {number} {} complete 5 4\r\ndone\r\n", id(req))
}

pub(crate) fn id(req: u32) -> String {
    format!("{req:016x}")
}

/// The server's log lines as they arrive.
pub(crate) struct LogLines(Receiver<String>);

impl LogLines {
    pub(crate) fn of(server: &mut Child) -> Self {
        let (sender, receiver) = channel();
        let stderr = server.stderr.take().expect("piped");
        std::thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).for_each(|line| drop(sender.send(line)));
        });
        Self(receiver)
    }

    /// The next line that contains one of these texts, without its time.
    pub(crate) fn next(&self, texts: &[&str]) -> String {
        loop {
            let line = self.0.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("no log line with {texts:?}"));
            if texts.iter().any(|text| line.contains(text)) {
                return line.split_once(' ').map_or("", |(_, text)| text).to_string();
            }
        }
    }
}

/// Writes an operator's file; returns the shell command that names it to the server.
pub(crate) fn operator_file(name: &str, text: &str) -> String {
    let path = config_file(name).with_extension("star");
    std::fs::write(&path, text).expect("a file");
    format!("export HAZELSPUR_FILE={};", path.display())
}
