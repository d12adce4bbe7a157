//! Test of a suspended server whose peers write more input than two polls of the I/O driver return.

mod harness;

use harness::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Number of gateways that send input before the registry; two polls of the I/O driver return 2,048 events.
const GATEWAYS: usize = 2500;
/// Timeout of the registry's reply, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 700;
/// Maximum time between a failed report and the next.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(375);
const HEALTH_CHECK: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";

/// Connects the gateways and waits for an answered health check on each, after which the server keeps them.
fn connect_gateways(server: &ServerHarness) -> Vec<Peer> {
    let connect = |_| {
        let mut gateway = server.connect_gateway();
        gateway.send(HEALTH_CHECK);
        assert!(gateway.read_line().contains("result"));
        gateway
    };
    (0..GATEWAYS).map(connect).collect()
}

/// Accepts the next report to the registry and reads it to its end.
fn accept_report(registry: &TcpListener) -> Peer {
    let mut report = Peer::new("registry", accept(registry));
    let mut length = String::new();
    loop {
        let line = report.read_line();
        if line.is_empty() {
            break;
        }
        length = line.strip_prefix("Content-Length: ").map_or(length, str::to_owned);
    }
    report.read_body(&length);
    report
}

#[test]
fn registry_reply_queued_behind_many_gateways_is_not_timed_out() {
    let (registry, address) = listener();
    let mut server = ServerHarness::started_with("reply", "", |config| {
        let limits = "\"limits\":{\"sockets\":4000},\"settings\"";
        with_registry(&config.replacen("\"settings\"", limits, 1), &address)
    });
    let mut link = server.accept_worker_link();
    let mut gateways = connect_gateways(&server);
    link.send("ready hot 1000\r\n");
    let mut report = accept_report(&registry);
    server.signal("-STOP");
    let stopped_at = Instant::now();
    gateways.iter_mut().for_each(|gateway| gateway.send(HEALTH_CHECK));
    report.send("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
    wait_until(stopped_at, REPLY_TIMEOUT_MS + 200);
    server.signal("-CONT");
    let resumed_at = Instant::now();
    // After a failed report the next one would come sooner.
    accept_report(&registry);
    assert!(
        resumed_at.elapsed() > MAX_RETRY_INTERVAL,
        "the next report came after {:?}",
        resumed_at.elapsed()
    );
}
