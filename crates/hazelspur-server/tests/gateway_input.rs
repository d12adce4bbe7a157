//! Invalid input, floods and idle connections on the gateways' side of the server.

mod harness;

use harness::*;
use hazelspur_test_doubles::reserved_address::ReservedAddress;
use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Each invalid line is sent on its own connection, because a connection with too many protocol errors is
/// closed.
#[test]
fn invalid_input_gets_an_error_and_other_connections_continue() {
    let (mut server, mut link) = ServerHarness::new("input", "");
    let mut other = server.connect_gateway();
    server.start_run(&mut other, &mut link, &request(1, 1, "view", ""));
    let valid = request(9, 9, "view", "");
    let lines = [
        "{".into(),
        "[]".into(),
        "\u{7f}\0".into(),
        r#"{"jsonrpc":"2.0","id":1}"#.into(),
        r#"{"jsonrpc":"2.0","id":2,"method":"view"}"#.into(),
        valid.replace("\"2.0\"", "2"),
        valid.replace("\"id\":9,", ""),
        valid.replace("\"id\":9,", "\"id\":-9,"),
        request(3, 3, "nothing", ""),
        request(4, 4, "view", r#","owner":7"#),
        request(5, 1, "view", ""),
        valid.replace("aGVsbG8=", "a*"),
        valid.replace("aGVsbG8=", &"QUJD".repeat(683)),
        valid.replace("20.5", "2000"),
        valid.replace("20.5", "1e999"),
        valid.replace(":0.5,", ":1.5,"),
        valid.replace(":4000,", ":-1,"),
        valid.replace(":4000,", ":4000000,"),
        valid.replace("\"ts\":1", "\"ts\":9"),
        valid.replace("\"ts\":1", "\"ts\":"),
        valid.replace(&id(9), ""),
        format!("\"{}", "x".repeat(20_000)),
        "x".repeat(3_000_000),
    ];
    for line in &lines {
        let mut gateway = server.connect_gateway();
        let _ = gateway.stream.get_mut().write_all(format!("{line}\r\n").as_bytes()); // the server may close early
        gateway.record_next(&mut server.trace);
    }
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(50, 50, "view", ""));
    link.send(&format!("nack start {}\r\n", id(50)));
    gateway.record_next(&mut server.trace);
    other.send(&format!("{}\n", request(1, 2, "view", "")));
    other.record_next(&mut server.trace);
    link.send(&success_notice(1, 1));
    other.record_next(&mut server.trace);
    gateway
        .send(&(1..=60).map(|n| format!("{}\n", request(100 + n, 100 + n, "view", ""))).collect::<String>());
    let answered = (0..60).map(|_| gateway.read_line()).take_while(|line| line != "(closed)").count();
    let _ = writeln!(server.trace, "of 60 at once {answered} answered, then closed");
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not a JSON object"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not a JSON object"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not a JSON object"}}
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32600,"message":"no method"}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32602,"message":"params is no object"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"not JSON-RPC 2.0"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"no id from 1 up"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"no id from 1 up"}}
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32601,"message":"no such method"}}
        gateway < {"jsonrpc":"2.0","id":4,"error":{"code":-32602,"message":"owner is no string"}}
        gateway < {"jsonrpc":"2.0","id":5,"error":{"code":-32602,"message":"this req is in hand"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"data is no body"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"data is no body"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"need is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"need is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"level, ts or timeout is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"timeout is no time"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"level, ts or timeout is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"level, ts or timeout is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32011,"message":"its time was over long ago"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"req is no id"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the line is too long"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the line is too long"}}
        runtime < start 0000000000000032 view 5 hello
        gateway < {"jsonrpc":"2.0","id":50,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"too many open, or this id is"}}
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        of 60 at once 35 answered, then closed
    "#]].assert_eq(&server.trace);
}

