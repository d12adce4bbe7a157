//! Queues consumed by the built server, against a test broker with scripted faults.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur_test_doubles::broker::Broker;
use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::process::send_signal;
use hazelspur_test_doubles::script::{self, Fault, FramePosition};
use hazelspur_test_doubles::worker::WorkerSettings;
use helpers::{SOON, Said, Sent, Shop};

const ORDERS: &str = "queue(name = \"orders\", window = \"fixed\", most = 16)\n";

#[test]
fn a_delivery_runs_with_its_calls_is_settled_and_replied_to() {
    let mut shop =
        Shop::consuming(ORDERS, WorkerSettings { makes_calls: true, ..WorkerSettings::default() }, "orders");
    shop.broker.declare("answers", None);
    for (request_class, name) in [("view", "a"), ("set-qty", "b"), ("book", "c"), ("brew", "d")] {
        shop.publish("orders", request_class, name, Sent { reply: true, ..Sent::default() });
    }
    assert!(shop.settled(&["orders"]));
    let said = shop.leave();
    let closed_well = shop.broker.state().connections_closed_cleanly;
    let seen = format!(
        "answers: {}\ndead: {}\nruns: {}\ncalls: {}\nexit {:?}, closed well {}, breaches {:?}\n",
        shop.waiting("answers"),
        shop.waiting("dead"),
        shop.runs(),
        shop.ledger.calls().len(),
        said.status,
        closed_well,
        shop.breaches(0),
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

/// What a seeded run did that it must not.
struct SeedFailure {
    seed: u64,
    breaches: Vec<String>,
    server_log: String,
}

impl std::fmt::Display for SeedFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "seed {}: {:#?}\n{}", self.seed, self.breaches, self.server_log)
    }
}

/// Whether the parties of a seeded run are suspended at random moments.
#[derive(Clone, Copy, PartialEq)]
enum Suspensions {
    None,
    Random,
}

/// Plays a seed: random faults on each of the first connections, and messages of all kinds.
fn play(seed: u64, suspensions: Suspensions) -> Result<(), SeedFailure> {
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
    let mut shop = Shop::new(&queue, pace);
    shop.broker.declare("dead", None);
    shop.broker.declare("orders", Some("dead"));
    shop.broker.declare("retry", Some("orders"));
    shop.broker.declare("answers", None);
    shop.broker.state().scripts.extend((0..4).map(|_| script::random(&mut random, 4)));
    shop.start();
    for n in 0..30 {
        let request_class = ["view", "set-qty", "book"][random.draw() as usize % 3];
        let old = random.draw().is_multiple_of(7);
        let sent = Sent {
            reply: random.draw().is_multiple_of(3),
            sent_ms: old.then(|| now_ms() - 500),
            waits_ms: old.then_some(u64::from(random.draw() % 1000)),
            nameless: false,
        };
        shop.publish("orders", request_class, &format!("m{n:02}"), sent);
    }
    let settled = match suspensions {
        Suspensions::None => shop.settled(&["orders", "retry"]),
        Suspensions::Random => shop.settled_despite_suspensions(&["orders", "retry"], &mut random),
    };
    if std::env::var("HAZELSPUR_LEAKS").is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    let said = shop.leave();
    let mut breaches = shop.breaches(said.sum("unproven"));
    if !settled {
        breaches.push("not settled in time".into());
    }
    if std::env::var("HAZELSPUR_LEAKS").is_ok() && !said.text.contains("mode draining in_hand=0") {
        breaches.push("the controller still has requests".into());
    }
    if said.status != Some(0) || said.errors() > 0 {
        breaches.push(format!("ended with {:?}", said.status));
    }
    if breaches.is_empty() { Ok(()) } else { Err(SeedFailure { seed, breaches, server_log: said.text }) }
}

