//! Queues consumed by the built server, against a stand-in broker that misbehaves by script.

mod helpers;

use hazelspur::pcg::Pcg;
use hazelspur_test_doubles::broker::Broker;
use hazelspur_test_doubles::now_ms;
use hazelspur_test_doubles::runtime::Pace;
use hazelspur_test_doubles::script::{self, At, Fault};
use helpers::{SOON, Sent, Shop};

const ORDERS: &str = "queue(name = \"orders\", window = \"fixed\", most = 16)\n";

#[test]
fn a_delivery_runs_calls_is_settled_and_answered() {
    let mut shop = Shop::consuming(ORDERS, Pace { calls: true, ..Pace::default() }, "orders");
    shop.broker.declare("answers", None);
    for (request_class, name) in [("view", "a"), ("set-qty", "b"), ("book", "c"), ("brew", "d")] {
        shop.publish("orders", request_class, name, Sent { reply: true, ..Sent::default() });
    }
    assert!(shop.settled(&["orders"]));
    let said = shop.leave();
    let closed_well = shop.broker.state().closed_well;
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

/// A seed's shop: a connection's worth of faults on each of the first connections, messages of all kinds.
fn play(seed: u64) -> Result<(), String> {
    let mut chance = Pcg::new(seed);
    let settle = if chance.draw().is_multiple_of(2) { "before" } else { "after" };
    let retry = if chance.draw().is_multiple_of(2) { "retry" } else { "later" };
    let queue = format!(
        "queue(name = \"orders\", window = \"fixed\", most = {}, settle = \"{settle}\", retry_queue = \"retry\",\n      outcomes = {{\"nacked\": \"{retry}\", \"failed\": \"{retry}\"}}, failed_pause_s = 0.02, most_tries = 3)\n",
        1 + chance.draw() % 12
    );
    let pace =
        Pace { run_ms: u64::from(chance.draw() % 4), fails: u64::from(chance.draw() % 9), ..Pace::default() };
    let mut shop = Shop::new(&queue, pace);
    shop.broker.declare("dead", None);
    shop.broker.declare("orders", Some("dead"));
    shop.broker.declare("retry", Some("orders"));
    shop.broker.declare("answers", None);
    shop.broker.state().scripts.extend((0..4).map(|_| script::random(&mut chance, 4)));
    shop.start();
    for n in 0..30 {
        let request_class = ["view", "set-qty", "book"][chance.draw() as usize % 3];
        let old = chance.draw().is_multiple_of(7);
        let sent = Sent {
            reply: chance.draw().is_multiple_of(3),
            sent_ms: old.then(|| now_ms() - 500),
            waits_ms: old.then_some(u64::from(chance.draw() % 1000)),
            nameless: false,
        };
        shop.publish("orders", request_class, &format!("m{n:02}"), sent);
    }
    let settled = shop.settled(&["orders", "retry"]);
    if std::env::var("HAZELSPUR_LEAKS").is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    let said = shop.leave();
    let mut breaches = shop.breaches(said.sum("unproven"));
    if !settled {
        breaches.push("not settled in time".into());
    }
    if std::env::var("HAZELSPUR_LEAKS").is_ok() && !said.text.contains("mode draining in_hand=0") {
        breaches.push("the module still holds ops".into());
    }
    if said.status != Some(0) || said.errors() > 0 {
        breaches.push(format!("ended with {:?}", said.status));
    }
    if breaches.is_empty() { Ok(()) } else { Err(format!("seed {seed}: {breaches:#?}\n{}", said.text)) }
}

fn seeds() -> u64 {
    std::env::var("HAZELSPUR_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(160)
}

#[test]
fn whatever_the_broker_does_each_delivery_is_settled_once_and_nothing_runs_twice() {
    let next = std::sync::atomic::AtomicU64::new(0);
    let failed = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if seed >= seeds() {
                        break;
                    }
                    if let Err(why) = play(seed) {
                        failed.lock().expect("no panic before").push(why);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().expect("no panic before");
    assert!(failed.is_empty(), "{} seeds failed\n{}", failed.len(), failed[0]);
}

#[test]
fn what_waited_too_long_in_the_queue_never_runs_and_teaches_nothing() {
    let mut shop = Shop::new(ORDERS, Pace { run_ms: 400, cores: 1, ..Pace::default() });
    shop.broker.declare("dead", None);
    shop.broker.declare("orders", Some("dead"));
    let old = Sent { sent_ms: Some(now_ms() - 60_000), waits_ms: Some(30_000), ..Sent::default() };
    (0..100).for_each(|n| shop.publish("orders", "view", &format!("old{n}"), old));
    let ahead = Sent { sent_ms: Some(now_ms() + 600_000), waits_ms: Some(30_000), ..Sent::default() };
    shop.publish("orders", "view", "a clock minutes ahead", ahead);
    // Ten runs of 400 ms on what passes for two cores: the last of these wait past their time while held.
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
    assert!(!said.text.contains("mode rate_limited"), "expired ones were taken for load:\n{}", said.text);
}

#[test]
fn a_connection_lost_in_a_drain_loses_no_result_and_runs_nothing_again() {
    let mut shop = Shop::new(ORDERS, Pace { run_ms: 300, cores: 4, ..Pace::default() });
    shop.broker.declare("dead", None);
    shop.broker.declare("orders", Some("dead"));
    shop.broker.declare("answers", None);
    shop.start_with_stop(3000);
    let reply = Sent { reply: true, ..Sent::default() };
    for (n, request_class) in ["view", "book", "view", "set-qty"].into_iter().enumerate() {
        shop.publish("orders", request_class, &format!("m{n}"), reply);
    }
    let mut begun = 0;
    shop.broker.until(SOON, |_| {
        begun = shop.runtime.town().runs.len();
        begun >= 2
    });
    shop.signal("-TERM");
    assert!(shop.broker.until(SOON, |state| !state.consumed("orders")), "it goes on consuming");
    shop.broker.cut();
    let said = shop.ended();
    let runs = shop.runtime.town().runs.len();
    let answered = shop.waiting("answers").matches("acked").count();
    assert_eq!(said.status, Some(0), "{}", said.text);
    assert!(begun >= 2 && answered == runs, "{runs} ran, {answered} answered\n{}", said.text);
    assert_eq!(shop.breaches(said.sum("unproven")), Vec::<String>::new());
    assert_eq!(said.errors(), 0, "{}", said.text);
    // What did not run, and what ran without its ack, is back in the queue.
    let state = shop.broker.state();
    assert_eq!((state.unsettled(), state.ready("orders") + state.ready("answers") >= 4), (0, true));
}

#[test]
fn after_a_kill_what_must_not_run_twice_has_not() {
    for settle in ["before", "after"] {
        let queue = format!("queue(name = \"orders\", window = \"fixed\", most = 8, settle = {settle:?})\n");
        let mut shop = Shop::consuming(&queue, Pace { run_ms: 30, ..Pace::default() }, "orders");
        (0..12).for_each(|n| shop.publish("orders", "book", &format!("m{n:02}"), Sent::default()));
        let mut begun = 0;
        shop.broker.until(SOON, |_| {
            begun = shop.runtime.town().runs.len();
            begun >= 3
        });
        shop.kill();
        shop.start();
        assert!(shop.settled(&["orders"]));
        let dead = shop.broker.state().ready("dead");
        let said = shop.leave();
        // Acked and fenced but not begun at the kill: at most what was in the window.
        assert_eq!(shop.breaches(8), Vec::<String>::new(), "{}", said.text);
        assert!(settle == "after" || dead == 0, "{dead} in doubt though settled before");
        assert!(settle == "before" || dead > 0, "what may have run went unnoticed");
    }
}

#[test]
fn brokers_change_on_hangup_and_what_is_open_is_settled_where_it_came_from() {
    let mut shop = Shop::consuming(ORDERS, Pace { run_ms: 100, ..Pace::default() }, "orders");
    let second = Broker::start();
    second.declare("orders", None);
    (0..2).for_each(|n| shop.publish("orders", "view", &format!("m{n}"), Sent::default()));
    shop.broker.until(SOON, |_| shop.runtime.town().runs.len() == 2);
    shop.brokers(&[&second]);
    shop.write_files(1500);
    shop.signal("-HUP");
    assert!(second.until(SOON, |state| state.consumed("orders")));
    assert!(shop.settled(&["orders"]));
    second.publish("orders", Sent::default().properties("view", "there"), b"there");
    assert!(second.until(SOON, |state| state.acks == 1));
    let said = shop.leave();
    let acks = shop.broker.state().acks;
    let well = shop.broker.state().closed_well;
    assert_eq!(
        (acks, well, shop.runs().as_str(), said.errors()),
        (2, 1, "m0 1, m1 1, there 1", 0),
        "{}",
        said.text
    );
}

#[test]
fn a_queue_that_goes_and_comes_costs_nothing_but_its_messages() {
    let mut shop = Shop::consuming(ORDERS, Pace::default(), "orders");
    shop.broker.state().delete("orders");
    assert!(shop.broker.until(SOON, |state| !state.consumed("orders")));
    shop.broker.declare("orders", Some("dead"));
    assert!(shop.broker.until(SOON, |state| state.consumed("orders")), "it is not asked for again");
    shop.publish("orders", "view", "after", Sent::default());
    assert!(shop.settled(&["orders"]));
    let said = shop.leave();
    assert_eq!((shop.runs().as_str(), shop.broker.state().opened), ("after 1", 1));
    assert!(said.text.contains("queue taken away queue=orders"), "{}", said.text);
}

#[test]
fn what_is_no_op_is_buried_and_the_rest_goes_on() {
    use amq_protocol::protocol::basic::AMQPProperties;
    use amq_protocol::types::{AMQPValue, FieldTable};
    let mut shop = Shop::consuming(ORDERS, Pace::default(), "orders");
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
    let opened = shop.broker.state().opened;
    let said = shop.leave();
    assert_eq!((dead, opened, shop.runs().as_str(), said.errors()), (7, 1, "good 1", 0), "{}", said.text);
}

#[test]
fn a_full_retry_queue_is_no_way_round_the_count_of_tries() {
    let queue = "queue(name = \"orders\", retry_queue = \"retry\", outcomes = {\"failed\": \"retry\"},\n      failed_pause_s = 0.02, most_tries = 3)\n";
    for most in [Some(0), None] {
        let mut shop = Shop::new(queue, Pace { fails: 1, ..Pace::default() });
        shop.broker.declare("dead", None);
        shop.broker.declare("orders", Some("dead"));
        shop.broker.declare("retry", Some("orders"));
        shop.broker.state().queues.get_mut("retry").expect("declared").most = most;
        shop.start();
        shop.publish("orders", "view", "fails", Sent::default());
        shop.publish("orders", "book", "fails once", Sent::default());
        // The second was acked before its run: it can't be buried any more.
        assert!(shop.broker.until(SOON, |state| state.ready("dead") == 1 && state.acks >= 1), "{most:?}");
        shop.leave();
        assert_eq!(shop.runs(), "fails 3, fails once 1", "{most:?}");
    }
}

/// Each fault on its own, at a point where it matters.
#[test]
fn single_faults_of_the_broker_leave_every_message_with_one_end() {
    let cases = [
        ("mute", vec![(At::Sent(14), Fault::Mute)], 2),
        ("block", vec![(At::Sent(14), Fault::Block(300))], 20),
        ("refused publish", vec![(At::Read(12), Fault::Refuse)], 20),
        ("small frames", vec![], 20),
        ("cut before an ack is read", vec![(At::Read(16), Fault::Cut)], 20),
        ("cut after an ack is read", vec![(At::Read(16), Fault::CutWithin)], 20),
    ];
    for (name, script, beat_s) in cases {
        let mut shop = Shop::new(ORDERS, Pace::default());
        shop.broker.declare("dead", None);
        shop.broker.declare("orders", Some("dead"));
        shop.broker.declare("answers", None);
        {
            let mut state = shop.broker.state();
            state.scripts.push_back(script);
            state.beat_s = beat_s;
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

#[test]
fn an_operators_file_with_a_fault_is_refused_with_its_key_and_line() {
    let key = std::env::temp_dir().join(format!("hazelspur-key-{}", std::process::id()));
    std::fs::write(&key, "sixteen characters and more").expect("a file");
    // A later key of the same name takes the place of an earlier one.
    let fleet = |changed: &str| {
        let mut keys = vec![
            "installation = \"bread\"".to_string(),
            "site = \"east\"".into(),
            "at = \"127.0.0.1:7946\"".into(),
            "most = 12".into(),
            format!("key_file = {key:?}"),
        ];
        let name = changed.split(' ').next().unwrap_or_default();
        keys.retain(|key| name.is_empty() || !key.starts_with(name));
        keys.extend((!changed.is_empty()).then(|| changed.to_string()));
        format!("fleet(\n{},\n)\n", keys.join(",\n"))
    };
    let good = "amqp(\n  brokers = [\"127.0.0.1:1\"],\n)\n";
    let long = format!("x = {:?}\n", "y".repeat(70_000));
    let texts = [
        format!(
            "{good}queue(name = \"a\")\nqueue(\n  name = \"b\",\n  outcomes = {{\n    \"poison\": \"later\",\n  }},\n)"
        ),
        format!("{good}queue(name = \"a\", most = 0)"),
        format!("{good}queue(\n  name = \"a\",\n  most = \"many\")"),
        format!("{good}queue(name = \"a\", mots = 3)"),
        format!("{good}queue(name = \"a\")\nqueue(name = \"a\")"),
        format!("{good}{good}"),
        "amqp(brokers = [])".into(),
        "amqp(brokers = [\"bread\"])".into(),
        "queue(name = \"a\")".into(),
        "amqp(brokers = ".into(),
        "load(\"other.star\", \"x\")".into(),
        "open(\"/etc/passwd\")".into(),
        "def f():\n  for i in range(1000000000):\n    pass\nf()".into(),
        "def f(n):\n  return f(n + 1)\nf(0)".into(),
        long,
        good.into(),
        fleet(""),
        fleet("most = 5000"),
        fleet("at = \"0.0.0.0:1\""),
        fleet("at = \"127.0.0.1:0\""),
        fleet("contacts = [\"127.0.0.1:1\", \"nowhere\"]"),
        fleet("site = \"two words\""),
        fleet("sight = \"east\""),
        fleet("key_file = \"/nowhere\""),
        fleet("key_file = \"/dev/null\""),
        fleet("shares = [{\"limit\": \"slots\", \"total\": 5}]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": -5}]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": 5, \"linger_s\": 3}]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": 5, \"part\": 3}]"),
        fleet("keepers = [\"a\"]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": 5, \"floor\": 1}]"),
        fleet("shares = [{\"limit\": \"calls\", \"total\": 5}]"),
        fleet("keepers = [\"a\", \"b\"],\nshares = [{\"limit\": \"calls\", \"total\": 5}]"),
        fleet("keepers = [\"a\", \"a\", \"b\"],\nshares = [{\"limit\": \"calls\", \"total\": 5}]"),
        format!("{}{}", fleet(""), fleet("")),
    ];
    let file = std::env::temp_dir().join(format!("hazelspur-check-{}.star", std::process::id()));
    let mut seen = String::new();
    for text in texts {
        std::fs::write(&file, text).expect("a file");
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_hazelspur-server"))
            .arg("check")
            .arg(&file)
            .output();
        let out = out.expect("it runs");
        let said = String::from_utf8([out.stdout, out.stderr].concat()).expect("text");
        let first = said.lines().next().unwrap_or_default().replace(&file.display().to_string(), "FILE");
        let first = first.replace("(os error 2)", "").trim_end().to_string();
        seen += &format!("{first}, exit {:?}\n", out.status.code());
    }
    let _ = std::fs::remove_file(&file);
    let _ = std::fs::remove_file(&key);
    expect_test::expect![[r#"
        FILE:8: queues[1].outcomes.poison: would come back for ever: only ack or reject, exit Some(2)
        FILE:4: queues[0].most: lower than 1, exit Some(2)
        FILE:6: queues[0].most: invalid type: string "many", expected u16, exit Some(2)
        FILE:4: queues[0].mots: unknown field `mots`, expected one of `name`, `op_type`, `need_kb`, `window`, `most`, `clock`, `waits_s`, `settle`, `retry_queue`, `outcomes`, `most_tries`, `failed_pause_s`, exit Some(2)
        FILE:5: queues[1].name: named twice, exit Some(2)
        FILE:4: amqp: called twice, exit Some(2)
        FILE:1: amqp.brokers: length is lower than 1, exit Some(2)
        FILE:1: amqp.brokers[0]: invalid socket address syntax, exit Some(2)
        FILE:1: queues[0].name: there is no amqp(...), exit Some(2)
        FILE:1: Parse error: unexpected new line, expected expression, exit Some(2)
        FILE:1: No imports are available, you tried `other.star` (no call to `Evaluator.set_loader`), exit Some(2)
        FILE:1: Variable `open` not found, did you mean `len`?, exit Some(2)
        FILE: Execution duration limit of 1000000 ticks has been exceeded, exit Some(2)
        FILE:2: Starlark call stack overflow, exit Some(2)
        FILE: longer than 65536 bytes, exit Some(2)
        FILE: good: brokers=1 queues=0 fleet=none, exit Some(0)
        FILE: good: brokers=0 queues=0 fleet=east, exit Some(0)
        FILE:6: fleet.most: greater than 4096, exit Some(2)
        FILE:6: fleet.at: no address that others can reach, exit Some(2)
        FILE:6: fleet.at: no address that others can reach, exit Some(2)
        FILE:7: fleet.contacts[1]: invalid socket address syntax, exit Some(2)
        FILE:6: fleet.site: invalid value: string "two words", expected a name of 1 to 31 visible ASCII characters, exit Some(2)
        FILE:7: fleet.sight: unknown field `sight`, expected one of `installation`, `site`, `at`, `listen`, `contacts`, `key_file`, `most`, `period_s`, `remember_s`, `together`, `keepers`, `lease_s`, `shares`, exit Some(2)
        fleet.key_file: /nowhere: No such file or directory, exit Some(2)
        fleet.key_file: /dev/null: shorter than 16 characters, exit Some(2)
        FILE:7: fleet.shares: slots: neither calls nor tenant.NAME, exit Some(2)
        FILE:7: fleet.shares: calls: total is no number from 0 to a billion, exit Some(2)
        FILE:7: fleet.shares: calls: what lingers for over half of the span leaves no time for leases, exit Some(2)
        FILE:7: fleet.shares[0].part: unknown field `part`, expected one of `limit`, `total`, `floor`, `linger_s`, exit Some(2)
        FILE:7: fleet.keepers: there are no shares to keep, exit Some(2)
        FILE: good: brokers=0 queues=0 fleet=east, exit Some(0)
        FILE:7: fleet.shares: without keepers nobody gives out what is beyond the floors: floor = 1, exit Some(2)
        FILE:7: fleet.keepers: 2: an odd number can lose as many as one more, exit Some(2)
        FILE:8: fleet.shares: a keeper is named twice: its vote would count twice, exit Some(2)
        FILE:8: fleet: called twice, exit Some(2)
    "#]].assert_eq(&seen);
}
