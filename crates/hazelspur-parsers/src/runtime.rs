//! The runtime's lines of words; where the last word is a length, so many bytes and a line end follow.

use crate::put;

const LONGEST_LINE: usize = 8 * 1024;
const LONGEST_BODY: usize = 1024 * 1024;

/// Where the decoded words go.
pub trait Listener {
    fn ready(&mut self, hot: bool, since_ms: u64);
    fn end(&mut self, number: u64, id: &str, end: &str, result: &[u8]);
    fn wants(&mut self, number: u64, id: &str, body: &[u8]);
    fn load(&mut self, tag: &str, values: &[f64]);
    fn nack(&mut self, command: &str, id: &str);
    fn info(&mut self, number: u64, text: &str);
}

/// Hands on the first message of `bytes` and says how long it was; `None` while it is not all there.
pub fn read(bytes: &[u8], listener: &mut impl Listener) -> Result<Option<usize>, String> {
    let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
        let text = || format!("a line of over {LONGEST_LINE} bytes");
        return if bytes.len() > LONGEST_LINE { Err(text()) } else { Ok(None) };
    };
    // A remark may be any bytes; the words of the others are checked one by one.
    let line = String::from_utf8_lossy(&bytes[..end]);
    let line = line.trim_end_matches('\r');
    let bad = || format!("an unreadable line: {}", line.chars().take(80).collect::<String>());
    let whole = |word: &str| word.parse::<u64>().map_err(|_| bad());
    let words: Vec<&str> = line.split(' ').collect();
    let (mut body, mut used) = (&bytes[..0], end + 1);
    if let ["end" | "wants", .., length] = words[..] {
        let length = length.parse().ok().filter(|n| *n <= LONGEST_BODY).ok_or_else(bad)?;
        let Some(rest) = bytes.get(used..used + length + 2) else { return Ok(None) };
        let (text, tail) = rest.split_at(length);
        if tail != b"\r\n" {
            return Err(format!("no line end after a body: {line}"));
        }
        body = text;
        used += length + 2;
    }
    match words[..] {
        ["ready", state, ms] => listener.ready(state == "hot", whole(ms)?),
        ["end", number, id, end, _ms, _] => listener.end(whole(number)?, id, end, body),
        ["wants", number, id, _] => listener.wants(whole(number)?, id, body),
        ["load", tag, ref values @ ..] => {
            let values: Option<Vec<f64>> = values.iter().map(|v| v.parse().ok()).collect();
            listener.load(tag, &values.ok_or_else(bad)?);
        }
        ["nack", command, id] => listener.nack(command, id),
        ["info", number, ..] => {
            listener.info(whole(number)?, line.splitn(3, ' ').nth(2).unwrap_or_default());
        }
        _ => return Err(bad()),
    }
    Ok(Some(used))
}

pub fn sync(out: &mut Vec<u8>, last: u64) {
    put(out, format_args!("sync {last}\r\n"));
}

pub fn start(out: &mut Vec<u8>, id: &str, class: &str, body: &[u8]) {
    put(out, format_args!("start {id} {class} {}\r\n", body.len()));
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

pub fn stop(out: &mut Vec<u8>, id: &str) {
    put(out, format_args!("stop {id}\r\n"));
}

pub fn give(out: &mut Vec<u8>, id: &str, reply: &[u8]) {
    put(out, format_args!("give {id} {}\r\n", reply.len()));
    out.extend_from_slice(reply);
    out.extend_from_slice(b"\r\n");
}

pub fn gauges(out: &mut Vec<u8>, tag: &str) {
    put(out, format_args!("gauges {tag}\r\n"));
}
