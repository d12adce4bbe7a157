//! Tests of dependency calls that are refused, break, get surplus bytes or are answered during a suspension.

mod harness;

use harness::*;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

#[test]
fn refused_calls_are_given_up_after_the_allowed_attempts() {
    let refusing = refusing_address();
    let (mut server, mut link) =
        ServerHarness::new_with("refused", "", |config| with_ledger(&config, &refusing));
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.send(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    gateway.record_next(&mut server.trace);
    link.send(&format!("end 2 {} cancelled 300 0\r\n\r\n", id(1)));
    server.start_run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        runtime < start 0000000000000002 view 5 hello
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn broken_call_is_retried_only_for_idempotent_requests() {
    let (mut server, mut link) = ServerHarness::new("calls", "");
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.send(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    let mut ledger = server.accept_dependency_call();
    ledger.record_call(&mut server.trace);
    ledger.send("HTTP/1.1 200 OK\r\nContent-");
    drop(ledger);
    let mut ledger = server.accept_dependency_call();
    ledger.record_call(&mut server.trace);
    ledger.send("HTTP/1.1 503 Full\r\nX-Untouched: 1\r\nConnection: close\r\n\r\n");
    let mut ledger = server.accept_dependency_call();
    ledger.record_call(&mut server.trace);
    ledger.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    link.record_next(&mut server.trace);
    link.send(&format!("end 2 {} error 5 0\r\n\r\n", id(1)));
    gateway.record_next(&mut server.trace);
    std::thread::sleep(Duration::from_millis(20)); // From now on the idle connection may be reused.
    server.start_run(&mut gateway, &mut link, &request(2, 2, "book", r#","opkey":"k""#));
    link.send(&format!("wants 3 {} 3\r\nask\r\n", id(2)));
    let mut new_connection = server.accept_dependency_call();
    new_connection.record_call(&mut server.trace);
    drop(new_connection);
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        ledger < POST /post HTTP/1.1 0000000000000001 ask
        ledger < POST /post HTTP/1.1 0000000000000001 ask
        ledger < POST /post HTTP/1.1 0000000000000001 ask
        runtime < give 0000000000000001 2 ok
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        runtime < start 0000000000000002 book 5 hello
        ledger < POST /post HTTP/1.1 0000000000000002 ask
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32000,"message":"failed"}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn surplus_bytes_after_a_reply_do_not_affect_other_calls() {
    let (mut server, mut link) = ServerHarness::new("noise", "");
    let mut gateway = server.connect_gateway();
    let reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let replies = [
        format!("HTTP/1.1 100 Continue\r\n\r\n{reply}{reply}"),
        format!("{reply}\0\0noise"),
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nok".into(),
        reply.into(),
    ];
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    for (i, reply) in replies.iter().enumerate() {
        if i < 3 {
            link.send(&format!("wants {} {} 2\r\nc{i}\r\n", i + 1, id(1)));
        }
        let mut ledger = server.accept_dependency_call();
        ledger.record_call(&mut server.trace);
        ledger.send(reply);
        if i != 2 {
            link.record_next(&mut server.trace);
        }
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        ledger < POST /post HTTP/1.1 0000000000000001 c0
        runtime < give 0000000000000001 2 ok
        ledger < POST /post HTTP/1.1 0000000000000001 c1
        runtime < give 0000000000000001 2 ok
        ledger < POST /post HTTP/1.1 0000000000000001 c2
        ledger < POST /post HTTP/1.1 0000000000000001 c2
        runtime < give 0000000000000001 2 ok
    "#]]
    .assert_eq(&server.trace);
}

/// The configuration may lack a dependency and a registry.
#[test]
fn requests_are_served_without_dependency_and_registry() {
    let edit = |config: String| {
        let (before, rest) = config.split_once(",\"ledger\"").expect("a ledger");
        let (_, after) = rest.split_once("\",\"seed\"").expect("a seed");
        format!("{before},\"seed\"{after}")
    };
    let (mut server, mut link) = ServerHarness::new_with("alone", "", edit);
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    // A run that calls nevertheless gets no reply.
    server.start_run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    link.send(&format!("wants 2 {} 3\r\nask\r\n", id(2)));
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32000,"message":"failed"}}
    "#]]
    .assert_eq(&server.trace);
}

/// The class gives a response without its call some value, but the worker's protocol has no command to skip a
/// call.
#[test]
fn run_with_an_optional_call_does_not_wait_for_it_forever() {
    let refusing = refusing_address();
    let add_skip_worth = |config: String| {
        let config = config.replace("\"run-factor\"", "\"class-skip-worth\":[0.5,0],\"run-factor\"");
        with_ledger(&config, &refusing)
    };
    let (mut server, mut link) = ServerHarness::new_with("skips", "", add_skip_worth);
    let (mut gateway, sent_at) = (server.connect_gateway(), Instant::now());
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.send(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    gateway.record_next(&mut server.trace);
    let _ = writeln!(
        server.trace,
        "answered long before the deadline: {}",
        sent_at.elapsed() < Duration::from_millis(2500)
    );
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        answered long before the deadline: true
    "#]]
    .assert_eq(&server.trace);
}

/// Guards against a timeout that ends before the reply in the socket is read, for example after a suspension.
#[test]
fn reply_received_during_a_suspension_prevents_a_call_timeout() {
    let (mut server, mut link) = ServerHarness::new("slept", "");
    let mut gateway = server.connect_gateway();
    let reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.send(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    let mut ledger = server.accept_dependency_call();
    ledger.record_call(&mut server.trace);
    ledger.send(reply); // The timeout of the next call is a multiple of the duration of this one.
    link.record_next(&mut server.trace);
    link.send(&success_notice(2, 1));
    gateway.record_next(&mut server.trace);
    server.start_run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    link.send(&format!("wants 3 {} 3\r\nask\r\n", id(2)));
    let mut ledger = server.accept_dependency_call();
    ledger.record_call(&mut server.trace);
    server.signal("-STOP");
    ledger.send(reply);
    std::thread::sleep(Duration::from_millis(1200));
    server.signal("-CONT");
    link.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        ledger < POST /post HTTP/1.1 0000000000000001 ask
        runtime < give 0000000000000001 2 ok
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 view 5 hello
        ledger < POST /post HTTP/1.1 0000000000000002 ask
        runtime < give 0000000000000002 2 ok
    "#]]
    .assert_eq(&server.trace);
}
