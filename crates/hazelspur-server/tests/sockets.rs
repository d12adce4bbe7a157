//! The built server between stand-ins for its gateway, runtime, ledger and control plane, step by step.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SETTINGS: &str = r#"{"family-info":{"n-cores":2,"mem-limit-kb":100000,"run-factor":8,"stop-mode":"drop",
 "meters":["core_use","on_cores"],"calls-out":50,"calls-over-us":5000000,"passes-deadline":true,"share-for-us":500000},
 "lanes":[{"name":"view","aim-us":3000000,"deadline-us":4000000,"semantics":"safe","importance":1},
 {"name":"book","aim-us":3000000,"deadline-us":4000000,"semantics":"keyed","memory-span-us":5000000}],
 "rules":{"fall-multiple":8,"cold-share":0.2,"cold-us":10000000,"drain-grace-us":300000},
 "limits":{"retry-after":true,"max-retry-after-us":1000000},"servers":1}"#;

static TOWNS: AtomicUsize = AtomicUsize::new(0);
const PATIENCE: Duration = Duration::from_secs(5);

/// One end of a connection, with what was seen on all of them.
struct End {
    name: &'static str,
    stream: BufReader<TcpStream>,
}

struct Town {
    server: Child,
    listen: String,
    runtime: TcpListener,
    ledger: TcpListener,
    file: PathBuf,
    trace: String,
}

fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// The next connection, or a failed test.
fn accept(listener: &TcpListener) -> TcpStream {
    let until = Instant::now() + PATIENCE;
    listener.set_nonblocking(true).expect("a mode");
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a mode");
                return stream;
            }
            Err(e) => assert!(Instant::now() < until, "no connection came: {e}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis()
}

fn op(id: u32, req: u32, class: &str, more: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"req":"{req:016x}","ts":{},"via":1,"timeout":4000,"need":20.5,"level":0.5,"data":"aGVsbG8="{more}}}}}"#,
        now_ms()
    )
}

fn file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("hazelspur-{}-{name}.json", std::process::id()))
}

/// Starts the program with this configuration, through a shell that may set limits first.
fn start(name: &str, config: &str, first: &str) -> Child {
    let file = file(name);
    std::fs::write(&file, config).expect("a file");
    let program = env!("CARGO_BIN_EXE_hazelspur-server");
    let mut shell = Command::new("/bin/sh");
    shell.args(["-c", &format!("{first} exec {program}")]).env("ROUTER_CONFIG", &file);
    shell.stderr(Stdio::piped()).spawn().expect("the server starts")
}

impl Town {
    /// With a runtime that is up.
    fn new(name: &str, first: &str) -> (Self, End) {
        let mut town = Self::started(name, first);
        let mut link = town.link();
        link.say("ready hot 1000\r\n");
        link.hear(&mut town.trace);
        (town, link)
    }

    fn started(name: &str, first: &str) -> Self {
        // an address of its own: a port that is free now may else be another test's a moment later
        let number = TOWNS.fetch_add(1, Ordering::Relaxed);
        let free = TcpListener::bind(format!("127.77.{}.{}:0", std::process::id() % 250, 1 + number));
        let listen = free.and_then(|free| free.local_addr()).expect("a free port").to_string();
        let (runtime, ledger, config) = Self::parties(&listen);
        let server = start(name, &config, first);
        Self { server, listen, runtime, ledger, file: file(name), trace: String::new() }
    }

