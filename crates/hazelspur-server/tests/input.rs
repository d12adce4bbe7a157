//! What comes from gateways and others that is no good, and too much of it.

mod town;

use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use town::*;

#[test]
fn bad_input_gets_an_error_and_the_rest_goes_on() {
    let (mut town, mut link) = Town::new("input", "");
    let mut other = town.gateway();
    town.run(&mut other, &mut link, &request(1, 1, "view", ""));
    let good = request(9, 9, "view", "");
    let lines = [
        "{".into(),
        "[]".into(),
        "\u{7f}\0".into(),
        r#"{"jsonrpc":"2.0","id":1}"#.into(),
        r#"{"jsonrpc":"2.0","id":2,"method":"view"}"#.into(),
        good.replace("\"2.0\"", "2"),
        good.replace("\"id\":9,", ""),
        good.replace("\"id\":9,", "\"id\":-9,"),
        request(3, 3, "nothing", ""),
        request(4, 4, "view", r#","owner":7"#),
        request(5, 1, "view", ""),
        good.replace("aGVsbG8=", "a*"),
        good.replace("aGVsbG8=", &"QUJD".repeat(683)),
        good.replace("20.5", "2000"),
        good.replace("20.5", "1e999"),
        good.replace(":0.5,", ":1.5,"),
        good.replace(":4000,", ":-1,"),
        good.replace(":4000,", ":4000000,"),
        good.replace("\"ts\":1", "\"ts\":9"),
        good.replace("\"ts\":1", "\"ts\":"),
        good.replace(&id(9), ""),
        format!("\"{}", "x".repeat(20_000)),
        "x".repeat(3_000_000),
    ];
    for line in &lines {
        let mut bad = town.gateway();
        let _ = bad.stream.get_mut().write_all(format!("{line}\r\n").as_bytes()); // which may be cut short
        bad.hear(&mut town.trace);
    }
    let mut bad = town.gateway();
    town.run(&mut bad, &mut link, &request(50, 50, "view", ""));
    link.say(&format!("nack start {}\r\n", id(50)));
    bad.hear(&mut town.trace);
    other.say(&format!("{}\n", request(1, 2, "view", "")));
    other.hear(&mut town.trace);
    link.say(&done(1, 1));
    other.hear(&mut town.trace);
    bad.say(&(1..=60).map(|n| format!("{}\n", request(100 + n, 100 + n, "view", ""))).collect::<String>());
    let answers = (0..60).map(|_| bad.line()).take_while(|line| line != "(closed)").count();
    let _ = writeln!(town.trace, "of 60 at once {answers} answered, then closed");
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not a JSON object"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not a JSON object"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"not a JSON object"}}
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32600,"message":"no method"}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32602,"message":"params is no object"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"not JSON-RPC 2.0"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"no id from 1 up"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"no id from 1 up"}}
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32601,"message":"no such method"}}
        gateway < {"jsonrpc":"2.0","id":4,"error":{"code":-32602,"message":"owner is no string"}}
        gateway < {"jsonrpc":"2.0","id":5,"error":{"code":-32602,"message":"this req is in hand"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"data is no body"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"data is no body"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"need is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"need is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"level, ts or timeout is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"timeout is no time"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"level, ts or timeout is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"level, ts or timeout is out of range"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32011,"message":"its time was over long ago"}}
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32602,"message":"req is no id"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the line is too long"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"the line is too long"}}
        runtime < start 0000000000000032 view 5 hello
        gateway < {"jsonrpc":"2.0","id":50,"error":{"code":-32000,"message":"failed"}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"too many open, or this id is"}}
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        of 60 at once 35 answered, then closed
    "#]].assert_eq(&town.trace);
}

