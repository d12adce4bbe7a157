//! Tests of the lifecycle of one request in the built server, step by step.

mod harness;

use harness::*;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

#[test]
fn request_runs_makes_a_call_and_is_answered() {
    let (mut server, mut link) = ServerHarness::new("life", "");
    let mut gateway = server.connect_gateway();
    let line = request(7, 1, "view", "");
    gateway.send(&line[..40]);
    std::thread::sleep(Duration::from_millis(20));
    gateway.send(&format!("{}\n{{\"jsonrpc\":\"2.0\",\"id\":8,\"method\":\"check\"}}\n", &line[40..]));
    gateway.record_next(&mut server.trace);
    link.record_next(&mut server.trace);
    link.send(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    let mut ledger = server.accept_dependency_call();
    ledger.record_call(&mut server.trace);
    ledger.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    link.record_next(&mut server.trace);
    link.send(&format!("info 2 nothing\r\nend 3 {} complete 5 4\r\ndone\r\n", id(1)));
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":8,"result":{"ready":true}}
        runtime < start 0000000000000001 view 5 hello
        ledger < POST /post HTTP/1.1 0000000000000001 ask
        runtime < give 0000000000000001 2 ok
        gateway < {"jsonrpc":"2.0","id":7,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn requests_are_rejected_before_the_worker_is_up() {
    let mut server = ServerHarness::started("early", "");
    let mut link = server.accept_worker_link();
    let mut gateway = server.connect_gateway();
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    gateway.send(check);
    gateway.record_next(&mut server.trace);
    gateway.send(&format!("{}\n", request(2, 2, "view", "")));
    gateway.record_next(&mut server.trace);
    link.send("ready chilly 0\r\n");
    link.record_next(&mut server.trace);
    std::thread::sleep(Duration::from_millis(50));
    gateway.send(&check.replace('1', "3"));
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":1,"result":{"ready":false}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32011,"message":"not serving yet"}}
        gateway < {"jsonrpc":"2.0","id":3,"result":{"ready":true}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn request_of_an_endless_run_fails_in_time_without_gauges() {
    let (mut server, mut link) = ServerHarness::new("mute", "");
    let mut gateway = server.connect_gateway();
    gateway.send(&format!("{}\n", request(1, 1, "view", "").replace(":4000,", ":1500,")));
    let sent_at = Instant::now();
    link.record_next(&mut server.trace);
    // The worker answers nothing meanwhile, not even gauge queries.
    gateway.record_next(&mut server.trace);
    let _ =
        writeln!(server.trace, "failed in time: {}", (1000..1630).contains(&sent_at.elapsed().as_millis()));
    link.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        failed in time: true
        runtime < stop 0000000000000001
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn interrupt_stops_a_run_and_a_half_closed_gateway_is_answered() {
    let (mut server, mut link) = ServerHarness::new("gone", "");
    let (mut gateway, mut half_closed) = (server.connect_gateway(), server.connect_gateway());
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    gateway.send("{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":1}}\n");
    link.record_next(&mut server.trace);
    link.send(&format!("end 1 {} cancelled 5 0\r\n\r\n", id(1)));
    server.start_run(&mut half_closed, &mut link, &request(2, 2, "view", ""));
    half_closed.stream.get_ref().shutdown(std::net::Shutdown::Write).expect("the write half closes");
    std::thread::sleep(Duration::from_millis(30));
    link.send(&success_notice(2, 2));
    half_closed.record_next(&mut server.trace);
    half_closed.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        runtime < stop 0000000000000001
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        gateway < (closed)
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn result_received_during_a_suspension_meets_the_deadline() {
    let (mut server, mut link) = ServerHarness::new("pause", "");
    let mut gateway = server.connect_gateway();
    gateway.send(&format!("{}\n", request(1, 1, "view", "").replace(":4000,", ":1500,")));
    link.record_next(&mut server.trace);
    server.signal("-STOP");
    link.send(&success_notice(1, 1));
    std::thread::sleep(Duration::from_millis(1700));
    server.signal("-CONT");
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}
