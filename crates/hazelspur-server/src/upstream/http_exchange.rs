//! One HTTP call on an open connection, and its reply.

use hazelspur_parsers::Buffer;
use hazelspur_parsers::http::{self, Response};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Why a call got no reply.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The reply is not valid HTTP, or exceeds a bound.
    #[error(transparent)]
    InvalidReply(#[from] http::HttpError),
    /// The connection ended before the reply did.
    #[error("closed")]
    Closed,
}

/// Writes a whole call and reads its reply; `mark` names the header that `Response::is_flagged` is about.
pub async fn exchange(
    stream: &mut TcpStream,
    request: &[u8],
    flag_header: &str,
) -> Result<Response, ExchangeError> {
    stream.write_all(request).await?;
    let mut buffer = Buffer::default();
    let mut reader = http::ResponseReader::default();
    while stream.read_buf(buffer.spare_capacity()).await? > 0 {
        if let Some(response) = reader.read(&mut buffer, flag_header)? {
            return Ok(response);
        }
    }
    Err(ExchangeError::Closed)
}
