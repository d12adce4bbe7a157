//! Tests of the `path` study without a server process: plans, the load generator, wire protocols, and saved
//! points.

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
    arrivals(size, DistinctEntries::default(), rate, Duration::from_secs(secs), seed)
        .expect("the rate and length are valid")
}

#[test]
fn arrivals_follow_from_seed_and_rate() {
    let shown: Vec<String> = plan(SIZE, 148.0, 10.0, 1)
        .iter()
        .take(6)
        .map(|a| format!("{} us: request class {}, tenant {}", a.at.us(), a.request_class, a.tenant))
        .collect();
    expect![[r#"
        2695 us: request class 3628, tenant 1215
        6837 us: request class 2188, tenant 25216
        11384 us: request class 2467, tenant 7594
        34559 us: request class 927, tenant 28551
        41670 us: request class 6660, tenant 2758
        51705 us: request class 5559, tenant 6322"#]]
    .assert_eq(&shown.join("\n"));
    assert_eq!(plan(SIZE, 148.0, 10.0, 1), plan(SIZE, 148.0, 10.0, 1));
    assert_ne!(plan(SIZE, 148.0, 10.0, 1), plan(SIZE, 148.0, 10.0, 2));
}

#[test]
fn arrival_times_are_poisson_and_independent_of_table_size() {
    let small = TableSize { request_classes: 87, tenants: 420 };
    let at = |size| plan(size, 296.0, 60.0, 3).iter().map(|a| a.at.us()).collect::<Vec<_>>();
    let all = at(SIZE);
    assert_eq!(all, at(small));
    assert!(all.is_sorted());
    // The count is within five standard deviations of the mean, and a share of 1/e of exponential gaps
    // exceeds the mean.
    let expected = 296.0 * 60.0;
    assert!((all.len() as f64 - expected).abs() < 5.0 * expected.sqrt(), "{}", all.len());
    let mean = 1e6 / 296.0;
    let over = all.windows(2).filter(|w| (w[1] - w[0]) as f64 > mean).count() as f64 / all.len() as f64;
    assert!((over - (-1f64).exp()).abs() < 0.02, "{over}");
}

#[test]
fn arrivals_cover_tables_or_the_distinct_entries_asked_for() {
    let small = TableSize { request_classes: 87, tenants: 420 };
    assert_eq!(count_distinct(&plan(small, 300.0, 60.0, 1)), (87, 420));
    let distinct = DistinctEntries { request_classes: Some(10), tenants: Some(1) };
    let few =
        arrivals(SIZE, distinct, 300.0, Duration::from_secs(5.0), 1).expect("the rate and length are valid");
    assert_eq!(count_distinct(&few), (10, 1));
    assert_eq!(few.iter().map(|a| (a.request_class, a.tenant)).max(), Some((8699, 41_999)));
    assert_eq!(few.iter().map(|a| a.request_class).min(), Some(0));
    assert!(arrivals(SIZE, distinct, 0.0, Duration::from_secs(5.0), 1).is_err());
    assert!(arrivals(SIZE, distinct, 1e9, Duration::from_secs(5.0), 1).is_err());
}

#[test]
fn configuration_has_requested_number_of_distinct_names() {
    let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let addresses = ServerAddresses { listen: at(1), worker: at(2), registry: at(3) };
    let text = configuration(SIZE, addresses, 810, 7);
    let all: serde_json::Value = serde_json::from_str(&text).expect("the configuration is JSON");
    let names = |list: &str| -> Vec<String> {
        let list = all["settings"][list].as_array().expect("the setting is a list");
        list.iter().map(|entry| entry["name"].as_str().expect("the entry has a name").to_string()).collect()
    };
    for (list, expected) in [("lanes", 8700), ("orgs", 42_000)] {
        let names = names(list);
        assert_eq!((names.len(), names.iter().collect::<BTreeSet<_>>().len()), (expected, expected));
    }
    assert!(
        all["settings"]["lanes"]
            .as_array()
            .expect("the setting is a list")
            .iter()
            .all(|l| l["semantics"] == "safe")
    );
    let smallest = TableSize { request_classes: 1, tenants: 1 };
    let text = configuration(smallest, addresses, 810, 7);
    let all: serde_json::Value = serde_json::from_str(&text).expect("the configuration is JSON");
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
    .assert_eq(&serde_json::to_string_pretty(&all).expect("the value is valid JSON"));
}

#[test]
fn malformed_table_sizes_are_rejected() {
    assert_eq!("8700x42000".parse(), Ok(SIZE));
    assert_eq!(SIZE.to_string(), "8700x42000");
    for invalid in ["", "87", "87x", "x420", "0x1", "1x0", "87x420x1", "87X420", "-1x5", "1x1000001"] {
        assert!(invalid.parse::<TableSize>().is_err(), "{invalid}");
    }
}

/// Starts a server that calls `answer` with the number and text of each line. It sends the returned text,
/// sends nothing for `None`, and closes the connection for an empty text.
fn start_peer(answer: impl Fn(usize, &str) -> Option<String> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
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
        let Some(answer) = answer(count.fetch_add(1, Ordering::SeqCst), &line) else { continue };
        if answer.is_empty() || (&mut &*stream).write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn acked(line: &str) -> String {
    let request: serde_json::Value = serde_json::from_str(line).expect("the request line is JSON");
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":{{\"data\":{}}}}}\n",
        request["id"], request["params"]["data"]
    )
}

fn error(line: &str, code: i32, message: &str) -> String {
    let request: serde_json::Value = serde_json::from_str(line).expect("the request line is JSON");
    let id = &request["id"];
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":{code},\"message\":\"{message}\"}}}}\n")
}

fn run_from_gateway(
    address: SocketAddr,
    plan: &[Arrival],
    connections: usize,
    last_answer_timeout_ms: u64,
) -> LoadResult {
    let protocol: Arc<dyn WireProtocol> = Arc::new(GatewayProtocol::new(1, 30));
    run_plan(&protocol, address, plan, connections, StdDuration::from_millis(last_answer_timeout_ms))
        .expect("the run succeeds")
}

#[test]
fn slow_answer_raises_latency_of_requests_waiting_behind_it() {
    // The server reads one connection in order, so requests that arrive during the pause of 300 ms wait for
    // its end. They are fewer than may be open, and the latency of each counts from its own arrival.
    let slow = start_peer(|number, line| {
        if number == 60 {
            std::thread::sleep(StdDuration::from_millis(300));
        }
        Some(acked(line))
    });
    let plan = plan(SIZE, 50.0, 3.0, 1);
    let result = run_from_gateway(slow, &plan, 1, 2000);
    assert_eq!((result.counts.acked, result.counts.planned), (plan.len(), plan.len()));
    let mut direct = latency_histogram();
    direct.record(200).expect("the value is within the histogram bounds");
    let added = added_latency(&result.latency_us, &direct);
    assert_eq!(added.len(), plan.len() as u64);
    assert!(quantile_ms(&added, 0.999) >= 299.0, "{}", quantile_ms(&added, 0.999));
    let behind = plan.iter().filter(|a| a.at > plan[60].at && a.at < plan[60].at + Duration::from_ms(200));
    let waited = added.iter_recorded().filter(|step| step.value_iterated_to() >= 99_000);
    let waited: u64 = waited.map(|step| step.count_at_value()).sum();
    assert!(waited >= behind.count() as u64, "{waited}");
}

#[test]
fn added_latency_subtracts_only_the_direct_median() {
    let (mut through_server, mut direct) = (latency_histogram(), latency_histogram());
    (0..1000u64)
        .for_each(|i| through_server.record(500 + i % 7).expect("the value is within the histogram bounds"));
    through_server.record(90_000).expect("the value is within the histogram bounds");
    (0..99u64).for_each(|_| direct.record(200).expect("the value is within the histogram bounds"));
    // A single slow direct request does not reduce the latency that is added.
    direct.record(80_000).expect("the value is within the histogram bounds");
    let added = added_latency(&through_server, &direct);
    assert_eq!((added.value_at_quantile(0.5), added.len()), (303, 1001));
    assert!((89_700..90_000).contains(&added.max()), "{}", added.max());
}

#[test]
fn silent_server_leaves_requests_unanswered_and_run_ends() {
    let silent = start_peer(|_, _| None);
    let plan = plan(SIZE, 500.0, 0.5, 1);
    let started_at = Instant::now();
    let LoadResult { counts, latency_us, .. } = run_from_gateway(silent, &plan, 2, 100);
    assert!(plan.len() > 2 * MAX_OPEN_REQUESTS && started_at.elapsed() < StdDuration::from_secs(10));
    let unsent = plan.len() - 2 * MAX_OPEN_REQUESTS;
    let expected = OutcomeCounts {
        planned: plan.len(),
        unanswered: 2 * MAX_OPEN_REQUESTS,
        unsent,
        ..OutcomeCounts::default()
    };
    assert_eq!(counts, expected);
    // Unanswered requests are in the histogram with the time until the end of the run.
    assert_eq!(latency_us.len(), plan.len() as u64);
    assert!(quantile_ms(&latency_us, 0.5) >= 100.0);
}

#[test]
fn refused_unknown_failed_and_broken_are_counted_apart() {
    let mixed = start_peer(|number, line| match number % 6 {
        0 => Some(acked(line)),
        1 => Some(error(line, -32011, "full")),
        2 => Some(error(line, -32601, "no such method")),
        3 => Some(error(line, -32602, "owner is not known")),
        4 => Some(error(line, -32602, "ts is no time")),
        // An empty answer closes the connection.
        _ => Some(String::new()),
    });
    let plan = plan(SIZE, 200.0, 0.6, 5);
    let counts = run_from_gateway(mixed, &plan, 1, 500).counts;
    assert_eq!((counts.planned, counts.unanswered, counts.unsent), (plan.len(), 0, 0));
    let per_kind = plan.len() / 6;
    let near = |count: usize, expected: usize| count.abs_diff(expected) <= 1 + expected / 4;
    assert!(near(counts.unknown, 2 * per_kind), "{counts:?}");
    assert!(counts.acked > 0 && counts.refused > 0 && counts.failed > 0 && counts.broken > 0, "{counts:?}");
    let sum = counts.acked + counts.refused + counts.unknown + counts.failed + counts.broken;
    assert_eq!(sum, counts.planned, "{counts:?}");
}

#[test]
fn run_without_a_listener_is_an_error() {
    let reserved = ReservedAddress::on(Ipv4Addr::LOCALHOST).expect("a loopback port can be reserved");
    let unused_address = reserved.address();
    let protocol: Arc<dyn WireProtocol> = Arc::new(GatewayProtocol::new(1, 30));
    assert!(
        run_plan(&protocol, unused_address, &plan(SIZE, 50.0, 0.1, 1), 1, StdDuration::from_millis(50))
            .is_err()
    );
}

#[test]
fn worker_test_double_acks_all_direct_requests() {
    let worker = hazelspur_simulator::path::process::start_worker(0);
    let protocol: Arc<dyn WireProtocol> = Arc::new(WorkerProtocol::new(9, 201));
    let plan = plan(SIZE, 300.0, 0.5, 2);
    let result =
        run_plan(&protocol, worker.address, &plan, 1, StdDuration::from_secs(2)).expect("the run succeeds");
    assert_eq!((result.counts.acked, result.counts.planned), (plan.len(), plan.len()));
}

#[test]
fn incomplete_message_waits_and_different_body_fails() {
    let (gateway, worker) = (GatewayProtocol::new(1, 6), WorkerProtocol::new(3, 6));
    let shown = |protocol: &dyn WireProtocol, bytes: &str| match protocol.decode_message(bytes.as_bytes()) {
        None => "incomplete".to_string(),
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
        shown(&worker, "ready hot 60000\r\n"),
        shown(&worker, "end 1 0000000300000007 complete 0 6\r\nhaz"),
        shown(&worker, "end 1 0000000300000007 complete 0 6\r\nhazhaz\r\n"),
        shown(&worker, "end 1 0000000300000007 error 0 0\r\n\r\n"),
        shown(&worker, "end 1 0000000200000007 complete 0 6\r\nhazhaz\r\n"),
    ];
    expect![[r#"
        incomplete
        38: 4 Acked
        34: 4 Failed
        38: closing
        51: closing
        17: other
        incomplete
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
fn merge_replaces_remeasured_points_and_drops_other_version() {
    let old = study("path", "abc", vec![point("a", 148.0, 1.0), point("a", 296.0, 2.0)]);
    let new = study("path --cost", "abc", vec![point("a", 296.0, 3.0), point("b", 296.0, 4.0)]);
    let merged = new.clone().merged_with(Some(old.clone()));
    assert_eq!(merged.command, "path; path --cost");
    let kept = vec![point("a", 148.0, 1.0), point("a", 296.0, 3.0), point("b", 296.0, 4.0)];
    assert_eq!(merged.points, kept);
    let again = merged.clone().merged_with(Some(merged.clone()));
    assert_eq!(again.points, merged.points);
    let other = Study { text: "def".into(), ..new.clone() };
    assert_eq!(other.clone().merged_with(Some(old)), other);
    let file = std::env::temp_dir().join(format!("hazelspur-path-test-{}.json", std::process::id()));
    let _ = std::fs::remove_file(&file);
    merged.clone().save(&file).expect("the study is written");
    new.save(&file).expect("the study is merged into the file");
    let read: Study = serde_json::from_slice(&std::fs::read(&file).expect("the file is readable"))
        .expect("the file is a study");
    std::fs::remove_file(&file).expect("the file exists");
    assert_eq!((read.command, read.points), ("path; path --cost".to_string(), kept));
}
