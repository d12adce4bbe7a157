//! The gateway reads the lines that came before the end of a connection, even if it sees both at once, so
//! that the result of an attempt does not depend on when its thread runs.

use hazelspur_test_doubles::gateway::{Gateway, GatewaySettings, Response};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Reads the first request of each connection, then sends its response, if `responds`, and the closing line
/// and closes the connection, all at once.
fn serve(listener: TcpListener, responds: bool, closing_line: Value) {
    for stream in listener.incoming().flatten() {
        let mut line = String::new();
        if BufReader::new(&stream).read_line(&mut line).is_err() || line.is_empty() {
            continue;
        }
        let request: Value = serde_json::from_str(&line).expect("a line of JSON");
        let response =
            json!({"jsonrpc": "2.0", "id": request["id"], "result": {"data": request["params"]["data"]}});
        let sent =
            if responds { format!("{response}\n{closing_line}\n") } else { format!("{closing_line}\n") };
        let _ = (&stream).write_all(sent.as_bytes());
    }
}

/// Returns the attempts of a gateway, 50 or more if it is fast enough, at a server that closes each
/// connection.
fn attempts_at_server(responds: bool, closing_line: Value) -> Vec<hazelspur_test_doubles::gateway::Attempt> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("valid address");
    std::thread::spawn(move || serve(listener, responds, closing_line));
    let settings = GatewaySettings {
        by_request_hash: false,
        retries: 0,
        retries_elsewhere: false,
        obeys_retry_after: false,
        requests_per_s: 200.0,
        list_age_ms: 0,
        timeout_ms: 3000,
    };
    let mut gateway = Gateway::start(0, settings, vec![address], Box::new(|| vec![0]), 1);
    let deadline = Instant::now() + Duration::from_secs(20);
    while gateway.attempts().len() < 50 && Instant::now() < deadline {
        std::thread::yield_now();
    }
    gateway.finish()
}

fn goodbye() -> Value {
    json!({"jsonrpc": "2.0", "method": "farewell"})
}

#[test]
fn response_that_arrives_with_the_connection_end_counts() {
    let attempts = attempts_at_server(true, goodbye());
    let succeeded = attempts
        .iter()
        .filter(|attempt| attempt.responses.iter().any(|(response, _)| *response == Response::Succeeded));
    let lost =
        attempts.iter().filter(|attempt| attempt.responses.is_empty() && !attempt.crossed_goodbye).count();
    assert!(succeeded.count() >= 20 && lost == 0, "{lost} of {} lost", attempts.len());
}

#[test]
fn attempt_open_at_goodbye_or_closing_error_is_marked_crossed() {
    let closing_error =
        json!({"jsonrpc": "2.0", "id": null, "error": {"code": -32600, "message": "too late"}});
    for closing_line in [goodbye(), closing_error] {
        let attempts = attempts_at_server(false, closing_line);
        let not_crossed = attempts.iter().find(|attempt| !attempt.crossed_goodbye);
        assert!(attempts.len() >= 50 && not_crossed.is_none(), "{not_crossed:?}");
    }
}
