//! HTTP/1.1 client protocol with one request at a time on a connection: writes requests, and reads a response
//! from a buffer as it arrives. Bytes that were searched for the end of the head are not searched again.

use crate::{Buffer, append};
use thiserror::Error;

/// Maximum length of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of the body of a response, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of the size line of a chunk, and of a trailer line, with its line end, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum number of interim responses (status 1xx) before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Maximum number of interim responses and trailer lines of one response together.
const MAX_INTERIM_AND_TRAILERS: u32 = 2 * MAX_INTERIM_RESPONSES;
/// Maximum number of digits of a number.
const MAX_DIGITS: usize = 16;
/// Maximum status code of a response.
const MAX_STATUS: usize = 599;

/// Error in a response. The connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The head exceeds its maximum length.
    #[error("response head exceeds {} bytes", MAX_HEAD_BYTES)]
    HeadTooLong,
    /// Too many interim responses before the final one.
    #[error("more than {} interim responses", MAX_INTERIM_RESPONSES)]
    TooManyInterim,
    /// Too many trailer lines after a chunked body.
    #[error("more than {} interim responses and trailer lines", MAX_INTERIM_AND_TRAILERS)]
    TooManyTrailers,
    /// A chunk has no line end after its data, or the line of a chunk or trailer exceeds its maximum length.
    #[error("chunk without line end, or chunk line longer than {} bytes", MAX_CHUNK_LINE_BYTES)]
    UnreadableChunk,
    /// The head is not UTF-8.
    #[error("response head is not UTF-8")]
    HeadNotUtf8,
    /// The response does not begin with a version of HTTP/1.
    #[error("response is not HTTP/1")]
    NotHttp1,
    /// The status line has no status code.
    #[error("status line has no status code")]
    NoStatus,
    /// The version is unknown, the status code is under 100, or the head has control characters.
    #[error("response head has an unknown version, a status code under 100 or control characters")]
    UnreadableHead,
    /// A header line has no colon.
    #[error("header line has no colon")]
    HeaderWithoutColon,
    /// The name or value of a header has characters that are not allowed there.
    #[error("header has characters that are not allowed in its name or value")]
    UnreadableHeader,
    /// Two content lengths differ, or a chunked response has a content length.
    #[error("response has two different content lengths, or is chunked and has a content length")]
    ConflictingLengths,
    /// The transfer encoding is not chunked.
    #[error("transfer encoding is not chunked")]
    UnknownEncoding,
    /// A response of status 200 has neither a content length nor chunks. A body that ends with its connection
    /// is not accepted, since it may be truncated.
    #[error("response of status 200 has no content length and is not chunked")]
    NoLength,
    /// A status code, content length or chunk size has other characters than digits, or too many digits.
    #[error("status code, content length or chunk size is not a number of 1 to {} digits", MAX_DIGITS)]
    UnreadableNumber,
    /// A status code or the length of a body exceeds its maximum.
    #[error("status code exceeds {}, or body exceeds {} bytes", MAX_STATUS, MAX_BODY_BYTES)]
    NumberOutOfRange,
}

/// Name and value of a header.
pub type Header<'a> = (&'a str, &'a str);

/// Writes a request with a body; `verb` is the HTTP method.
pub fn write_request(out: &mut Vec<u8>, verb: &str, path: &str, host: &str, headers: &[Header], body: &[u8]) {
    append(out, format_args!("{verb} {path} HTTP/1.1\r\nHost: {host}\r\n"));
    for (name, value) in headers {
        append(out, format_args!("{name}: {value}\r\n"));
    }
    append(out, format_args!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(body);
}

/// Complete final response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Whether the flag header, which the caller of `ResponseReader::read` names, has the value 1.
    pub is_flagged: bool,
    /// Whether the connection may be used for another request.
    pub is_reusable: bool,
    /// Body, without the framing of chunks.
    pub body: Vec<u8>,
}

/// Reader of one response, which may arrive in parts.
#[derive(Default)]
pub struct ResponseReader {
    /// Number of unconsumed bytes in which no end of the head was found.
    searched_bytes: usize,
    /// Number of interim responses and trailer lines read so far.
    interim_and_trailers: u32,
    /// Head of the final response, once it was read.
    head: Option<Head>,
    body: Vec<u8>,
}

/// Head of a response, as far as it matters here.
#[derive(Clone, Copy)]
struct Head {
    status: u16,
    is_flagged: bool,
    keeps_connection: bool,
    framing: Framing,
}

/// Framing of a response's body, by which its end is found.
#[derive(Clone, Copy)]
enum Framing {
    /// The body ends after the given number of bytes.
    Length(usize),
    /// The body ends with a chunk of size zero.
    Chunked,
    /// The chunks have ended; trailers follow, up to an empty line.
    Trailers,
}

/// Result of reading one part of the body: the whole, a chunk or a trailer line.
enum Progress {
    /// The part was read and another one follows.
    More,
    /// The part has not arrived completely.
    Incomplete,
    /// The body has ended.
    Complete,
}

impl ResponseReader {
    /// Consumes the bytes of the response from the buffer and returns the response once it is complete.
    /// `flag_header` is the name of the header that sets `Response::is_flagged`. If bytes follow the
    /// response, they belong to no request and the connection is not reusable.
    ///
    /// # Errors
    /// Returns an error if the response is malformed or exceeds a bound.
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

    /// Returns the head of the final response and skips interim responses; `None` while it is incomplete.
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

/// Parses a head without the empty line at its end.
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

/// Values of the header lines that matter here.
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

/// Returns whether a header name consists of the characters that HTTP allows in it.
fn is_token(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.!#$%&'*+^`|~".contains(&b);
    !name.is_empty() && name.bytes().all(is_allowed)
}

/// Returns the first line of `bytes` without its line end; `None` while it is incomplete.
fn chunk_line(bytes: &[u8]) -> Result<Option<&[u8]>, HttpError> {
    let within = &bytes[..bytes.len().min(MAX_CHUNK_LINE_BYTES)];
    match within.windows(2).position(|two| two == b"\r\n") {
        Some(end) => Ok(Some(&bytes[..end])),
        None if within.len() == MAX_CHUNK_LINE_BYTES => Err(HttpError::UnreadableChunk),
        None => Ok(None),
    }
}

/// Parses a number from 0 to `max` that consists of digits only, without a sign.
fn parse_digits(text: &[u8], radix: u32, max: usize) -> Result<usize, HttpError> {
    let has_digits_only = text.iter().all(|b| char::from(*b).is_digit(radix));
    if !(1..=MAX_DIGITS).contains(&text.len()) || !has_digits_only {
        return Err(HttpError::UnreadableNumber);
    }
    let text = std::str::from_utf8(text).map_err(|_| HttpError::UnreadableNumber)?;
    let number = u64::from_str_radix(text, radix).map_err(|_| HttpError::UnreadableNumber)?;
    usize::try_from(number).ok().filter(|number| *number <= max).ok_or(HttpError::NumberOutOfRange)
}