    /// New stand-ins, and the configuration that leads to them.
    fn parties(listen: &str) -> (TcpListener, TcpListener, String) {
        let ((runtime, at_runtime), (ledger, at_ledger)) = (listener(), listener());
        let (control, at_control) = listener();
        std::thread::spawn(move || {
            for stream in control.incoming().flatten() {
                std::thread::spawn(move || {
                    let mut reports = BufReader::new(stream);
                    while reports.read_line(&mut String::new()).is_ok_and(|n| n > 2) {}
                    let _ =
                        reports.get_mut().write_all(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
                });
            }
        });
        let config = format!(
            r#"{{"name":"n1","listen":"{listen}","runtime":"{at_runtime}","ledger":"{at_ledger}","control":"{at_control}","seed":"000000000000002a","stop_ms":1500,"settings":{SETTINGS}}}"#
        );
        (runtime, ledger, config)
    }

    /// Sends an op and notes the command that it brings.
    fn run(&mut self, gateway: &mut End, link: &mut End, op: &str) {
        gateway.say(&format!("{op}\n"));
        link.hear(&mut self.trace);
    }

    /// Replaces the configuration, its file too, and says so.
    fn reload(&mut self, config: &str) {
        let aside = self.file.with_extension("new");
        std::fs::write(&aside, config).expect("a file");
        std::fs::rename(&aside, &self.file).expect("one file system");
        self.signal("-HUP");
    }

    /// The server's next link to the runtime.
    fn link(&mut self) -> End {
        let mut link = End::over("runtime", accept(&self.runtime));
        link.hear(&mut self.trace);
        link
    }

    fn gateway(&self) -> End {
        End::over("gateway", TcpStream::connect(&self.listen).expect("the server listens"))
    }

    fn ledger(&self) -> End {
        End::over("ledger", accept(&self.ledger))
    }

    fn signal(&self, name: &str) {
        let id = self.server.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    fn ended(&mut self) {
        let status = self.server.wait().expect("the server ends");
        let _ = writeln!(self.trace, "exit {:?}", status.code());
    }
}

impl Drop for Town {
    fn drop(&mut self) {
        let _ = self.server.kill();
        let _ = self.server.wait();
    }
}

impl End {
    fn over(name: &'static str, stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time limit");
        Self { name, stream: BufReader::new(stream) }
    }

    fn say(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).expect("the server reads");
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) | Err(_) => "(closed)".into(),
            Ok(_) => line.trim_end().into(),
        }
    }

    fn body(&mut self, length: &str) -> String {
        let mut body = vec![0; length.trim().parse().expect("a length")];
        self.stream.read_exact(&mut body).expect("a body");
        String::from_utf8(body).expect("text")
    }

    /// Notes the next message; gauges are answered and passed over, but for those that end a replay.
    fn hear(&mut self, trace: &mut String) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let mut line = if Instant::now() < until { self.line() } else { "(nothing)".into() };
            if let Some(tag) = line.strip_prefix("gauges ") {
                self.say(&format!("load {tag} 0.5 1\r\n"));
                if tag.starts_with("link") {
                    return line;
                }
                continue;
            }
            if let ["start" | "give", .., length] = line.split(' ').collect::<Vec<_>>()[..] {
                let body = self.body(length);
                line = format!("{line} {body}");
                self.line();
            }
            let _ = writeln!(trace, "{} < {line}", self.name);
            return line;
        }
    }

    /// Notes a call to the ledger, without what differs between runs.
    fn hear_call(&mut self, trace: &mut String) {
        let mut seen = self.line();
        let mut length = String::new();
        loop {
            let line = self.line();
            match line.split_once(": ") {
                Some(("X-Txn-Ref", id)) => seen += &format!(" {id}"),
                Some(("Content-Length", n)) => length = n.into(),
                Some(_) => {}
                None => break,
            }
        }
        let body = self.body(&length);
        let _ = writeln!(trace, "{} < {seen} {body}", self.name);
    }
}

/// The notice of a good end.
fn done(number: u32, req: u32) -> String {
    format!("end {number} {} complete 5 4\r\ndone\r\n", id(req))
}

fn id(req: u32) -> String {
    format!("{req:016x}")
}

