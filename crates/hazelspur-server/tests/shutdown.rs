//! Shutdown: draining, closing and the handover of the address. Every received request is answered.

mod harness;

use harness::*;
use std::fmt::Write as _;
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn shutdown_answers_received_requests_and_sends_goodbye() {
    let (mut server, mut link) = ServerHarness::new("leave", "");
    let (mut gateway, mut idle) = (server.connect_gateway(), server.connect_gateway());
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    server.signal("-TERM");
    std::thread::sleep(Duration::from_millis(100));
    server.start_run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    idle.record_next(&mut server.trace);
    std::thread::sleep(Duration::from_millis(50));
    let refused = TcpStream::connect(&server.listen).is_err();
    let _ = writeln!(server.trace, "refused {refused}");
    gateway.send(&format!("{}\n", request(3, 3, "view", "")));
    let late = gateway.record_next(&mut String::new());
    let _ = writeln!(server.trace, "late one {}", &late[..47]);
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    for _ in 0..3 {
        gateway.record_next(&mut server.trace);
    }
    server.wait_for_exit();
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        refused true
        late one {"jsonrpc":"2.0","id":3,"error":{"code":-32011,
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        gateway < (closed)
        exit Some(0)
    "#]]
    .assert_eq(&server.trace);
}

/// Suspends the process for this time, and runs an action meanwhile.
fn while_suspended(server: &ServerHarness, ms: u64, action: impl FnOnce()) {
    let since = Instant::now();
    server.signal("-STOP");
    action();
    wait_until(since, ms);
    server.signal("-CONT");
}

/// Guards against losing a request that is sent while the server closes the connection.
#[test]
fn request_received_at_the_instant_of_close_is_answered() {
    let (mut server, _link) = ServerHarness::new("instant", "");
    let mut idle_gateways: Vec<Peer> = (0..10).map(|_| server.connect_gateway()).collect();
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    for gateway in &mut idle_gateways {
        gateway.send(check);
        gateway.record_next(&mut String::new());
    }
    server.signal("-TERM");
    for gateway in &mut idle_gateways {
        gateway.record_next(&mut String::new()); // goodbye message
    }
    while_suspended(&server, 450, || {
        for (n, gateway) in idle_gateways.iter_mut().enumerate() {
            gateway.send(&format!("{}\n", request(2, n as u32 + 2, "view", "")));
        }
    });
    for gateway in &mut idle_gateways {
        let answer = gateway.record_next(&mut String::new());
        let _ = writeln!(server.trace, "{}, {}", &answer[..answer.len().min(46)], gateway.read_line());
    }
    server.wait_for_exit();
    expect_test::expect![[r#"
        runtime < sync 0
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        exit Some(0)
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn partially_received_request_at_close_is_awaited() {
    let (mut server, _link) = ServerHarness::new("half", "");
    let mut gateway = server.connect_gateway();
    gateway.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n");
    gateway.record_next(&mut String::new());
    server.signal("-TERM");
    gateway.record_next(&mut server.trace);
    let line = request(2, 2, "view", "");
    gateway.send(&line[..50]);
    wait_until(Instant::now(), 600);
    gateway.send(&format!("{}\n", &line[50..]));
    let answer = gateway.record_next(&mut String::new());
    let _ = writeln!(server.trace, "{}, {}", &answer[..answer.len().min(46)], gateway.read_line());
    server.wait_for_exit();
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        exit Some(0)
    "#]]
    .assert_eq(&server.trace);
}

/// Guards against a run of a request whose client sent its first half before the end of the grace period and
/// its last byte afterwards.
#[test]
fn request_completed_after_the_grace_period_is_rejected() {
    let (mut server, mut link) = ServerHarness::new("stamped", "");
    let mut gateway = server.connect_gateway();
    let begun = Instant::now();
    server.signal("-TERM");
    wait_until(begun, 150);
    let line = request(2, 2, "view", "");
    gateway.send(&line[..50]);
    wait_until(begun, 500);
    gateway.send(&format!("{}\n", &line[50..]));
    gateway.record_next(&mut server.trace);
    let answer = gateway.record_next(&mut String::new());
    let _ = writeln!(server.trace, "{}, {}", &answer[..answer.len().min(46)], gateway.read_line());
    link.record_next(&mut server.trace);
    server.wait_for_exit();
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        runtime < (closed)
        exit Some(0)
    "#]]
    .assert_eq(&server.trace);
}

/// A shutdown in which the server is suspended for some time. Times count from the sending of SIGTERM.
struct SuspendedDrain {
    suspended_ms: u64,
    /// Start of the suspension; at 0, the suspension starts before SIGTERM is sent.
    from_ms: u64,
    /// Time at which a whole request is sent, after the end of the grace period of 300 ms.
    request_ms: u64,
}

/// Returns the response to the request, the worker's next input, the exit status, and whether the process
/// ended before the time of its kill.
fn run_suspended_drain(name: &str, drain: &SuspendedDrain) -> String {
    let (mut server, mut link) = ServerHarness::new(name, "");
    let mut gateway = server.connect_gateway();
    gateway.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n");
    gateway.record_next(&mut String::new());
    if drain.from_ms == 0 {
        server.signal("-STOP");
    }
    let begun = Instant::now();
    server.signal("-TERM");
    if drain.from_ms > 0 {
        wait_until(begun, drain.from_ms);
        server.signal("-STOP");
    }
    wait_until(begun, drain.request_ms);
    gateway.send(&format!("{}\n", request(2, 2, "view", "")));
    wait_until(begun, drain.from_ms + drain.suspended_ms);
    server.signal("-CONT");
    let mut answer = gateway.record_next(&mut String::new());
    if answer.contains("farewell") {
        answer = gateway.record_next(&mut String::new());
    }
    // A gateway closes its end of the connection. The server would otherwise wait for that until shortly
    // before the kill.
    while gateway.read_line() != "(closed)" {}
    drop(gateway);
    let at_worker = link.record_next(&mut String::new());
    let status = server.server.wait().expect("the server ends").code();
    let in_time = begun.elapsed() < Duration::from_millis(1500);
    format!(
        "{}, worker {at_worker}, exit {status:?}, before the kill {in_time}",
        &answer[..answer.len().min(46)]
    )
}

/// Guards against times that count from the handling of a notice: a request after the grace period, counted
/// from the sending, does not run, and the process ends before its kill.
#[test]
fn late_handled_shutdown_notice_counts_from_its_sending() {
    let drains = [(450, 0, 350), (450, 0, 440), (1200, 0, 900), (600, 20, 500), (400, 150, 340)];
    let seen: Vec<String> = std::thread::scope(|scope| {
        let runs = drains.map(|(suspended_ms, from_ms, request_ms)| {
            scope.spawn(move || {
                let name = format!("late-{suspended_ms}-{from_ms}-{request_ms}");
                run_suspended_drain(&name, &SuspendedDrain { suspended_ms, from_ms, request_ms })
            })
        });
        runs.into_iter().map(|run| run.join().expect("the drain runs")).collect()
    });
    for (drain, seen) in drains.iter().zip(&seen) {
        let expected = r#"{"jsonrpc":"2.0","id":2,"error":{"code":-32011, worker (closed), exit Some(0), before the kill true"#;
        assert_eq!(seen, expected, "suspended for, from, request at: {drain:?} ms");
    }
}

#[test]
fn shutdown_before_the_worker_is_up_drops_no_request() {
    let mut server = ServerHarness::started("unready", "");
    let _link = server.accept_worker_link();
    let mut gateway = server.connect_gateway();
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    gateway.send(check);
    gateway.record_next(&mut server.trace);
    while_suspended(&server, 10, || {
        gateway.send(&format!("{}{}\n", check.replace(":1,", ":2,"), request(3, 3, "view", "")));
        server.signal("-TERM");
    });
    for _ in 0..4 {
        gateway.record_next(&mut server.trace);
    }
    server.wait_for_exit();
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":1,"result":{"ready":false}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"ready":false}}
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32011,"message":"not serving yet"}}
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        gateway < (closed)
        exit Some(0)
    "#]]
    .assert_eq(&server.trace);
}

/// Guards against losing requests on connections that are in the system's accept queue when the listener
/// closes.
#[test]
fn connections_in_the_accept_queue_at_close_are_answered() {
    let (mut server, _link) = ServerHarness::new("queue", "");
    let mut waiting = Vec::new();
    let begun = Instant::now();
    server.signal("-TERM");
    wait_until(begun, 100);
    while_suspended(&server, 300, || {
        wait_until(begun, 350); // after the end of the grace period
        for n in 0..10 {
            waiting.push(server.connect_gateway());
            waiting[n].send(&format!("{}\n", request(1, n as u32 + 1, "view", "")));
        }
    });
    let is_rejected = |gateway: &mut Peer| {
        let lines = [gateway.read_line(), gateway.read_line()];
        lines.iter().any(|line| line.contains("\"id\":1,\"error\":{\"code\":-32011"))
    };
    let answered = waiting.iter_mut().map(is_rejected).filter(|rejected| *rejected).count();
    let _ = writeln!(server.trace, "answered {answered}");
    server.wait_for_exit();
    expect_test::expect![[r#"
        runtime < sync 0
        answered 10
        exit Some(0)
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn repeated_shutdown_notices_do_not_change_the_drain() {
    let (mut server, mut link) = ServerHarness::new("notices", "");
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    while_suspended(&server, 10, || ["-TERM", "-HUP", "-TERM"].iter().for_each(|name| server.signal(name)));
    server.start_run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    server.signal("-TERM");
    link.send(&format!("{}{}", success_notice(1, 1), success_notice(2, 2)));
    for _ in 0..4 {
        gateway.record_next(&mut server.trace);
    }
    server.wait_for_exit();
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        gateway < (closed)
        exit Some(0)
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn start_waits_for_an_address_still_in_use() {
    let (listen, runtime, ledger, config) = ServerHarness::prepare();
    let previous = std::net::TcpListener::bind(&listen).expect("a free port");
    let server = start("held", &config, "");
    let mut server =
        ServerHarness { server, listen, runtime, ledger, file: config_file("held"), trace: String::new() };
    wait_until(Instant::now(), 200);
    let _ = writeln!(server.trace, "running {}", server.server.try_wait().is_ok_and(|ended| ended.is_none()));
    drop(previous);
    let mut link = server.accept_worker_link();
    link.send("ready hot 1000\r\n");
    link.record_next(&mut server.trace);
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    expect_test::expect![[r#"
        running true
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
    "#]]
    .assert_eq(&server.trace);
}
