//! The stand-in gateway knows how its requests ended, whenever its thread comes to look: it reads what came
//! before a connection's end, though both come at once.

use hazelspur_test_doubles::gateway::{Gateway, GatewaySettings, Response};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Answers the first request of each connection, or not, says farewell and closes, all at once.
fn serve(listener: TcpListener, answers: bool, word: Value) {
    for stream in listener.incoming().flatten() {
        let mut line = String::new();
        if BufReader::new(&stream).read_line(&mut line).is_err() || line.is_empty() {
            continue;
        }
        let asked: Value = serde_json::from_str(&line).expect("a line of JSON");
        let answer =
            json!({"jsonrpc": "2.0", "id": asked["id"], "result": {"data": asked["params"]["data"]}});
        let text = if answers { format!("{answer}\n{word}\n") } else { format!("{word}\n") };
        let _ = (&stream).write_all(text.as_bytes());
    }
}

fn played(answers: bool, word: Value) -> Vec<hazelspur_test_doubles::gateway::Attempt> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || serve(listener, answers, word));
    let habits = GatewaySettings {
        by_request_hash: false,
        retries: 0,
        retries_elsewhere: false,
        obeys_retry_after: false,
        requests_per_s: 200.0,
        list_age_ms: 0,
        timeout_ms: 3000,
    };
    let mut gateway = Gateway::start(0, habits, vec![at], Box::new(|| vec![0]), 1);
    let until = Instant::now() + Duration::from_secs(20);
    while gateway.attempts().len() < 50 && Instant::now() < until {
        std::thread::yield_now();
    }
    gateway.finish()
}

fn farewell() -> Value {
    json!({"jsonrpc": "2.0", "method": "farewell"})
}

#[test]
fn an_answer_that_comes_with_the_end_of_its_connection_counts() {
    let tries = played(true, farewell());
    let first = tries.iter().filter(|t| t.responses.iter().any(|(answer, _)| *answer == Response::Succeeded));
    let lost = tries.iter().filter(|t| t.responses.is_empty() && !t.crossed_goodbye).count();
    assert!(first.count() >= 20 && lost == 0, "{lost} of {} lost", tries.len());
}

#[test]
fn what_crosses_a_farewell_or_a_dismissal_that_comes_with_the_end_is_known_to_have_crossed_it() {
    let dismissed = json!({"jsonrpc": "2.0", "id": null, "error": {"code": -32600, "message": "too late"}});
    for word in [farewell(), dismissed] {
        let tries = played(false, word);
        let not = tries.iter().find(|t| !t.crossed_goodbye);
        assert!(tries.len() >= 50 && not.is_none(), "{not:?}");
    }
}
