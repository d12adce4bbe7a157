//! Requests of gateways' clients that have left, and ids that come again.

mod harness;

use harness::*;
use socket2::SockRef;
use std::time::{Duration, Instant};

/// Latency objective of the request class `view`.
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(3);

/// Resets a connection, as a client does that leaves without reading its answers.
fn reset(client: Peer) {
    let stream = client.stream.into_inner();
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("option is set");
}

/// Returns the id of the request that a command to the worker names.
fn request_of(command: &str) -> String {
    command.split(' ').nth(1).expect("the command names a request").to_string()
}

/// Guards against running requests of a client that has reset its connection while the server paused its
/// reading of them after a protocol error.
#[test]
fn unread_requests_of_a_client_that_reset_its_connection_never_start() {
    let (mut server, mut link) = ServerHarness::new("reset", "");
    let mut client = server.connect_gateway();
    server.start_run(&mut client, &mut link, &request(1, 1, "view", ""));
    link.send(&success_notice(1, 1));
    client.record_next(&mut server.trace);
    // An error in the part that is read first, then requests and an error in the part that is read next.
    let requests: String = (1..=8).map(|n| request(n, 100 + n, "view", "") + "\n").collect();
    let (first, rest) = ("\n".repeat(4096), "\n".repeat(64 * 1024));
    client.send(&format!("[]{first}{requests}[]{rest}"));
    reset(client);
    wait_until(Instant::now(), 200);
    let mut other = server.connect_gateway();
    server.start_run(&mut other, &mut link, &request(1, 2, "view", ""));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 view 5 hello
    "#]]
    .assert_eq(&server.trace);
}

/// Guards against running the requests of a client that has closed its connection until a second answer to it
/// fails. A client that has only finished writing is answered, but one that has closed refuses the first
/// answer with a reset.
#[test]
fn runs_of_a_client_that_refused_an_answer_are_stopped() {
    let (mut server, mut link) = ServerHarness::new("closed", "");
    let mut client = server.connect_gateway();
    client.send(&(1..=3).map(|n| request(n, n, "view", "") + "\n").collect::<String>());
    drop(client);
    let first = request_of(&link.record_next(&mut server.trace));
    link.send(&format!("end 1 {first} complete 5 4\r\ndone\r\n"));
    let refused_at = Instant::now();
    let (mut started, mut stopped) = (vec![first.clone()], vec![first]);
    while started.len() < 2 || stopped.len() < started.len() {
        let command = link.record_next(&mut server.trace);
        if command.starts_with('(') {
            break;
        }
        let request = request_of(&command);
        if command.starts_with("stop") {
            link.send(&format!("end {} {request} cancelled 5 0\r\n\r\n", 1 + stopped.len()));
            stopped.push(request);
        } else {
            started.push(request);
        }
    }
    // At the latency objective the requests fail, and the second answer breaks the connection.
    assert!(refused_at.elapsed() < LATENCY_OBJECTIVE / 2, "{}", server.trace);
    started.sort();
    stopped.sort();
    assert_eq!(started, stopped, "{}", server.trace);
    let mut other = server.connect_gateway();
    other.send(&format!("{}\n", request(9, 9, "view", "")));
    assert_eq!(request_of(&link.record_next(&mut server.trace)), id(9), "{}", server.trace);
}

/// Guards against a second run of a request that must not run twice: its client left after the start, and the
/// same id came again once the run was stopped; or it came again after its answer.
#[test]
fn started_non_idempotent_request_does_not_run_again_under_its_id() {
    let (mut server, mut link) = ServerHarness::new_with("again", "", |config| with_tenants(config, 5000));
    let mut other = server.connect_gateway();
    let owner = ",\"owner\":\"a\"";
    server.start_run(&mut other, &mut link, &request(9, 9, "view", owner));
    for (n, class) in [(1, "pay"), (2, "book"), (3, "view")] {
        let mut client = server.connect_gateway();
        server.start_run(&mut client, &mut link, &request(n, n, class, owner));
        reset(client);
        link.record_next(&mut server.trace);
        link.send(&format!("end {n} {} cancelled 5 0\r\n\r\n", id(n)));
    }
    // Its answer shows that the server has read the notices before.
    link.send(&success_notice(4, 9));
    other.record_next(&mut server.trace);
    let mut again = server.connect_gateway();
    for (n, class) in [(1, "pay"), (2, "book")] {
        again.send(&format!("{}\n", request(n, n, class, owner)));
        again.record_next(&mut server.trace);
    }
    server.start_run(&mut again, &mut link, &request(3, 3, "view", owner));
    link.send(&success_notice(5, 3));
    again.record_next(&mut server.trace);
    server.start_run(&mut again, &mut link, &request(4, 4, "pay", owner));
    link.send(&success_notice(6, 4));
    again.record_next(&mut server.trace);
    again.send(&format!("{}\n", request(5, 4, "pay", owner)));
    again.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000009 view 5 hello
        runtime < start 0000000000000001 pay 5 hello
        runtime < stop 0000000000000001
        runtime < start 0000000000000002 book 5 hello
        runtime < stop 0000000000000002
        runtime < start 0000000000000003 view 5 hello
        runtime < stop 0000000000000003
        gateway < {"jsonrpc":"2.0","id":9,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32602,"message":"this req was started before"}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32602,"message":"this req was started before"}}
        runtime < start 0000000000000003 view 5 hello
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000004 pay 5 hello
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":5,"error":{"code":-32602,"message":"this req was started before"}}
    "#]]
    .assert_eq(&server.trace);
}

/// Guards against refusing a request that never ran: one that was rejected while its client was waiting, and
/// one that the worker did not accept.
#[test]
fn id_of_a_request_that_never_ran_may_come_again() {
    let (mut server, mut link) = ServerHarness::new_with("never", "", |config| with_tenants(config, 5000));
    let owner = ",\"owner\":\"a\"";
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "pay", owner));
    link.send(&format!("nack start {}\r\n", id(1)));
    gateway.record_next(&mut server.trace);
    server.start_run(&mut gateway, &mut link, &request(2, 1, "pay", owner));
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 pay 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        runtime < start 0000000000000001 pay 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}
