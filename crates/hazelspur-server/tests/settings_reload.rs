//! Settings that change on SIGHUP, settings of the largest planned size, and settings over their bounds.

mod harness;

use harness::*;
use std::fmt::Write as _;

/// Returns the next log line with the result of a reload.
fn next_reload_result(lines: &LogLines) -> String {
    lines.next(&["reload refused", "settings changed"])
}

const SETTINGS_MAY_CHANGE: &str = "reload(settings = True)\n";

fn start_with_operator_file(name: &str, text: &str) -> (ServerHarness, Peer, LogLines) {
    let (mut server, link) =
        ServerHarness::new_with(name, &operator_file(name, text), |config| with_tenants(config, 5000));
    let lines = LogLines::of(&mut server.server);
    (server, link, lines)
}

/// Returns the text of the server's configuration file.
fn read_config(server: &ServerHarness) -> String {
    std::fs::read_to_string(&server.file).expect("the file")
}

const PAY_CLASS: &str = r#",{"name":"pay","aim-us":3000000,"deadline-us":4000000,"semantics":"unsafe"}"#;
const BOOK_CLASS: &str =
    r#"{"name":"book","aim-us":3000000,"deadline-us":4000000,"semantics":"keyed","memory-span-us":5000000}"#;
const STATS_CLASS: &str = r#",{"name":"stats","aim-us":3000000,"deadline-us":4000000,"semantics":"safe"}"#;

