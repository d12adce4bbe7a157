//! The ledger and the control plane: HTTP/1.1, one call at a time on a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Starts a server that answers each call after `takes` with a status line and the body that `answer` makes.
pub fn start(
    status: &'static str,
    takes: Duration,
    answer: impl Fn(&[u8]) -> Vec<u8> + Clone + Send + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || serve(stream, status, takes, answer));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, status: &str, takes: Duration, answer: impl Fn(&[u8]) -> Vec<u8>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':')
                && name.eq_ignore_ascii_case("content-length")
            {
                length = value.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        std::thread::sleep(takes);
        let body = answer(&body);
        let mut reply = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        reply.extend(body);
        writer.write_all(&reply).ok()?;
    }
}