#[test]
fn an_op_is_run_calls_and_is_answered() {
    let (mut town, mut link) = Town::new("life", "");
    let mut gateway = town.gateway();
    let line = op(7, 1, "view", "");
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
    gateway.say(&format!("{}\n", op(2, 2, "view", "")));
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
fn calls_that_are_refused_are_given_up_after_some_tries() {
    let (mut town, mut link) = Town::new("refused", "");
    town.ledger = listener().0;
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
    link.say(&format!("wants 1 {} 3\r\nask\r\n", id(1)));
    gateway.hear(&mut town.trace);
    link.say(&format!("end 2 {} cancelled 300 0\r\n\r\n", id(1)));
    town.run(&mut gateway, &mut link, &op(2, 2, "view", ""));
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
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
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
    town.run(&mut gateway, &mut link, &op(2, 2, "book", r#","opkey":"k""#));
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
fn after_a_break_of_the_link_only_the_unanswered_goes_out_again() {
    let (mut town, mut link) = Town::new("link", "");
    let mut gateway = town.gateway();
    gateway.say(&format!("{}\n{}\n", op(1, 1, "view", ""), op(2, 2, "view", "")));
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
    gateway.say(&format!("{}\n", op(3, 3, "view", "")));
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
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
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
    town.run(&mut gateway, &mut link, &op(2, 2, "view", ""));
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
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
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

#[test]
fn bad_input_gets_an_error_and_the_rest_goes_on() {
    let (mut town, mut link) = Town::new("input", "");
    let mut other = town.gateway();
    town.run(&mut other, &mut link, &op(1, 1, "view", ""));
    let good = op(9, 9, "view", "");
    let lines = [
        "{".into(),
        "[]".into(),
        "\u{7f}\0".into(),
        r#"{"jsonrpc":"2.0","id":1}"#.into(),
        r#"{"jsonrpc":"2.0","id":2,"method":"view"}"#.into(),
        good.replace("\"2.0\"", "2"),
        good.replace("\"id\":9,", ""),
        good.replace("\"id\":9,", "\"id\":-9,"),
        op(3, 3, "nothing", ""),
        op(4, 4, "view", r#","owner":7"#),
        op(5, 1, "view", ""),
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
    town.run(&mut bad, &mut link, &op(50, 50, "view", ""));
    link.say(&format!("nack start {}\r\n", id(50)));
    bad.hear(&mut town.trace);
    other.say(&format!("{}\n", op(1, 2, "view", "")));
    other.hear(&mut town.trace);
    link.say(&done(1, 1));
    other.hear(&mut town.trace);
    bad.say(&(1..=60).map(|n| format!("{}\n", op(100 + n, 100 + n, "view", ""))).collect::<String>());
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
    silent[2].say(&format!("{}\n", op(9, 9, "nothing", "")));
    silent[2].hear(&mut town.trace);
    town.run(&mut good, &mut link, &op(1, 1, "view", ""));
    link.say(&done(1, 1));
    good.hear(&mut town.trace);
    for end in &mut silent {
        end.hear(&mut town.trace);
        end.hear(&mut town.trace);
    }
    let _ = writeln!(town.trace, "in time {}", begun.elapsed() < Duration::from_millis(2900));
    town.run(&mut good, &mut link, &op(2, 2, "view", ""));
    link.say(&done(2, 2));
    good.hear(&mut town.trace);
    good.say("{\"jsonrpc\":");
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
        gateway < {"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"nothing good came in time"}}
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
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
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
fn a_run_that_never_ends_is_answered_in_time_without_gauges() {
    let (mut town, mut link) = Town::new("mute", "");
    let mut gateway = town.gateway();
    gateway.say(&format!("{}\n", op(1, 1, "view", "").replace(":4000,", ":1500,")));
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
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
    gateway.say("{\"jsonrpc\":\"2.0\",\"method\":\"interrupt\",\"params\":{\"id\":1}}\n");
    link.hear(&mut town.trace);
    link.say(&format!("end 1 {} cancelled 5 0\r\n\r\n", id(1)));
    town.run(&mut half, &mut link, &op(2, 2, "view", ""));
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
fn a_repeat_of_a_kept_op_is_answered_from_the_first() {
    let (mut town, mut link) = Town::new("repeat", "");
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &op(1, 1, "book", r#","opkey":"k""#));
    gateway.say(&format!("{}\n", op(2, 2, "book", r#","opkey":"k""#)));
    std::thread::sleep(Duration::from_millis(30));
    link.say(&done(1, 1));
    gateway.hear(&mut town.trace);
    gateway.hear(&mut town.trace);
    gateway.say(&format!("{}\n", op(3, 3, "book", r#","opkey":"k""#)));
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
    let mut ask = |n: u32| {
        gateway.say(&format!("{}\n", op(n, n, "view", r#","subject":"s""#)));
        std::thread::sleep(Duration::from_millis(30));
    };
    ask(1);
    ask(2);
    link.hear(&mut town.trace);
    link.say(&format!("end 1 {} error 5 0\r\n\r\n", id(1)));
    std::thread::sleep(Duration::from_millis(30));
    ask(3);
    link.hear(&mut town.trace);
    link.say(&done(2, 3));
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

#[test]
fn leaving_answers_what_is_read_and_says_farewell() {
    let (mut town, mut link) = Town::new("leave", "");
    let (mut gateway, mut idle) = (town.gateway(), town.gateway());
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
    town.signal("-TERM");
    std::thread::sleep(Duration::from_millis(100));
    town.run(&mut gateway, &mut link, &op(2, 2, "view", ""));
    idle.hear(&mut town.trace);
    std::thread::sleep(Duration::from_millis(50));
    let refused = TcpStream::connect(&town.listen).is_err();
    let _ = writeln!(town.trace, "refused {refused}");
    gateway.say(&format!("{}\n", op(3, 3, "view", "")));
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
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
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

#[test]
fn a_result_that_came_during_a_pause_is_read_before_time_is_found_to_be_up() {
    let (mut town, mut link) = Town::new("pause", "");
    let mut gateway = town.gateway();
    gateway.say(&format!("{}\n", op(1, 1, "view", "").replace(":4000,", ":1500,")));
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

#[test]
fn a_new_configuration_moves_the_parties_and_keeps_what_is_in_hand() {
    let (mut town, mut link) = Town::new("reload", "");
    let mut gateway = town.gateway();
    town.run(&mut gateway, &mut link, &op(1, 1, "view", ""));
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
