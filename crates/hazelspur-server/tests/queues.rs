//! Consumption of queues by the built server, from a test double of a broker with scripted faults.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur_test_doubles::broker::Broker;
use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::process::send_signal;
use hazelspur_test_doubles::script::{self, Fault, FramePosition};
use hazelspur_test_doubles::worker::WorkerSettings;
use helpers::{MessageOptions, ServerExit, Testbed, WAIT_TIMEOUT};

/// Operator's file of a server that consumes the queue `orders`.
const ORDERS: &str = "queue(name = \"orders\", window = \"fixed\", most = 16)\n";

/// One delivery for each idempotency of a request class, and `brew`, which is not a configured class.
#[test]
fn a_delivery_runs_with_its_calls_is_settled_and_replied_to() {
    let mut testbed = Testbed::start_consuming(
        ORDERS,
        WorkerSettings { makes_calls: true, ..WorkerSettings::default() },
        "orders",
    );
    testbed.broker.declare("answers", None);
    for (request_class, name) in [("view", "a"), ("set-qty", "b"), ("book", "c"), ("brew", "d")] {
        testbed.publish(
            "orders",
            request_class,
            name,
            MessageOptions { wants_reply: true, ..MessageOptions::default() },
        );
    }
    assert!(testbed.wait_until_settled(&["orders"]));
    let exit = testbed.terminate();
    let connections_closed_cleanly = testbed.broker.state().connections_closed_cleanly;
    let seen = format!(
        "answers: {}\ndead: {}\nruns: {}\ncalls: {}\nexit {:?}, closed well {}, breaches {:?}\n",
        testbed.queue_contents("answers"),
        testbed.queue_contents("dead"),
        testbed.run_counts(),
        testbed.dependency.calls().len(),
        exit.status,
        connections_closed_cleanly,
        testbed.breaches(0),
    );
    expect_test::expect![[r#"
        answers:  unknown, a acked, b acked, c acked
        dead: d
        runs: a 1, b 1, c 1
        calls: 3
        exit Some(0), closed well 1, breaches []
    "#]]
    .assert_eq(&seen);
}

/// Failure of the run of one seed.
struct SeedFailure {
    seed: u64,
    /// Violations of the rules for the published messages.
    breaches: Vec<String>,
    server_log: String,
}

impl std::fmt::Display for SeedFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "seed {}: {:#?}\n{}", self.seed, self.breaches, self.server_log)
    }
}

/// Suspensions of server, broker and worker during the run of a seed.
#[derive(Clone, Copy, PartialEq)]
enum Suspensions {
    None,
    Random,
}

/// Runs one seed: random faults on each of the first four connections, and 30 messages of all request
/// classes.
///
/// # Errors
/// Returns the violations and the server's log if a rule was broken.
fn run_seed(seed: u64, suspensions: Suspensions) -> Result<(), SeedFailure> {
    let mut random = Pcg::new(seed);
    let settle = if random.draw().is_multiple_of(2) { "before" } else { "after" };
    let retry = if random.draw().is_multiple_of(2) { "retry" } else { "later" };
    let queue = format!(
        "queue(name = \"orders\", window = \"fixed\", most = {}, settle = \"{settle}\", retry_queue = \"retry\",\n      outcomes = {{\"nacked\": \"{retry}\", \"failed\": \"{retry}\"}}, failed_pause_s = 0.02, most_tries = 3)\n",
        1 + random.draw() % 12
    );
    let pace = WorkerSettings {
        run_ms: u64::from(random.draw() % 4),
        fail_every: u64::from(random.draw() % 9),
        ..WorkerSettings::default()
    };
    let mut testbed = Testbed::new(&queue, pace);
    testbed.broker.declare("dead", None);
    testbed.broker.declare("orders", Some("dead"));
    testbed.broker.declare("retry", Some("orders"));
    testbed.broker.declare("answers", None);
    testbed.broker.state().scripts.extend((0..4).map(|_| script::random(&mut random, 4)));
    testbed.start();
    for n in 0..30 {
        let request_class = ["view", "set-qty", "book"][random.draw() as usize % 3];
        let old = random.draw().is_multiple_of(7);
        let sent = MessageOptions {
            wants_reply: random.draw().is_multiple_of(3),
            sent_ms: old.then(|| now_ms() - 500),
            max_wait_ms: old.then_some(u64::from(random.draw() % 1000)),
            without_message_id: false,
        };
        testbed.publish("orders", request_class, &format!("m{n:02}"), sent);
    }
    let settled = match suspensions {
        Suspensions::None => testbed.wait_until_settled(&["orders", "retry"]),
        Suspensions::Random => testbed.wait_until_settled_with_suspensions(&["orders", "retry"], &mut random),
    };
    if std::env::var("HAZELSPUR_LEAKS").is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    let exit = testbed.terminate();
    let mut breaches = testbed.breaches(exit.sum_of_field("unproven"));
    if !settled {
        breaches.push("deliveries not settled in time".into());
    }
    if std::env::var("HAZELSPUR_LEAKS").is_ok() && !exit.log.contains("mode draining in_hand=0") {
        breaches.push("requests left in the admission controller".into());
    }
    if exit.status != Some(0) || exit.error_lines() > 0 {
        breaches.push(format!("exit code {:?} or errors in the log", exit.status));
    }
    if breaches.is_empty() { Ok(()) } else { Err(SeedFailure { seed, breaches, server_log: exit.log }) }
}

