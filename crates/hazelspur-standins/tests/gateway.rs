//! The stand-in gateway reads what came before a connection's end, though both come at once.

use hazelspur_standins::gateway::{Answer, Gateway, Habits};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Answers the first op of each connection, or not, says farewell and closes, all at once.
fn serve(listener: TcpListener, answers: bool) {
    for stream in listener.incoming().flatten() {
        let mut line = String::new();
        if BufReader::new(&stream).read_line(&mut line).is_err() || line.is_empty() {
            continue;
        }
        let asked: Value = serde_json::from_str(&line).expect("a line of JSON");
        let answer =
            json!({"jsonrpc": "2.0", "id": asked["id"], "result": {"data": asked["params"]["data"]}});
        let farewell = json!({"jsonrpc": "2.0", "method": "farewell"});
        let text = if answers { format!("{answer}\n{farewell}\n") } else { format!("{farewell}\n") };
        let _ = (&stream).write_all(text.as_bytes());
    }
}

fn played(answers: bool) -> Vec<hazelspur_standins::gateway::Try> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || serve(listener, answers));
    let habits = Habits {
        by_subject: false,
        retries: 0,
        walk_on: false,
        heed: false,
        rate: 200.0,
        list_late_ms: 0,
        timeout_ms: 3000,
    };
    let mut gateway = Gateway::start(0, habits, vec![at], Box::new(|| vec![0]), 1);
    let until = Instant::now() + Duration::from_secs(20);
    while gateway.tries().len() < 50 && Instant::now() < until {
        std::thread::yield_now();
    }
    gateway.end()
}

#[test]
fn an_answer_that_comes_with_the_end_of_its_connection_counts() {
    let tries = played(true);
    let first = tries.iter().filter(|t| t.answers.iter().any(|(answer, _)| *answer == Answer::Acked));
    let lost = tries.iter().filter(|t| t.answers.is_empty() && !t.crossed).count();
    assert!(first.count() >= 20 && lost == 0, "{lost} of {} lost", tries.len());
}

#[test]
fn what_crosses_a_farewell_that_comes_with_the_end_is_known_to_have_crossed_it() {
    let tries = played(false);
    assert!(tries.len() >= 50 && tries.iter().all(|t| t.crossed), "{:?}", tries.iter().find(|t| !t.crossed));
}