/// A silent connection, one with half a line and one with an unknown method are closed within 2.9 s. Half a
/// line on the connection of a gateway known to the worker may take longer and is completed.
#[test]
fn connections_without_valid_input_are_closed_with_an_error() {
    let (mut server, mut link) = ServerHarness::new("silent", "");
    let mut valid = server.connect_gateway();
    let mut invalid: Vec<Peer> = (0..3).map(|_| server.connect_gateway()).collect();
    let connected_at = Instant::now();
    invalid[1].send("{\"jsonrpc\":");
    invalid[2].send(&format!("{}\n", request(9, 9, "nothing", "")));
    invalid[2].record_next(&mut server.trace);
    server.start_run(&mut valid, &mut link, &request(1, 1, "view", ""));
    link.send(&success_notice(1, 1));
    valid.record_next(&mut server.trace);
    for peer in &mut invalid {
        peer.record_next(&mut server.trace);
        peer.record_next(&mut server.trace);
    }
    let _ = writeln!(server.trace, "in time {}", connected_at.elapsed() < Duration::from_millis(2900));
    server.start_run(&mut valid, &mut link, &request(2, 2, "view", ""));
    link.send(&success_notice(2, 2));
    valid.record_next(&mut server.trace);
    // Half a line on a connection for health checks, and on the known gateway's, whose network path may be
    // cut.
    let mut checked = server.connect_gateway();
    checked.send(HEALTH_CHECK);
    checked.record_next(&mut server.trace);
    checked.send("{\"jsonrpc\":");
    let line = request(3, 3, "view", "");
    valid.send(&line[..40]);
    checked.record_next(&mut server.trace);
    checked.record_next(&mut server.trace);
    // Meanwhile the worker link was silent for so long that the server replaces it.
    let mut link = server.accept_worker_link();
    link.send("ready hot 9000\r\n");
    link.record_next(&mut server.trace);
    server.start_run(&mut valid, &mut link, &line[40..]);
    link.send(&success_notice(3, 3));
    valid.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32601,"message":"no such method"}}
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
        gateway < (closed)
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
        gateway < (closed)
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
        gateway < (closed)
        in time true
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":1,"result":{"ready":true}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
        gateway < (closed)
        runtime < sync 2
        runtime < start 0000000000000003 view 5 hello
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn gateway_that_does_not_read_blocks_only_itself() {
    let (mut server, mut link) = ServerHarness::new("slow", "");
    let slow = server.connect_gateway();
    slow.stream.get_ref().set_write_timeout(Some(Duration::from_millis(300))).expect("time limit is set");
    let checks = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n".repeat(20_000);
    let batches_accepted =
        (0..60).take_while(|_| slow.stream.get_ref().write_all(checks.as_bytes()).is_ok()).count();
    let _ = writeln!(server.trace, "all health checks accepted {}", batches_accepted == 60);
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        all health checks accepted false
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn connections_without_valid_input_are_evicted_first() {
    let (mut server, mut link) = ServerHarness::new("descriptors", "ulimit -n 48;");
    let (mut first, mut gateway) = (server.connect_gateway(), server.connect_gateway());
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    for peer in [&mut first, &mut gateway] {
        peer.send(check);
        while !peer.record_next(&mut String::new()).contains("true") {
            peer.send(check);
        }
    }
    let mut idle: Vec<Peer> = (0..80).map(|_| server.connect_gateway()).collect();
    idle[0].record_next(&mut server.trace);
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    first.send(&check.replace(":1,", ":2,"));
    first.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"too many connections"}}
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"ready":true}}
    "#]]
    .assert_eq(&server.trace);
}

/// A health check. It counts as valid input and opens no request, so the connection stays idle.
const HEALTH_CHECK: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";

/// Returns the processor time that a process has used, in seconds.
fn cpu_s(server: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{server}/stat")).expect("server is running");
    let fields = stat.rsplit_once(')').expect("stat has a process name").1;
    let ticks = |n: usize| {
        fields.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).expect("stat has clock ticks")
    };
    (ticks(11) + ticks(12)) / 100.0
}

