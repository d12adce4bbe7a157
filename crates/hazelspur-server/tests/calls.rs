//! Calls to the ledger: refused, broken, answered with more than was asked for.

mod town;

use std::fmt::Write as _;
use std::time::{Duration, Instant};
use town::*;

#[test]
fn calls_that_are_refused_are_given_up_after_some_tries() {
    let (mut town, mut link) = Town::new("refused", "");
    town.ledger = listener().0;
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.say(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    gateway.hear(&mut town.trace);
    link.say(&format!("end 2 {} cancelled 300 0\r\n\r\n", id(1)));
    town.run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        runtime < start 0000000000000002 view 5 hello
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_broken_call_is_made_again_only_where_that_does_no_harm() {
    let (mut town, mut link) = Town::new("calls", "");
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.say(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    let mut ledger = town.ledger();
    ledger.hear_call(&mut town.trace);
    ledger.say("HTTP/1.1 200 OK\r\nContent-");
    drop(ledger);
    let mut ledger = town.ledger();
    ledger.hear_call(&mut town.trace);
    ledger.say("HTTP/1.1 503 Full\r\nX-Untouched: 1\r\nConnection: close\r\n\r\n");
    let mut ledger = town.ledger();
    ledger.hear_call(&mut town.trace);
    ledger.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    link.hear(&mut town.trace);
    link.say(&format!("end 2 {} error 5 0\r\n\r\n", id(1)));
    gateway.hear(&mut town.trace);
    std::thread::sleep(Duration::from_millis(20)); // the kept connection could be used again
    town.run(&mut gateway, &mut link, &request(2, 2, "book", r#","opkey":"k""#));
    link.say(&format!("wants 3 {} 3\r\nask\r\n", id(2)));
    let mut fresh = town.ledger();
    fresh.hear_call(&mut town.trace);
    drop(fresh);
    gateway.hear(&mut town.trace);
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
    .assert_eq(&town.trace);
}

#[test]
fn what_comes_with_a_reply_unasked_spoils_no_other_call() {
    let (mut town, mut link) = Town::new("noise", "");
    let mut gateway = town.gateway();
    let reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let replies = [
        format!("HTTP/1.1 100 Continue\r\n\r\n{reply}{reply}"),
        format!("{reply}\0\0noise"),
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nok".into(),
        reply.into(),
    ];
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    for (i, reply) in replies.iter().enumerate() {
        if i < 3 {
            link.say(&format!("wants {} {} 2\r\nc{i}\r\n", i + 1, id(1)));
        }
        let mut ledger = town.ledger();
        ledger.hear_call(&mut town.trace);
        ledger.say(reply);
        if i != 2 {
            link.hear(&mut town.trace);
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
    .assert_eq(&town.trace);
}

/// Not every installation has a ledger, or a list of servers: the server starts all the same.
#[test]
fn where_there_is_no_ledger_and_no_list_ops_are_served() {
    let edit = |config: String| {
        let (before, rest) = config.split_once(",\"ledger\"").expect("a ledger");
        let (_, after) = rest.split_once("\",\"seed\"").expect("a seed");
        format!("{before},\"seed\"{after}")
    };
    let (mut town, mut link) = Town::with("alone", "", edit);
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    // one that calls all the same is told that nobody can be reached
    town.run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    link.say(&format!("wants 2 {} 3\r\nask\r\n", id(2)));
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32000,"message":"failed"}}
    "#]]
    .assert_eq(&town.trace);
}

/// An answer without the call may be worth something, but no word on the link asks for it.
#[test]
fn a_run_whose_call_could_be_left_out_does_not_stand_at_it_for_ever() {
    let skips =
        |config: String| config.replace("\"run-factor\"", "\"class-skip-worth\":[0.5,0],\"run-factor\"");
    let (mut town, mut link) = Town::with("skips", "", skips);
    town.ledger = listener().0;
    let (mut gateway, asked) = (town.gateway(), Instant::now());
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.say(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    gateway.hear(&mut town.trace);
    let _ = writeln!(town.trace, "long before it is due {}", asked.elapsed() < Duration::from_millis(2500));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        long before it is due true
    "#]]
    .assert_eq(&town.trace);
}
