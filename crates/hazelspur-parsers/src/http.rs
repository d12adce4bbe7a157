//! HTTP/1.1 as a client speaks it: one call at a time on a connection.

use crate::{Buffer, put};

const LONGEST_HEAD: usize = 8 * 1024;
const LONGEST_BODY: usize = 64 * 1024;
const LONGEST_SIZE_LINE: usize = 256;
/// Interim replies before the one that counts.
const MAX_INTERIM: u32 = 8;

pub fn write_call(out: &mut Vec<u8>, verb: &str, path: &str, host: &str, more: &[(&str, &str)], body: &[u8]) {
    put(out, format_args!("{verb} {path} HTTP/1.1\r\nHost: {host}\r\n"));
    for (name, value) in more {
        put(out, format_args!("{name}: {value}\r\n"));
    }
    put(out, format_args!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(body);
}

/// One reply as it comes in; no byte is looked at twice for longer than a line.
#[derive(Default)]
pub struct Reply {
    looked_at: usize,
    interim: u32,
    head: Option<(u16, bool, bool, Length)>,
    body: Vec<u8>,
}

#[derive(Clone, Copy)]
enum Length {
    Told(usize),
    Chunked,
    /// The chunks are over; trailers follow, up to an empty line.
    Trailers,
}

impl Reply {
    /// Takes what the buffer holds of the reply; once it is whole: its status, whether it carries `mark: 1`,
    /// whether the connection may be used again, and its body. Bytes behind it belong to no call, so the
    /// connection may not. A length must be told: one that only ends with its connection may be cut short.
    #[allow(clippy::type_complexity)]
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        mark: &str,
    ) -> Result<Option<(u16, bool, bool, Vec<u8>)>, &'static str> {
        while self.head.is_none() {
            let unread = buffer.unread();
            let from = self.looked_at.saturating_sub(3);
            let end = unread[from..].windows(4).position(|four| four == b"\r\n\r\n").map(|at| from + at);
            if end.unwrap_or(unread.len()) > LONGEST_HEAD {
                return Err("the head is too long");
            }
            self.looked_at = unread.len();
            let Some(end) = end else { return Ok(None) };
            let head = head(&unread[..end], mark)?;
            buffer.take(end + 4);
            self.looked_at = 0;
            if (100..200).contains(&head.0) {
                self.interim += 1;
                if self.interim > MAX_INTERIM {
                    return Err("too many interim replies");
                }
            } else {
                self.head = Some(head);
            }
        }
        let Some((status, marked, stays, length)) = &mut self.head else { return Ok(None) };
        loop {
            let unread = buffer.unread();
            match *length {
                Length::Told(length) => {
                    let Some(body) = unread.get(..length) else { return Ok(None) };
                    self.body.extend_from_slice(body);
                    buffer.take(length);
                    break;
                }
                Length::Chunked => {
                    let Some(line) = size_line(unread)? else { return Ok(None) };
                    let size = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
                    let size = digits(size, 16, LONGEST_BODY - self.body.len())?;
                    let from = line.len() + 2;
                    if size == 0 {
                        buffer.take(from);
                        *length = Length::Trailers;
                        continue;
                    }
                    let Some(chunk) = unread.get(from..from + size + 2) else { return Ok(None) };
                    if &chunk[size..] != b"\r\n" {
                        return Err("an unreadable chunk");
                    }
                    self.body.extend_from_slice(&chunk[..size]);
                    buffer.take(from + size + 2);
                }
                Length::Trailers => {
                    let Some(line) = size_line(unread)? else { return Ok(None) };
                    let last = line.is_empty();
                    buffer.take(line.len() + 2);
                    self.interim += 1;
                    if last {
                        break;
                    } else if self.interim > 2 * MAX_INTERIM {
                        return Err("too many trailers");
                    }
                }
            }
        }
        let stays = *stays && buffer.unread().is_empty();
        Ok(Some((*status, *marked, stays, std::mem::take(&mut self.body))))
    }
}

/// Reads a head: status, whether `mark: 1` is there, whether the connection stays, how long the body is.
fn head(bytes: &[u8], mark: &str) -> Result<(u16, bool, bool, Length), &'static str> {
    let text = std::str::from_utf8(bytes).map_err(|_| "the head is not text")?;
    let mut lines = text.split("\r\n");
    let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).ok_or("not HTTP/1")?;
    let (minor, rest) = first.split_once(' ').ok_or("no status")?;
    let status = digits(rest.split(' ').next().unwrap_or_default().as_bytes(), 10, 599)? as u16;
    if !matches!(minor, "0" | "1")
        || status < 100
        || text.chars().any(|c| c.is_control() && !"\r\n\t".contains(c))
    {
        return Err("an unreadable head");
    }
    let (mut marked, mut stays, mut length, mut chunked) = (false, minor == "1", None, false);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or("a header without a colon")?;
        let value = value.trim_matches([' ', '\t']);
        if name.is_empty()
            || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.!#$%&'*+^`|~".contains(&b))
            || value.contains(['\r', '\n'])
        {
            return Err("an unreadable header");
        }
        if name.eq_ignore_ascii_case(mark) {
            marked = value == "1";
        } else if name.eq_ignore_ascii_case("content-length") {
            let told = digits(value.as_bytes(), 10, LONGEST_BODY)?;
            if length.replace(told).is_some_and(|other| other != told) {
                return Err("two lengths");
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
            if !chunked {
                return Err("an encoding that is not known");
            }
        } else if name.eq_ignore_ascii_case("connection") {
            stays =
                !value.eq_ignore_ascii_case("close") && (stays || value.eq_ignore_ascii_case("keep-alive"));
        }
    }
    let length = match length {
        _ if (100..200).contains(&status) || status == 204 || status == 304 => Length::Told(0),
        Some(_) if chunked => return Err("two lengths"),
        Some(length) => Length::Told(length),
        None if chunked => Length::Chunked,
        None if status == 200 => return Err("no length"),
        None => {
            stays = false;
            Length::Told(0)
        }
    };
    Ok((status, marked, stays, length))
}

/// The first line of `bytes`, without its end, if it is all there.
fn size_line(bytes: &[u8]) -> Result<Option<&[u8]>, &'static str> {
    let within = &bytes[..bytes.len().min(LONGEST_SIZE_LINE)];
    match within.windows(2).position(|two| two == b"\r\n") {
        Some(end) => Ok(Some(&bytes[..end])),
        None if within.len() == LONGEST_SIZE_LINE => Err("an unreadable chunk"),
        None => Ok(None),
    }
}

/// A number of digits alone, without a sign.
fn digits(text: &[u8], radix: u32, most: usize) -> Result<usize, &'static str> {
    let digits = (1..=16).contains(&text.len()) && text.iter().all(|b| char::from(*b).is_digit(radix));
    let text = std::str::from_utf8(text).ok().filter(|_| digits).ok_or("an unreadable number")?;
    let number = u64::from_str_radix(text, radix).map_err(|_| "an unreadable number")?;
    usize::try_from(number).ok().filter(|n| *n <= most).ok_or("a number out of range")
}
