//! Executes one plan: starts the test doubles, the server and its clients, carries out the steps of the plan,
//! and collects the evidence until the server has ended. Then the server is restarted to see whether it
//! becomes ready.

use super::checker::Evidence;
use super::client::{self, Connection, RunContext};
use super::plan::{LEAD_MS, Plan};
use super::server::{Addresses, Server};
use super::timeline::{Operation, OverlappingSpans, TimedOperation, timeline};
use amq_protocol::protocol::basic::AMQPProperties;
use anyhow::Context;
use hazelspur_test_doubles::broker::Broker;
use hazelspur_test_doubles::checker::{Expected, breaches};
use hazelspur_test_doubles::dependency::Dependency;
use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::registry::Registry;
use hazelspur_test_doubles::reserved_address::ReservedAddress;
use hazelspur_test_doubles::worker::{Worker, WorkerSettings};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// Number of calls that the dependency serves concurrently.
const CALL_SLOTS: usize = 50;
/// Duration of a dependency call, in milliseconds.
const CALL_MS: f64 = 5.0;
/// Time after the kill for which clients still read, in milliseconds.
const CLIENT_TIME_AFTER_KILL_MS: u64 = 300;
/// Longest wait for the broker to notice that the server process has ended.
const SETTLING_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two records of the resource usage of the server.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);
/// Number of runs that this process has begun; part of the folder name and the address of each run.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Test doubles, reserved server address and folder of one run.
struct TestEnvironment {
    worker: Worker,
    dependency: Dependency,
    registry: Registry,
    broker: Broker,
    reserved: ReservedAddress,
    folder: PathBuf,
    /// Message bodies in the broker's queue, each with the requirements that its handling must meet.
    expected: BTreeMap<Vec<u8>, Expected>,
}