#[test]
fn connections_that_bring_nothing_good_are_told_and_closed_in_time() {
    let (mut town, mut link) = Town::new("silent", "");
    let mut good = town.gateway();
    let mut silent: Vec<End> = (0..3).map(|_| town.gateway()).collect();
    let begun = Instant::now();
    silent[1].say("{\"jsonrpc\":");
    silent[2].say(&format!("{}\n", request(9, 9, "nothing", "")));
    silent[2].hear(&mut town.trace);
    town.run(&mut good, &mut link, &request(1, 1, "view", ""));
    link.say(&done(1, 1));
    good.hear(&mut town.trace);
    for end in &mut silent {
        end.hear(&mut town.trace);
        end.hear(&mut town.trace);
    }
    let _ = writeln!(town.trace, "in time {}", begun.elapsed() < Duration::from_millis(2900));
    town.run(&mut good, &mut link, &request(2, 2, "view", ""));
    link.say(&done(2, 2));
    good.hear(&mut town.trace);
    // Half a line: of one that only asked for health, and of one whose path may have been cut in the middle.
    let mut checked = town.gateway();
    checked.say(CHECK);
    checked.hear(&mut town.trace);
    checked.say("{\"jsonrpc\":");
    let line = request(3, 3, "view", "");
    good.say(&line[..40]);
    checked.hear(&mut town.trace);
    checked.hear(&mut town.trace);
    // meanwhile the link was mute and is made anew
    let mut link = town.link();
    link.say("ready hot 9000\r\n");
    link.hear(&mut town.trace);
    town.run(&mut good, &mut link, &line[40..]);
    link.say(&done(3, 3));
    good.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":9,"error":{"code":-32601,"message":"no such method"}}
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
        gateway < (closed)
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
        gateway < (closed)
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
        gateway < (closed)
        in time true
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":1,"result":{"ready":true}}
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
        gateway < (closed)
        runtime < sync 2
        runtime < start 0000000000000003 view 5 hello
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_gateway_that_reads_nothing_holds_up_only_itself() {
    let (mut town, mut link) = Town::new("slow", "");
    let slow = town.gateway();
    slow.stream.get_ref().set_write_timeout(Some(Duration::from_millis(300))).expect("a time limit");
    let checks = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n".repeat(20_000);
    let taken = (0..60).take_while(|_| slow.stream.get_ref().write_all(checks.as_bytes()).is_ok()).count();
    let _ = writeln!(town.trace, "all taken {}", taken == 60);
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        all taken false
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn connections_without_a_good_word_go_first_when_descriptors_run_short() {
    let (mut town, mut link) = Town::new("descriptors", "ulimit -n 48;");
    let (mut first, mut gateway) = (town.gateway(), town.gateway());
    let check = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";
    for end in [&mut first, &mut gateway] {
        end.say(check);
        while !end.hear(&mut String::new()).contains("true") {
            end.say(check);
        }
    }
    let mut crowd: Vec<End> = (0..80).map(|_| town.gateway()).collect();
    crowd[0].hear(&mut town.trace);
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    first.say(&check.replace(":1,", ":2,"));
    first.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"too many connections"}}
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":2,"result":{"ready":true}}
    "#]]
    .assert_eq(&town.trace);
}

/// A health check: the connection that carries it is a good one, and idle.
const CHECK: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"check\"}\n";

/// Seconds of processor time that a process has taken.
fn cpu_s(server: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{server}/stat")).expect("it runs");
    let after = stat.rsplit_once(')').expect("a name").1;
    let ticks =
        |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).expect("ticks");
    (ticks(11) + ticks(12)) / 100.0
}

/// A request that calls the ledger is run and answered.
fn served(town: &mut Town, link: &mut End, gateway: &mut End, n: u32) {
    town.run(gateway, link, &request(n, n, "view", ""));
    link.say(&format!("wants {} {} 3\r\nask\r\n", 2 * n - 1, id(n)));
    let mut ledger = town.ledger();
    ledger.hear_call(&mut String::new());
    ledger.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    link.hear(&mut String::new());
    link.say(&done(2 * n, n));
    let answer = gateway.hear(&mut String::new());
    assert!(answer.contains("result"), "{answer}");
}

/// Clients that leave their connections open fill what is for them, while nobody takes reports: the rest is
/// not theirs to take.
#[test]
fn idle_clients_take_no_descriptor_that_serving_needs() {
    let mut seen = String::new();
    for limit in [64usize, 96, 128, 256, 512] {
        let (control, at) = listener();
        let silent = format!("limits\":{{\"sockets\":{limit}}},\"settings");
        let edit = |config: String| with_control(&config, &at).replace("settings", &silent);
        drop(control); // gone, and its address with it
        let (mut town, mut link) =
            Town::with(&format!("filled{limit}"), &format!("ulimit -n {limit};"), edit);
        let mut gateway = town.gateway();
        let mut idle: Vec<End> = Vec::new();
        let mut requests = 0;
        for n in 0..limit + 40 {
            if n % 16 == 0 {
                requests += 1;
                served(&mut town, &mut link, &mut gateway, requests);
            }
            idle.push(town.gateway());
            // Two of three have brought something good; which of them is closed by now is not asked.
            if n % 3 > 0 {
                let _ = idle[n].stream.get_mut().write_all(CHECK.as_bytes());
            }
        }
        served(&mut town, &mut link, &mut gateway, requests + 1);
        let (cpu, since) = (cpu_s(town.server.id()), Instant::now());
        let control = TcpListener::bind(&at).expect("its address is free");
        let mut report = End::over("control", accept(&control));
        let reported = report.line();
        wait_until(since, 1000);
        let busy = (cpu_s(town.server.id()) - cpu) / since.elapsed().as_secs_f64();
        town.signal("-TERM");
        town.ended();
        let mut log = String::new();
        let _ = town.server.stderr.take().expect("a pipe").read_to_string(&mut log);
        let failed = log.matches("accept failed").count();
        let _ = writeln!(
            seen,
            "{limit}: {reported}, accepts failed {failed}, at rest below half a core {}",
            busy < 0.5
        );
    }
    expect_test::expect![[r#"
        64: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
        96: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
        128: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
        256: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
        512: PUT /v2/endpoints/n1 HTTP/1.1, accepts failed 0, at rest below half a core true
    "#]]
    .assert_eq(&seen);
}

/// What a client does over and over; each costs its own connection.
fn flood(at: &str, kind: usize, until: Instant) -> usize {
    let mut turns = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(at) else { continue };
        let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
        let interrupt = "{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":9}}\n";
        let text: String = match kind {
            0 => String::new(), // connections alone
            1 => CHECK.repeat(200),
            2 => interrupt.repeat(200),
            3 => "{\"jsonrpc\":".into(), // half a line
            4 => "x".repeat(40_000),     // one that does not end
            5 => "\u{7f}\0garbage\n".repeat(100),
            _ => (0..40).map(|_| request(7, 7, "view", "") + "\n").collect(), // ids used twice
        };
        let _ = stream.write_all(text.as_bytes());
        turns += 1;
    }
    turns
}