/// Asserts that a request with a dependency call is run and answered.
fn assert_served_with_call(server: &mut ServerHarness, link: &mut Peer, gateway: &mut Peer, n: u32) {
    server.start_run(gateway, link, &request(n, n, "view", ""));
    link.send(&format!("wants {} {} 3\r\nask\r\n", 2 * n - 1, id(n)));
    let mut ledger = server.accept_dependency_call();
    ledger.record_call(&mut String::new());
    ledger.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    link.record_next(&mut String::new());
    link.send(&success_notice(2 * n, n));
    let response = gateway.record_next(&mut String::new());
    assert!(response.contains("result"), "{response}");
}

/// Guards against idle clients that use up the file descriptors needed for the worker link, dependency calls
/// and reports to the registry. No accept may fail, and idle connections may not cost half a core or more.
#[test]
fn idle_clients_leave_descriptors_for_serving() {
    let mut seen = String::new();
    for limit in [64usize, 96, 128, 256, 512] {
        // Connections to the registry are refused until a listener is bound to this address.
        let reserved = ReservedAddress::on(Ipv4Addr::LOCALHOST).expect("a port is free");
        let registry_address = reserved.address().to_string();
        let settings = format!("limits\":{{\"sockets\":{limit}}},\"settings");
        let edit = |config: String| with_registry(&config, &registry_address).replace("settings", &settings);
        let (mut server, mut link) =
            ServerHarness::new_with(&format!("filled{limit}"), &format!("ulimit -n {limit};"), edit);
        let mut gateway = server.connect_gateway();
        let mut idle: Vec<Peer> = Vec::new();
        let mut requests = 0;
        for n in 0..limit + 40 {
            if n % 16 == 0 {
                requests += 1;
                assert_served_with_call(&mut server, &mut link, &mut gateway, requests);
            }
            idle.push(server.connect_gateway());
            // Two of three send valid input. Connections that the server has closed by now do not matter.
            if n % 3 > 0 {
                let _ = idle[n].stream.get_mut().write_all(HEALTH_CHECK.as_bytes());
            }
        }
        assert_served_with_call(&mut server, &mut link, &mut gateway, requests + 1);
        let (cpu_before_s, started_at) = (cpu_s(server.server.id()), Instant::now());
        let registry = TcpListener::bind(&registry_address).expect("reserved address is free");
        let mut report_connection = Peer::new("control", accept(&registry));
        let reported = report_connection.read_line();
        wait_until(started_at, 1000);
        let cpu_share = (cpu_s(server.server.id()) - cpu_before_s) / started_at.elapsed().as_secs_f64();
        server.signal("-TERM");
        server.wait_for_exit();
        let mut log = String::new();
        let _ = server.server.stderr.take().expect("stderr is piped").read_to_string(&mut log);
        let failed_accepts = log.matches("accept failed").count();
        let _ = writeln!(
            seen,
            "{limit}: {reported}, accepts failed {failed_accepts}, at rest below half a core {}",
            cpu_share < 0.5
        );
    }
    expect_test::expect![[r#"
        64: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
        96: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
        128: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
        256: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
        512: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
    "#]]
    .assert_eq(&seen);
}

/// Sends one kind of invalid or excessive input until `until`, each time on a new connection; returns the
/// number of connections.
fn flood(address: &str, kind: usize, until: Instant) -> usize {
    let mut connections = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
        let interrupt = "{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":9}}\n";
        let text: String = match kind {
            0 => String::new(), // connections without input
            1 => HEALTH_CHECK.repeat(200),
            2 => interrupt.repeat(200),
            3 => "{\"jsonrpc\":".into(), // an incomplete line
            4 => "x".repeat(40_000),     // a line without an end
            5 => "\u{7f}\0garbage\n".repeat(100),
            _ => (0..40).map(|_| request(7, 7, "view", "") + "\n").collect(), // ids used twice
        };
        let _ = stream.write_all(text.as_bytes());
        connections += 1;
    }
    connections
}