/// Returns the number of seeds: `HAZELSPUR_SEEDS`, or 160.
fn seeds() -> u64 {
    std::env::var("HAZELSPUR_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(160)
}

/// Runs all seeds, eight at a time. Each failure is saved to a file with the server's log.
fn run_all_seeds(seeds: u64, suspensions: Suspensions) {
    let next = std::sync::atomic::AtomicU64::new(0);
    let failures = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if seed >= seeds {
                        break;
                    }
                    if let Err(failure) = run_seed(seed, suspensions) {
                        save_failure(&failure);
                        failures.lock().expect("lock is not poisoned").push(failure);
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().expect("lock is not poisoned");
    assert!(failures.is_empty(), "{} seeds failed\n{}", failures.len(), failures[0]);
}

/// Writes a failure to a file that is not removed.
fn save_failure(failure: &SeedFailure) {
    let name = format!("hazelspur-queues-seed-{}-{}.txt", failure.seed, std::process::id());
    let file = std::env::temp_dir().join(name);
    eprintln!("seed {} failed: {}", failure.seed, file.display());
    std::fs::write(file, failure.to_string()).expect("file is written");
}

/// Guards against lost deliveries, deliveries that are settled twice and non-idempotent requests that run
/// twice.
#[test]
fn random_broker_faults_settle_each_delivery_once() {
    run_all_seeds(seeds(), Suspensions::None);
}

/// Guards against lost, repeated and late runs when the machine suspends the server, the broker or the
/// worker.
#[test]
fn random_faults_and_suspensions_settle_each_delivery_once() {
    run_all_seeds(seeds() / 4, Suspensions::Random);
}

#[test]
fn an_expired_message_never_runs_and_does_not_count_as_load() {
    let mut testbed =
        Testbed::new(ORDERS, WorkerSettings { run_ms: 400, cores: 1, ..WorkerSettings::default() });
    testbed.broker.declare("dead", None);
    testbed.broker.declare("orders", Some("dead"));
    let old = MessageOptions {
        sent_ms: Some(now_ms() - 60_000),
        max_wait_ms: Some(30_000),
        ..MessageOptions::default()
    };
    (0..100).for_each(|n| testbed.publish("orders", "view", &format!("old{n}"), old));
    let ahead = MessageOptions {
        sent_ms: Some(now_ms() + 600_000),
        max_wait_ms: Some(30_000),
        ..MessageOptions::default()
    };
    testbed.publish("orders", "view", "a clock minutes ahead", ahead);
    // Ten runs of 400 ms, more than fit into 900 ms: the last of these expire while they are queued.
    let short =
        MessageOptions { sent_ms: Some(now_ms()), max_wait_ms: Some(900), ..MessageOptions::default() };
    (0..10).for_each(|n| testbed.publish("orders", "book", &format!("short{n}"), short));
    testbed.start();
    assert!(testbed.wait_until_settled(&["orders"]));
    let exit = testbed.terminate();
    let dead = testbed.queue_contents("dead");
    let (old, short) = (dead.matches("old").count(), dead.matches("short").count());
    assert!(
        short > 0 && !testbed.run_counts().contains("old"),
        "{short} of the short messages expired, ran: {}",
        testbed.run_counts()
    );
    assert!(testbed.run_counts().contains("a clock minutes ahead 1"));
    assert_eq!((old, exit.status, testbed.breaches(0)), (100, Some(0), Vec::new()));
    assert!(!exit.log.contains("mode rate_limited"), "expired messages counted as load:\n{}", exit.log);
}

/// Guards against a run that starts after its deadline because its start command waited for the worker link.
#[test]
fn message_expired_during_link_outage_is_dead_lettered() {
    for settle in ["before", "after"] {
        let queue = format!("queue(name = \"orders\", window = \"fixed\", most = 8, settle = {settle:?})\n");
        let mut testbed = Testbed::start_consuming(&queue, WorkerSettings::default(), "orders");
        {
            let mut worker_state = testbed.worker.state();
            worker_state.refuses_links = true;
            worker_state.break_link();
        }
        let short =
            MessageOptions { sent_ms: Some(now_ms()), max_wait_ms: Some(500), ..MessageOptions::default() };
        testbed.publish("orders", "view", "short view", short);
        testbed.publish("orders", "book", "short book", short);
        let long = MessageOptions {
            sent_ms: Some(now_ms()),
            max_wait_ms: Some(60_000),
            ..MessageOptions::default()
        };
        testbed.publish("orders", "book", "long book", long);
        let expired_at_ms =
            short.sent_ms.zip(short.max_wait_ms).map(|(sent_ms, wait_ms)| sent_ms + wait_ms + 50);
        testbed.broker.wait_until(WAIT_TIMEOUT, |_| Some(now_ms()) >= expired_at_ms);
        testbed.worker.state().refuses_links = false;
        assert!(testbed.wait_until_settled(&["orders"]));
        assert!(
            testbed.broker.wait_until(WAIT_TIMEOUT, |_| !testbed.worker.state().runs.is_empty()),
            "no request ran"
        );
        let exit = testbed.terminate();
        assert_eq!(testbed.breaches(0), Vec::<String>::new(), "{settle}\n{}", exit.log);
        let seen = (testbed.run_counts(), testbed.queue_contents("dead"), exit.error_lines());
        assert_eq!(
            seen,
            ("long book 1".into(), "short book, short view".into(), 0),
            "{settle}\n{}",
            exit.log
        );
    }
}

/// Guards against a message that is acknowledged but neither runs nor is dead-lettered.
#[test]
fn message_expired_between_ack_and_fence_is_dead_lettered() {
    let mut testbed = Testbed::start_consuming(ORDERS, WorkerSettings::default(), "orders");
    testbed.broker.declare("answers", None);
    let sent = MessageOptions {
        sent_ms: Some(now_ms()),
        max_wait_ms: Some(400),
        wants_reply: true,
        ..MessageOptions::default()
    };
    testbed.publish("orders", "book", "short", sent);
    {
        // While its state is locked the broker is suspended: it has delivered the message but does not read
        // the ack.
        let _state = testbed.broker.state();
        std::thread::sleep(std::time::Duration::from_millis(600));
    }
    assert!(
        testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.ready("dead") == 1),
        "expired message is not dead-lettered"
    );
    assert!(testbed.wait_until_settled(&["orders"]));
    let exit = testbed.terminate();
    let seen = (
        testbed.run_counts(),
        testbed.queue_contents("dead"),
        testbed.queue_contents("answers"),
        testbed.breaches(0),
        exit.error_lines(),
    );
    let expected = (String::new(), "short".to_string(), " expired".to_string(), Vec::new(), 0);
    assert_eq!(seen, expected, "{}", exit.log);
}

/// Guards against a loss without a log line: the process exits after the ack is sent and before the broker
/// answers the fence, so the request never runs.
#[test]
fn message_with_unanswered_fence_at_exit_is_counted() {
    let mut testbed = Testbed::start_consuming(ORDERS, WorkerSettings::default(), "orders");
    testbed.publish("orders", "book", "open", MessageOptions::default());
    let mut server = testbed.take_server();
    {
        let _state = testbed.broker.state();
        // While its state is locked the broker is suspended: until the server has exited.
        std::thread::sleep(std::time::Duration::from_millis(100));
        send_signal(server.id(), "-TERM");
        server.wait().expect("server exits");
    }
    let exit = ServerExit::wait_for(server);
    assert!(testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.acks == 1), "the ack was not sent");
    assert_eq!((exit.sum_of_field("unproven"), exit.status), (1, Some(0)), "{}", exit.log);
    assert_eq!(testbed.breaches(exit.sum_of_field("unproven")), Vec::<String>::new());
}

