//! A shop: the built server with an operator's file between a stand-in broker, runtime, ledger and control
//! plane.

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

/// Longer than several confirms that never come, one after the other.
pub(crate) const SOON: Duration = Duration::from_secs(40);
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
static SHOPS: AtomicUsize = AtomicUsize::new(0);

pub(crate) struct Shop {
    pub broker: Broker,
    pub runtime: Worker,
    pub ledger: HttpServer,
    control: HttpServer,
    pub expected: BTreeMap<Vec<u8>, Expected>,
    server: Option<Child>,
    pub listen: String,
    files: [PathBuf; 2],
    _reserved: ReservedAddress,
    queues: String,
    pub spread_s: f64,
    brokers: Vec<String>,
}

/// What the server said until its end.
pub(crate) struct Said {
    pub status: Option<i32>,
    pub text: String,
}

impl Said {
    /// Of a process that ends by itself or has ended.
    pub(crate) fn of(mut server: Child) -> Self {
        let mut text = String::new();
        server.stderr.take().expect("piped").read_to_string(&mut text).expect("text");
        let status = server.wait().expect("it ends").code();
        Self { status, text }
    }

    /// Lines that tell of a fault of the server's own.
    pub(crate) fn errors(&self) -> usize {
        self.text.lines().filter(|line| line.split(' ').nth(1) == Some("error")).count()
    }

    /// The sum of this figure over all lines.
    pub(crate) fn sum(&self, key: &str) -> usize {
        let key = format!(" {key}=");
        let after = self.text.split(&key).skip(1);
        after.filter_map(|rest| rest.split([' ', '\n']).next()?.parse::<usize>().ok()).sum()
    }
}