/// The flooding connections may be answered or closed; the requests of a gateway known to the worker must all
/// succeed, without a flood of log lines or a failed task.
#[test]
fn known_gateways_are_served_during_floods() {
    let mut seen = String::new();
    let names =
        ["connections", "checks", "interrupts", "half lines", "endless lines", "garbage", "ids used twice"];
    for (kind, name) in names.iter().enumerate() {
        let (mut server, mut link) = ServerHarness::new(&format!("flood{kind}"), "ulimit -n 256;");
        let mut gateway = server.connect_gateway();
        server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
        link.send(&success_notice(1, 1));
        gateway.record_next(&mut String::new());
        let until = Instant::now() + Duration::from_millis(1200);
        let address = server.listen.clone();
        let floods: Vec<_> = (0..2)
            .map(|_| {
                let address = address.clone();
                std::thread::spawn(move || flood(&address, kind, until))
            })
            .collect();
        let (mut served, mut sent, mut longest) = (0, 0, Duration::ZERO);
        let mut notices = 1;
        while Instant::now() < until {
            sent += 1;
            let (n, sent_at) = (sent + 1, Instant::now());
            gateway.send(&format!("{}\n", request(n, 1000 + n, "view", "")));
            loop {
                let started = link.record_next(&mut String::new());
                notices += 1;
                if started.contains(&id(1000 + n)) {
                    link.send(&success_notice(notices, 1000 + n));
                    break;
                }
                // A request of the flood: the worker answers that it does not know it.
                link.send(&format!("nack start {}\r\n", started.split(' ').nth(1).unwrap_or_default()));
                notices -= 1;
            }
            let response = gateway.record_next(&mut String::new());
            served += u32::from(response.contains("result"));
            longest = longest.max(sent_at.elapsed());
        }
        let connections: usize =
            floods.into_iter().map(|flood| flood.join().expect("flood thread does not panic")).sum();
        server.signal("-TERM");
        server.wait_for_exit();
        let mut log = String::new();
        let _ = server.server.stderr.take().expect("stderr is piped").read_to_string(&mut log);
        println!(
            "{name}: {connections} connections, {served} of {sent} requests served, slowest {longest:?}"
        );
        let lines = log.lines().count();
        let all_served = served == sent && sent >= 5;
        let _ = writeln!(
            seen,
            "{name}: all requests served {all_served}, few log lines {}, task failed {}",
            lines < 450,
            log.contains("task failed")
        );
    }
    expect_test::expect![[r#"
        connections: all requests served true, few log lines true, task failed false
        checks: all requests served true, few log lines true, task failed false
        interrupts: all requests served true, few log lines true, task failed false
        half lines: all requests served true, few log lines true, task failed false
        endless lines: all requests served true, few log lines true, task failed false
        garbage: all requests served true, few log lines true, task failed false
        ids used twice: all requests served true, few log lines true, task failed false
    "#]]
    .assert_eq(&seen);
}

/// Requests that were delayed by an interrupted network path: their deadline has passed when they are
/// received. They are rejected, and this does not count as a protocol error of their connection.
#[test]
fn requests_delayed_in_transit_keep_their_connection_open() {
    let (mut server, mut link) = ServerHarness::new("overdue", "");
    let mut gateway = server.connect_gateway();
    // `None` if the millisecond changed between the two readings of the clock, so that no timestamp was
    // replaced.
    let delayed_request = |n: u32| {
        let line = request(n, n, "view", "").replace(":4000,", ":8000,");
        let ts = now_ms();
        let delayed = line.replace(&format!("\"ts\":{ts}"), &format!("\"ts\":{}", ts - 8000));
        (delayed != line).then_some(delayed)
    };
    for n in 1..7 {
        let line = std::iter::repeat_with(|| delayed_request(n)).find_map(|line| line);
        gateway.send(&format!("{}\n", line.expect("request is built within one millisecond")));
        gateway.record_next(&mut server.trace);
    }
    server.start_run(&mut gateway, &mut link, &request(8, 8, "view", ""));
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":4,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":5,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":6,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        runtime < start 0000000000000008 view 5 hello
    "#]].assert_eq(&server.trace);
}
