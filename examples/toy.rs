//! A toy town for one server started with examples/config.json: a runtime, a ledger and a control plane that do
//! as little as they can, and a gateway that asks for one request every second and shows the answer.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const RUN: Duration = Duration::from_millis(80);

fn main() -> io::Result<()> {
    let (runtime, ledger) = (TcpListener::bind("127.0.0.1:7300")?, TcpListener::bind("127.0.0.1:9042")?);
    let control = TcpListener::bind("127.0.0.1:7946")?;
    spawn(move || runtime.incoming().flatten().for_each(|link| drop(spawn(|| serve_link(link)))));
    spawn(move || {
        ledger.incoming().flatten().for_each(|call| drop(spawn(|| answer(call, "200 OK", "noted"))))
    });
    spawn(move || control.incoming().flatten().for_each(|call| drop(spawn(|| answer(call, "204 Done", "")))));
    println!("toy: waiting for a server on 127.0.0.1:10080");
    loop {
        if let Err(e) = ask() {
            println!("toy: no answer: {e}");
        }
        sleep(Duration::from_secs(1));
    }
}

/// One request on a connection of its own.
fn ask() -> io::Result<()> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let mut server = TcpStream::connect("127.0.0.1:10080")?;
    server.set_read_timeout(Some(Duration::from_secs(4)))?;
    let class = if now.is_multiple_of(3) { "order" } else { "look" };
    let request = format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"{class}","params":{{"req":"{now:016x}","ts":{now},"via":1,"timeout":3000,"need":24.5,"level":0.5,"data":"aGVsbG8="}}}}"#
    );
    println!("gateway > {request}");
    writeln!(server, "{request}")?;
    let mut line = String::new();
    BufReader::new(server).read_line(&mut line)?;
    println!("gateway < {}", line.trim_end());
    Ok(())
}

/// Every run works a little, makes one call, works again and ends with its body turned round.
fn serve_link(link: TcpStream) {
    let mut lines = BufReader::new(match link.try_clone() {
        Ok(link) => link,
        Err(e) => return println!("runtime: {e}"),
    });
    let (mut bodies, mut number, mut line) = (BTreeMap::new(), 0, String::new());
    let say = |bytes: &[u8]| (&link).write_all(bytes).is_ok();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.first().is_none_or(|word| *word != "gauges") {
            println!("runtime < {}", line.trim_end());
        }
        let mut body = || {
            let mut body = vec![0; words.last().and_then(|n| n.parse().ok()).unwrap_or(0) + 2];
            lines.read_exact(&mut body).ok()?;
            body.truncate(body.len() - 2);
            Some(body)
        };
        let sent = match words[..] {
            ["sync", _] => say(b"ready hot 1000\r\n"),
            ["gauges", tag] => say(format!("load {tag} 0.1 0 0.0 1\r\n").as_bytes()),
            ["start", id, ..] => {
                let Some(body) = body() else { return };
                bodies.insert(id.to_string(), body);
                sleep(RUN);
                number += 1;
                say(format!("wants {number} {id} 7\r\ncall me\r\n").as_bytes())
            }
            ["give", id, _] => {
                let (Some(_), Some(mut result)) = (body(), bodies.remove(id)) else { return };
                sleep(RUN);
                number += 1;
                result.reverse();
                result.extend_from_slice(b"\r\n");
                say(format!("end {number} {id} complete 160 {}\r\n", result.len() - 2).as_bytes())
                    && say(&result)
            }
            ["stop", id] => {
                number += 1;
                let end = if bodies.remove(id).is_some() { "cancelled" } else { "unknown" };
                say(format!("end {number} {id} {end} 0 0\r\n\r\n").as_bytes())
            }
            _ => say(b"info 0 not understood\r\n"),
        };
        if !sent {
            return;
        }
        line.clear();
    }
}

/// Answers all calls on a connection alike.
fn answer(call: TcpStream, status: &str, body: &str) {
    let mut reader = BufReader::new(&call);
    loop {
        let (mut head, mut length) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            let from = head.len();
            if reader.read_line(&mut head).map_or(true, |n| n == 0) {
                return;
            }
            if let Some(n) = head[from..].to_ascii_lowercase().strip_prefix("content-length:") {
                length = n.trim().parse().unwrap_or(0);
            }
        }
        println!("{} < {}", status, head.lines().next().unwrap_or_default());
        let skipped = io::copy(&mut reader.by_ref().take(length), &mut io::sink());
        let reply = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if skipped.is_err() || (&call).write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}
