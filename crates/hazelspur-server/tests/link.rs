//! The link to the runtime: what goes out again after a break, and links that go quiet.

mod town;

use std::time::{Duration, Instant};
use town::*;

#[test]
fn after_a_break_of_the_link_only_the_unanswered_goes_out_again() {
    let (mut town, mut link) = Town::new("link", "");
    let mut gateway = town.gateway();
    gateway.say(&format!("{}\n{}\n", request(1, 1, "view", ""), request(2, 2, "view", "")));
    link.hear(&mut town.trace);
    link.hear(&mut town.trace);
    drop(link);
    town.link(); // and this one breaks before it has replayed anything
    let mut link = town.link();
    link.say(&format!("ready hot 2000\r\nend 1 {} complete 5 3\r\none\r\n", id(1)));
    gateway.hear(&mut town.trace);
    link.hear(&mut town.trace);
    link.hear(&mut town.trace);
    link.say(&format!("end 1 {} error 5 0\r\n\r\nend 2 {} complete 5 3\r\ntwo\r\n", id(2), id(2)));
    gateway.hear(&mut town.trace);
    link.say("no notice at all\r\n");
    drop(link);
    let mut link = town.link();
    gateway.say(&format!("{}\n", request(3, 3, "view", "")));
    std::thread::sleep(Duration::from_millis(30));
    link.say("ready hot 3000\r\n");
    link.hear(&mut town.trace);
    link.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        runtime < start 0000000000000002 view 5 hello
        runtime < sync 0
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"b25l"}}
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"dHdv"}}
        runtime < sync 2
        runtime < start 0000000000000003 view 5 hello
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_reply_that_was_read_is_not_given_again_and_a_mute_link_is_made_anew() {
    let (mut town, mut link) = Town::new("given", "");
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.say(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    let mut ledger = town.ledger();
    ledger.hear_call(&mut town.trace);
    ledger.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    link.hear(&mut town.trace);
    for _ in 0..4 {
        let gauges = link.line();
        link.say(&gauges.replace("gauges", "load"));
        link.say(" 0.5 1\r\n");
    }
    drop(link);
    let mut link = town.link();
    link.say("ready hot 9000\r\n");
    link.hear(&mut town.trace);
    town.run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    link.say(&format!("end 2 {} complete 5 3\r\none\r\n", id(1)));
    gateway.hear(&mut town.trace);
    town.link(); // the old one is open and mute
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        ledger < POST /post HTTP/1.1 0000000000000001 ask
        runtime < give 0000000000000001 2 ok
        runtime < sync 1
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"b25l"}}
        runtime < sync 2
    "#]]
    .assert_eq(&town.trace);
}

/// A runtime that restarts numbers its notices from 1: heard with the old count it would be silent for ever.
#[test]
fn a_runtime_that_restarts_is_heard_and_what_it_had_is_failed() {
    let (mut town, mut link) = Town::new("restarted", "");
    let mut gateway = town.gateway();
    for n in 1..4 {
        town.run(&mut gateway, &mut link, &request(n, n, "view", ""));
        if n < 3 {
            link.say(&done(n, n));
            gateway.hear(&mut town.trace);
        }
    }
    drop(link);
    let mut link = town.link();
    wait_until(Instant::now(), 1100);
    link.say("ready chilly 20\r\n");
    gateway.hear(&mut town.trace);
    link.hear(&mut town.trace);
    town.run(&mut gateway, &mut link, &request(4, 4, "view", ""));
    link.say(&done(1, 4));
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000003 view 5 hello
        runtime < sync 2
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32000,"message":"failed"}}
        runtime < start 0000000000000004 view 5 hello
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_link_that_was_taken_and_then_says_nothing_is_made_anew() {
    let mut town = Town::started("quiet", "");
    let _quiet = town.link();
    let mut link = town.link();
    link.say("ready hot 100\r\n");
    link.hear(&mut town.trace);
    let mut gateway = town.gateway();
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    gateway.say(check);
    while !gateway.hear(&mut String::new()).contains("true") {
        gateway.say(check);
    }
    town.run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < sync 0
        runtime < start 0000000000000002 view 5 hello
    "#]]
    .assert_eq(&town.trace);
}