fn seeds() -> u64 {
    std::env::var("HAZELSPUR_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(160)
}

/// Plays all seeds, eight at a time. Failures are kept in a file with the server's log.
fn play_all(seeds: u64, suspensions: Suspensions) {
    let next = std::sync::atomic::AtomicU64::new(0);
    let failed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if seed >= seeds {
                        break;
                    }
                    if let Err(failure) = play(seed, suspensions) {
                        keep(&failure);
                        failed.lock().expect("no panic before").push(failure);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().expect("no panic before");
    assert!(failed.is_empty(), "{} seeds failed\n{}", failed.len(), failed[0]);
}

/// Writes a failure to a file that stays.
fn keep(failure: &SeedFailure) {
    let name = format!("hazelspur-queues-seed-{}-{}.txt", failure.seed, std::process::id());
    let file = std::env::temp_dir().join(name);
    eprintln!("seed {} failed: {}", failure.seed, file.display());
    std::fs::write(file, failure.to_string()).expect("a file");
}

#[test]
fn under_random_broker_faults_each_delivery_is_settled_once_and_none_runs_twice() {
    play_all(seeds(), Suspensions::None);
}

/// Guards against deliveries that are lost, repeated or late when the machine suspends one of the parties.
#[test]
fn under_random_faults_and_suspensions_each_delivery_is_settled_once_and_none_runs_twice() {
    play_all(seeds() / 4, Suspensions::Random);
}

#[test]
fn an_expired_message_never_runs_and_does_not_count_as_load() {
    let mut shop = Shop::new(ORDERS, WorkerSettings { run_ms: 400, cores: 1, ..WorkerSettings::default() });
    shop.broker.declare("dead", None);
    shop.broker.declare("orders", Some("dead"));
    let old = Sent { sent_ms: Some(now_ms() - 60_000), waits_ms: Some(30_000), ..Sent::default() };
    (0..100).for_each(|n| shop.publish("orders", "view", &format!("old{n}"), old));
    let ahead = Sent { sent_ms: Some(now_ms() + 600_000), waits_ms: Some(30_000), ..Sent::default() };
    shop.publish("orders", "view", "a clock minutes ahead", ahead);
    // Ten runs of 400 ms on two cores: the last of these expire while they are queued.
    let short = Sent { sent_ms: Some(now_ms()), waits_ms: Some(900), ..Sent::default() };
    (0..10).for_each(|n| shop.publish("orders", "book", &format!("short{n}"), short));
    shop.start();
    assert!(shop.settled(&["orders"]));
    let said = shop.leave();
    let dead = shop.waiting("dead");
    let (old, short) = (dead.matches("old").count(), dead.matches("short").count());
    assert!(short > 0 && !shop.runs().contains("old"), "{short} short ones expired, ran: {}", shop.runs());
    assert!(shop.runs().contains("a clock minutes ahead 1"));
    assert_eq!((old, said.status, shop.breaches(0)), (100, Some(0), Vec::new()));
    assert!(!said.text.contains("mode rate_limited"), "expired messages were taken for load:\n{}", said.text);
}

/// Guards against a run that begins after its time because its start waited for the worker link.
#[test]
fn a_message_that_expires_while_the_worker_link_is_down_never_runs_and_is_dead_lettered() {
    for settle in ["before", "after"] {
        let queue = format!("queue(name = \"orders\", window = \"fixed\", most = 8, settle = {settle:?})\n");
        let mut shop = Shop::consuming(&queue, WorkerSettings::default(), "orders");
        {
            let mut worker_state = shop.runtime.state();
            worker_state.refuses_links = true;
            worker_state.break_link();
        }
        let short = Sent { sent_ms: Some(now_ms()), waits_ms: Some(500), ..Sent::default() };
        shop.publish("orders", "view", "short view", short);
        shop.publish("orders", "book", "short book", short);
        let long = Sent { sent_ms: Some(now_ms()), waits_ms: Some(60_000), ..Sent::default() };
        shop.publish("orders", "book", "long book", long);
        let times_are_over = short.sent_ms.zip(short.waits_ms).map(|(sent, waits)| sent + waits + 50);
        shop.broker.wait_until(SOON, |_| Some(now_ms()) >= times_are_over);
        shop.runtime.state().refuses_links = false;
        assert!(shop.settled(&["orders"]));
        assert!(shop.broker.wait_until(SOON, |_| !shop.runtime.state().runs.is_empty()), "nothing ran");
        let said = shop.leave();
        assert_eq!(shop.breaches(0), Vec::<String>::new(), "{settle}\n{}", said.text);
        let seen = (shop.runs(), shop.waiting("dead"), said.errors());
        assert_eq!(
            seen,
            ("long book 1".into(), "short book, short view".into(), 0),
            "{settle}\n{}",
            said.text
        );
    }
}

/// Guards against a message that is acknowledged and neither runs nor is dead-lettered.
#[test]
fn a_message_that_expires_between_its_ack_and_its_fence_is_dead_lettered() {
    let mut shop = Shop::consuming(ORDERS, WorkerSettings::default(), "orders");
    shop.broker.declare("answers", None);
    let sent = Sent { sent_ms: Some(now_ms()), waits_ms: Some(400), reply: true, ..Sent::default() };
    shop.publish("orders", "book", "short", sent);
    {
        // The broker stands still: it has delivered the message and does not read the ack.
        let _state = shop.broker.state();
        std::thread::sleep(std::time::Duration::from_millis(600));
    }
    assert!(shop.broker.wait_until(SOON, |state| state.ready("dead") == 1), "it is not dead-lettered");
    assert!(shop.settled(&["orders"]));
    let said = shop.leave();
    let seen = (shop.runs(), shop.waiting("dead"), shop.waiting("answers"), shop.breaches(0), said.errors());
    let expected = (String::new(), "short".to_string(), " expired".to_string(), Vec::new(), 0);
    assert_eq!(seen, expected, "{}", said.text);
}

/// Guards against a loss that no log line tells of: the process ends between the ack and the fence.
#[test]
fn a_message_whose_fence_is_open_at_the_end_is_counted() {
    let mut shop = Shop::consuming(ORDERS, WorkerSettings::default(), "orders");
    shop.publish("orders", "book", "open", Sent::default());
    let mut server = shop.take_server();
    {
        let _state = shop.broker.state();
        // The broker stands still until the process has ended.
        std::thread::sleep(std::time::Duration::from_millis(100));
        send_signal(server.id(), "-TERM");
        server.wait().expect("it ends");
    }
    let said = Said::of(server);
    assert!(shop.broker.wait_until(SOON, |state| state.acks == 1), "the ack was not sent");
    assert_eq!((said.sum("unproven"), said.status), (1, Some(0)), "{}", said.text);
    assert_eq!(shop.breaches(said.sum("unproven")), Vec::<String>::new());
}

#[test]
fn a_connection_lost_while_draining_loses_no_reply_and_repeats_no_run() {
    let mut shop = Shop::new(ORDERS, WorkerSettings { run_ms: 300, cores: 4, ..WorkerSettings::default() });
    shop.broker.declare("dead", None);
    shop.broker.declare("orders", Some("dead"));
    shop.broker.declare("answers", None);
    shop.start_with_stop(3000);
    let reply = Sent { reply: true, ..Sent::default() };
    for (n, request_class) in ["view", "book", "view", "set-qty"].into_iter().enumerate() {
        shop.publish("orders", request_class, &format!("m{n}"), reply);
    }
    let mut started = 0;
    shop.broker.wait_until(SOON, |_| {
        started = shop.runtime.state().runs.len();
        started >= 2
    });
    shop.signal("-TERM");
    assert!(
        shop.broker.wait_until(SOON, |state| !state.has_consumer("orders")),
        "its consumer is not cancelled"
    );
    shop.broker.cut_connections();
    let said = shop.ended();
    let runs = shop.runtime.state().runs.len();
    let answered = shop.waiting("answers").matches("acked").count();
    assert_eq!(said.status, Some(0), "{}", said.text);
    assert!(started >= 2 && answered == runs, "{runs} ran, {answered} answered\n{}", said.text);
    assert_eq!(shop.breaches(said.sum("unproven")), Vec::<String>::new());
    assert_eq!(said.errors(), 0, "{}", said.text);
    // What did not run, and what ran without an ack, is back in the queue.
    let state = shop.broker.state();
    assert_eq!((state.unsettled(), state.ready("orders") + state.ready("answers") >= 4), (0, true));
}

#[test]
fn after_a_kill_no_non_idempotent_request_has_run_twice() {
    for settle in ["before", "after"] {
        let queue = format!("queue(name = \"orders\", window = \"fixed\", most = 8, settle = {settle:?})\n");
        let mut shop =
            Shop::consuming(&queue, WorkerSettings { run_ms: 30, ..WorkerSettings::default() }, "orders");
        (0..12).for_each(|n| shop.publish("orders", "book", &format!("m{n:02}"), Sent::default()));
        let mut started = 0;
        shop.broker.wait_until(SOON, |_| {
            started = shop.runtime.state().runs.len();
            started >= 3
        });
        shop.kill();
        shop.start();
        assert!(shop.settled(&["orders"]));
        let dead = shop.broker.state().ready("dead");
        let said = shop.leave();
        // Acked and fenced but not started at the kill: at most the prefetch window.
        assert_eq!(shop.breaches(8), Vec::<String>::new(), "{}", said.text);
        assert!(settle == "after" || dead == 0, "{dead} possible duplicates though settled before the run");
        assert!(settle == "before" || dead > 0, "no possible duplicate was found");
    }
}

#[test]
fn a_reload_changes_the_broker_and_settles_open_deliveries_with_the_old_one() {
    let mut shop =
        Shop::consuming(ORDERS, WorkerSettings { run_ms: 100, ..WorkerSettings::default() }, "orders");
    let second = Broker::start();
    second.declare("orders", None);
    (0..2).for_each(|n| shop.publish("orders", "view", &format!("m{n}"), Sent::default()));
    shop.broker.wait_until(SOON, |_| shop.runtime.state().runs.len() == 2);
    shop.brokers(&[&second]);
    shop.write_files(1500);
    shop.signal("-HUP");
    assert!(second.wait_until(SOON, |state| state.has_consumer("orders")));
    assert!(shop.settled(&["orders"]));
    second.publish("orders", Sent::default().properties("view", "there"), b"there");
    assert!(second.wait_until(SOON, |state| state.acks == 1));
    let said = shop.leave();
    let acks = shop.broker.state().acks;
    let well = shop.broker.state().connections_closed_cleanly;
    assert_eq!(
        (acks, well, shop.runs().as_str(), said.errors()),
        (2, 1, "m0 1, m1 1, there 1", 0),
        "{}",
        said.text
    );
}

#[test]
fn a_deleted_queue_is_consumed_again_on_the_same_connection() {
    let mut shop = Shop::consuming(ORDERS, WorkerSettings::default(), "orders");
    shop.broker.state().delete_queue("orders");
    assert!(shop.broker.wait_until(SOON, |state| !state.has_consumer("orders")));
    shop.broker.declare("orders", Some("dead"));
    assert!(shop.broker.wait_until(SOON, |state| state.has_consumer("orders")), "it is not consumed again");
    shop.publish("orders", "view", "after", Sent::default());
    assert!(shop.settled(&["orders"]));
    let said = shop.leave();
    assert_eq!((shop.runs().as_str(), shop.broker.state().connections_opened), ("after 1", 1));
    assert!(said.text.contains("queue taken away queue=orders"), "{}", said.text);
}

#[test]
fn malformed_messages_are_dead_lettered_and_valid_ones_run() {
    use amq_protocol::protocol::basic::AMQPProperties;
    use amq_protocol::types::{AMQPValue, FieldTable};
    let mut shop = Shop::consuming(ORDERS, WorkerSettings::default(), "orders");
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
    shop.broker.publish("orders", view().with_headers(deep), b"deep");
    shop.broker.publish("orders", view(), &[b'l'; 2049]);
    shop.broker.publish("orders", view(), &vec![b'h'; 300 * 1024]);
    shop.broker.publish("orders", AMQPProperties::default(), b"no type");
    shop.broker.publish("orders", with("x-owner", AMQPValue::LongString("nobody".into())), b"no owner");
    shop.broker.publish("orders", with("x-need-kb", AMQPValue::Double(-1.0)), b"no need");
    shop.broker.publish("orders", with("x-need-kb", AMQPValue::Double(f64::NAN)), b"not a number");
    shop.publish("orders", "view", "good", Sent::default());
    assert!(shop.settled(&["orders"]));
    let dead = shop.broker.state().ready("dead");
    let opened = shop.broker.state().connections_opened;
    let said = shop.leave();
    assert_eq!((dead, opened, shop.runs().as_str(), said.errors()), (7, 1, "good 1", 0), "{}", said.text);
}

#[test]
fn a_full_retry_queue_does_not_reset_the_attempt_count() {
    let queue = "queue(name = \"orders\", retry_queue = \"retry\", outcomes = {\"failed\": \"retry\"},\n      failed_pause_s = 0.02, most_tries = 3)\n";
    for most in [Some(0), None] {
        let mut shop = Shop::new(queue, WorkerSettings { fail_every: 1, ..WorkerSettings::default() });
        shop.broker.declare("dead", None);
        shop.broker.declare("orders", Some("dead"));
        shop.broker.declare("retry", Some("orders"));
        shop.broker.state().queues.get_mut("retry").expect("declared").max_ready = most;
        shop.start();
        shop.publish("orders", "view", "fails", Sent::default());
        shop.publish("orders", "book", "fails once", Sent::default());
        // The second was acked before its run: it can no longer be dead-lettered.
        assert!(
            shop.broker.wait_until(SOON, |state| state.ready("dead") == 1 && state.acks >= 1),
            "{most:?}"
        );
        shop.leave();
        assert_eq!(shop.runs(), "fails 3, fails once 1", "{most:?}");
    }
}

/// Each fault on its own, at a critical point.
#[test]
fn each_single_broker_fault_leaves_every_message_with_one_outcome() {
    let cases = [
        ("mute", vec![(FramePosition::Sent(14), Fault::Silence)], 2),
        ("block", vec![(FramePosition::Sent(14), Fault::BlockConnection(300))], 20),
        ("refused publish", vec![(FramePosition::Read(12), Fault::RefusePublish)], 20),
        ("small frames", vec![], 20),
        ("cut before an ack is read", vec![(FramePosition::Read(16), Fault::CutBetweenFrames)], 20),
        ("cut after an ack is read", vec![(FramePosition::Read(16), Fault::CutWithinFrame)], 20),
    ];
    for (name, script, heartbeat_s) in cases {
        let mut shop = Shop::new(ORDERS, WorkerSettings::default());
        shop.broker.declare("dead", None);
        shop.broker.declare("orders", Some("dead"));
        shop.broker.declare("answers", None);
        {
            let mut state = shop.broker.state();
            state.scripts.push_back(script);
            state.heartbeat_s = heartbeat_s;
            state.frame_max = if name == "small frames" { 4096 } else { 131_072 };
        }
        shop.start();
        let reply = Sent { reply: true, ..Sent::default() };
        for n in 0..9 {
            shop.publish("orders", ["view", "book", "set-qty"][n % 3], &format!("m{n}"), reply);
        }
        assert!(shop.settled(&["orders"]), "{name}");
        let said = shop.leave();
        assert_eq!(shop.breaches(said.sum("unproven")), Vec::<String>::new(), "{name}\n{}", said.text);
    }
}
