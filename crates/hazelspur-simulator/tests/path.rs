//! What `path` plays and works out, without a server's process.

use expect_test::expect;
use hazelspur::Duration;
use hazelspur_simulator::path::figures::{Point, Study, added_latency, quantile_ms};
use hazelspur_simulator::path::load::{
    LoadResult, MAX_OPEN_REQUESTS, Message, OutcomeCounts, WireProtocol, latency_histogram, run_plan,
};
use hazelspur_simulator::path::plan::{
    Arrival, DistinctEntries, ServerAddresses, TableSize, arrivals, configuration, count_distinct,
};
use hazelspur_simulator::path::wires::{GatewayProtocol, WorkerProtocol};
use hazelspur_test_doubles::reserved_address::ReservedAddress;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::spawn;
use std::time::{Duration as StdDuration, Instant};

const SIZE: TableSize = TableSize { request_classes: 8700, tenants: 42_000 };

fn plan(size: TableSize, rate: f64, secs: f64, seed: u64) -> Vec<Arrival> {
    arrivals(size, DistinctEntries::default(), rate, Duration::from_secs(secs), seed).expect("a plan")
}

#[test]
fn arrivals_follow_from_seed_and_rate() {
    let shown: Vec<String> = plan(SIZE, 148.0, 10.0, 1)
        .iter()
        .take(6)
        .map(|a| format!("{} us: op type {}, tenant {}", a.at.us(), a.request_class, a.tenant))
        .collect();
    expect![[r#"
        2695 us: op type 3628, tenant 1215
        6837 us: op type 2188, tenant 25216
        11384 us: op type 2467, tenant 7594
        34559 us: op type 927, tenant 28551
        41670 us: op type 6660, tenant 2758
        51705 us: op type 5559, tenant 6322"#]]
    .assert_eq(&shown.join("\n"));
    assert_eq!(plan(SIZE, 148.0, 10.0, 1), plan(SIZE, 148.0, 10.0, 1));
    assert_ne!(plan(SIZE, 148.0, 10.0, 1), plan(SIZE, 148.0, 10.0, 2));
}

#[test]
fn times_are_the_same_for_all_sizes_and_gaps_are_those_of_a_poisson_stream() {
    let small = TableSize { request_classes: 87, tenants: 420 };
    let at = |size| plan(size, 296.0, 60.0, 3).iter().map(|a| a.at.us()).collect::<Vec<_>>();
    let all = at(SIZE);
    assert_eq!(all, at(small));
    assert!(all.is_sorted());
    // Five standard deviations around the mean, and of exponential gaps 1 in e is over the mean.
    let wanted = 296.0 * 60.0;
    assert!((all.len() as f64 - wanted).abs() < 5.0 * wanted.sqrt(), "{}", all.len());
    let mean = 1e6 / 296.0;
    let over = all.windows(2).filter(|w| (w[1] - w[0]) as f64 > mean).count() as f64 / all.len() as f64;
    assert!((over - (-1f64).exp()).abs() < 0.02, "{over}");
}

#[test]
fn whole_tables_are_met_or_as_many_as_told_with_the_last_entry_among_them() {
    let small = TableSize { request_classes: 87, tenants: 420 };
    assert_eq!(count_distinct(&plan(small, 300.0, 60.0, 1)), (87, 420));
    let met = DistinctEntries { request_classes: Some(10), tenants: Some(1) };
    let some = arrivals(SIZE, met, 300.0, Duration::from_secs(5.0), 1).expect("a plan");
    assert_eq!(count_distinct(&some), (10, 1));
    assert_eq!(some.iter().map(|a| (a.request_class, a.tenant)).max(), Some((8699, 41_999)));
    assert_eq!(some.iter().map(|a| a.request_class).min(), Some(0));
    assert!(arrivals(SIZE, met, 0.0, Duration::from_secs(5.0), 1).is_err());
    assert!(arrivals(SIZE, met, 1e9, Duration::from_secs(5.0), 1).is_err());
}

#[test]
fn a_configuration_has_as_many_names_as_asked_for_all_different() {
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let addresses = ServerAddresses { listen: at(1), worker: at(2), registry: at(3) };
    let text = configuration(SIZE, addresses, 810, 7);
    let all: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let names = |list: &str| -> Vec<String> {
        let list = all["settings"][list].as_array().expect("a list");
        list.iter().map(|entry| entry["name"].as_str().expect("a name").to_string()).collect()
    };
    for (list, wanted) in [("lanes", 8700), ("orgs", 42_000)] {
        let names = names(list);
        assert_eq!((names.len(), names.iter().collect::<BTreeSet<_>>().len()), (wanted, wanted));
    }
    assert!(all["settings"]["lanes"].as_array().expect("a list").iter().all(|l| l["semantics"] == "safe"));
    let least = TableSize { request_classes: 1, tenants: 1 };
    let text = configuration(least, addresses, 810, 7);
    let all: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    expect![[r#"
        {
          "control": "127.0.0.1:3",
          "limits": {
            "cores": 1.0,
            "memory_mb": 192,
            "sockets": 1024
          },
          "listen": "127.0.0.1:1",
          "name": "n1",
          "runtime": "127.0.0.1:2",
          "seed": "0000000000000007",
          "settings": {
            "family-info": {
              "calls-out": 1000,
              "calls-over-us": 5000000,
              "mem-limit-kb": 1000000,
              "meters": [
                "core_use",
                "on_cores",
                "heap_share",
                "links"
              ],
              "n-cores": 16,
              "passes-deadline": true,
              "run-factor": 8,
              "stop-mode": "drop"
            },
            "lanes": [
              {
                "aim-us": 1000000,
                "deadline-us": 3000000,
                "importance": 1,
                "name": "route-0",
                "semantics": "safe"
              }
            ],
            "limits": {
              "max-retry-after-us": 1000000,
              "retry-after": true
            },
            "orgs": [
              {
                "name": "tenant-0",
                "quota-rps": 10
              }
            ],
            "rules": {
              "cold-share": 0.2,
              "cold-us": 10000000,
              "drain-grace-us": 100000,
              "fall-multiple": 8
            },
            "servers": 810
          },
          "stop_ms": 400
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&all).expect("it was read"));
}

#[test]
fn sizes_are_read_strictly() {
    assert_eq!("8700x42000".parse(), Ok(SIZE));
    assert_eq!(SIZE.to_string(), "8700x42000");
    for wrong in ["", "87", "87x", "x420", "0x1", "1x0", "87x420x1", "87X420", "-1x5", "1x1000001"] {
        assert!(wrong.parse::<TableSize>().is_err(), "{wrong}");
    }
}

/// Lines in, and what becomes of each on its connection: an answer, or nothing.
fn peer(answer: impl Fn(usize, &str) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a place");
    let address = listener.local_addr().expect("an address");
    let (answer, count) = (Arc::new(answer), Arc::new(AtomicUsize::new(0)));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, count) = (answer.clone(), count.clone());
            spawn(move || serve(&stream, &count, &*answer));
        }
    });
    address
}

