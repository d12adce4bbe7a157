//! HTTP/1.1 as a client speaks it: one call at a time on a connection.

use crate::put;

const LONGEST_HEAD: usize = 16 * 1024;
const LONGEST_BODY: usize = 1024 * 1024;

pub fn write_call(out: &mut Vec<u8>, verb: &str, path: &str, host: &str, more: &[(&str, &str)], body: &[u8]) {
    put(out, format_args!("{verb} {path} HTTP/1.1\r\nHost: {host}\r\n"));
    for (name, value) in more {
        put(out, format_args!("{name}: {value}\r\n"));
    }
    put(out, format_args!("Content-Length: {}\r\n\r\n", body.len()));
    out.extend_from_slice(body);
}

/// The first reply in `bytes`: its status, whether it carries `mark: 1`, whether the connection stays open,
/// and its body. `None` while it is not all there; `closed` says that nothing more will come.
#[allow(clippy::type_complexity)]
pub fn reply(
    bytes: &[u8],
    mark: &str,
    closed: bool,
) -> Result<Option<(u16, bool, bool, Vec<u8>)>, &'static str> {
    let Some(head_end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if bytes.len() > LONGEST_HEAD { Err("the head is too long") } else { Ok(None) };
    };
    let head = std::str::from_utf8(&bytes[..head_end]).map_err(|_| "the head is not text")?;
    let rest = &bytes[head_end + 4..];
    let mut lines = head.split("\r\n");
    let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).ok_or("not HTTP/1")?;
    let (minor, status) = first.split_once(' ').ok_or("no status")?;
    let status: u16 = status.get(..3).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let (mut marked, mut stays, mut length, mut chunked) = (false, minor == "1", None, false);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or("a header without a colon")?;
        let (name, value) = (name.trim(), value.trim());
        if name.eq_ignore_ascii_case(mark) {
            marked = value == "1";
        } else if name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse::<usize>().map_err(|_| "an unreadable length")?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
        } else if name.eq_ignore_ascii_case("connection") {
            stays =
                !value.eq_ignore_ascii_case("close") && (stays || value.eq_ignore_ascii_case("keep-alive"));
        }
    }
    if (100..200).contains(&status) {
        return reply(rest, mark, closed);
    }
    let body = match length {
        _ if status == 204 || status == 304 => Some(Vec::new()),
        _ if chunked => chunks(rest)?,
        Some(length) if length > LONGEST_BODY => return Err("the body is too long"),
        Some(length) => rest.get(..length).map(<[u8]>::to_vec),
        None if rest.len() > LONGEST_BODY => return Err("the body is too long"),
        None => {
            stays = false;
            closed.then(|| rest.to_vec())
        }
    };
    Ok(body.map(|body| (status, marked, stays, body)))
}

fn chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, &'static str> {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|two| two == b"\r\n") else { return Ok(None) };
        let line = std::str::from_utf8(&rest[..end]).map_err(|_| "an unreadable chunk")?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| "an unreadable chunk")?;
        if size > LONGEST_BODY - body.len() {
            return Err("the body is too long");
        }
        rest = &rest[end + 2..];
        if size == 0 {
            let ended = rest.starts_with(b"\r\n") || rest.windows(4).any(|four| four == b"\r\n\r\n");
            return Ok(ended.then_some(body));
        }
        let Some(chunk) = rest.get(..size + 2) else { return Ok(None) };
        if &chunk[size..] != b"\r\n" {
            return Err("an unreadable chunk");
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[size + 2..];
    }
}