/// Guards against lost replies and repeated runs: while the server is draining, the broker cuts the
/// connection with requests running.
#[test]
fn connection_lost_while_draining_loses_and_repeats_nothing() {
    let mut testbed =
        Testbed::new(ORDERS, WorkerSettings { run_ms: 300, cores: 4, ..WorkerSettings::default() });
    testbed.broker.declare("dead", None);
    testbed.broker.declare("orders", Some("dead"));
    testbed.broker.declare("answers", None);
    testbed.start_with_stop_ms(3000);
    let reply = MessageOptions { wants_reply: true, ..MessageOptions::default() };
    for (n, request_class) in ["view", "book", "view", "set-qty"].into_iter().enumerate() {
        testbed.publish("orders", request_class, &format!("m{n}"), reply);
    }
    let mut started = 0;
    testbed.broker.wait_until(WAIT_TIMEOUT, |_| {
        started = testbed.worker.state().runs.len();
        started >= 2
    });
    testbed.signal("-TERM");
    assert!(
        testbed.broker.wait_until(WAIT_TIMEOUT, |state| !state.has_consumer("orders")),
        "consumer is not cancelled"
    );
    testbed.broker.cut_connections();
    let exit = testbed.wait_for_exit();
    let runs = testbed.worker.state().runs.len();
    let answered = testbed.queue_contents("answers").matches("acked").count();
    assert_eq!(exit.status, Some(0), "{}", exit.log);
    assert!(started >= 2 && answered == runs, "{runs} ran, {answered} answered\n{}", exit.log);
    assert_eq!(testbed.breaches(exit.sum_of_field("unproven")), Vec::<String>::new());
    assert_eq!(exit.error_lines(), 0, "{}", exit.log);
    // Messages that did not run or were not acknowledged are in the queue again.
    let state = testbed.broker.state();
    assert_eq!((state.unsettled(), state.ready("orders") + state.ready("answers") >= 4), (0, true));
}

