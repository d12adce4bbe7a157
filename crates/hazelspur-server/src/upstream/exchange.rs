//! One HTTP call on an open connection and its reply.

use hazelspur_parsers::Buffer;
use hazelspur_parsers::http::{self, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Writes a whole call and reads until its reply is there, as `http::ResponseReader` gives it.
pub async fn exchange(stream: &mut TcpStream, call: &[u8], mark: &str) -> Result<Response, String> {
    stream.write_all(call).await.map_err(|e| e.to_string())?;
    let (mut buffer, mut reply) = (Buffer::default(), http::ResponseReader::default());
    while stream.read_buf(buffer.room()).await.map_err(|e| e.to_string())? > 0 {
        if let Some(reply) = reply.read(&mut buffer, mark).map_err(|error| error.to_string())? {
            return Ok(reply);
        }
    }
    Err("closed".into())
}