fn serve(stream: &TcpStream, count: &AtomicUsize, answer: &dyn Fn(usize, &str) -> Option<String>) {
    let _ = stream.set_nodelay(true);
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let Some(said) = answer(count.fetch_add(1, Ordering::SeqCst), &line) else { continue };
        if said.is_empty() || (&mut &*stream).write_all(said.as_bytes()).is_err() {
            return;
        }
    }
}

fn acked(line: &str) -> String {
    let asked: serde_json::Value = serde_json::from_str(line).expect("a line of JSON");
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":{{\"data\":{}}}}}\n",
        asked["id"], asked["params"]["data"]
    )
}

fn error(line: &str, code: i32, message: &str) -> String {
    let asked: serde_json::Value = serde_json::from_str(line).expect("a line of JSON");
    let id = &asked["id"];
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":\"{message}\"}}}}\n")
}

fn played(address: SocketAddr, plan: &[Arrival], connections: usize, patience_ms: u64) -> LoadResult {
    let wire: Arc<dyn WireProtocol> = Arc::new(GatewayProtocol::new(1, 30));
    run_plan(&wire, address, plan, connections, StdDuration::from_millis(patience_ms)).expect("it is played")
}

#[test]
fn a_slow_answer_shows_at_the_end_of_the_histogram_and_in_all_that_wait_behind_it() {
    // One connection that is read in order: what arrives in the 300 ms waits for them too, fewer than may be
    // open, and its latency counts from its own time.
    let slow = peer(|number, line| {
        if number == 60 {
            std::thread::sleep(StdDuration::from_millis(300));
        }
        Some(acked(line))
    });
    let plan = plan(SIZE, 50.0, 3.0, 1);
    let played = played(slow, &plan, 1, 2000);
    assert_eq!((played.tally.acked, played.tally.planned), (plan.len(), plan.len()));
    let mut straight = latency_histogram();
    straight.record(200).expect("in bounds");
    let added = added_latency(&played.latency_us, &straight);
    assert_eq!(added.len(), plan.len() as u64);
    assert!(quantile_ms(&added, 0.999) >= 299.0, "{}", quantile_ms(&added, 0.999));
    let behind = plan.iter().filter(|a| a.at > plan[60].at && a.at < plan[60].at + Duration::from_ms(200));
    let waited = added.iter_recorded().filter(|step| step.value_iterated_to() >= 99_000);
    let waited: u64 = waited.map(|step| step.count_at_value()).sum();
    assert!(waited >= behind.count() as u64, "{waited}");
}

