//! IdempotentWithKey requests that come again, and reads that share a result.

mod town;

use std::fmt::Write as _;
use std::time::{Duration, Instant};
use town::*;

#[test]
fn a_repeat_of_a_kept_op_is_answered_from_the_first() {
    let (mut town, mut link) = Town::new("repeat", "");
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    gateway.say(&format!("{}\n", request(2, 2, "book", r#","opkey":"k""#)));
    std::thread::sleep(Duration::from_millis(30));
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    gateway.hear(&mut town.trace);
    gateway.say(&format!("{}\n", request(3, 3, "book", r#","opkey":"k""#)));
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_read_is_shared_while_its_good_result_is_fresh() {
    let (mut town, mut link) = Town::new("share", "");
    let mut gateway = town.gateway();
    // from a connection that nobody has vouched for nothing is shared
    town.run(&mut gateway, &mut link, &request(9, 9, "view", ""));
    link.say(&done(1, 9));
    gateway.hear(&mut town.trace);
    let mut ask = |n: u32| {
        gateway.say(&format!("{}\n", request(n, n, "view", r#","subject":"s""#)));
        std::thread::sleep(Duration::from_millis(30));
    };
    ask(1);
    ask(2);
    link.hear(&mut town.trace);
    link.say(&format!("end 2 {} error 5 0\r\n\r\n", id(1)));
    std::thread::sleep(Duration::from_millis(30));
    ask(3);
    link.hear(&mut town.trace);
    link.say(&done(3, 3));
    std::thread::sleep(Duration::from_millis(30));
    ask(4);
    std::thread::sleep(Duration::from_millis(600));
    ask(5);
    link.hear(&mut town.trace);
    for _ in 0..4 {
        gateway.hear(&mut town.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000009 view 5 hello
        gateway < {"jsonrpc":"2.0","id":9,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000001 view 5 hello
        runtime < start 0000000000000003 view 5 hello
        runtime < start 0000000000000005 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

/// Anybody may have seen a key: what asks for something else under it gets neither the result nor a run.
#[test]
fn a_key_with_another_body_is_nobodys_repeat() {
    let (mut town, mut link) = Town::new("body", "");
    let (mut gateway, mut other) = (town.gateway(), town.gateway());
    town.run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    let another = request(2, 2, "book", r#","opkey":"k""#).replace("aGVsbG8=", "b3RoZXI=");
    other.say(&format!("{another}\n"));
    other.hear(&mut town.trace);
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    other.say(&format!("{}\n", another.replace(&id(2), &id(3))));
    other.hear(&mut town.trace);
    gateway.say(&format!("{}\n", request(4, 4, "book", r#","opkey":"k""#)));
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32602,"message":"this opkey is another op's"}}
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32602,"message":"this opkey is another op's"}}
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn of_two_tries_that_are_read_together_one_runs() {
    let (mut town, mut link) = Town::new("pair", "");
    let mut gateway = town.gateway();
    let tries: String = (1..=2).map(|n| request(n, n, "book", r#","opkey":"k""#) + "\n").collect();
    gateway.say(&format!("{tries}{}\n", request(3, 3, "view", "")));
    link.hear(&mut town.trace);
    link.hear(&mut town.trace);
    link.say(&format!("{}{}", done(1, 1), done(2, 3)));
    let mut answers: Vec<String> = (0..3).map(|_| gateway.hear(&mut String::new())).collect();
    answers.sort();
    let _ = writeln!(town.trace, "{}", answers.join("\n"));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        runtime < start 0000000000000003 view 5 hello
        {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_key_of_one_customer_says_nothing_to_another() {
    let (mut town, mut link) = Town::with("customers", "", |config| customers(config, 5000));
    let mut gateway = town.gateway();
    for (n, owner) in [(1, "a"), (2, "b")] {
        town.run(
            &mut gateway,
            &mut link,
            &request(n, n, "book", &format!(r#","opkey":"k","owner":"{owner}""#)),
        );
        link.say(&done(n, n));
        gateway.hear(&mut town.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

/// The window counts from when a try came, not from when a process that stood still came to read it.
#[test]
fn a_repeat_that_came_within_the_window_runs_no_more_however_late_it_is_read() {
    let (mut town, mut link) = Town::with("late", "", |config| customers(config, 700));
    let mut gateway = town.gateway();
    let begun = Instant::now();
    town.run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    town.signal("-STOP");
    gateway.say(&format!("{}\n", request(2, 2, "book", r#","opkey":"k""#)));
    wait_until(begun, 1000);
    town.signal("-CONT");
    gateway.hear(&mut town.trace);
    town.run(&mut gateway, &mut link, &request(3, 3, "book", r#","opkey":"k""#));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000003 book 5 hello
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_window_that_ends_while_its_try_runs_goes_on_until_that_has_ended() {
    let (mut town, mut link) = Town::with("running", "", |config| customers(config, 300));
    let mut gateway = town.gateway();
    let begun = Instant::now();
    town.run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    wait_until(begun, 400);
    gateway.say(&format!("{}\n{}\n", request(2, 2, "book", r#","opkey":"k""#), request(3, 3, "view", "")));
    link.hear(&mut town.trace);
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        runtime < start 0000000000000003 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn what_never_ran_leaves_its_key_and_non_retryable_ops_share_nothing() {
    let (mut town, mut link) = Town::with("unknown", "", |config| customers(config, 5000));
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "book", r#","opkey":"k""#));
    link.say(&format!("nack start {}\r\n", id(1)));
    gateway.hear(&mut town.trace);
    town.run(&mut gateway, &mut link, &request(2, 2, "book", r#","opkey":"k""#));
    link.say(&done(1, 2));
    gateway.hear(&mut town.trace);
    for n in 3..5 {
        gateway.say(&format!("{}\n", request(n, n, "pay", r#","subject":"s""#)));
    }
    link.hear(&mut town.trace);
    link.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"failed"}}
        runtime < start 0000000000000002 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000003 pay 5 hello
        runtime < start 0000000000000004 pay 5 hello
    "#]]
    .assert_eq(&town.trace);
}

/// An id that is over may come again: what it stood for before is not mixed up with what it stands for now.
#[test]
fn an_id_that_is_used_twice_mixes_up_no_keys() {
    let (mut town, mut link) = Town::new("twice", "");
    let mut gateway = town.gateway();
    for (n, key, data) in [(1, "a", "4\r\nleft"), (2, "b", "5\r\nright")] {
        town.run(&mut gateway, &mut link, &request(n, 7, "book", &format!(r#","opkey":"{key}""#)));
        link.say(&format!("end {n} {} complete 5 {data}\r\n", id(7)));
        gateway.hear(&mut town.trace);
    }
    for (n, key) in [(3, "a"), (4, "b")] {
        gateway.say(&format!("{}\n", request(n, n, "book", &format!(r#","opkey":"{key}""#))));
        gateway.hear(&mut town.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000007 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"bGVmdA=="}}
        runtime < start 0000000000000007 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"cmlnaHQ="}}
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"bGVmdA=="}}
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"cmlnaHQ="}}
    "#]]
    .assert_eq(&town.trace);
}
