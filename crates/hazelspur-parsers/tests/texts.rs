//! Tests of the parsers with complete, split and malformed texts, and of the JSON-RPC and HTTP writers.

use hazelspur_parsers::rpc::{ErrorData, RpcId};
use hazelspur_parsers::{Buffer, Json, http, rpc, runtime};
use std::fmt::Write;

#[test]
fn json_values_are_read_and_malformed_json_is_rejected() {
    let texts = [
        r#" {"a":1.5e1,"b":[true,null,"x\u00e9\ud83d\ude00\n"],"a":2} "#,
        r#"{"a":01}"#,
        r#"{"a":1,}"#,
        r#"{"a":"\x"}"#,
        r#"{"a":"\ud800"}"#,
        "[1 2]",
        "1e999",
        "-",
        "\"tab\there\"",
        &"[".repeat(40),
        &format!("{}1{}", "[".repeat(30), "]".repeat(30)),
        "{} {}",
    ];
    let mut seen = String::new();
    for text in texts {
        let json = Json::parse(text.as_bytes());
        let a = json.and_then(|json| json.table().get("a"));
        let items = json.and_then(|json| json.get("b")).map_or(0, |b| b.items().count());
        let last = json.and_then(|json| json.get("b")?.items().last()?.text());
        let _ = writeln!(
            seen,
            "{} a={:?}/{:?} items={items} last={last:?} number={:?}",
            if json.is_some() { "well-formed" } else { "malformed" },
            a.and_then(Json::number),
            a.and_then(Json::text),
            json.and_then(Json::number),
        );
    }
    expect_test::expect![[r#"
        well-formed a=Some(15.0)/None items=3 last=Some("xé😀\n") number=None
        malformed a=None/None items=0 last=None number=None
        malformed a=None/None items=0 last=None number=None
        malformed a=None/None items=0 last=None number=None
        well-formed a=None/None items=0 last=None number=None
        malformed a=None/None items=0 last=None number=None
        well-formed a=None/None items=0 last=None number=None
        malformed a=None/None items=0 last=None number=None
        malformed a=None/None items=0 last=None number=None
        malformed a=None/None items=0 last=None number=None
        well-formed a=None/None items=0 last=None number=None
        malformed a=None/None items=0 last=None number=None
    "#]]
    .assert_eq(&seen);
}

/// Records the handled messages, one per line.
#[derive(Default)]
struct Recorder(String);

impl runtime::MessageHandler for Recorder {
    fn ready(&mut self, is_warm: bool, uptime_ms: u64) {
        self.0 += &format!("ready {is_warm} {uptime_ms}\n");
    }
    fn run_ended(&mut self, number: u64, id: &str, outcome: &str, result: &[u8]) {
        self.0 += &format!("end {number} {id} {outcome} {result:?}\n");
    }
    fn call_requested(&mut self, number: u64, id: &str, body: &[u8]) {
        self.0 += &format!("wants {number} {id} {body:?}\n");
    }
    fn gauges_received(&mut self, tag: &str, values: &[f64]) {
        self.0 += &format!("load {tag} {values:?}\n");
    }
    fn command_rejected(&mut self, command: &str, id: &str) {
        self.0 += &format!("nack {command} {id}\n");
    }
    fn info(&mut self, number: u64, text: &str) {
        self.0 += &format!("info {number} {text}\n");
    }
}

#[test]
fn runtime_messages_are_read_whole_however_they_are_split() {
    let text =
        b"ready chilly 12\r\nend 1 aa complete 80 3\r\n\r\nx\r\nwants 2 bb 0\r\n\r\nload t 0.5 3 0 12\r\n\
        info 3 all is well\r\nnack give cc\r\n";
    let mut recorder = Recorder::default();
    let mut buffer = Buffer::default();
    for byte in text {
        buffer.spare_capacity().push(*byte);
        while let Some(used) = runtime::read(buffer.unread(), &mut recorder).expect("well-formed messages") {
            buffer.consume(used);
        }
    }
    recorder.0 += &format!("left {}\n", buffer.unread().len());
    for bad in
        ["end 1 aa complete 80 x\r\n", "hello\r\n", "end 1 aa error 0 0\r\nxx", "ready hot -1\r\n", "\r\n"]
    {
        let read = runtime::read(bad.as_bytes(), &mut Recorder::default()).map_err(|error| error.to_string());
        recorder.0 += &format!("{read:?}\n");
    }
    let endless = [b'x'; 9000];
    let read = runtime::read(&endless, &mut Recorder::default()).map_err(|error| error.to_string());
    recorder.0 += &format!("{read:?}\n");
    expect_test::expect![[r#"
        ready false 12
        end 1 aa complete [13, 10, 120]
        wants 2 bb []
        load t [0.5, 3.0, 0.0, 12.0]
        info 3 all is well
        nack give cc
        left 0
        Err("unreadable line: end 1 aa complete 80 x")
        Err("unreadable line: hello")
        Err("no line end after the body of: end 1 aa error 0 0")
        Err("unreadable line: ready hot -1")
        Err("unreadable line: ")
        Err("line exceeds 8192 bytes")
    "#]]
    .assert_eq(&recorder.0);
}

#[test]
fn http_responses_are_read_whole_or_rejected() {
    let responses = [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nx-untouched: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 204 Done\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 503 Full\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nX: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\n",
        &format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", "0".repeat(300)),
        "HTTP/1.0 200 OK\r\n\r\nto the end",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: \u{1}\r\n\r\n",
        "SMTP 200\r\n\r\n",
        "HTTP/1.1 2",
        &"HTTP/1.1 100 Continue\r\n\r\n".repeat(9),
        &"x".repeat(9000),
    ];
    let mut seen = String::new();
    for text in responses {
        let (mut buffer, mut reader) = (Buffer::default(), http::ResponseReader::default());
        let mut read = |piece: &[u8]| {
            buffer.spare_capacity().extend_from_slice(piece);
            let read = reader.read(&mut buffer, "X-Untouched");
            read.map(|read| read.map(|r| (r.status, r.is_flagged, r.is_reusable, String::from_utf8(r.body))))
                .map_err(|error| error.to_string())
        };
        let read = text.as_bytes().chunks(3).map(&mut read).find(|read| !matches!(read, Ok(None)));
        let _ = writeln!(seen, "{:?}", read.unwrap_or(Ok(None)));
    }
    let mut out = Vec::new();
    http::write_request(&mut out, "PUT", "/x", "h:1", &[("X-A", "b")], b"body");
    seen += &String::from_utf8_lossy(&out).replace("\r\n", "|");
    expect_test::expect![[r#"
        Ok(Some((200, false, false, Ok("abc"))))
        Ok(None)
        Ok(Some((503, true, true, Ok(""))))
        Ok(Some((204, false, false, Ok(""))))
        Ok(Some((503, false, false, Ok(""))))
        Ok(Some((200, false, true, Ok("abcd"))))
        Err("status code, content length or chunk size is not a number of 1 to 16 digits")
        Err("chunk without line end, or chunk line longer than 256 bytes")
        Err("response of status 200 has no content length and is not chunked")
        Err("status code, content length or chunk size is not a number of 1 to 16 digits")
        Err("status code, content length or chunk size is not a number of 1 to 16 digits")
        Err("status code exceeds 599, or body exceeds 65536 bytes")
        Err("response has two different content lengths, or is chunked and has a content length")
        Err("response has two different content lengths, or is chunked and has a content length")
        Err("status code exceeds 599, or body exceeds 65536 bytes")
        Err("header has characters that are not allowed in its name or value")
        Err("response head has an unknown version, a status code under 100 or control characters")
        Err("response is not HTTP/1")
        Ok(None)
        Err("more than 8 interim responses")
        Err("response head exceeds 8192 bytes")
        PUT /x HTTP/1.1|Host: h:1|X-A: b|Content-Length: 4||body"#]]
    .assert_eq(&seen);
}

#[test]
fn json_rpc_messages_are_written_one_per_line() {
    let mut out = Vec::new();
    rpc::write_result(&mut out, RpcId(7), b"done", Some(0.25));
    rpc::write_health(&mut out, RpcId(8), true, None);
    let full = ErrorData {
        retry_after_ms: Some(250.0),
        do_not_retry_elsewhere: true,
        advertised_capacity: Some(1.0),
    };
    rpc::write_error(&mut out, Some(RpcId(9)), rpc::REJECTED, "refused", full);
    let last = ErrorData { do_not_retry_elsewhere: true, ..ErrorData::default() };
    rpc::write_error(&mut out, Some(RpcId(9)), rpc::REJECTED, "refused", last);
    rpc::write_error(&mut out, None, rpc::PARSE_ERROR, "a \"quote\"\n", ErrorData::default());
    rpc::write_goodbye(&mut out);
    let lines = String::from_utf8(out).expect("the messages are UTF-8");
    assert!(lines.lines().all(|line| Json::parse(line.as_bytes()).is_some()));
    expect_test::expect![[r#"
        {"jsonrpc":"2.0","id":7,"result":{"data":"ZG9uZQ==","signal":0.25}}
        {"jsonrpc":"2.0","id":8,"result":{"ready":true}}
        {"jsonrpc":"2.0","id":9,"error":{"code":-32011,"message":"refused","data":{"holdoff":250,"nomore":1,"signal":1}}}
        {"jsonrpc":"2.0","id":9,"error":{"code":-32011,"message":"refused","data":{"nomore":1}}}
        {"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"a \"quote\"\u000a"}}
        {"jsonrpc":"2.0","method":"farewell"}
    "#]].assert_eq(&lines);
}
