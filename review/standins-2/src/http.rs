//! The ledger and the control plane: HTTP/1.1, one call at a time on a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How a server answers.
#[derive(Clone, Copy)]
pub struct Manner {
    pub status: &'static str,
    /// Time that an answer takes.
    pub takes: Duration,
    /// Which answers are followed by a second copy, one in so many, and how much later; none without it.
    pub copies: Option<(u64, Duration)>,
}

/// Starts a server that answers each call with the body that `answer` makes.
pub fn start(
    manner: Manner,
    answer: impl Fn(&[u8]) -> Vec<u8> + Clone + Send + 'static,
) -> std::io::Result<SocketAddr> {
    let answered = Arc::new(AtomicU64::new(0));
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, answered) = (answer.clone(), answered.clone());
            std::thread::spawn(move || serve(stream, manner, &answered, answer));
        }
    });
    Ok(address)
}

fn serve(
    stream: TcpStream,
    manner: Manner,
    answered: &AtomicU64,
    answer: impl Fn(&[u8]) -> Vec<u8>,
) -> Option<()> {
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
        std::thread::sleep(manner.takes);
        let body = answer(&body);
        let mut reply =
            format!("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n", manner.status, body.len()).into_bytes();
        reply.extend(body);
        writer.write_all(&reply).ok()?;
        let count = answered.fetch_add(1, Ordering::SeqCst) + 1;
        if let Some((each, later)) = manner.copies
            && count.is_multiple_of(each)
        {
            // Whatever the next call on the connection is, the copy comes first.
            std::thread::sleep(later);
            writer.write_all(&reply).ok()?;
        }
    }
}