impl Shop {
    /// With the queues that this part of an operator's file names, declared at the broker beforehand.
    pub(crate) fn new(queues: &str, pace: WorkerSettings) -> Self {
        let number = SHOPS.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 78, (std::process::id() % 250) as u8, 1 + (number % 250) as u8);
        let broker = Broker::start_at((ip, 0).into());
        let reserved = ReservedAddress::on(ip).expect("a free port");
        let listen = reserved.address().to_string();
        let file = |end: &str| {
            std::env::temp_dir().join(format!("hazelspur-shop-{}-{number}.{end}", std::process::id()))
        };
        let brokers = vec![broker.address.to_string()];
        Self {
            broker,
            runtime: Worker::start("127.0.0.1:0", pace),
            ledger: HttpServer::start("127.0.0.1:0", "200 OK", "noted"),
            control: HttpServer::start("127.0.0.1:0", "204 No Content", ""),
            expected: BTreeMap::new(),
            server: None,
            listen,
            _reserved: reserved,
            files: [file("json"), file("star")],
            queues: queues.into(),
            spread_s: 0.03,
            brokers,
        }
    }

    pub(crate) fn write_files(&self, stop_ms: u64) {
        let (listen, runtime, ledger) = (&self.listen, self.runtime.address, self.ledger.address);
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","runtime":"{runtime}","ledger":"{ledger}","control":"{}","seed":"000000000000002a","stop_ms":{stop_ms},"settings":{SETTINGS}}}"#,
            self.control.address
        );
        std::fs::write(&self.files[0], config).expect("a file");
        let brokers = format!("{:?}", self.brokers);
        let star = format!(
            "amqp(brokers = {brokers}, user = \"u\", password = \"p\", spread_s = {})\n{}",
            self.spread_s, self.queues
        );
        std::fs::write(&self.files[1], star).expect("a file");
    }

    pub(crate) fn start(&mut self) {
        self.start_with_stop(1500);
    }

    pub(crate) fn start_with_stop(&mut self, stop_ms: u64) {
        self.write_files(stop_ms);
        let mut server = Command::new(env!("CARGO_BIN_EXE_hazelspur-server"));
        server.env("ROUTER_CONFIG", &self.files[0]).arg("--file").arg(&self.files[1]);
        self.server = Some(server.stderr(Stdio::piped()).spawn().expect("the server starts"));
    }

    /// Started, and the broker sees its consumer on this queue.
    pub(crate) fn consuming(queues: &str, pace: WorkerSettings, queue: &str) -> Self {
        let mut shop = Self::new(queues, pace);
        shop.broker.declare("dead", None);
        shop.broker.declare(queue, Some("dead"));
        shop.start();
        assert!(shop.broker.wait_until(SOON, |state| state.has_consumer(queue)), "no consumer came");
        shop
    }

    pub(crate) fn brokers(&mut self, brokers: &[&Broker]) {
        self.brokers = brokers.iter().map(|broker| broker.address.to_string()).collect();
    }

    /// Publishes a request of this type under a message-id that is its body too.
    pub(crate) fn publish(&mut self, queue: &str, request_class: &str, name: &str, more: Sent) {
        let until_ms = more.waits_ms.map(|waits| more.sent_ms.unwrap_or_else(now_ms) + waits);
        self.expected.insert(
            name.into(),
            Expected { at_most_once: request_class != "view", start_deadline_ms: until_ms },
        );
        self.broker.publish(queue, more.properties(request_class, name), name.as_bytes());
    }

    /// Nothing is left for the server to do at the broker.
    pub(crate) fn settled(&self, queues: &[&str]) -> bool {
        let queues: Vec<String> = queues.iter().map(|name| name.to_string()).collect();
        self.broker.wait_until(SOON, |state| {
            state.unsettled() == 0 && queues.iter().all(|queue| state.ready(queue) == 0)
        })
    }

    /// The same while the server, the broker and the worker are suspended in turn, at random.
    pub(crate) fn settled_despite_suspensions(&self, queues: &[&str], random: &mut Pcg) -> bool {
        let over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(u64::from(random.draw() % MAX_PAUSE_MS)));
                    self.suspend_one(random);
                }
            });
            let settled = self.settled(queues);
            over.store(true, Ordering::Relaxed);
            settled
        })
    }

    fn suspend_one(&self, random: &mut Pcg) {
        let time = Duration::from_millis(u64::from(1 + random.draw() % MAX_SUSPENSION_MS));
        match random.draw() % 3 {
            0 => {
                self.signal("-STOP");
                std::thread::sleep(time);
                self.signal("-CONT");
            }
            1 => {
                let _state = self.broker.state();
                std::thread::sleep(time);
            }
            _ => {
                let _town = self.runtime.state();
                std::thread::sleep(time);
            }
        }
    }

    pub(crate) fn process(&self) -> u32 {
        self.server.as_ref().expect("it runs").id()
    }

    pub(crate) fn signal(&self, name: &str) {
        send_signal(self.process(), name);
    }

    /// The server's process, which the caller ends.
    pub(crate) fn take_server(&mut self) -> Child {
        self.server.take().expect("it runs")
    }

    /// Waits for its end.
    pub(crate) fn ended(&mut self) -> Said {
        Said::of(self.take_server())
    }

    pub(crate) fn leave(&mut self) -> Said {
        self.signal("-TERM");
        self.ended()
    }

    pub(crate) fn kill(&mut self) -> Said {
        self.signal("-KILL");
        self.ended()
    }

    pub(crate) fn breaches(&self, may_lose: usize) -> Vec<String> {
        hazelspur_test_doubles::checker::breaches(
            &self.broker.state(),
            &self.runtime.state(),
            &self.expected,
            may_lose,
        )
    }

    /// How often each body was run, in order of the bodies.
    pub(crate) fn runs(&self) -> String {
        let worker_state = self.runtime.state();
        let runs = worker_state
            .runs
            .iter()
            .map(|(body, runs)| format!("{} {}", String::from_utf8_lossy(body), runs.len()));
        runs.collect::<Vec<_>>().join(", ")
    }

    /// What is in a queue: bodies, and the outcome that a reply names.
    pub(crate) fn waiting(&self, queue: &str) -> String {
        let state = self.broker.state();
        let Some(queue) = state.queues.get(queue) else { return String::new() };
        let shown = queue.ready.iter().map(|message| {
            let headers = message.properties.headers().clone().unwrap_or_default();
            let outcome = match headers.inner().get("x-outcome") {
                Some(AMQPValue::LongString(outcome)) => format!(" {outcome}"),
                _ => String::new(),
            };
            format!("{}{outcome}", String::from_utf8_lossy(&message.body))
        });
        let mut shown: Vec<String> = shown.collect();
        shown.sort();
        shown.join(", ")
    }
}

impl Drop for Shop {
    fn drop(&mut self) {
        if let Some(mut server) = self.server.take() {
            let _ = server.kill();
            let _ = server.wait();
        }
        self.files.iter().for_each(|file| drop(std::fs::remove_file(file)));
    }
}

/// What a message says beside its request class and name.
#[derive(Clone, Copy, Default)]
pub(crate) struct Sent {
    pub sent_ms: Option<u64>,
    pub waits_ms: Option<u64>,
    pub reply: bool,
    pub nameless: bool,
}

impl Sent {
    pub(crate) fn properties(self, request_class: &str, name: &str) -> AMQPProperties {
        let mut headers = FieldTable::default();
        if let Some(sent) = self.sent_ms {
            headers.insert("x-sent-ms".into(), AMQPValue::LongLongInt(sent as i64));
        }
        if let Some(waits) = self.waits_ms {
            headers.insert("x-waits-ms".into(), AMQPValue::LongLongInt(waits as i64));
        }
        let mut properties = AMQPProperties::default().with_type(request_class.into()).with_headers(headers);
        if !self.nameless {
            properties = properties.with_message_id(name.into());
        }
        if self.reply { properties.with_reply_to("answers".into()) } else { properties }
    }
}