#[test]
fn the_usual_time_straight_to_the_runtime_is_taken_out_and_nothing_else() {
    let (mut through, mut straight) = (latency_histogram(), latency_histogram());
    (0..1000u64).for_each(|i| through.record(500 + i % 7).expect("in bounds"));
    through.record(90_000).expect("in bounds");
    (0..99u64).for_each(|_| straight.record(200).expect("in bounds"));
    // A slow one straight to the runtime makes no later one faster.
    straight.record(80_000).expect("in bounds");
    let added = added_latency(&through, &straight);
    assert_eq!((added.value_at_quantile(0.5), added.len()), (303, 1001));
    assert!((89_700..90_000).contains(&added.max()), "{}", added.max());
}

#[test]
fn a_server_that_never_answers_is_counted_as_such_and_the_play_ends() {
    let mute = peer(|_, _| None);
    let plan = plan(SIZE, 500.0, 0.5, 1);
    let began = Instant::now();
    let LoadResult { tally, latency_us, .. } = played(mute, &plan, 2, 100);
    assert!(plan.len() > 2 * MAX_OPEN_REQUESTS && began.elapsed() < StdDuration::from_secs(10));
    let unsent = plan.len() - 2 * MAX_OPEN_REQUESTS;
    let wanted = OutcomeCounts {
        planned: plan.len(),
        unanswered: 2 * MAX_OPEN_REQUESTS,
        unsent,
        ..OutcomeCounts::default()
    };
    assert_eq!(tally, wanted);
    // They are in the histogram with the time until the end, not left out of it.
    assert_eq!(latency_us.len(), plan.len() as u64);
    assert!(quantile_ms(&latency_us, 0.5) >= 100.0);
}

#[test]
fn refused_unknown_failed_and_broken_ops_are_told_apart() {
    let mixed = peer(|number, line| match number % 6 {
        0 => Some(acked(line)),
        1 => Some(error(line, -32011, "full")),
        2 => Some(error(line, -32601, "no such method")),
        3 => Some(error(line, -32602, "owner is not known")),
        4 => Some(error(line, -32602, "ts is no time")),
        // The connection ends.
        _ => Some(String::new()),
    });
    let plan = plan(SIZE, 200.0, 0.6, 5);
    let tally = played(mixed, &plan, 1, 500).tally;
    assert_eq!((tally.planned, tally.unanswered, tally.unsent), (plan.len(), 0, 0));
    let each = plan.len() / 6;
    let near = |count: usize, wanted: usize| count.abs_diff(wanted) <= 1 + wanted / 4;
    assert!(near(tally.unknown, 2 * each), "{tally:?}");
    assert!(tally.acked > 0 && tally.refused > 0 && tally.failed > 0 && tally.broken > 0, "{tally:?}");
    let sum = tally.acked + tally.refused + tally.unknown + tally.failed + tally.broken;
    assert_eq!(sum, tally.planned, "{tally:?}");
}

#[test]
fn nobody_there_is_an_error_and_no_play() {
    let reserved = ReservedAddress::on(Ipv4Addr::LOCALHOST).expect("a free port");
    let gone = reserved.address();
    let wire: Arc<dyn WireProtocol> = Arc::new(GatewayProtocol::new(1, 30));
    assert!(run_plan(&wire, gone, &plan(SIZE, 50.0, 0.1, 1), 1, StdDuration::from_millis(50)).is_err());
}

