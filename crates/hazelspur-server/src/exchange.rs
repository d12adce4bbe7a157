//! One HTTP call on an open connection and its reply.

use hazelspur_parsers::{Buffer, http};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Writes a whole call and reads until its reply is there, as `http::reply` gives it.
pub async fn exchange(
    stream: &mut TcpStream,
    call: &[u8],
    mark: &str,
) -> Result<(u16, bool, bool, Vec<u8>), String> {
    stream.write_all(call).await.map_err(|e| e.to_string())?;
    let mut buffer = Buffer::default();
    loop {
        let closed = stream.read_buf(buffer.room()).await.map_err(|e| e.to_string())? == 0;
        match http::reply(buffer.unread(), mark, closed)? {
            Some(reply) => return Ok(reply),
            None if closed => return Err("closed".into()),
            None => {}
        }
    }
}
