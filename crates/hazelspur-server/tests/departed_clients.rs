//! Requests of gateways' clients that have left, and ids that come again.

mod harness;

use harness::*;
use socket2::SockRef;
use std::time::Duration;

/// Resets a connection, as a client does that leaves without reading its answers.
fn reset(client: Peer) {
    let stream = client.stream.into_inner();
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("option is set");
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
