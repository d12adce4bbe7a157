//! A testbed: the built server with an operator's file between a stand-in broker, runtime, ledger and control
//! plane.

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use hazelspur::pcg::Pcg;
use hazelspur_test_doubles::broker::Broker;
use hazelspur_test_doubles::checker::Expected;
use hazelspur_test_doubles::http::Http;
use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::process::send_signal;
use hazelspur_test_doubles::reserved_address::ReservedAddress;
use hazelspur_test_doubles::runtime::{Pace, Runtime};
use std::collections::BTreeMap;
use std::io::Read;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Longer than several confirms that never come, one after the other.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const SETTINGS: &str = r#"{"family-info":{"n-cores":2,"mem-limit-kb":100000,"run-factor":8,"stop-mode":"drop",
 "meters":["core_use","on_cores"],"calls-out":50,"calls-over-us":5000000,"passes-deadline":true},
 "lanes":[{"name":"view","aim-us":3000000,"deadline-us":4000000,"semantics":"safe","importance":1},
 {"name":"set-qty","aim-us":3000000,"deadline-us":4000000,"semantics":"keyed","memory-span-us":60000000},
 {"name":"book","aim-us":3000000,"deadline-us":4000000,"semantics":"unsafe"}],
 "rules":{"fall-multiple":8,"cold-share":0.2,"cold-us":10000000,"drain-grace-us":300000},
 "limits":{"retry-after":true,"max-retry-after-us":1000000},"servers":1}"#;
/// The longest time between two suspensions, in milliseconds.
const MAX_PAUSE_MS: u32 = 30;
/// The longest suspension, in milliseconds.
const MAX_SUSPENSION_MS: u32 = 150;
static NEXT_TESTBED: AtomicUsize = AtomicUsize::new(0);

pub(crate) struct Testbed {
    pub broker: Broker,
    pub worker: Runtime,
    pub dependency: Http,
    registry: Http,
    pub expected: BTreeMap<Vec<u8>, Expected>,
    server: Option<Child>,
    pub listen: String,
    config_files: [PathBuf; 2],
    _reserved: ReservedAddress,
    queues: String,
    pub reconnect_spread_s: f64,
    broker_addresses: Vec<String>,
}

/// What the server said until its end.
pub(crate) struct ServerExit {
    pub status: Option<i32>,
    pub log: String,
}

impl ServerExit {
    /// Of a process that ends by itself or has ended.
    pub(crate) fn wait_for(mut server: Child) -> Self {
        let mut log = String::new();
        server.stderr.take().expect("piped").read_to_string(&mut log).expect("text");
        let status = server.wait().expect("it ends").code();
        Self { status, log }
    }

    /// Lines that tell of a fault of the server's own.
    pub(crate) fn error_lines(&self) -> usize {
        self.log.lines().filter(|line| line.split(' ').nth(1) == Some("error")).count()
    }

    /// The sum of this figure over all lines.
    pub(crate) fn sum_of_field(&self, key: &str) -> usize {
        let key = format!(" {key}=");
        let values = self.log.split(&key).skip(1);
        values.filter_map(|rest| rest.split([' ', '\n']).next()?.parse::<usize>().ok()).sum()
    }
}

