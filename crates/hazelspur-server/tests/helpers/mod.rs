//! Testbed for queues: the built server with an operator's file, between test doubles of a broker, a worker,
//! a dependency and a registry.
#![allow(dead_code)] // no test file uses all of it

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use hazelspur::pcg::Pcg;
use hazelspur_test_doubles::broker::Broker;
use hazelspur_test_doubles::checker::Expected;
use hazelspur_test_doubles::http::HttpServer;
use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::process::send_signal;
use hazelspur_test_doubles::reserved_address::ReservedAddress;
use hazelspur_test_doubles::worker::{Worker, WorkerSettings};
use std::collections::BTreeMap;
use std::io::Read;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum time for an expected state. Longer than the timeouts of several lost confirms in a row.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Settings of the server: `view` is idempotent, `set-qty` is deduplicated by key, `book` is not idempotent.
const SETTINGS: &str = r#"{"family-info":{"n-cores":2,"mem-limit-kb":100000,"run-factor":8,"stop-mode":"drop",
 "meters":["core_use","on_cores"],"calls-out":50,"calls-over-us":5000000,"passes-deadline":true},
 "lanes":[{"name":"view","aim-us":3000000,"deadline-us":4000000,"semantics":"safe","importance":1},
 {"name":"set-qty","aim-us":3000000,"deadline-us":4000000,"semantics":"keyed","memory-span-us":60000000},
 {"name":"book","aim-us":3000000,"deadline-us":4000000,"semantics":"unsafe"}],
 "rules":{"fall-multiple":8,"cold-share":0.2,"cold-us":10000000,"drain-grace-us":300000},
 "limits":{"retry-after":true,"max-retry-after-us":1000000},"servers":1}"#;
/// Upper bound, exclusive, of the time between two suspensions, in milliseconds.
const MAX_PAUSE_MS: u32 = 30;
/// Maximum duration of a suspension, in milliseconds.
const MAX_SUSPENSION_MS: u32 = 150;
/// Number of testbeds so far.
static NEXT_TESTBED: AtomicUsize = AtomicUsize::new(0);

/// The server and the test doubles that it is connected to. Kills the server and removes its files when
/// dropped.
pub(crate) struct Testbed {
    pub broker: Broker,
    pub worker: Worker,
    pub dependency: HttpServer,
    registry: HttpServer,
    /// Rules for the published messages, by body.
    pub expected: BTreeMap<Vec<u8>, Expected>,
    /// `None` while no server runs.
    server: Option<Child>,
    /// Address at which the server listens for gateways.
    pub listen: String,
    /// Configuration file and operator's file.
    config_files: [PathBuf; 2],
    /// Keeps the address in `listen` reserved.
    _reserved: ReservedAddress,
    /// Settings of the configuration, as JSON.
    pub settings: String,
    /// Limits of the process in the configuration, as JSON.
    pub limits: String,
    /// Part of the operator's file that describes the queues.
    queues: String,
    /// Spread of the server's connection attempts to brokers, in seconds.
    pub reconnect_spread_s: f64,
    broker_addresses: Vec<String>,
}

/// Exit of a server.
pub(crate) struct ServerExit {
    /// Exit code; `None` after a signal.
    pub status: Option<i32>,
    /// Complete log.
    pub log: String,
}

impl ServerExit {
    /// Reads the log of a server until its end and waits for its exit. Does not end the server.
    pub(crate) fn wait_for(mut server: Child) -> Self {
        let mut log = String::new();
        server.stderr.take().expect("stderr is piped").read_to_string(&mut log).expect("text is UTF-8");
        let status = server.wait().expect("server exits").code();
        Self { status, log }
    }

    /// Returns the number of log lines at level `error`, which report faults of the server itself.
    pub(crate) fn error_lines(&self) -> usize {
        self.log.lines().filter(|line| line.split(' ').nth(1) == Some("error")).count()
    }

    /// Returns the sum of a log field over all lines.
    pub(crate) fn sum_of_field(&self, key: &str) -> usize {
        let key = format!(" {key}=");
        let values = self.log.split(&key).skip(1);
        values.filter_map(|rest| rest.split([' ', '\n']).next()?.parse::<usize>().ok()).sum()
    }
}

