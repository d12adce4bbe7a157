//! The platform's configuration at the start and on SIGHUP, and a server whose log output nobody reads.

mod harness;

use harness::*;
use std::fmt::Write as _;
use std::io::Write as _;

#[test]
fn reload_moves_endpoints_and_keeps_requests_in_progress() {
    let (mut server, mut link) = ServerHarness::new("reload", "");
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
    link.send(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    let mut old_ledger = server.accept_dependency_call();
    old_ledger.record_call(&mut server.trace);
    server.reload("{\"name\":\"n1\",\"list");
    server.reload("");
    let (runtime, ledger, config) = ServerHarness::listen_for_peers(&server.listen);
    (server.runtime, server.ledger) = (runtime, ledger);
    server.reload(&config);
    let mut moved = server.accept_worker_link();
    let _ = writeln!(server.trace, "old {}", link.read_line());
    moved.send("ready hot 2000\r\n");
    moved.record_next(&mut server.trace);
    old_ledger.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    moved.record_next(&mut server.trace);
    moved.send(&format!("wants 2 {} 3\r\ntwo\r\n", id(1)));
    server.accept_dependency_call().record_call(&mut server.trace);
    moved.send(&success_notice(3, 1));
    gateway.record_next(&mut server.trace);
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
    .assert_eq(&server.trace);
}

#[test]
fn invalid_configuration_error_names_the_key() {
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
        error start refused why="seed: not a hexadecimal number of at most 16 digits", exit Some(2)
        error start refused why="stop_ms: not a number from 1 to 600000", exit Some(2)
        error start refused why="limits.sockets: not a number from 32 to 10000000", exit Some(2)
        error start refused why="settings: setting server.cores is out of range: 0", exit Some(2)
        error start refused why="settings.lanes: missing or empty", exit Some(2)
        error start refused why="the configuration is not a JSON object", exit Some(2)
    "#]]
    .assert_eq(&seen);
}

/// Guards against serving with the worker and the dependency of another server's customer.
#[test]
fn configuration_of_another_server_changes_nothing() {
    let (mut server, mut link) = ServerHarness::new("others", "");
    let mut gateway = server.connect_gateway();
    let (runtime, ledger, config) = ServerHarness::listen_for_peers(&server.listen);
    let other_servers =
        [config.replace("\"n1\"", "\"n2\""), config.replace("\"n-cores\":2", "\"n-cores\":4")];
    for (n, other) in (1..).zip(other_servers) {
        server.reload(&other);
        server.start_run(&mut gateway, &mut link, &request(n, n, "view", ""));
        link.send(&success_notice(n, n));
        gateway.record_next(&mut server.trace);
    }
    (server.runtime, server.ledger) = (runtime, ledger);
    server.reload(&config);
    let mut moved = server.accept_worker_link();
    moved.send("ready hot 2000\r\n");
    moved.record_next(&mut server.trace);
    server.start_run(&mut gateway, &mut moved, &request(3, 3, "view", ""));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        runtime < sync 2
        runtime < start 0000000000000003 view 5 hello
    "#]]
    .assert_eq(&server.trace);
}

/// The capacity of a pipe, in bytes.
const PIPE_CAPACITY: usize = 64 * 1024;

/// Standard error is a full pipe that nobody reads, or a pipe whose reader is closed, with both log formats.
#[test]
fn unread_standard_error_does_not_block_the_server() {
    let mut seen = String::new();
    for (name, flags) in [("full-text", ""), ("full-json", "--log-format json")] {
        for is_full in [true, false] {
            let (reader, writer) = std::io::pipe().expect("a pipe");
            let (listen, runtime, ledger, config) = ServerHarness::prepare();
            std::fs::write(config_file(name), config).expect("a file");
            let program = env!("CARGO_BIN_EXE_hazelspur-server");
            // Fills the pipe before the server starts.
            (&writer)
                .write_all(&vec![b'-'; if is_full { PIPE_CAPACITY } else { 0 }])
                .expect("the pipe takes its capacity");
            let command = format!("exec {program} {flags}");
            let reader = is_full.then_some(reader);
            let mut shell = std::process::Command::new("/bin/sh");
            shell.args(["-c", &command]).env("ROUTER_CONFIG", config_file(name)).stderr(writer);
            let server = shell.spawn().expect("the server starts");
            drop(shell);
            let mut server = ServerHarness {
                server,
                listen,
                runtime,
                ledger,
                file: config_file(name),
                trace: String::new(),
            };
            let mut link = server.accept_worker_link();
            link.send("ready hot 1000\r\n");
            link.record_next(&mut server.trace);
            let mut gateway = server.connect_gateway();
            server.start_run(&mut gateway, &mut link, &request(1, 1, "view", ""));
            link.send(&success_notice(1, 1));
            gateway.record_next(&mut server.trace);
            server.signal("-TERM");
            server.wait_for_exit();
            let _ = writeln!(seen, "{name}, a reader {}:\n{}", reader.is_some(), server.trace);
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