#[test]
fn floods_cost_their_own_connections_and_known_gateways_are_served_beside_them() {
    let mut seen = String::new();
    let names =
        ["connections", "checks", "interrupts", "half lines", "endless lines", "garbage", "ids used twice"];
    for (kind, name) in names.iter().enumerate() {
        let (mut town, mut link) = Town::new(&format!("flood{kind}"), "ulimit -n 256;");
        let mut gateway = town.gateway();
        town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
        link.say(&done(1, 1));
        gateway.hear(&mut String::new());
        let until = Instant::now() + Duration::from_millis(1200);
        let at = town.listen.clone();
        let floods: Vec<_> = (0..2)
            .map(|_| {
                let at = at.clone();
                std::thread::spawn(move || flood(&at, kind, until))
            })
            .collect();
        let (mut served, mut asked, mut longest) = (0, 0, Duration::ZERO);
        let mut notices = 1;
        while Instant::now() < until {
            asked += 1;
            let (n, began) = (asked + 1, Instant::now());
            gateway.say(&format!("{}\n", request(n, 1000 + n, "view", "")));
            loop {
                let started = link.hear(&mut String::new());
                notices += 1;
                if started.contains(&id(1000 + n)) {
                    link.say(&done(notices, 1000 + n));
                    break;
                }
                // one of the flood's own, which this runtime does not know
                link.say(&format!("nack start {}\r\n", started.split(' ').nth(1).unwrap_or_default()));
                notices -= 1;
            }
            let answer = gateway.hear(&mut String::new());
            served += u32::from(answer.contains("result"));
            longest = longest.max(began.elapsed());
        }
        let turns: usize = floods.into_iter().map(|flood| flood.join().expect("no panic")).sum();
        town.signal("-TERM");
        town.ended();
        let mut log = String::new();
        let _ = town.server.stderr.take().expect("a pipe").read_to_string(&mut log);
        println!("{name}: {turns} turns, {served} of {asked} ops served, the longest took {longest:?}");
        let lines = log.lines().count();
        let all = served == asked && asked >= 5;
        let _ = writeln!(
            seen,
            "{name}: all ops served {all}, few lines {}, {}",
            lines < 450,
            log.contains("task failed")
        );
    }
    expect_test::expect![[r#"
        connections: all ops served true, few lines true, false
        checks: all ops served true, few lines true, false
        interrupts: all ops served true, few lines true, false
        half lines: all ops served true, few lines true, false
        endless lines: all ops served true, few lines true, false
        garbage: all ops served true, few lines true, false
        ids used twice: all ops served true, few lines true, false
    "#]]
    .assert_eq(&seen);
}

/// What waits on a link that was cut names a wait that is long from the stamp and over before it is read: no
/// fault of its connection, whose other requests are answered too.
#[test]
fn ops_that_were_long_on_their_way_are_answered_and_their_connection_stays() {
    let (mut town, mut link) = Town::new("overdue", "");
    let mut gateway = town.gateway();
    let late = |n: u32| {
        let line = request(n, n, "view", "").replace(":4000,", ":8000,");
        let ts = now_ms();
        line.replace(&format!("\"ts\":{ts}"), &format!("\"ts\":{}", ts - 8000))
    };
    for n in 1..7 {
        // the millisecond may change between the two looks at the clock
        let line = std::iter::repeat_with(|| late(n)).find(|line| !line.contains(&now_ms().to_string()));
        gateway.say(&format!("{}\n", line.expect("one")));
        gateway.hear(&mut town.trace);
    }
    town.run(&mut gateway, &mut link, &request(8, 8, "view", ""));
    expect_test::expect![[r#"
        runtime < sync 0
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":4,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":5,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        gateway < {"jsonrpc":"2.0","id":6,"error":{"code":-32011,"message":"refused","data":{"holdoff":40,"nomore":1}}}
        runtime < start 0000000000000008 view 5 hello
    "#]].assert_eq(&town.trace);
}