impl Testbed {
    /// With the queues that this part of an operator's file names, declared at the broker beforehand.
    pub(crate) fn new(queues: &str, pace: Pace) -> Self {
        let number = NEXT_TESTBED.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 78, (std::process::id() % 250) as u8, 1 + (number % 250) as u8);
        let broker = Broker::at((ip, 0).into());
        let reserved = ReservedAddress::on(ip).expect("a free port");
        let listen = reserved.address().to_string();
        let file = |extension: &str| {
            std::env::temp_dir()
                .join(format!("hazelspur-testbed-{}-{number}.{extension}", std::process::id()))
        };
        let broker_addresses = vec![broker.address.to_string()];
        Self {
            broker,
            worker: Runtime::start("127.0.0.1:0", pace),
            dependency: Http::start("127.0.0.1:0", "200 OK", "noted"),
            registry: Http::start("127.0.0.1:0", "204 No Content", ""),
            expected: BTreeMap::new(),
            server: None,
            listen,
            _reserved: reserved,
            config_files: [file("json"), file("star")],
            queues: queues.into(),
            reconnect_spread_s: 0.03,
            broker_addresses,
        }
    }

    pub(crate) fn write_files(&self, stop_ms: u64) {
        let (listen, worker, dependency) = (&self.listen, self.worker.address, self.dependency.address);
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","runtime":"{worker}","ledger":"{dependency}","control":"{}","seed":"000000000000002a","stop_ms":{stop_ms},"settings":{SETTINGS}}}"#,
            self.registry.address
        );
        std::fs::write(&self.config_files[0], config).expect("a file");
        let brokers = format!("{:?}", self.broker_addresses);
        let operator_file = format!(
            "amqp(brokers = {brokers}, user = \"u\", password = \"p\", spread_s = {})\n{}",
            self.reconnect_spread_s, self.queues
        );
        std::fs::write(&self.config_files[1], operator_file).expect("a file");
    }

    pub(crate) fn start(&mut self) {
        self.start_with_stop_ms(1500);
    }

    pub(crate) fn start_with_stop_ms(&mut self, stop_ms: u64) {
        self.write_files(stop_ms);
        let mut server = Command::new(env!("CARGO_BIN_EXE_hazelspur-server"));
        server.env("ROUTER_CONFIG", &self.config_files[0]).arg("--file").arg(&self.config_files[1]);
        self.server = Some(server.stderr(Stdio::piped()).spawn().expect("the server starts"));
    }

    /// Started, and the broker sees its consumer on this queue.
    pub(crate) fn start_consuming(queues: &str, pace: Pace, queue: &str) -> Self {
        let mut testbed = Self::new(queues, pace);
        testbed.broker.declare("dead", None);
        testbed.broker.declare(queue, Some("dead"));
        testbed.start();
        assert!(testbed.broker.until(WAIT_TIMEOUT, |state| state.consumed(queue)), "no consumer came");
        testbed
    }

    pub(crate) fn set_brokers(&mut self, brokers: &[&Broker]) {
        self.broker_addresses = brokers.iter().map(|broker| broker.address.to_string()).collect();
    }

    /// Publishes a request of this type under a message-id that is its body too.
    pub(crate) fn publish(
        &mut self,
        queue: &str,
        request_class: &str,
        message_id: &str,
        options: MessageOptions,
    ) {
        let until_ms = options.max_wait_ms.map(|wait_ms| options.sent_ms.unwrap_or_else(now_ms) + wait_ms);
        self.expected.insert(message_id.into(), Expected { once: request_class != "view", until_ms });
        self.broker.publish(queue, options.properties(request_class, message_id), message_id.as_bytes());
    }

    /// Nothing is left for the server to do at the broker.
    pub(crate) fn wait_until_settled(&self, queues: &[&str]) -> bool {
        let queues: Vec<String> = queues.iter().map(|name| name.to_string()).collect();
        self.broker.until(WAIT_TIMEOUT, |state| {
            state.unsettled() == 0 && queues.iter().all(|queue| state.ready(queue) == 0)
        })
    }

    /// The same while the server, the broker and the worker are suspended in turn, at random.
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
        self.server.as_ref().expect("it runs").id()
    }

    pub(crate) fn signal(&self, name: &str) {
        send_signal(self.process_id(), name);
    }

    /// The server's process, which the caller ends.
    pub(crate) fn take_server(&mut self) -> Child {
        self.server.take().expect("it runs")
    }

    /// Waits for its end.
    pub(crate) fn wait_for_exit(&mut self) -> ServerExit {
        ServerExit::wait_for(self.take_server())
    }

    pub(crate) fn terminate(&mut self) -> ServerExit {
        self.signal("-TERM");
        self.wait_for_exit()
    }

    pub(crate) fn kill(&mut self) -> ServerExit {
        self.signal("-KILL");
        self.wait_for_exit()
    }

    pub(crate) fn breaches(&self, max_lost: usize) -> Vec<String> {
        hazelspur_test_doubles::checker::breaches(
            &self.broker.state(),
            &self.worker.state(),
            &self.expected,
            max_lost,
        )
    }

    /// How often each body was run, in order of the bodies.
    pub(crate) fn run_counts(&self) -> String {
        let worker_state = self.worker.state();
        let runs = worker_state
            .runs
            .iter()
            .map(|(body, runs)| format!("{} {}", String::from_utf8_lossy(body), runs.len()));
        runs.collect::<Vec<_>>().join(", ")
    }

    /// What is in a queue: bodies, and the outcome that a reply names.
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

/// What a message says beside its request class and name.
#[derive(Clone, Copy, Default)]
pub(crate) struct MessageOptions {
    pub sent_ms: Option<u64>,
    pub max_wait_ms: Option<u64>,
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
