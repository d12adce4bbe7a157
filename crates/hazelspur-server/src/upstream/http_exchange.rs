//! One HTTP call on an open connection, and its reply.

use hazelspur_parsers::{Buffer, http};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A reply to an HTTP call.
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// Whether the reply carries the header that the caller asked for.
    pub marked: bool,
    /// Whether the connection may carry another call.
    pub reusable: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a call got no reply.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The reply is not valid HTTP, or exceeds a bound.
    #[error("{0}")]
    InvalidReply(String),
    /// The connection ended before the reply did.
    #[error("closed")]
    Closed,
}

/// Writes a whole call and reads its reply; `mark` names the header that `HttpReply::marked` is about.
pub async fn exchange(stream: &mut TcpStream, call: &[u8], mark: &str) -> Result<HttpReply, ExchangeError> {
    stream.write_all(call).await?;
    let mut buffer = Buffer::default();
    let mut reply = http::Reply::default();
    while stream.read_buf(buffer.room()).await? > 0 {
        let read = reply.read(&mut buffer, mark);
        let complete = read.map_err(|e| ExchangeError::InvalidReply(e.to_string()))?;
        if let Some((status, marked, reusable, body)) = complete {
            return Ok(HttpReply { status, marked, reusable, body });
        }
    }
    Err(ExchangeError::Closed)
}
