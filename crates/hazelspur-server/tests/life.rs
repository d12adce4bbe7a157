//! The life of one request through the built server, step by step.

mod town;

use std::fmt::Write as _;
use std::time::{Duration, Instant};
use town::*;

#[test]
fn an_op_is_run_calls_and_is_answered() {
    let (mut town, mut link) = Town::new("life", "");
    let mut gateway = town.gateway();
    let line = request(7, 1, "view", "");
    gateway.say(&line[..40]);
    std::thread::sleep(Duration::from_millis(20));
    gateway.say(&format!("{}\n{{\"jsonrpc\":\"2.0\",\"id\":8,\"method\":\"check\"}}\n", &line[40..]));
    gateway.hear(&mut town.trace);
    link.hear(&mut town.trace);
    link.say(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    let mut ledger = town.ledger();
    ledger.hear_call(&mut town.trace);
    ledger.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    link.hear(&mut town.trace);
    link.say(&format!("info 2 nothing\r\nend 3 {} complete 5 4\r\ndone\r\n", id(1)));
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":8,"result":{"ready":true}}
        runtime < start 0000000000000001 view 5 hello
        ledger < POST /post HTTP/1.1 0000000000000001 ask
        runtime < give 0000000000000001 2 ok
        gateway < {"jsonrpc":"2.0","id":7,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn before_the_runtime_is_up_nothing_is_held() {
    let mut town = Town::started("early", "");
    let mut link = town.link();
    let mut gateway = town.gateway();
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    gateway.say(check);
    gateway.hear(&mut town.trace);
    gateway.say(&format!("{}\n", request(2, 2, "view", "")));
    gateway.hear(&mut town.trace);
    link.say("ready chilly 0\r\n");
    link.hear(&mut town.trace);
    std::thread::sleep(Duration::from_millis(50));
    gateway.say(&check.replace('1', "3"));
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":1,"result":{"ready":false}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32011,"message":"not serving yet"}}
        gateway < {"jsonrpc":"2.0","id":3,"result":{"ready":true}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_run_that_never_ends_is_answered_in_time_without_gauges() {
    let (mut town, mut link) = Town::new("mute", "");
    let mut gateway = town.gateway();
    gateway.say(&format!("{}\n", request(1, 1, "view", "").replace(":4000,", ":1500,")));
    let read = Instant::now();
    link.hear(&mut town.trace);
    // meanwhile the link's lines, gauges too, stay unanswered
    gateway.hear(&mut town.trace);
    let _ = writeln!(town.trace, "in time {}", (1000..1630).contains(&read.elapsed().as_millis()));
    link.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        in time true
        runtime < stop 0000000000000001
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_gateway_that_is_gone_is_told_and_one_that_only_stopped_writing_is_answered() {
    let (mut town, mut link) = Town::new("gone", "");
    let (mut gateway, mut half) = (town.gateway(), town.gateway());
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    gateway.say("{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":1}}\n");
    link.hear(&mut town.trace);
    link.say(&format!("end 1 {} cancelled 5 0\r\n\r\n", id(1)));
    town.run(&mut half, &mut link, &request(2, 2, "view", ""));
    half.stream.get_ref().shutdown(std::net::Shutdown::Write).expect("half a close");
    std::thread::sleep(Duration::from_millis(30));
    link.say(&done(2, 2));
    half.hear(&mut town.trace);
    half.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        runtime < stop 0000000000000001
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        gateway < (closed)
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_result_that_came_during_a_pause_is_read_before_time_is_found_to_be_up() {
    let (mut town, mut link) = Town::new("pause", "");
    let mut gateway = town.gateway();
    gateway.say(&format!("{}\n", request(1, 1, "view", "").replace(":4000,", ":1500,")));
    link.hear(&mut town.trace);
    town.signal("-STOP");
    link.say(&done(1, 1));
    std::thread::sleep(Duration::from_millis(1700));
    town.signal("-CONT");
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}
