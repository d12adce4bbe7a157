//! Whatever ends: drains, closes, restarts; what is still owed then is settled.

mod town;

use std::fmt::Write as _;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use town::*;

#[test]
fn leaving_answers_what_is_read_and_says_farewell() {
    let (mut town, mut link) = Town::new("leave", "");
    let (mut gateway, mut idle) = (town.gateway(), town.gateway());
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    town.signal("-TERM");
    std::thread::sleep(Duration::from_millis(100));
    town.run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    idle.hear(&mut town.trace);
    std::thread::sleep(Duration::from_millis(50));
    let refused = TcpStream::connect(&town.listen).is_err();
    let _ = writeln!(town.trace, "refused {refused}");
    gateway.say(&format!("{}\n", request(3, 3, "view", "")));
    let late = gateway.hear(&mut String::new());
    let _ = writeln!(town.trace, "late one {}", &late[..47]);
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    for _ in 0..3 {
        gateway.hear(&mut town.trace);
    }
    town.ended();
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        refused true
        late one {"jsonrpc":"2.0","id":3,"error":{"code":-32011,
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        gateway < (closed)
        exit Some(0)
    "#]]
    .assert_eq(&town.trace);
}

/// Stops the process, has something done, and lets it go on once so much time has passed.
fn while_it_stands(town: &Town, ms: u64, done: impl FnOnce()) {
    let since = Instant::now();
    town.signal("-STOP");
    done();
    wait_until(since, ms);
    town.signal("-CONT");
}

/// The close is due at the moment in which the request is there: of ten connections each is answered.
#[test]
fn an_op_that_comes_at_the_instant_of_the_close_is_answered() {
    let (mut town, _link) = Town::new("instant", "");
    let mut resting: Vec<End> = (0..10).map(|_| town.gateway()).collect();
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    for end in &mut resting {
        end.say(check);
        end.hear(&mut String::new());
    }
    town.signal("-TERM");
    for end in &mut resting {
        end.hear(&mut String::new()); // farewell
    }
    while_it_stands(&town, 450, || {
        for (n, end) in resting.iter_mut().enumerate() {
            end.say(&format!("{}\n", request(2, n as u32 + 2, "view", "")));
        }
    });
    for end in &mut resting {
        let answer = end.hear(&mut String::new());
        let _ = writeln!(town.trace, "{}, {}", &answer[..answer.len().min(46)], end.line());
    }
    town.ended();
    expect_test::expect![[r#"
        runtime < sync 0
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        exit Some(0)
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn half_an_op_at_the_close_is_waited_for() {
    let (mut town, _link) = Town::new("half", "");
    let mut gateway = town.gateway();
    gateway.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n");
    gateway.hear(&mut String::new());
    town.signal("-TERM");
    gateway.hear(&mut town.trace);
    let line = request(2, 2, "view", "");
    gateway.say(&line[..50]);
    wait_until(Instant::now(), 600);
    gateway.say(&format!("{}\n", &line[50..]));
    let answer = gateway.hear(&mut String::new());
    let _ = writeln!(town.trace, "{}, {}", &answer[..answer.len().min(46)], gateway.line());
    town.ended();
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        {"jsonrpc":"2.0","id":2,"error":{"code":-32011, (closed)
        exit Some(0)
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_notice_to_leave_before_the_runtime_is_up_drops_nothing() {
    let mut town = Town::started("unready", "");
    let _link = town.link();
    let mut gateway = town.gateway();
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    gateway.say(check);
    gateway.hear(&mut town.trace);
    while_it_stands(&town, 10, || {
        gateway.say(&format!("{}{}\n", check.replace(":1,", ":2,"), request(3, 3, "view", "")));
        town.signal("-TERM");
    });
    for _ in 0..4 {
        gateway.hear(&mut town.trace);
    }
    town.ended();
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":1,"result":{"ready":false}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"ready":false}}
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32011,"message":"not serving yet"}}
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        gateway < (closed)
        exit Some(0)
    "#]]
    .assert_eq(&town.trace);
}

/// Connections that the machine has accepted and the program has not, when it closes its listener.
#[test]
fn what_waits_to_be_accepted_at_the_end_of_the_grace_is_answered() {
    let (mut town, _link) = Town::new("queue", "");
    let mut waiting = Vec::new();
    let begun = Instant::now();
    town.signal("-TERM");
    wait_until(begun, 100);
    while_it_stands(&town, 300, || {
        wait_until(begun, 350); // past the grace
        for n in 0..10 {
            waiting.push(town.gateway());
            waiting[n].say(&format!("{}\n", request(1, n as u32 + 1, "view", "")));
        }
    });
    let nacked = |end: &mut End| {
        let said = [end.line(), end.line()];
        said.iter().any(|line| line.contains("\"id\":1,\"error\":{\"code\":-32011"))
    };
    let answered = waiting.iter_mut().map(nacked).filter(|nacked| *nacked).count();
    let _ = writeln!(town.trace, "answered {answered}");
    town.ended();
    expect_test::expect![[r#"
        runtime < sync 0
        answered 10
        exit Some(0)
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn more_notices_change_nothing_about_a_drain() {
    let (mut town, mut link) = Town::new("notices", "");
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    while_it_stands(&town, 10, || ["-TERM", "-HUP", "-TERM"].iter().for_each(|name| town.signal(name)));
    town.run(&mut gateway, &mut link, &request(2, 2, "view", ""));
    town.signal("-TERM");
    link.say(&format!("{}{}", done(1, 1), done(2, 2)));
    for _ in 0..4 {
        gateway.hear(&mut town.trace);
    }
    town.ended();
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        gateway < (closed)
        exit Some(0)
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn an_address_that_the_process_before_still_holds_is_waited_for() {
    let (listen, runtime, ledger, config) = Town::prepared();
    let before = std::net::TcpListener::bind(&listen).expect("a free port");
    let server = start("held", &config, "");
    let mut town = Town { server, listen, runtime, ledger, file: file("held"), trace: String::new() };
    wait_until(Instant::now(), 200);
    let _ = writeln!(town.trace, "running {}", town.server.try_wait().is_ok_and(|ended| ended.is_none()));
    drop(before);
    let mut link = town.link();
    link.say("ready hot 1000\r\n");
    link.hear(&mut town.trace);
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    expect_test::expect![[r#"
        running true
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
    "#]]
    .assert_eq(&town.trace);
}
