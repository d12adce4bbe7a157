//! Exchange of one HTTP request and its response on an open connection.

use hazelspur_parsers::Buffer;
use hazelspur_parsers::http::{self, Response};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Error of an exchange that got no response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// Reading from or writing to the connection failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The response is not valid HTTP, or exceeds a bound.
    #[error(transparent)]
    InvalidReply(#[from] http::HttpError),
    /// The connection was closed before the end of the response.
    #[error("connection closed before the end of the response")]
    Closed,
}

/// Writes an encoded request and reads its response. `flag_header` is the name of the header that sets
/// `Response::is_flagged`.
///
/// # Errors
/// Returns an error if the connection fails or is closed, or if the response is invalid.
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