#[test]
fn added_classes_are_served_and_requests_continue() {
    let (mut server, mut link, lines) = start_with_operator_file("changes", SETTINGS_MAY_CHANGE);
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "pay", ",\"owner\":\"b\""));
    let old = read_config(&server);
    let new = old
        .replace(PAY_CLASS, STATS_CLASS)
        .replace(r#"{"name":"b","quota-rps":50}"#, r#"{"name":"c","quota-rps":9}"#);
    server.reload(&new);
    let _ = writeln!(server.trace, "{}", next_reload_result(&lines));
    for (n, class, owner) in [(2, "pay", "a"), (3, "view", "b")] {
        gateway.send(&format!("{}\n", request(n, n, class, &format!(",\"owner\":\"{owner}\""))));
        gateway.record_next(&mut server.trace);
    }
    server.start_run(&mut gateway, &mut link, &request(4, 4, "stats", ",\"owner\":\"c\""));
    for (number, n) in [(1, 1), (2, 4)] {
        link.send(&success_notice(number, n));
        gateway.record_next(&mut server.trace);
    }
    server.reload(&old);
    let _ = writeln!(server.trace, "{}", next_reload_result(&lines));
    server.start_run(&mut gateway, &mut link, &request(5, 5, "pay", ",\"owner\":\"b\""));
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 pay 5 hello
        info settings changed op_types="+1 ~0 -1" tenants="+1 ~0 -1" figures=0
        gateway < {"jsonrpc":"2.0","id":2,"error":{"code":-32601,"message":"no such method"}}
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32602,"message":"owner is not known"}}
        runtime < start 0000000000000004 stats 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
        info settings changed op_types="+1 ~0 -1" tenants="+1 ~0 -1" figures=0
        runtime < start 0000000000000005 pay 5 hello
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn keys_of_a_removed_and_readded_class_or_tenant_are_refused() {
    let (mut server, mut link, lines) = start_with_operator_file("back", SETTINGS_MAY_CHANGE);
    let mut gateway = server.connect_gateway();
    let old = read_config(&server);
    let keyed = |n: u32, owner: &str, key: &str| {
        request(n, n, "book", &format!(",\"owner\":\"{owner}\",\"opkey\":\"{key}\""))
    };
    for (n, owner) in [(1, "a"), (2, "b")] {
        server.start_run(&mut gateway, &mut link, &keyed(n, owner, "k"));
        link.send(&success_notice(n, n));
        gateway.record_next(&mut server.trace);
    }
    let without =
        [old.replace(&format!(",\n {BOOK_CLASS}"), ""), old.replace(r#",{"name":"b","quota-rps":50}"#, "")];
    for (round, without) in without.iter().enumerate() {
        for config in [without, &old] {
            server.reload(config);
            let _ = writeln!(server.trace, "{}", next_reload_result(&lines));
        }
        // The first round removes the class of both keys, the second the tenant of the second key.
        for (n, owner) in [(3, "a"), (4, "b")] {
            let n = n + 4 * round as u32;
            gateway.send(&format!("{}\n", keyed(n, owner, "k")));
            gateway.record_next(&mut server.trace);
        }
        let n = 5 + 4 * round as u32;
        server.start_run(&mut gateway, &mut link, &keyed(n, "b", &format!("new{round}")));
        link.send(&success_notice(3 + round as u32, n));
        gateway.record_next(&mut server.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 book 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 book 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        info settings changed op_types="+0 ~0 -1" tenants="+0 ~0 -0" figures=0
        info settings changed op_types="+1 ~0 -0" tenants="+0 ~0 -0" figures=0
        gateway < {"jsonrpc":"2.0","id":3,"error":{"code":-32602,"message":"this opkey is another op's"}}
        gateway < {"jsonrpc":"2.0","id":4,"error":{"code":-32602,"message":"this opkey is another op's"}}
        runtime < start 0000000000000005 book 5 hello
        gateway < {"jsonrpc":"2.0","id":5,"result":{"data":"ZG9uZQ=="}}
        info settings changed op_types="+0 ~0 -0" tenants="+0 ~0 -1" figures=0
        info settings changed op_types="+0 ~0 -0" tenants="+1 ~0 -0" figures=0
        gateway < {"jsonrpc":"2.0","id":7,"error":{"code":-32602,"message":"this opkey is another op's"}}
        gateway < {"jsonrpc":"2.0","id":8,"error":{"code":-32602,"message":"this opkey is another op's"}}
        runtime < start 0000000000000009 book 5 hello
        gateway < {"jsonrpc":"2.0","id":9,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn invalid_change_is_logged_and_changes_nothing() {
    let text = "amqp(brokers = [\"127.0.0.1:9\"])\nqueue(name = \"jobs\", op_type = \"view\")\n".to_string()
        + SETTINGS_MAY_CHANGE;
    let (mut server, mut link, lines) = start_with_operator_file("refused", &text);
    let mut gateway = server.connect_gateway();
    let old = read_config(&server);
    let (_runtime, _ledger, other) = ServerHarness::listen_for_peers(&server.listen);
    let with_other_worker = |text: String| {
        // The worker's address changes too, and must not take effect either.
        let at = other.split("\"runtime\":\"").nth(1).and_then(|rest| rest.split('"').next()).expect("one");
        let (before, rest) = text.split_once("\"runtime\":\"").expect("one");
        let text =
            format!("{before}\"runtime\":\"{at}{}", &rest[rest.find('"').expect("the end of the address")..]);
        if text.len() > 8 << 20 { with_length_above_bound(text.trim_end()) } else { text }
    };
    let edits = [
        old.replace("\"memory-span-us\":5000000", "\"memory-span-us\":4000000"),
        old.replace("\"semantics\":\"unsafe\"", "\"semantics\":\"unsafe\",\"colour\":\"red\""),
        old.replace("\"quota-rps\":50}", "\"quota-rps\":-50}"),
        old.replace("\"n-cores\":2", "\"n-cores\":3"),
        old.replace("{\"name\":\"view\"", "{\"name\":\"viewed\""),
        old.replace("\"name\":\"n1\"", "\"name\":\"n2\""),
        old.replace("\"view\"", "\"x\"").replace("\"book\"", "\"y\"").replace("\"pay\"", "\"z\""),
        with_length_above_bound(&old),
        old.replace("\"rules\":{", &format!("\"rules\":{{\"new\":[{}1],", "1,".repeat(5000))),
    ];
    for (n, edit) in (1..).zip(edits) {
        server.reload(&with_other_worker(edit));
        let line = next_reload_result(&lines);
        let line = line.split_once("ROUTER_CONFIG: ").map_or(line.clone(), |(before, rest)| {
            format!("{before}ROUTER_CONFIG: FILE{}", &rest[rest.find(": ").expect("a reason")..])
        });
        let _ = writeln!(server.trace, "{line}");
        server.start_run(&mut gateway, &mut link, &request(n, n, "view", ",\"owner\":\"a\""));
        link.send(&success_notice(n, n));
        gateway.record_next(&mut server.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        error reload refused, configuration unchanged why="settings: op_types.book.window_us: shorter than the window of keys that are still stored; the change requires a restart"
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        error reload refused, configuration unchanged why="settings: op_types.colour: unknown key, absent at the start"
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        error reload refused, configuration unchanged why="settings: setting tenants.0.quota_per_s is out of range: -50"
        runtime < start 0000000000000003 view 5 hello
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
        error reload refused, configuration unchanged why="settings: server.cores: the change requires a restart"
        runtime < start 0000000000000004 view 5 hello
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
        error reload refused, configuration unchanged why="settings.lanes: view: in use by the operator's file"
        runtime < start 0000000000000005 view 5 hello
        gateway < {"jsonrpc":"2.0","id":5,"result":{"data":"ZG9uZQ=="}}
        error reload refused, keys may not change keys=name
        runtime < start 0000000000000006 view 5 hello
        gateway < {"jsonrpc":"2.0","id":6,"result":{"data":"ZG9uZQ=="}}
        error reload refused, configuration unchanged why="settings.lanes: view: in use by the operator's file"
        runtime < start 0000000000000007 view 5 hello
        gateway < {"jsonrpc":"2.0","id":7,"result":{"data":"ZG9uZQ=="}}
        error reload refused, configuration unchanged why="ROUTER_CONFIG: FILE: 8388609 bytes, at most 8388608 allowed"
        runtime < start 0000000000000008 view 5 hello
        gateway < {"jsonrpc":"2.0","id":8,"result":{"data":"ZG9uZQ=="}}
        error reload refused, configuration unchanged why="settings: 5018 keys, at most 4096 allowed"
        runtime < start 0000000000000009 view 5 hello
        gateway < {"jsonrpc":"2.0","id":9,"result":{"data":"ZG9uZQ=="}}
    "#]].assert_eq(&server.trace);
}

#[test]
fn settings_do_not_change_without_the_operators_permission() {
    let (mut server, mut link, lines) = start_with_operator_file("unsaid", "");
    let mut gateway = server.connect_gateway();
    let old = read_config(&server);
    for new in [old.replace(PAY_CLASS, STATS_CLASS), old.replace("\"importance\":1", "\"importance\":2")] {
        server.reload(&new);
        let _ = writeln!(server.trace, "{}", next_reload_result(&lines));
    }
    gateway.send(&format!("{}\n", request(1, 1, "stats", ",\"owner\":\"a\"")));
    gateway.record_next(&mut server.trace);
    server.start_run(&mut gateway, &mut link, &request(2, 2, "pay", ",\"owner\":\"a\""));
    expect_test::expect![[r#"
        runtime < sync 0
        error reload refused, keys may not change keys=settings
        error reload refused, keys may not change keys=settings
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32601,"message":"no such method"}}
        runtime < start 0000000000000002 pay 5 hello
    "#]]
    .assert_eq(&server.trace);
}

#[test]
fn changes_apply_before_the_worker_is_up_and_while_draining() {
    let first = operator_file("edges", SETTINGS_MAY_CHANGE);
    let mut server = ServerHarness::started_with("edges", &first, |config| with_tenants(config, 5000));
    let lines = LogLines::of(&mut server.server);
    let mut link = server.accept_worker_link();
    let old = read_config(&server);
    server.reload(&old.replace(PAY_CLASS, STATS_CLASS));
    let _ = writeln!(server.trace, "{}", next_reload_result(&lines));
    link.send("ready hot 1000\r\n");
    link.record_next(&mut server.trace);
    let mut gateway = server.connect_gateway();
    server.start_run(&mut gateway, &mut link, &request(1, 1, "stats", ",\"owner\":\"a\""));
    server.signal("-TERM");
    let _ = writeln!(server.trace, "{}", lines.next(&["mode draining"]));
    server.reload(&old);
    let _ = writeln!(server.trace, "{}", next_reload_result(&lines));
    link.send(&success_notice(1, 1));
    gateway.record_next(&mut server.trace);
    gateway.record_next(&mut server.trace);
    server.wait_for_exit();
    expect_test::expect![[r#"
        runtime < sync 0
        info settings changed op_types="+1 ~0 -1" tenants="+0 ~0 -0" figures=0
        runtime < start 0000000000000001 stats 5 hello
        info mode draining in_hand=1
        info settings changed op_types="+1 ~0 -1" tenants="+0 ~0 -0" figures=0
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        gateway < {"jsonrpc":"2.0","method":"farewell"}
        exit Some(0)
    "#]]
    .assert_eq(&server.trace);
}

/// Pads a configuration with blanks to one byte over the bound.
fn with_length_above_bound(config: &str) -> String {
    config.to_string() + &" ".repeat((8 << 20) + 1 - config.len())
}

/// Replaces the request classes and tenants with these numbers of generated ones.
fn with_classes_and_tenants(config: &str, request_classes: usize, tenants: usize) -> String {
    let lane =
        |i| format!(r#"{{"name":"route-{i}","aim-us":3000000,"deadline-us":4000000,"semantics":"safe"}}"#);
    let org = |i| format!(r#"{{"name":"tenant-{i}","quota-rps":50}}"#);
    let list = |count: usize, of: &dyn Fn(usize) -> String| (0..count).map(of).collect::<Vec<_>>().join(",");
    let (before, rest) = config.split_once("\"lanes\":[").expect("lanes");
    let rest = &rest[rest.find("],").expect("the end of lanes") + 2..];
    format!("{before}\"lanes\":[{}],\"orgs\":[{}],{rest}", list(request_classes, &lane), list(tenants, &org))
}

#[test]
fn largest_planned_settings_are_served_within_memory() {
    let (mut server, mut link) =
        ServerHarness::new_with("large", "", |config| with_classes_and_tenants(&config, 8_700, 42_000));
    let mut gateway = server.connect_gateway();
    for (n, i) in [(1, 0), (2, 4_096), (3, 8_699)] {
        let owner = format!(",\"owner\":\"tenant-{}\"", i * 41_999 / 8_699);
        server.start_run(&mut gateway, &mut link, &request(n, n, &format!("route-{i}"), &owner));
        link.send(&success_notice(n, n));
        gateway.record_next(&mut server.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        runtime < start 0000000000000001 route-0 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000002 route-4096 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        runtime < start 0000000000000003 route-8699 5 hello
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
    "#]]
    .assert_eq(&server.trace);
    let status = std::fs::read_to_string(format!("/proc/{}/status", server.server.id())).expect("its status");
    let kb = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:")?.trim().strip_suffix(" kB")?.parse().ok());
    let mb = kb.map(|kb: u64| kb / 1024);
    assert!(mb.is_some_and(|mb| mb <= 16), "{mb:?} MB anonymous");
}

#[test]
fn settings_over_a_bound_are_refused_with_both_numbers() {
    let mut seen = String::new();
    let edits: [&dyn Fn(String) -> String; 4] = [
        &|config| with_classes_and_tenants(&config, 17_401, 2),
        &|config| with_classes_and_tenants(&config, 2, 84_001),
        &|config| config.replace("\"rules\":{", &format!("\"rules\":{{\"new\":[{}1],", "1,".repeat(5000))),
        &|config| with_length_above_bound(&config),
    ];
    for (i, edit) in edits.into_iter().enumerate() {
        let (_listen, _runtime, _ledger, config) = ServerHarness::prepare();
        let name = format!("over{i}");
        let server = start(&name, &edit(config), "");
        let out = server.wait_with_output().expect("the server ends");
        let text =
            String::from_utf8_lossy(&out.stderr).replace(&config_file(&name).display().to_string(), "FILE");
        let text = text.split_once(' ').map_or("", |(_, text)| text.trim_end());
        let _ = writeln!(seen, "{text}, exit {:?}", out.status.code());
    }
    expect_test::expect![[r#"
        error start refused why="settings.lanes: 17401 entries, at most 17400 allowed", exit Some(2)
        error start refused why="settings.orgs: 84001 entries, at most 84000 allowed", exit Some(2)
        error start refused why="settings: 5018 keys, at most 4096 allowed", exit Some(2)
        error start refused why="ROUTER_CONFIG: FILE: 8388609 bytes, at most 8388608 allowed", exit Some(2)
    "#]]
    .assert_eq(&seen);
}
