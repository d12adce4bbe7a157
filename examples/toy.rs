//! Minimal stand-ins for the peers of one server that was started with examples/config.json: a worker
//! (printed as `runtime`), a dependency, a control plane, and a gateway that sends one request per second and
//! prints the response.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Duration of each part of a run: before the dependency call and after it.
const WORK_TIME: Duration = Duration::from_millis(80);

fn main() -> io::Result<()> {
    let (worker, dependency) = (TcpListener::bind("127.0.0.1:7300")?, TcpListener::bind("127.0.0.1:9042")?);
    let control_plane = TcpListener::bind("127.0.0.1:7946")?;
    spawn(move || {
        worker.incoming().flatten().for_each(|connection| drop(spawn(|| serve_worker_connection(connection))))
    });
    spawn(move || {
        dependency
            .incoming()
            .flatten()
            .for_each(|connection| drop(spawn(|| serve_http(connection, "200 OK", "noted"))))
    });
    spawn(move || {
        control_plane
            .incoming()
            .flatten()
            .for_each(|connection| drop(spawn(|| serve_http(connection, "204 Done", ""))))
    });
    println!("toy: waiting for a server on 127.0.0.1:10080");
    loop {
        if let Err(e) = send_request() {
            println!("toy: no answer: {e}");
        }
        sleep(Duration::from_secs(1));
    }
}

/// Sends one request on a new connection and prints the response.
fn send_request() -> io::Result<()> {
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

/// Serves runs on a connection of the server: each run works, makes one dependency call, works again and
/// returns the reversed body of its request.
fn serve_worker_connection(connection: TcpStream) {
    let mut lines = BufReader::new(match connection.try_clone() {
        Ok(connection) => connection,
        Err(e) => return println!("runtime: {e}"),
    });
    let (mut bodies, mut notice_number, mut line) = (BTreeMap::new(), 0, String::new());
    let send = |bytes: &[u8]| (&connection).write_all(bytes).is_ok();
    while lines.read_line(&mut line).is_ok_and(|read| read > 0) {
        let words: Vec<&str> = line.split_whitespace().collect();
        if words.first().is_none_or(|word| *word != "gauges") {
            println!("runtime < {}", line.trim_end());
        }
        let mut read_body = || {
            let mut body = vec![0; words.last().and_then(|n| n.parse().ok()).unwrap_or(0) + 2];
            lines.read_exact(&mut body).ok()?;
            body.truncate(body.len() - 2);
            Some(body)
        };
        let sent = match words[..] {
            ["sync", _] => send(b"ready hot 1000\r\n"),
            ["gauges", tag] => send(format!("load {tag} 0.1 0 0.0 1\r\n").as_bytes()),
            ["start", id, ..] => {
                let Some(body) = read_body() else { return };
                bodies.insert(id.to_string(), body);
                sleep(WORK_TIME);
                notice_number += 1;
                send(format!("wants {notice_number} {id} 7\r\ncall me\r\n").as_bytes())
            }
            ["give", id, _] => {
                let (Some(_), Some(mut result)) = (read_body(), bodies.remove(id)) else { return };
                sleep(WORK_TIME);
                notice_number += 1;
                result.reverse();
                result.extend_from_slice(b"\r\n");
                send(format!("end {notice_number} {id} complete 160 {}\r\n", result.len() - 2).as_bytes())
                    && send(&result)
            }
            ["stop", id] => {
                notice_number += 1;
                let outcome = if bodies.remove(id).is_some() { "cancelled" } else { "unknown" };
                send(format!("end {notice_number} {id} {outcome} 0 0\r\n\r\n").as_bytes())
            }
            _ => send(b"info 0 not understood\r\n"),
        };
        if !sent {
            return;
        }
        line.clear();
    }
}

/// Answers every HTTP request on a connection with the same status and body.
fn serve_http(connection: TcpStream, status: &str, body: &str) {
    let mut reader = BufReader::new(&connection);
    loop {
        let (mut head, mut length) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            let line_start = head.len();
            if reader.read_line(&mut head).map_or(true, |read| read == 0) {
                return;
            }
            if let Some(value) = head[line_start..].to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        println!("{} < {}", status, head.lines().next().unwrap_or_default());
        let skipped = io::copy(&mut reader.by_ref().take(length), &mut io::sink());
        let reply = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if skipped.is_err() || (&connection).write_all(reply.as_bytes()).is_err() {
            return;
        }
    }
}
