//! The configuration at the start and on SIGHUP.

mod town;

use std::fmt::Write as _;
use std::io::Write as _;
use town::*;

#[test]
fn a_new_configuration_moves_the_parties_and_keeps_what_is_in_hand() {
    let (mut town, mut link) = Town::new("reload", "");
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.say(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    let mut old_ledger = town.ledger();
    old_ledger.hear_call(&mut town.trace);
    town.reload("{\"name\":\"n1\",\"list");
    town.reload("");
    let (runtime, ledger, config) = Town::parties(&town.listen);
    (town.runtime, town.ledger) = (runtime, ledger);
    town.reload(&config);
    let mut moved = town.link();
    let _ = writeln!(town.trace, "old {}", link.line());
    moved.say("ready hot 2000\r\n");
    moved.hear(&mut town.trace);
    old_ledger.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    moved.hear(&mut town.trace);
    moved.say(&format!("wants 2 {} 3\r\ntwo\r\n", id(1)));
    town.ledger().hear_call(&mut town.trace);
    moved.say(&done(3, 1));
    gateway.hear(&mut town.trace);
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        ledger < POST /post HTTP/1.1 0000000000000001 ask
        runtime < sync 1
        old (closed)
        runtime < give 0000000000000001 2 ok
        ledger < POST /post HTTP/1.1 0000000000000001 two
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_bad_configuration_names_its_key() {
    let good = format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","runtime":"127.0.0.1:1","ledger":"127.0.0.1:1","control":"127.0.0.1:1","seed":"2a","stop_ms":900,"limits":{{"sockets":1024}},"settings":{SETTINGS}}}"#
    );
    let faults = [
        (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#),
        (r#""runtime":"127.0.0.1:1","#, ""),
        (r#""seed":"2a""#, r#""seed":"zz""#),
        ("900", "\"soon\""),
        (r#""sockets":1024"#, r#""sockets":2"#),
        (r#""n-cores":2"#, r#""n-cores":0"#),
        (r#""lanes""#, r#""lines""#),
        ("{\"name\"", "\"name\""),
    ];
    let mut seen = String::new();
    for (i, (from, to)) in faults.iter().enumerate() {
        let server = start(&format!("bad{i}"), &good.replace(from, to), "");
        let out = server.wait_with_output().expect("the server ends");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        let text = text.split_once(' ').map_or("", |(_, text)| text.trim_end());
        let _ = writeln!(seen, "{text}, exit {:?}", out.status.code());
    }
    expect_test::expect![[r#"
        error start refused why="listen: not an address and port: here", exit Some(2)
        error start refused why="runtime: missing", exit Some(2)
        error start refused why="seed: not 16 hexadecimal digits", exit Some(2)
        error start refused why="stop_ms: not a number from 1 to 600000", exit Some(2)
        error start refused why="limits.sockets: not a number from 32 to 10000000", exit Some(2)
        error start refused why="settings: setting server.cores is absurd: 0", exit Some(2)
        error start refused why="settings.lanes: missing or empty", exit Some(2)
        error start refused why="the configuration is no JSON object", exit Some(2)
    "#]]
    .assert_eq(&seen);
}

/// Its addresses lead to another customer's runtime and ledger.
#[test]
fn a_file_that_is_another_servers_is_refused_whole() {
    let (mut town, mut link) = Town::new("others", "");
    let mut gateway = town.gateway();
    let (runtime, ledger, config) = Town::parties(&town.listen);
    let others = [config.replace("\"n1\"", "\"n2\""), config.replace("\"n-cores\":2", "\"n-cores\":4")];
    for (n, other) in (1..).zip(others) {
        town.reload(&other);
        town.run(&mut gateway, &mut link, &request(n, n, "view", ""));
        link.say(&done(n, n));
        gateway.hear(&mut town.trace);
    }
    (town.runtime, town.ledger) = (runtime, ledger);
    town.reload(&config);
    let mut moved = town.link();
    moved.say("ready hot 2000\r\n");
    moved.hear(&mut town.trace);
    town.run(&mut gateway, &mut moved, &request(3, 3, "view", ""));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        runtime < sync 2
        runtime < start 0000000000000003 view 5 hello
    "#]]
    .assert_eq(&town.trace);
}

/// What a pipe takes before its reader has to read.
const PIPE: usize = 64 * 1024;

/// A pipe that is full because nobody reads it, and one whose reader is gone, with both forms of lines.
#[test]
fn standard_error_that_nobody_takes_stops_nothing() {
    let mut seen = String::new();
    for (name, line) in [("full-text", ""), ("full-json", "--log-format json")] {
        for stays in [true, false] {
            let (reader, writer) = std::io::pipe().expect("a pipe");
            let (listen, runtime, ledger, config) = Town::prepared();
            std::fs::write(file(name), config).expect("a file");
            let program = env!("CARGO_BIN_EXE_hazelspur-server");
            // filled to the brim first
            (&writer).write_all(&vec![b'-'; if stays { PIPE } else { 0 }]).expect("a pipe takes so much");
            let command = format!("exec {program} {line}");
            let reader = stays.then_some(reader);
            let mut shell = std::process::Command::new("/bin/sh");
            shell.args(["-c", &command]).env("ROUTER_CONFIG", file(name)).stderr(writer);
            let server = shell.spawn().expect("the server starts");
            drop(shell);
            let mut town = Town { server, listen, runtime, ledger, file: file(name), trace: String::new() };
            let mut link = town.link();
            link.say("ready hot 1000\r\n");
            link.hear(&mut town.trace);
            let mut gateway = town.gateway();
            town.run(&mut gateway, &mut link, &request(1, 1, "view", ""));
            link.say(&done(1, 1));
            gateway.hear(&mut town.trace);
            town.signal("-TERM");
            town.ended();
            let _ = writeln!(seen, "{name}, a reader {}:\n{}", reader.is_some(), town.trace);
        }
    }
    expect_test::expect![[r#"
        full-text, a reader true:
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        exit Some(0)

        full-text, a reader false:
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        exit Some(0)

        full-json, a reader true:
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        exit Some(0)

        full-json, a reader false:
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        exit Some(0)

    "#]]
    .assert_eq(&seen);
}
