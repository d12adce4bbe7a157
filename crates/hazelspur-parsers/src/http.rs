//! HTTP/1.1 as a client speaks it: one request at a time on a connection. Reads a response from a buffer as it arrives;
//! no byte is looked at twice for longer than a line.

use crate::{Buffer, append};
use thiserror::Error;

/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The longest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// The longest line before a chunk or among the trailers, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The most interim responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// The most interim responses and trailers of one response together.
const MAX_INTERIM_AND_TRAILERS: u32 = 2 * MAX_INTERIM_RESPONSES;
/// The most digits of a number.
const MAX_DIGITS: usize = 16;
/// The greatest status of a response.
const MAX_STATUS: usize = 599;

/// Why a response can't be read; its connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The head exceeds its bound.
    #[error("the head is too long")]
    HeadTooLong,
    /// Too many interim responses before the final one.
    #[error("too many interim replies")]
    TooManyInterim,
    /// Too many trailers.
    #[error("too many trailers")]
    TooManyTrailers,
    /// A chunk without its line end, or whose size line exceeds its bound.
    #[error("an unreadable chunk")]
    UnreadableChunk,
    /// The head is not UTF-8.
    #[error("the head is not text")]
    HeadNotUtf8,
    /// The response is not one of HTTP/1.
    #[error("not HTTP/1")]
    NotHttp1,
    /// The first line has no status.
    #[error("no status")]
    NoStatus,
    /// The version or status is unknown, or the head has control characters.
    #[error("an unreadable head")]
    UnreadableHead,
    /// A header line has no colon.
    #[error("a header without a colon")]
    HeaderWithoutColon,
    /// The name or value of a header has characters that it must not have.
    #[error("an unreadable header")]
    UnreadableHeader,
    /// Two lengths that differ, or a length and chunks.
    #[error("two lengths")]
    ConflictingLengths,
    /// A transfer encoding other than chunks.
    #[error("an encoding that is not known")]
    UnknownEncoding,
    /// A success whose length is not stated: a body that ends with its connection may be cut short.
    #[error("no length")]
    NoLength,
    /// A number has other characters than digits, or too many of them.
    #[error("an unreadable number")]
    UnreadableNumber,
    /// A number exceeds its bound.
    #[error("a number out of range")]
    NumberOutOfRange,
}

/// Name and value of a header.
pub type Header<'a> = (&'a str, &'a str);

/// Writes a request with a body.
pub fn write_request(out: &mut Vec<u8>, verb: &str, path: &str, host: &str, headers: &[Header], body: &[u8]) {
    append(out, format_args!("{verb} {path} HTTP/1.1\r\nHost: {host}\r\n"));
    for (name, value) in headers {
        append(out, format_args!("{name}: {value}\r\n"));
    }
    append(out, format_args!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(body);
}

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// Whether the mark's header has the value 1.
    pub is_flagged: bool,
    /// Whether the connection may carry another request.
    pub is_reusable: bool,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
}

/// Reads one response as it arrives.
#[derive(Default)]
pub struct ResponseReader {
    /// Unread bytes in which no end of the head was found.
    searched_bytes: usize,
    interim_and_trailers: u32,
    head: Option<Head>,
    body: Vec<u8>,
}

/// What the head of a response says.
#[derive(Clone, Copy)]
struct Head {
    status: u16,
    is_flagged: bool,
    keeps_connection: bool,
    framing: Framing,
}

/// How the body of a response ends.
#[derive(Clone, Copy)]
enum Framing {
    /// After so many bytes.
    Length(usize),
    /// With a chunk of size zero.
    Chunked,
    /// The chunks have ended; trailers follow, up to an empty line.
    Trailers,
}

/// Whether a part of the body was complete.
enum Progress {
    /// More of the body follows.
    More,
    /// More bytes are needed.
    Incomplete,
    /// The body has ended.
    Complete,
}