/// Guards against a message that the broker has removed by its ack and that neither runs nor is answered, since
/// the connection was lost before the fence was answered; in service and while the server drains.
#[test]
fn message_acked_before_a_lost_connection_is_answered() {
    for drains in [false, true] {
        let mut testbed = Testbed::new(ORDERS, WorkerSettings::default());
        testbed.broker.declare("dead", None);
        testbed.broker.declare("orders", Some("dead"));
        testbed.broker.declare("answers", None);
        testbed.start_with_stop_ms(3000);
        assert!(testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.has_consumer("orders")));
        testbed.broker.state().ignores_fences = true;
        let reply = MessageOptions { wants_reply: true, ..MessageOptions::default() };
        testbed.publish("orders", "set-qty", "acked", reply);
        assert!(testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.acks == 1), "the ack was not sent");
        if drains {
            testbed.signal("-TERM");
            let is_cancelled = testbed.broker.wait_until(WAIT_TIMEOUT, |state| !state.has_consumer("orders"));
            assert!(is_cancelled, "consumer is not cancelled");
        }
        testbed.broker.state().ignores_fences = false;
        testbed.broker.cut_connections();
        if !drains {
            let is_answered = testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.ready("answers") > 0);
            assert!(is_answered, "no answer");
            testbed.signal("-TERM");
        }
        let exit = testbed.wait_for_exit();
        let seen = (testbed.queue_contents("answers"), testbed.run_counts(), exit.sum_of_field("unproven"));
        assert_eq!(seen, (" failed".into(), String::new(), 0), "drains: {drains}\n{}", exit.log);
        assert_eq!(testbed.breaches(0), Vec::<String>::new());
        assert_eq!(exit.error_lines(), 0, "{}", exit.log);
    }
}

