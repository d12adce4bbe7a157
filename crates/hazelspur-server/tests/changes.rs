//! Settings of the size in two years, and settings that change while the server serves.

mod town;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::process::Child;
use std::sync::mpsc::{Receiver, channel};
use town::*;

/// What the server says on standard error, as it comes.
struct Lines(Receiver<String>);

impl Lines {
    fn of(server: &mut Child) -> Self {
        let (to, from) = channel();
        let stderr = server.stderr.take().expect("piped");
        std::thread::spawn(move || {
            BufReader::new(stderr).lines().map_while(Result::ok).for_each(|line| drop(to.send(line)));
        });
        Self(from)
    }

    /// The next line with one of these words in it, without its time.
    fn next(&self, words: &[&str]) -> String {
        loop {
            let line = self.0.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no line with {words:?}"));
            if words.iter().any(|word| line.contains(word)) {
                return line.split_once(' ').map_or("", |(_, text)| text).to_string();
            }
        }
    }

    fn reloaded(&self) -> String {
        self.next(&["reload refused", "settings changed"])
    }
}

/// Has the operator's file say this, by the environment of the server's shell.
fn operator(name: &str, text: &str) -> String {
    let path = file(name).with_extension("star");
    std::fs::write(&path, text).expect("a file");
    format!("export HAZELSPUR_FILE={};", path.display())
}

const CHANGES: &str = "reload(settings = True)\n";

fn prepared(name: &str, text: &str) -> (Town, End, Lines) {
    let (mut town, link) = Town::with(name, &operator(name, text), |config| customers(config, 5000));
    let lines = Lines::of(&mut town.server);
    (town, link, lines)
}

/// What the server goes by, edited.
fn file_of(town: &Town) -> String {
    std::fs::read_to_string(&town.file).expect("the file")
}

const PAY: &str = r#",{"name":"pay","aim-us":3000000,"deadline-us":4000000,"semantics":"unsafe"}"#;
const BOOK: &str =
    r#"{"name":"book","aim-us":3000000,"deadline-us":4000000,"semantics":"keyed","memory-span-us":5000000}"#;
const STATS: &str = r#",{"name":"stats","aim-us":3000000,"deadline-us":4000000,"semantics":"safe"}"#;

#[test]
fn what_is_new_is_served_at_once_and_what_is_in_hand_goes_on() {
    let (mut town, mut link, lines) = prepared("changes", CHANGES);
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "pay", ",\"owner\":\"b\""));
    let old = file_of(&town);
    let new =
        old.replace(PAY, STATS).replace(r#"{"name":"b","quota-rps":50}"#, r#"{"name":"c","quota-rps":9}"#);
    town.reload(&new);
    let _ = writeln!(town.trace, "{}", lines.reloaded());
    for (n, class, owner) in [(2, "pay", "a"), (3, "view", "b")] {
        gateway.say(&format!("{}\n", request(n, n, class, &format!(",\"owner\":\"{owner}\""))));
        gateway.hear(&mut town.trace);
    }
    town.run(&mut gateway, &mut link, &request(4, 4, "stats", ",\"owner\":\"c\""));
    for (number, n) in [(1, 1), (2, 4)] {
        link.say(&done(number, n));
        gateway.hear(&mut town.trace);
    }
    town.reload(&old);
    let _ = writeln!(town.trace, "{}", lines.reloaded());
    town.run(&mut gateway, &mut link, &request(5, 5, "pay", ",\"owner\":\"b\""));
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
    .assert_eq(&town.trace);
}