impl Testbed {
    /// Creates a testbed without a running server. `queues` is the part of the operator's file that describes
    /// the queues; the test declares them at the broker before it starts the server.
    pub(crate) fn new(queues: &str, pace: WorkerSettings) -> Self {
        let number = NEXT_TESTBED.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 78, (std::process::id() % 250) as u8, 1 + (number % 250) as u8);
        let broker = Broker::start_at((ip, 0).into());
        let reserved = ReservedAddress::on(ip).expect("a port is free");
        let listen = reserved.address().to_string();
        let file = |extension: &str| {
            std::env::temp_dir()
                .join(format!("hazelspur-testbed-{}-{number}.{extension}", std::process::id()))
        };
        let broker_addresses = vec![broker.address.to_string()];
        Self {
            broker,
            worker: Worker::start("127.0.0.1:0", pace),
            dependency: HttpServer::start("127.0.0.1:0", "200 OK", "noted"),
            registry: HttpServer::start("127.0.0.1:0", "204 No Content", ""),
            expected: BTreeMap::new(),
            server: None,
            listen,
            _reserved: reserved,
            config_files: [file("json"), file("star")],
            settings: SETTINGS.into(),
            limits: "{}".into(),
            queues: queues.into(),
            reconnect_spread_s: 0.03,
            broker_addresses,
        }
    }

    /// Writes the server's configuration and operator's file.
    pub(crate) fn write_files(&self, stop_ms: u64) {
        let (listen, worker, dependency) = (&self.listen, self.worker.address, self.dependency.address);
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","runtime":"{worker}","ledger":"{dependency}","control":"{}","seed":"000000000000002a","stop_ms":{stop_ms},"limits":{},"settings":{}}}"#,
            self.registry.address, self.limits, self.settings
        );
        std::fs::write(&self.config_files[0], config).expect("file is written");
        let brokers = format!("{:?}", self.broker_addresses);
        let operator_file = format!(
            "amqp(brokers = {brokers}, user = \"u\", password = \"p\", spread_s = {})\n{}",
            self.reconnect_spread_s, self.queues
        );
        std::fs::write(&self.config_files[1], operator_file).expect("file is written");
    }

    pub(crate) fn start(&mut self) {
        self.start_with_stop_ms(1500);
    }

    /// Starts the server with `stop_ms` as the time that it has from the shutdown notice to its exit.
    pub(crate) fn start_with_stop_ms(&mut self, stop_ms: u64) {
        self.write_files(stop_ms);
        let mut server = Command::new(env!("CARGO_BIN_EXE_hazelspur-server"));
        server.env("ROUTER_CONFIG", &self.config_files[0]).arg("--file").arg(&self.config_files[1]);
        self.server = Some(server.stderr(Stdio::piped()).spawn().expect("server starts"));
    }

    /// Creates a testbed, declares `queue` and its dead-letter queue `dead`, starts the server and waits
    /// until it consumes the queue.
    pub(crate) fn start_consuming(queues: &str, pace: WorkerSettings, queue: &str) -> Self {
        let mut testbed = Self::new(queues, pace);
        testbed.broker.declare("dead", None);
        testbed.broker.declare(queue, Some("dead"));
        testbed.start();
        assert!(
            testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.has_consumer(queue)),
            "queue is not consumed"
        );
        testbed
    }

    /// Sets the brokers that the operator's file names from the next `write_files` on.
    pub(crate) fn set_brokers(&mut self, brokers: &[&Broker]) {
        self.broker_addresses = brokers.iter().map(|broker| broker.address.to_string()).collect();
    }

    /// Publishes a request of this class with `message_id` as both its message-id and its body.
    pub(crate) fn publish(
        &mut self,
        queue: &str,
        request_class: &str,
        message_id: &str,
        options: MessageOptions,
    ) {
        let until_ms = options.max_wait_ms.map(|wait_ms| options.sent_ms.unwrap_or_else(now_ms) + wait_ms);
        self.expected.insert(
            message_id.into(),
            Expected { at_most_once: request_class != "view", start_deadline_ms: until_ms },
        );
        self.broker.publish(queue, options.properties(request_class, message_id), message_id.as_bytes());
    }

    /// Waits until these queues are empty and no delivery is unsettled; returns whether that happened in
    /// time.
    pub(crate) fn wait_until_settled(&self, queues: &[&str]) -> bool {
        let queues: Vec<String> = queues.iter().map(|name| name.to_string()).collect();
        self.broker.wait_until(WAIT_TIMEOUT, |state| {
            state.unsettled() == 0 && queues.iter().all(|queue| state.ready(queue) == 0)
        })
    }

    /// Does the same as `wait_until_settled` while one of server, broker and worker after another, chosen at
    /// random, is suspended for a random time.
    pub(crate) fn wait_until_settled_with_suspensions(&self, queues: &[&str], random: &mut Pcg) -> bool {
        let finished = AtomicBool::new(false);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                while !finished.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(u64::from(random.draw() % MAX_PAUSE_MS)));
                    self.suspend_one(random);
                }
            });
            let settled = self.wait_until_settled(queues);
            finished.store(true, Ordering::Relaxed);
            settled
        })
    }

    /// Suspends the server, the broker or the worker once. The test doubles stop while their state is locked.
    fn suspend_one(&self, random: &mut Pcg) {
        let duration = Duration::from_millis(u64::from(1 + random.draw() % MAX_SUSPENSION_MS));
        match random.draw() % 3 {
            0 => {
                self.signal("-STOP");
                std::thread::sleep(duration);
                self.signal("-CONT");
            }
            1 => {
                let _state = self.broker.state();
                std::thread::sleep(duration);
            }
            _ => {
                let _worker_state = self.worker.state();
                std::thread::sleep(duration);
            }
        }
    }

    pub(crate) fn process_id(&self) -> u32 {
        self.server.as_ref().expect("server is running").id()
    }

    pub(crate) fn signal(&self, name: &str) {
        send_signal(self.process_id(), name);
    }

    /// Returns the server's process; the caller has to end it.
    pub(crate) fn take_server(&mut self) -> Child {
        self.server.take().expect("server is running")
    }

    /// Waits until the server exits.
    pub(crate) fn wait_for_exit(&mut self) -> ServerExit {
        ServerExit::wait_for(self.take_server())
    }

    /// Sends SIGTERM to the server and waits until it exits.
    pub(crate) fn terminate(&mut self) -> ServerExit {
        self.signal("-TERM");
        self.wait_for_exit()
    }

    /// Sends SIGKILL to the server and waits until it exits.
    pub(crate) fn kill(&mut self) -> ServerExit {
        self.signal("-KILL");
        self.wait_for_exit()
    }

    /// Returns all violations of the rules for the published messages. Up to `max_lost` messages may have
    /// been acknowledged without a run.
    pub(crate) fn breaches(&self, max_lost: usize) -> Vec<String> {
        hazelspur_test_doubles::checker::breaches(
            &self.broker.state(),
            &self.worker.state(),
            &self.expected,
            max_lost,
        )
    }

    /// Returns each body with the number of its runs, in order of the bodies.
    pub(crate) fn run_counts(&self) -> String {
        let worker_state = self.worker.state();
        let runs = worker_state
            .runs
            .iter()
            .map(|(body, runs)| format!("{} {}", String::from_utf8_lossy(body), runs.len()));
        runs.collect::<Vec<_>>().join(", ")
    }

    /// Returns the bodies of the messages in a queue, sorted, each with the outcome if the message is a
    /// reply.
    pub(crate) fn queue_contents(&self, queue: &str) -> String {
        let state = self.broker.state();
        let Some(queue) = state.queues.get(queue) else { return String::new() };
        let contents = queue.ready.iter().map(|message| {
            let headers = message.properties.headers().clone().unwrap_or_default();
            let outcome = match headers.inner().get("x-outcome") {
                Some(AMQPValue::LongString(outcome)) => format!(" {outcome}"),
                _ => String::new(),
            };
            format!("{}{outcome}", String::from_utf8_lossy(&message.body))
        });
        let mut contents: Vec<String> = contents.collect();
        contents.sort();
        contents.join(", ")
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        if let Some(mut server) = self.server.take() {
            let _ = server.kill();
            let _ = server.wait();
        }
        self.config_files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

/// Optional properties of a published message.
#[derive(Clone, Copy, Default)]
pub(crate) struct MessageOptions {
    /// Header `x-sent-ms`: send time in milliseconds since the Unix epoch.
    pub sent_ms: Option<u64>,
    /// Header `x-waits-ms`: maximum wait from the send time, in milliseconds.
    pub max_wait_ms: Option<u64>,
    /// Whether the reply is requested in the queue `answers`.
    pub wants_reply: bool,
    pub without_message_id: bool,
}

impl MessageOptions {
    pub(crate) fn properties(self, request_class: &str, message_id: &str) -> AMQPProperties {
        let mut headers = FieldTable::default();
        if let Some(sent_ms) = self.sent_ms {
            headers.insert("x-sent-ms".into(), AMQPValue::LongLongInt(sent_ms as i64));
        }
        if let Some(max_wait_ms) = self.max_wait_ms {
            headers.insert("x-waits-ms".into(), AMQPValue::LongLongInt(max_wait_ms as i64));
        }
        let mut properties = AMQPProperties::default().with_type(request_class.into()).with_headers(headers);
        if !self.without_message_id {
            properties = properties.with_message_id(message_id.into());
        }
        if self.wants_reply { properties.with_reply_to("answers".into()) } else { properties }
    }
}