#[test]
fn after_a_kill_no_non_idempotent_request_has_run_twice() {
    for settle in ["before", "after"] {
        let queue = format!("queue(name = \"orders\", window = \"fixed\", most = 8, settle = {settle:?})\n");
        let mut testbed = Testbed::start_consuming(
            &queue,
            WorkerSettings { run_ms: 30, ..WorkerSettings::default() },
            "orders",
        );
        (0..12)
            .for_each(|n| testbed.publish("orders", "book", &format!("m{n:02}"), MessageOptions::default()));
        let mut started = 0;
        testbed.broker.wait_until(WAIT_TIMEOUT, |_| {
            started = testbed.worker.state().runs.len();
            started >= 3
        });
        testbed.kill();
        testbed.start();
        assert!(testbed.wait_until_settled(&["orders"]));
        let dead = testbed.broker.state().ready("dead");
        let exit = testbed.terminate();
        // Messages acked and fenced but not started at the kill are lost: at most the prefetch window of 8.
        assert_eq!(testbed.breaches(8), Vec::<String>::new(), "{}", exit.log);
        assert!(settle == "after" || dead == 0, "{dead} possible duplicates although settled before the run");
        assert!(settle == "before" || dead > 0, "no possible duplicate was dead-lettered");
    }
}

#[test]
fn reload_changes_broker_and_settles_with_the_old_one() {
    let mut testbed = Testbed::start_consuming(
        ORDERS,
        WorkerSettings { run_ms: 100, ..WorkerSettings::default() },
        "orders",
    );
    let second = Broker::start();
    second.declare("orders", None);
    (0..2).for_each(|n| testbed.publish("orders", "view", &format!("m{n}"), MessageOptions::default()));
    testbed.broker.wait_until(WAIT_TIMEOUT, |_| testbed.worker.state().runs.len() == 2);
    testbed.set_brokers(&[&second]);
    testbed.write_files(1500);
    testbed.signal("-HUP");
    assert!(second.wait_until(WAIT_TIMEOUT, |state| state.has_consumer("orders")));
    assert!(testbed.wait_until_settled(&["orders"]));
    second.publish("orders", MessageOptions::default().properties("view", "there"), b"there");
    assert!(second.wait_until(WAIT_TIMEOUT, |state| state.acks == 1));
    let exit = testbed.terminate();
    let acks = testbed.broker.state().acks;
    let clean_closes = testbed.broker.state().connections_closed_cleanly;
    assert_eq!(
        (acks, clean_closes, testbed.run_counts().as_str(), exit.error_lines()),
        (2, 1, "m0 1, m1 1, there 1", 0),
        "{}",
        exit.log
    );
}

#[test]
fn a_deleted_queue_is_consumed_again_on_the_same_connection() {
    let mut testbed = Testbed::start_consuming(ORDERS, WorkerSettings::default(), "orders");
    testbed.broker.state().delete_queue("orders");
    assert!(testbed.broker.wait_until(WAIT_TIMEOUT, |state| !state.has_consumer("orders")));
    testbed.broker.declare("orders", Some("dead"));
    assert!(
        testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.has_consumer("orders")),
        "queue is not consumed again"
    );
    testbed.publish("orders", "view", "after", MessageOptions::default());
    assert!(testbed.wait_until_settled(&["orders"]));
    let exit = testbed.terminate();
    assert_eq!((testbed.run_counts().as_str(), testbed.broker.state().connections_opened), ("after 1", 1));
    assert!(exit.log.contains("channel closed or consumer cancelled queue=orders"), "{}", exit.log);
}

