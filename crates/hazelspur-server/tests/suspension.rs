//! A suspended server whose peers have written more than two looks at input bring.

mod harness;

use harness::*;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Gateways that have sent something before the registry; two looks bring 2,048 events.
const GATEWAYS: usize = 2500;
/// The registry has so long for its reply, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 700;
/// The longest time between a failed report and the next.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(375);
const CHECK: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";

/// Gateways whose health checks are answered, so that the server keeps them.
fn connect_gateways(server: &ServerHarness) -> Vec<Peer> {
    let connect = |_| {
        let mut gateway = server.connect_gateway();
        gateway.send(CHECK);
        assert!(gateway.read_line().contains("result"));
        gateway
    };
    (0..GATEWAYS).map(connect).collect()
}

/// The next report to the registry, read to its end.
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
fn a_reply_of_the_registry_behind_the_input_of_many_gateways_counts_before_its_timeout() {
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
    let stopped = Instant::now();
    gateways.iter_mut().for_each(|gateway| gateway.send(CHECK));
    report.send("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
    wait_until(stopped, REPLY_TIMEOUT_MS + 200);
    server.signal("-CONT");
    let resumed = Instant::now();
    accept_report(&registry);
    assert!(resumed.elapsed() > MAX_RETRY_INTERVAL, "the next report came after {:?}", resumed.elapsed());
}