#[test]
fn a_key_whose_type_or_tenant_went_and_came_back_runs_no_second_time_and_gives_no_old_result() {
    let (mut town, mut link, lines) = prepared("back", CHANGES);
    let mut gateway = town.gateway();
    let old = file_of(&town);
    let keyed = |n: u32, owner: &str, key: &str| {
        request(n, n, "book", &format!(",\"owner\":\"{owner}\",\"opkey\":\"{key}\""))
    };
    for (n, owner) in [(1, "a"), (2, "b")] {
        town.run(&mut gateway, &mut link, &keyed(n, owner, "k"));
        link.say(&done(n, n));
        gateway.hear(&mut town.trace);
    }
    let without =
        [old.replace(&format!(",\n {BOOK}"), ""), old.replace(r#",{"name":"b","quota-rps":50}"#, "")];
    for (which, without) in without.iter().enumerate() {
        for config in [without, &old] {
            town.reload(config);
            let _ = writeln!(town.trace, "{}", lines.reloaded());
        }
        // The first time both are of the type before; the second time those of tenant b are of the one before.
        for (n, owner) in [(3, "a"), (4, "b")] {
            let n = n + 4 * which as u32;
            gateway.say(&format!("{}\n", keyed(n, owner, "k")));
            gateway.hear(&mut town.trace);
        }
        let n = 5 + 4 * which as u32;
        town.run(&mut gateway, &mut link, &keyed(n, "b", &format!("new{which}")));
        link.say(&done(3 + which as u32, n));
        gateway.hear(&mut town.trace);
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
    .assert_eq(&town.trace);
}

#[test]
fn a_change_that_does_not_check_costs_a_line_and_nothing_else() {
    let text = "amqp(brokers = [\"127.0.0.1:9\"])\nqueue(name = \"jobs\", op_type = \"view\")\n".to_string()
        + CHANGES;
    let (mut town, mut link, lines) = prepared("refused", &text);
    let mut gateway = town.gateway();
    let old = file_of(&town);
    let (_runtime, _ledger, other) = Town::parties(&town.listen);
    let moved = |text: String| {
        // Its addresses are not taken either.
        let at = other.split("\"runtime\":\"").nth(1).and_then(|rest| rest.split('"').next()).expect("one");
        let (before, rest) = text.split_once("\"runtime\":\"").expect("one");
        let text = format!("{before}\"runtime\":\"{at}{}", &rest[rest.find('"').expect("its end")..]);
        if text.len() > 8 << 20 { longest(text.trim_end()) } else { text }
    };
    let edits = [
        old.replace("\"memory-span-us\":5000000", "\"memory-span-us\":4000000"),
        old.replace("\"semantics\":\"unsafe\"", "\"semantics\":\"unsafe\",\"colour\":\"red\""),
        old.replace("\"quota-rps\":50}", "\"quota-rps\":-50}"),
        old.replace("\"n-cores\":2", "\"n-cores\":3"),
        old.replace("{\"name\":\"view\"", "{\"name\":\"viewed\""),
        old.replace("\"name\":\"n1\"", "\"name\":\"n2\""),
        old.replace("\"view\"", "\"x\"").replace("\"book\"", "\"y\"").replace("\"pay\"", "\"z\""),
        longest(&old),
        old.replace("\"rules\":{", &format!("\"rules\":{{\"new\":[{}1],", "1,".repeat(5000))),
    ];
    for (n, edit) in (1..).zip(edits) {
        town.reload(&moved(edit));
        let line = lines.reloaded();
        let line = line.split_once("ROUTER_CONFIG: ").map_or(line.clone(), |(before, rest)| {
            format!("{before}ROUTER_CONFIG: FILE{}", &rest[rest.find(": ").expect("a reason")..])
        });
        let _ = writeln!(town.trace, "{line}");
        town.run(&mut gateway, &mut link, &request(n, n, "view", ",\"owner\":\"a\""));
        link.say(&done(n, n));
        gateway.hear(&mut town.trace);
    }
    expect_test::expect![[r#"
        runtime < sync 0
        error reload refused, the old configuration stays why="settings: op_types.book.window_us: shorter than that of ops whose keys are kept; waits for the next start"
        runtime < start 0000000000000001 view 5 hello
        gateway < {"jsonrpc":"2.0","id":1,"result":{"data":"ZG9uZQ=="}}
        error reload refused, the old configuration stays why="settings: op_types.colour: an unknown key, not there at the start"
        runtime < start 0000000000000002 view 5 hello
        gateway < {"jsonrpc":"2.0","id":2,"result":{"data":"ZG9uZQ=="}}
        error reload refused, the old configuration stays why="settings: setting tenants.0.quota_per_s is absurd: -50"
        runtime < start 0000000000000003 view 5 hello
        gateway < {"jsonrpc":"2.0","id":3,"result":{"data":"ZG9uZQ=="}}
        error reload refused, the old configuration stays why="settings: server.cores: waits for the next start"
        runtime < start 0000000000000004 view 5 hello
        gateway < {"jsonrpc":"2.0","id":4,"result":{"data":"ZG9uZQ=="}}
        error reload refused, the old configuration stays why="settings.lanes: view: the operator's file names it"
        runtime < start 0000000000000005 view 5 hello
        gateway < {"jsonrpc":"2.0","id":5,"result":{"data":"ZG9uZQ=="}}
        error reload refused, the file is not this server's keys=name
        runtime < start 0000000000000006 view 5 hello
        gateway < {"jsonrpc":"2.0","id":6,"result":{"data":"ZG9uZQ=="}}
        error reload refused, the old configuration stays why="settings.lanes: view: the operator's file names it"
        runtime < start 0000000000000007 view 5 hello
        gateway < {"jsonrpc":"2.0","id":7,"result":{"data":"ZG9uZQ=="}}
        error reload refused, the old configuration stays why="ROUTER_CONFIG: FILE: 8388609 bytes, 8388608 at most"
        runtime < start 0000000000000008 view 5 hello
        gateway < {"jsonrpc":"2.0","id":8,"result":{"data":"ZG9uZQ=="}}
        error reload refused, the old configuration stays why="settings: 5018 figures, 4096 at most"
        runtime < start 0000000000000009 view 5 hello
        gateway < {"jsonrpc":"2.0","id":9,"result":{"data":"ZG9uZQ=="}}
    "#]].assert_eq(&town.trace);
}

#[test]
fn without_the_operators_word_no_setting_changes() {
    let (mut town, mut link, lines) = prepared("unsaid", "");
    let mut gateway = town.gateway();
    let old = file_of(&town);
    for new in [old.replace(PAY, STATS), old.replace("\"importance\":1", "\"importance\":2")] {
        town.reload(&new);
        let _ = writeln!(town.trace, "{}", lines.reloaded());
    }
    gateway.say(&format!("{}\n", request(1, 1, "stats", ",\"owner\":\"a\"")));
    gateway.hear(&mut town.trace);
    town.run(&mut gateway, &mut link, &request(2, 2, "pay", ",\"owner\":\"a\""));
    expect_test::expect![[r#"
        runtime < sync 0
        error reload refused, the file is not this server's keys=settings
        error reload refused, the file is not this server's keys=settings
        gateway < {"jsonrpc":"2.0","id":1,"error":{"code":-32601,"message":"no such method"}}
        runtime < start 0000000000000002 pay 5 hello
    "#]]
    .assert_eq(&town.trace);
}

#[test]
fn a_change_before_the_runtime_is_up_and_one_in_a_drain_hold_too() {
    let first = operator("edges", CHANGES);
    let mut town = Town::started_with("edges", &first, |config| customers(config, 5000));
    let lines = Lines::of(&mut town.server);
    let mut link = town.link();
    let old = file_of(&town);
    town.reload(&old.replace(PAY, STATS));
    let _ = writeln!(town.trace, "{}", lines.reloaded());
    link.say("ready hot 1000\r\n");
    link.hear(&mut town.trace);
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &request(1, 1, "stats", ",\"owner\":\"a\""));
    town.signal("-TERM");
    let _ = writeln!(town.trace, "{}", lines.next(&["mode draining"]));
    town.reload(&old);
    let _ = writeln!(town.trace, "{}", lines.reloaded());
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    gateway.hear(&mut town.trace);
    town.ended();
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
    .assert_eq(&town.trace);
}

/// A byte over what is read, by blanks at its end.
fn longest(config: &str) -> String {
    config.to_string() + &" ".repeat((8 << 20) + 1 - config.len())
}

/// Settings with so many request classes and tenants in place of those that are there.
fn large(config: &str, request_classes: usize, tenants: usize) -> String {
    let lane =
        |i| format!(r#"{{"name":"route-{i}","aim-us":3000000,"deadline-us":4000000,"semantics":"safe"}}"#);
    let org = |i| format!(r#"{{"name":"tenant-{i}","quota-rps":50}}"#);
    let list = |count: usize, of: &dyn Fn(usize) -> String| (0..count).map(of).collect::<Vec<_>>().join(",");
    let (before, rest) = config.split_once("\"lanes\":[").expect("lanes");
    let rest = &rest[rest.find("],").expect("their end") + 2..];
    format!("{before}\"lanes\":[{}],\"orgs\":[{}],{rest}", list(request_classes, &lane), list(tenants, &org))
}

#[test]
fn each_op_type_and_tenant_of_the_size_in_two_years_is_served_to_the_last_within_its_memory() {
    let (mut town, mut link) = Town::with("large", "", |config| large(&config, 8_700, 42_000));
    let mut gateway = town.gateway();
    for (n, i) in [(1, 0), (2, 4_096), (3, 8_699)] {
        let owner = format!(",\"owner\":\"tenant-{}\"", i * 41_999 / 8_699);
        town.run(&mut gateway, &mut link, &request(n, n, &format!("route-{i}"), &owner));
        link.say(&done(n, n));
        gateway.hear(&mut town.trace);
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
    .assert_eq(&town.trace);
    let status = std::fs::read_to_string(format!("/proc/{}/status", town.server.id())).expect("its status");
    let kb = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:")?.trim().strip_suffix(" kB")?.parse().ok());
    let mb = kb.map(|kb: u64| kb / 1024);
    assert!(mb.is_some_and(|mb| mb <= 16), "{mb:?} MB anonymous");
}

#[test]
fn what_passes_a_bound_is_refused_at_the_start_with_both_numbers() {
    let mut seen = String::new();
    let edits: [&dyn Fn(String) -> String; 4] = [
        &|config| large(&config, 17_401, 2),
        &|config| large(&config, 2, 84_001),
        &|config| config.replace("\"rules\":{", &format!("\"rules\":{{\"new\":[{}1],", "1,".repeat(5000))),
        &|config| longest(&config),
    ];
    for (i, edit) in edits.into_iter().enumerate() {
        let (_listen, _runtime, _ledger, config) = Town::prepared();
        let name = format!("over{i}");
        let server = start(&name, &edit(config), "");
        let out = server.wait_with_output().expect("the server ends");
        let text = String::from_utf8_lossy(&out.stderr).replace(&file(&name).display().to_string(), "FILE");
        let text = text.split_once(' ').map_or("", |(_, text)| text.trim_end());
        let _ = writeln!(seen, "{text}, exit {:?}", out.status.code());
    }
    expect_test::expect![[r#"
        error start refused why="settings.lanes: 17401, 17400 at most", exit Some(2)
        error start refused why="settings.orgs: 84001, 84000 at most", exit Some(2)
        error start refused why="settings: 5018 figures, 4096 at most", exit Some(2)
        error start refused why="ROUTER_CONFIG: FILE: 8388609 bytes, 8388608 at most", exit Some(2)
    "#]]
    .assert_eq(&seen);
}