#[test]
fn straight_to_a_stand_in_runtime_all_is_acked() {
    let runtime = hazelspur_simulator::path::process::start_worker(0);
    let wire: Arc<dyn WireProtocol> = Arc::new(WorkerProtocol::new(9, 201));
    let plan = plan(SIZE, 300.0, 0.5, 2);
    let played = run_plan(&wire, runtime.address, &plan, 1, StdDuration::from_secs(2)).expect("it is played");
    assert_eq!((played.tally.acked, played.tally.planned), (plan.len(), plan.len()));
}

#[test]
fn messages_are_taken_only_whole_and_an_echo_that_differs_is_no_ack() {
    let (gateway, runtime) = (GatewayProtocol::new(1, 6), WorkerProtocol::new(3, 6));
    let shown = |wire: &dyn WireProtocol, bytes: &str| match wire.decode_message(bytes.as_bytes()) {
        None => "not whole".to_string(),
        Some((used, Message::Answer(number, answer))) => format!("{used}: {number} {answer:?}"),
        Some((used, Message::Closing)) => format!("{used}: closing"),
        Some((used, Message::Other)) => format!("{used}: other"),
    };
    let lines = [
        shown(&gateway, "{\"id\":5,\"result\":{\"data\":\"aGF6aGF6\"}}"),
        shown(&gateway, "{\"id\":5,\"result\":{\"data\":\"aGF6aGF6\"}}\n{\"id"),
        shown(&gateway, "{\"id\":5,\"result\":{\"data\":\"aGF6\"}}\n"),
        shown(&gateway, "{\"jsonrpc\":\"2.0\",\"method\":\"farewell\"}\n"),
        shown(&gateway, "{\"id\":null,\"error\":{\"code\":-32700,\"message\":\"no\"}}\n"),
        shown(&runtime, "ready hot 60000\r\n"),
        shown(&runtime, "end 1 0000000300000007 complete 0 6\r\nhaz"),
        shown(&runtime, "end 1 0000000300000007 complete 0 6\r\nhazhaz\r\n"),
        shown(&runtime, "end 1 0000000300000007 error 0 0\r\n\r\n"),
        shown(&runtime, "end 1 0000000200000007 complete 0 6\r\nhazhaz\r\n"),
    ];
    expect![[r#"
        not whole
        38: 4 Acked
        34: 4 Failed
        38: closing
        51: closing
        17: other
        not whole
        45: 7 Acked
        36: 7 Failed
        45: other"#]]
    .assert_eq(&lines.join("\n"));
}

fn point(figure: &str, size: f64, value: f64) -> Point {
    let (case, unit, by) = ("small".into(), "ms".into(), "rate_per_s".into());
    Point { figure: figure.into(), case, unit, by, size, seed: 1, value }
}

fn study(command: &str, text: &str, points: Vec<Point>) -> Study {
    Study { study: "server".into(), command: command.into(), text: text.into(), machine: "m".into(), points }
}

#[test]
fn points_measured_again_take_the_place_of_the_old_ones_and_those_of_another_text_go() {
    let old = study("path", "abc", vec![point("a", 148.0, 1.0), point("a", 296.0, 2.0)]);
    let new = study("path --cost", "abc", vec![point("a", 296.0, 3.0), point("b", 296.0, 4.0)]);
    let joined = new.clone().merged_with(Some(old.clone()));
    assert_eq!(joined.command, "path; path --cost");
    let kept = vec![point("a", 148.0, 1.0), point("a", 296.0, 3.0), point("b", 296.0, 4.0)];
    assert_eq!(joined.points, kept);
    let again = joined.clone().merged_with(Some(joined.clone()));
    assert_eq!(again.points, joined.points);
    let other = Study { text: "def".into(), ..new.clone() };
    assert_eq!(other.clone().merged_with(Some(old)), other);
    let file = std::env::temp_dir().join(format!("hazelspur-path-test-{}.json", std::process::id()));
    let _ = std::fs::remove_file(&file);
    joined.clone().save(&file).expect("it is written");
    new.save(&file).expect("it is written again");
    let read: Study = serde_json::from_slice(&std::fs::read(&file).expect("a file")).expect("its form");
    std::fs::remove_file(&file).expect("it is there");
    assert_eq!((read.command, read.points), ("path; path --cost".to_string(), kept));
}