impl TestEnvironment {
    fn new(plan: &Plan) -> anyhow::Result<Self> {
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let net = 1 + (std::process::id() % 250) as u8;
        let ip = Ipv4Addr::new(127, 81, net, 1 + (run % 250) as u8);
        let folder = std::env::temp_dir().join(format!("hazelspur-endings-{}-{run}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let worker_settings = WorkerSettings {
            run_ms: plan.run_ms,
            makes_calls: plan.seed.is_multiple_of(2),
            call_deadline_ms: client::REQUEST_TIMEOUT_MS,
            ..WorkerSettings::default()
        };
        let mut environment = Self {
            worker: Worker::start("127.0.0.1:0", worker_settings),
            dependency: Dependency::start("127.0.0.1:0", CALL_SLOTS, CALL_MS),
            registry: Registry::start("127.0.0.1:0"),
            broker: Broker::start(),
            reserved: ReservedAddress::on(ip).context("cannot reserve an address for the server")?,
            folder,
            expected: BTreeMap::new(),
        };
        environment.fill_queue(plan.queued_messages);
        Ok(environment)
    }

    fn fill_queue(&mut self, messages: u32) {
        self.broker.declare("dead", None);
        self.broker.declare("orders", Some("dead"));
        for number in 0..messages {
            let class = ["view", "book", "pay"][number as usize % 3];
            let body = format!("message-{number}").into_bytes();
            self.broker.publish("orders", message_properties(class, number), &body);
            self.expected.insert(body, Expected { at_most_once: class != "view", start_deadline_ms: None });
        }
    }

    fn addresses(&self) -> Addresses {
        Addresses {
            listen: self.reserved.address(),
            worker: [self.worker.address; 2],
            dependency: self.dependency.address,
            registry: self.registry.address,
            broker: self.broker.address,
        }
    }

    /// Returns the breaches found by the checker of the broker, once the broker and the worker have read
    /// everything that the server wrote.
    fn queue_breaches(&self, log: &str) -> Vec<String> {
        self.broker
            .wait_until(SETTLING_TIMEOUT, |state| !state.has_consumer("orders") && state.unsettled() == 0);
        sleep(OBSERVATION_INTERVAL);
        let lost = sum_of_log_field(log, "unproven");
        breaches(&self.broker.state(), &self.worker.state(), &self.expected, lost)
    }

    /// Carries out the operations of the plan at their times. Returns the times just before and just after
    /// the first SIGTERM was sent.
    fn play_timeline(
        &self,
        server: &mut Server,
        plan: &Plan,
        context: &RunContext,
    ) -> anyhow::Result<NoticeTimes> {
        let mut spans = OpenSpans::default();
        let mut notice = NoticeTimes::default();
        for TimedOperation { at_ms, operation } in timeline(plan) {
            let due_ms = context.notice_due_ms.saturating_add_signed(at_ms);
            while now_ms() < due_ms {
                server.record_usage();
                sleep(OBSERVATION_INTERVAL.min(Duration::from_millis(due_ms.saturating_sub(now_ms()))));
            }
            if operation == Operation::Notice {
                notice.before_ms = now_ms();
                server.signal("-TERM");
                notice.after_ms = now_ms();
            } else {
                self.perform(server, &mut spans, operation)?;
            }
        }
        Ok(notice)
    }

    fn perform(
        &self,
        server: &mut Server,
        spans: &mut OpenSpans,
        operation: Operation,
    ) -> anyhow::Result<()> {
        match operation {
            Operation::Notice | Operation::Term => server.signal("-TERM"),
            Operation::Hup(change) => server.reload(change)?,
            Operation::BeginSuspension if spans.suspensions.begin() => server.signal("-STOP"),
            Operation::EndSuspension if spans.suspensions.end() => server.signal("-CONT"),
            Operation::BeginRefusal if spans.refusals.begin() => {
                let mut worker = self.worker.state();
                worker.refuses_links = true;
                worker.break_link();
            }
            Operation::EndRefusal if spans.refusals.end() => self.worker.state().refuses_links = false,
            Operation::CutBroker => self.broker.cut_connections(),
            // Another span of the same kind is still open.
            Operation::BeginSuspension
            | Operation::EndSuspension
            | Operation::BeginRefusal
            | Operation::EndRefusal => {}
        }
        Ok(())
    }
}

/// Suspensions and refusals that are open in one run.
#[derive(Default)]
struct OpenSpans {
    suspensions: OverlappingSpans,
    refusals: OverlappingSpans,
}

/// Times just before and just after the first SIGTERM was sent, in Unix milliseconds.
#[derive(Clone, Copy, Default)]
struct NoticeTimes {
    before_ms: u64,
    after_ms: u64,
}

/// Executes a plan with the server `program` and returns the evidence. If `interrupted` is set, the server is
/// not restarted after its end.
///
/// # Errors
/// Returns an error if a test double or a file cannot be set up, or if the server does not become ready.
pub fn play(program: &Path, plan: &Plan, interrupted: &AtomicBool) -> anyhow::Result<Evidence> {
    let environment = TestEnvironment::new(plan)?;
    let addresses = environment.addresses();
    let mut server = Server::start(program, &environment.folder, addresses, plan)?;
    server.wait_until_serving().with_context(|| read_log(&environment.folder))?;
    let notice_due_ms = now_ms().saturating_add_signed(LEAD_MS);
    let give_up_ms = notice_due_ms.saturating_add_signed(plan.stop_ms) + CLIENT_TIME_AFTER_KILL_MS;
    let context = RunContext { server: addresses.listen, notice_due_ms, give_up_ms };
    let (connections, ended) = std::thread::scope(|scope| {
        let clients = plan.clients.iter().enumerate();
        let client_threads: Vec<_> = clients
            .map(|(number, client)| {
                scope.spawn({
                    let context = &context;
                    move || client::play(context, number, client)
                })
            })
            .collect();
        let ended = environment.play_timeline(&mut server, plan, &context).and_then(|notice| {
            let kill_ms = notice.before_ms.saturating_add_signed(plan.stop_ms);
            Ok((notice, server.wait_or_kill(kill_ms)?))
        });
        let connections: Vec<Connection> =
            client_threads.into_iter().map(|client| client.join().unwrap_or_default()).collect();
        (connections, ended)
    });
    let (notice, end) = ended?;
    let log = read_log(&environment.folder);
    let queue_breaches = environment.queue_breaches(&log);
    let ready_after =
        if interrupted.load(Ordering::Relaxed) { None } else { restart(program, &environment, plan)? };
    let worker = environment.worker.state();
    let evidence = Evidence {
        notice_ms: notice.after_ms,
        kill_ms: notice.before_ms.saturating_add_signed(plan.stop_ms),
        connections,
        started_ms: worker.started.clone(),
        runs_by_body: worker
            .runs
            .iter()
            .map(|(body, runs)| (String::from_utf8_lossy(body).into(), runs.len()))
            .collect(),
        queue_breaches,
        end,
        ready_after,
        log,
    };
    let _ = std::fs::remove_dir_all(&environment.folder);
    Ok(evidence)
}

/// Starts the server again at once, with the same name and address, and returns the time until it is ready;
/// `None` if it does not become ready. The new process is then killed.
fn restart(program: &Path, environment: &TestEnvironment, plan: &Plan) -> anyhow::Result<Option<Duration>> {
    let mut server = Server::start(program, &environment.folder, environment.addresses(), plan)?;
    let ready_after = server.wait_until_serving().ok();
    Ok(ready_after)
}

fn read_log(folder: &Path) -> String {
    std::fs::read_to_string(folder.join("log")).unwrap_or_default()
}

/// Returns the sum of a numeric field over all lines of a log.
fn sum_of_log_field(log: &str, key: &str) -> usize {
    let key = format!(" {key}=");
    let values = log.split(&key).skip(1);
    values.filter_map(|rest| rest.split([' ', '\n']).next()?.parse::<usize>().ok()).sum()
}

/// Returns the AMQP properties of a message: its request class as type, and an id made of its number.
fn message_properties(class: &str, number: u32) -> AMQPProperties {
    let id = format!("m{number}");
    AMQPProperties::default().with_type(class.into()).with_message_id(id.as_str().into())
}