impl ResponseReader {
    /// Takes what the buffer has of the response and returns it once it is whole; `flag_header` names the header of
    /// `Response::is_flagged`. Bytes behind the response belong to no request, so that the connection is not reusable.
    ///
    /// # Errors
    /// A response that can't be read, or one over a bound.
    pub fn read(&mut self, buffer: &mut Buffer, flag_header: &str) -> Result<Option<Response>, HttpError> {
        let Some(head) = self.read_final_head(buffer, flag_header)? else { return Ok(None) };
        loop {
            match self.read_body(buffer)? {
                Progress::More => {}
                Progress::Incomplete => return Ok(None),
                Progress::Complete => break,
            }
        }
        Ok(Some(Response {
            status: head.status,
            is_flagged: head.is_flagged,
            is_reusable: head.keeps_connection && buffer.unread().is_empty(),
            body: std::mem::take(&mut self.body),
        }))
    }

    /// The head of the final response; passes over interim ones.
    fn read_final_head(&mut self, buffer: &mut Buffer, flag_header: &str) -> Result<Option<Head>, HttpError> {
        while self.head.is_none() {
            let Some(head) = self.read_head(buffer, flag_header)? else { return Ok(None) };
            if is_interim(head.status) {
                self.interim_and_trailers += 1;
                if self.interim_and_trailers > MAX_INTERIM_RESPONSES {
                    return Err(HttpError::TooManyInterim);
                }
            } else {
                self.head = Some(head);
            }
        }
        Ok(self.head)
    }

    fn read_head(&mut self, buffer: &mut Buffer, flag_header: &str) -> Result<Option<Head>, HttpError> {
        let unread = buffer.unread();
        let from = self.searched_bytes.saturating_sub(3);
        let end = unread[from..].windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at);
        if end.unwrap_or(unread.len()) > MAX_HEAD_BYTES {
            return Err(HttpError::HeadTooLong);
        }
        self.searched_bytes = unread.len();
        let Some(end) = end else { return Ok(None) };
        let head = parse_head(&unread[..end], flag_header)?;
        buffer.consume(end + 4);
        self.searched_bytes = 0;
        Ok(Some(head))
    }

    fn read_body(&mut self, buffer: &mut Buffer) -> Result<Progress, HttpError> {
        let Some(head) = &self.head else { return Ok(Progress::Incomplete) };
        match head.framing {
            Framing::Length(length) => Ok(self.read_length(buffer, length)),
            Framing::Chunked => self.read_chunk(buffer),
            Framing::Trailers => self.read_trailer(buffer),
        }
    }

    fn read_length(&mut self, buffer: &mut Buffer, length: usize) -> Progress {
        let Some(body) = buffer.unread().get(..length) else { return Progress::Incomplete };
        self.body.extend_from_slice(body);
        buffer.consume(length);
        Progress::Complete
    }

    fn read_chunk(&mut self, buffer: &mut Buffer) -> Result<Progress, HttpError> {
        let unread = buffer.unread();
        let Some(line) = chunk_line(unread)? else { return Ok(Progress::Incomplete) };
        let size = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let size = parse_digits(size, 16, MAX_BODY_BYTES - self.body.len())?;
        let from = line.len() + 2;
        if size == 0 {
            buffer.consume(from);
            self.head = self.head.map(|head| Head { framing: Framing::Trailers, ..head });
            return Ok(Progress::More);
        }
        let Some(chunk) = unread.get(from..from + size + 2) else { return Ok(Progress::Incomplete) };
        if &chunk[size..] != b"\r\n" {
            return Err(HttpError::UnreadableChunk);
        }
        self.body.extend_from_slice(&chunk[..size]);
        buffer.consume(from + size + 2);
        Ok(Progress::More)
    }

    fn read_trailer(&mut self, buffer: &mut Buffer) -> Result<Progress, HttpError> {
        let Some(line) = chunk_line(buffer.unread())? else { return Ok(Progress::Incomplete) };
        let is_last = line.is_empty();
        let length = line.len() + 2;
        buffer.consume(length);
        self.interim_and_trailers += 1;
        if is_last {
            return Ok(Progress::Complete);
        }
        if self.interim_and_trailers > MAX_INTERIM_AND_TRAILERS {
            return Err(HttpError::TooManyTrailers);
        }
        Ok(Progress::More)
    }
}

fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

