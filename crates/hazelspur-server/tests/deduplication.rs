//! Tests of retries of requests with an idempotency key, and of reads that share a result.

mod harness;

use harness::*;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

#[test]
fn retry_with_a_stored_key_is_answered_from_the_original() {
    let (mut server, mut link) = ServerHarness::new("repeat", "");
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    gateway.send(&format!("{}\n", request(2, 2, "book", r#","opkey":"k""#)));
    std::thread::sleep(Duration::from_millis(30));
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    gateway.record_next(&mut server.trace);
    gateway.send(&format!("{}\n", request(3, 3, "book", r#","opkey":"k""#)));
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn read_result_is_shared_while_fresh() {
    let (mut server, mut link) = ServerHarness::new("share", "");
    let mut gateway = server.connect_gateway();
    // Makes the connection trusted, since others share no reads.
    server.start_run(&mut gateway, &mut link, &request(9, 9, "view", ""));
    link.send(&success_notice(1, 9));
    gateway.record_next(&mut server.trace);
    let mut send_read = |n: u32| {
        gateway.send(&format!("{}\n", request(n, n, "view", r#","subject":"s""#)));
        std::thread::sleep(Duration::from_millis(30));
    };
    send_read(1);
    send_read(2);
    link.record_next(&mut server.trace);
    link.send(&format!("end 2 {} error 5 0\r\n\r\n", id(1)));
    std::thread::sleep(Duration::from_millis(30));
    send_read(3);
    link.record_next(&mut server.trace);
    link.send(&success_notice(3, 3));
    std::thread::sleep(Duration::from_millis(30));
    send_read(4);
    std::thread::sleep(Duration::from_millis(600));
    send_read(5);
    link.record_next(&mut server.trace);
    for _ in 0..4 {
        gateway.record_next(&mut server.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000009 view 5 hello
        gateway < {"jsonrpc":"2.0","id":9,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000001 view 5 hello
        runtime < start 0000000000000003 view 5 hello
        runtime < start 0000000000000005 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

/// Guards against returning a result to a client that only knows its key.
#[test]
fn same_key_with_another_body_is_a_conflict() {
    let (mut server, mut link) = ServerHarness::new("body", "");
    let (mut gateway, mut other_gateway) = (server.connect_gateway(), server.connect_gateway());
    server.start_run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    let other_body = request(2, 2, "book", r#","opkey":"k""#).replace("aGVsbG8=", "b3RoZXI=");
    other_gateway.send(&format!("{other_body}\n"));
    other_gateway.record_next(&mut server.trace);
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    other_gateway.send(&format!("{}\n", other_body.replace(&id(2), &id(3))));
    other_gateway.record_next(&mut server.trace);
    gateway.send(&format!("{}\n", request(4, 4, "book", r#","opkey":"k""#)));
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32602,"message":"this opkey is another op's"}}
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32602,"message":"this opkey is another op's"}}
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn two_concurrent_attempts_run_once() {
    let (mut server, mut link) = ServerHarness::new("pair", "");
    let mut gateway = server.connect_gateway();
    let attempts: String = (1..=2).map(|n| request(n, n, "book", r#","opkey":"k""#) + "\n").collect();
    gateway.send(&format!("{attempts}{}\n", request(3, 3, "view", "")));
    // Requests that are read together may start in any order.
    let mut commands = String::new();
    link.record_next(&mut commands);
    link.record_next(&mut commands);
    let mut commands: Vec<&str> = commands.lines().collect();
    commands.sort_unstable();
    let _ = writeln!(server.trace, "{}", commands.join("\n"));
    link.send(&format!("{}{}", success_notice(1, 1), success_notice(2, 3)));
    let mut responses: Vec<String> = (0..3).map(|_| gateway.record_next(&mut String::new())).collect();
    responses.sort();
    let _ = writeln!(server.trace, "{}", responses.join("\n"));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        runtime < start 0000000000000003 view 5 hello
        {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn keys_are_separate_between_tenants() {
    let (mut server, mut link) =
        ServerHarness::new_with("customers", "", |config| with_tenants(config, 5000));
    let mut gateway = server.connect_gateway();
    for (n, owner) in [(1, "a"), (2, "b")] {
        server.start_run(
            &mut gateway,
            &mut link,
            &request(n, n, "book", &format!(r#","opkey":"k","owner":"{owner}""#)),
        );
        link.send(&success_notice(n, n));
        gateway.record_next(&mut server.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

/// The window applies to the time of sending, not to the time of receipt, which a suspension delays.
#[test]
fn retry_sent_within_the_window_is_not_run_when_received_late() {
    let (mut server, mut link) = ServerHarness::new_with("late", "", |config| with_tenants(config, 700));
    let mut gateway = server.connect_gateway();
    let start_time = Instant::now();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    server.signal("-STOP");
    gateway.send(&format!("{}\n", request(2, 2, "book", r#","opkey":"k""#)));
    wait_until(start_time, 1000);
    server.signal("-CONT");
    gateway.record_next(&mut server.trace);
    server.start_run(&mut gateway, &mut link, &request(3, 3, "book", r#","opkey":"k""#));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000003 book 5 hello
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn window_extends_to_the_end_of_a_running_attempt() {
    let (mut server, mut link) = ServerHarness::new_with("running", "", |config| with_tenants(config, 300));
    let mut gateway = server.connect_gateway();
    let start_time = Instant::now();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    wait_until(start_time, 400);
    gateway.send(&format!("{}\n{}\n", request(2, 2, "book", r#","opkey":"k""#), request(3, 3, "view", "")));
    link.record_next(&mut server.trace);
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        runtime < start 0000000000000003 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn never_started_frees_key_and_non_idempotent_shares_nothing() {
    let (mut server, mut link) = ServerHarness::new_with("unknown", "", |config| with_tenants(config, 5000));
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    link.send(&format!("nack start {}\r\n", id(1)));
    gateway.record_next(&mut server.trace);
    server.start_run(&mut gateway, &mut link, &request(2, 2, "book", r#","opkey":"k""#));
    link.send(&success_notice(1, 2));
    gateway.record_next(&mut server.trace);
    for n in 3..5 {
        gateway.send(&format!("{}\n", request(n, n, "pay", r#","subject":"s""#)));
    }
    link.record_next(&mut server.trace);
    link.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        runtime < start 0000000000000002 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000003 pay 5 hello
        runtime < start 0000000000000004 pay 5 hello
    "#]]
    .assert_eq(&server.trace);
}

/// Guards against failing a retry, which means that it may have run, although neither it nor its original
/// ran.
#[test]
fn retry_of_original_that_never_ran_is_rejected_and_frees_key() {
    let (mut server, mut link) = ServerHarness::new("waiting", "");
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    gateway.send(&format!("{}\n", request(2, 2, "book", r#","opkey":"k""#)));
    // The answer to the health check shows that the retry was read.
    gateway.send("{\"jsonrpc\":\"2.0\",\"id\":9,\"method\":\"check\"}\n");
    gateway.record_next(&mut server.trace);
    link.send(&format!("nack start {}\r\n", id(1)));
    gateway.record_next(&mut server.trace);
    gateway.record_next(&mut server.trace);
    server.start_run(&mut gateway, &mut link, &request(3, 3, "book", r#","opkey":"k""#));
    link.send(&success_notice(1, 3));
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":9,"result":{"ready":true}}
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32011,"message":"refused"}}
        runtime < start 0000000000000003 book 5 hello
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

/// Guards against failing a retry because its original ended between its receipt and its decision.
#[test]
fn retry_received_as_its_never_run_original_ends_is_rejected() {
    let (mut server, mut link) = ServerHarness::new("together", "");
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    server.signal("-STOP");
    gateway.send(&format!("{}\n", request(2, 2, "book", r#","opkey":"k""#)));
    link.send(&format!("nack start {}\r\n", id(1)));
    server.signal("-CONT");
    let mut responses = [gateway.record_next(&mut server.trace), gateway.record_next(&mut server.trace)];
    responses.sort();
    assert_eq!(
        responses,
        [
            r#"{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}"#,
            r#"{"jsonrpc":"2.0","id":2,"error":{"code":-32011,"message":"refused"}}"#
        ]
    );
}

/// Request ids may be reused once their request is finished.
#[test]
fn reused_request_id_does_not_mix_up_keys() {
    let (mut server, mut link) = ServerHarness::new("twice", "");
    let mut gateway = server.connect_gateway();
    for (n, key, data) in [(1, "a", "4\r\nleft"), (2, "b", "5\r\nright")] {
        server.start_run(&mut gateway, &mut link, &request(n, 7, "book", &format!(r#","opkey":"{key}""#)));
        link.send(&format!("end {n} {} complete 5 {data}\r\n", id(7)));
        gateway.record_next(&mut server.trace);
    }
    for (n, key) in [(3, "a"), (4, "b")] {
        gateway.send(&format!("{}\n", request(n, n, "book", &format!(r#","opkey":"{key}""#))));
        gateway.record_next(&mut server.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000007 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"bGVmdA=="}}
        runtime < start 0000000000000007 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"cmlnaHQ="}}
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"bGVmdA=="}}
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"cmlnaHQ="}}
    "#]]
    .assert_eq(&server.trace);
}