#[test]
fn malformed_messages_are_dead_lettered_and_valid_ones_run() {
    use amq_protocol::protocol::basic::AMQPProperties;
    use amq_protocol::types::{AMQPValue, FieldTable};
    let mut testbed = Testbed::start_consuming(ORDERS, WorkerSettings::default(), "orders");
    let view = || AMQPProperties::default().with_type("view".into());
    let with = |name: &str, value: AMQPValue| {
        let mut headers = FieldTable::default();
        headers.insert(name.into(), value);
        view().with_headers(headers)
    };
    let deep = (0..20).fold(FieldTable::default(), |inner, _| {
        let mut outer = FieldTable::default();
        outer.insert("a".into(), AMQPValue::FieldTable(inner));
        outer
    });
    testbed.broker.publish("orders", view().with_headers(deep), b"deep");
    testbed.broker.publish("orders", view(), &[b'l'; 2049]);
    testbed.broker.publish("orders", view(), &vec![b'h'; 300 * 1024]);
    testbed.broker.publish("orders", AMQPProperties::default(), b"no type");
    testbed.broker.publish("orders", with("x-owner", AMQPValue::LongString("nobody".into())), b"no owner");
    testbed.broker.publish("orders", with("x-need-kb", AMQPValue::Double(-1.0)), b"no need");
    testbed.broker.publish("orders", with("x-need-kb", AMQPValue::Double(f64::NAN)), b"not a number");
    testbed.publish("orders", "view", "good", MessageOptions::default());
    assert!(testbed.wait_until_settled(&["orders"]));
    let dead = testbed.broker.state().ready("dead");
    let opened = testbed.broker.state().connections_opened;
    let exit = testbed.terminate();
    assert_eq!(
        (dead, opened, testbed.run_counts().as_str(), exit.error_lines()),
        (7, 1, "good 1", 0),
        "{}",
        exit.log
    );
}

/// Guards against endless retries: a copy that the full retry queue refuses must not start the count anew.
#[test]
fn a_full_retry_queue_does_not_reset_the_attempt_count() {
    let queue = "queue(name = \"orders\", retry_queue = \"retry\", outcomes = {\"failed\": \"retry\"},\n      failed_pause_s = 0.02, most_tries = 3)\n";
    for most in [Some(0), None] {
        let mut testbed = Testbed::new(queue, WorkerSettings { fail_every: 1, ..WorkerSettings::default() });
        testbed.broker.declare("dead", None);
        testbed.broker.declare("orders", Some("dead"));
        testbed.broker.declare("retry", Some("orders"));
        testbed.broker.state().queues.get_mut("retry").expect("queue is declared").max_ready = most;
        testbed.start();
        testbed.publish("orders", "view", "fails", MessageOptions::default());
        testbed.publish("orders", "book", "fails once", MessageOptions::default());
        // `book` is acked before its run, so its message can no longer be dead-lettered.
        assert!(
            testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.ready("dead") == 1 && state.acks >= 1),
            "{most:?}"
        );
        testbed.terminate();
        assert_eq!(testbed.run_counts(), "fails 3, fails once 1", "{most:?}");
    }
}

/// Each case is one fault, placed where a message can be lost or repeated.
#[test]
fn single_broker_fault_leaves_each_message_one_outcome() {
    let cases = [
        ("mute", vec![(FramePosition::Sent(14), Fault::Silence)], 2),
        ("block", vec![(FramePosition::Sent(14), Fault::BlockConnection(300))], 20),
        ("refused publish", vec![(FramePosition::Read(12), Fault::RefusePublish)], 20),
        ("small frames", vec![], 20),
        ("cut before an ack is read", vec![(FramePosition::Read(16), Fault::CutBetweenFrames)], 20),
        ("cut after an ack is read", vec![(FramePosition::Read(16), Fault::CutWithinFrame)], 20),
    ];
    for (name, script, heartbeat_s) in cases {
        let mut testbed = Testbed::new(ORDERS, WorkerSettings::default());
        testbed.broker.declare("dead", None);
        testbed.broker.declare("orders", Some("dead"));
        testbed.broker.declare("answers", None);
        {
            let mut state = testbed.broker.state();
            state.scripts.push_back(script);
            state.heartbeat_s = heartbeat_s;
            state.frame_max = if name == "small frames" { 4096 } else { 131_072 };
        }
        testbed.start();
        let reply = MessageOptions { wants_reply: true, ..MessageOptions::default() };
        for n in 0..9 {
            testbed.publish("orders", ["view", "book", "set-qty"][n % 3], &format!("m{n}"), reply);
        }
        assert!(testbed.wait_until_settled(&["orders"]), "{name}");
        let exit = testbed.terminate();
        assert_eq!(
            testbed.breaches(exit.sum_of_field("unproven")),
            Vec::<String>::new(),
            "{name}\n{}",
            exit.log
        );
    }
}