fn parse_head(bytes: &[u8], flag_header: &str) -> Result<Head, HttpError> {
    let text = std::str::from_utf8(bytes).map_err(|_| HttpError::HeadNotUtf8)?;
    let mut lines = text.split("\r\n");
    let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1."));
    let (minor, rest) = first.ok_or(HttpError::NotHttp1)?.split_once(' ').ok_or(HttpError::NoStatus)?;
    let status = parse_digits(rest.split(' ').next().unwrap_or_default().as_bytes(), 10, MAX_STATUS)? as u16;
    let is_valid = matches!(minor, "0" | "1") && status >= 100;
    if !is_valid || text.chars().any(|c| c.is_control() && !"\r\n\t".contains(c)) {
        return Err(HttpError::UnreadableHead);
    }
    let mut headers = Headers { keeps_connection: minor == "1", ..Headers::default() };
    lines.try_for_each(|line| headers.add(line, flag_header))?;
    let mut keeps_connection = headers.keeps_connection;
    let framing = match headers.length {
        _ if is_interim(status) || status == 204 || status == 304 => Framing::Length(0),
        Some(_) if headers.is_chunked => return Err(HttpError::ConflictingLengths),
        Some(length) => Framing::Length(length),
        None if headers.is_chunked => Framing::Chunked,
        None if status == 200 => return Err(HttpError::NoLength),
        None => {
            keeps_connection = false;
            Framing::Length(0)
        }
    };
    Ok(Head { status, is_flagged: headers.is_flagged, keeps_connection, framing })
}

/// What the header lines say.
#[derive(Default)]
struct Headers {
    is_flagged: bool,
    keeps_connection: bool,
    length: Option<usize>,
    is_chunked: bool,
}

impl Headers {
    fn add(&mut self, line: &str, flag_header: &str) -> Result<(), HttpError> {
        let (name, value) = line.split_once(':').ok_or(HttpError::HeaderWithoutColon)?;
        let value = value.trim_matches([' ', '\t']);
        if !is_token(name) || value.contains(['\r', '\n']) {
            return Err(HttpError::UnreadableHeader);
        }
        if name.eq_ignore_ascii_case(flag_header) {
            self.is_flagged = value == "1";
        } else if name.eq_ignore_ascii_case("content-length") {
            let length = parse_digits(value.as_bytes(), 10, MAX_BODY_BYTES)?;
            if self.length.replace(length).is_some_and(|other| other != length) {
                return Err(HttpError::ConflictingLengths);
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.is_chunked = value.eq_ignore_ascii_case("chunked");
            if !self.is_chunked {
                return Err(HttpError::UnknownEncoding);
            }
        } else if name.eq_ignore_ascii_case("connection") {
            let keeps = self.keeps_connection || value.eq_ignore_ascii_case("keep-alive");
            self.keeps_connection = !value.eq_ignore_ascii_case("close") && keeps;
        }
        Ok(())
    }
}

fn is_token(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.!#$%&'*+^`|~".contains(&b);
    !name.is_empty() && name.bytes().all(is_allowed)
}

/// The first line of `bytes`, without its end; `None` while it is incomplete.
fn chunk_line(bytes: &[u8]) -> Result<Option<&[u8]>, HttpError> {
    let within = &bytes[..bytes.len().min(MAX_CHUNK_LINE_BYTES)];
    match within.windows(2).position(|two| two == b"\r\n") {
        Some(end) => Ok(Some(&bytes[..end])),
        None if within.len() == MAX_CHUNK_LINE_BYTES => Err(HttpError::UnreadableChunk),
        None => Ok(None),
    }
}

/// A number of digits alone, without a sign.
fn parse_digits(text: &[u8], radix: u32, max: usize) -> Result<usize, HttpError> {
    let has_digits_only = text.iter().all(|b| char::from(*b).is_digit(radix));
    if !(1..=MAX_DIGITS).contains(&text.len()) || !has_digits_only {
        return Err(HttpError::UnreadableNumber);
    }
    let text = std::str::from_utf8(text).map_err(|_| HttpError::UnreadableNumber)?;
    let number = u64::from_str_radix(text, radix).map_err(|_| HttpError::UnreadableNumber)?;
    usize::try_from(number).ok().filter(|number| *number <= max).ok_or(HttpError::NumberOutOfRange)
}
