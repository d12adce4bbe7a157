//! JSON read where it stands: a `Json` is the text of one value that was found well-formed.

use std::borrow::Cow;

const DEEPEST: u32 = 32;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Json<'a>(&'a str);

#[derive(Default)]
pub struct Table<'a>(Vec<(Cow<'a, str>, Json<'a>)>);

impl<'a> Table<'a> {
    pub fn get(&self, name: &str) -> Option<Json<'a>> {
        self.0.iter().find(|(key, _)| key == name).map(|(_, value)| *value)
    }
}

impl<'a> Json<'a> {
    /// All of `bytes` must be one value.
    pub fn parse(bytes: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let from = skip_space(text.as_bytes(), 0);
        let end = value_end(text.as_bytes(), from, DEEPEST)?;
        (skip_space(text.as_bytes(), end) == text.len()).then(|| Self(&text[from..end]))
    }

    /// The fields of an object; of anything else, none.
    pub fn fields(self) -> impl Iterator<Item = (Cow<'a, str>, Json<'a>)> {
        self.parts(b'{').map(|(key, value)| (key.and_then(Json::text).unwrap_or_default(), value))
    }

    /// The items of an array; of anything else, none.
    pub fn items(self) -> impl Iterator<Item = Json<'a>> {
        self.parts(b'[').map(|(_, value)| value)
    }

    pub fn get(self, name: &str) -> Option<Json<'a>> {
        self.fields().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    /// All fields of an object, for those who ask for many of them: the text is gone through once.
    pub fn table(self) -> Table<'a> {
        Table(self.fields().collect())
    }

    pub fn is_object(self) -> bool {
        self.0.starts_with('{')
    }

    pub fn is_array(self) -> bool {
        self.0.starts_with('[')
    }

    pub fn is_null(self) -> bool {
        self.0 == "null"
    }

    pub fn flag(self) -> Option<bool> {
        self.0.parse().ok()
    }

    pub fn number(self) -> Option<f64> {
        let digits = self.0.starts_with(|c: char| c == '-' || c.is_ascii_digit());
        self.0.parse().ok().filter(|n: &f64| digits && n.is_finite())
    }

    pub fn whole(self) -> Option<u64> {
        self.0.parse().ok()
    }

    pub fn text(self) -> Option<Cow<'a, str>> {
        let inner = self.0.strip_prefix('"')?.strip_suffix('"')?;
        if inner.contains('\\') { unescape(inner).map(Cow::Owned) } else { Some(Cow::Borrowed(inner)) }
    }

    fn parts(self, opens: u8) -> impl Iterator<Item = (Option<Json<'a>>, Json<'a>)> {
        let (text, bytes) = (self.0, self.0.as_bytes());
        let mut at = if bytes[0] == opens { 1 } else { bytes.len() };
        std::iter::from_fn(move || {
            at = skip_space(bytes, at);
            if matches!(bytes.get(at)?, b'}' | b']') {
                return None;
            }
            let mut key = None;
            if opens == b'{' {
                let end = value_end(bytes, at, 1)?;
                key = Some(Json(&text[at..end]));
                at = skip_space(bytes, skip_space(bytes, end) + 1);
            }
            let end = value_end(bytes, at, DEEPEST)?;
            let value = Json(&text[at..end]);
            at = skip_space(bytes, end);
            at += usize::from(bytes.get(at) == Some(&b','));
            Some((key, value))
        })
    }
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while matches!(bytes.get(at), Some(b' ' | b'\t' | b'\r' | b'\n')) {
        at += 1;
    }
    at
}

/// Where the value ends that begins at `at`.
fn value_end(bytes: &[u8], at: usize, deepest: u32) -> Option<usize> {
    match *bytes.get(at)? {
        b'"' => string_end(bytes, at),
        b'{' | b'[' => {
            let closes = if bytes[at] == b'{' { b'}' } else { b']' };
            let mut at = skip_space(bytes, at + 1);
            if *bytes.get(at)? == closes {
                return Some(at + 1);
            }
            loop {
                if closes == b'}' {
                    at = skip_space(bytes, string_end(bytes, at)?);
                    if *bytes.get(at)? != b':' {
                        return None;
                    }
                    at = skip_space(bytes, at + 1);
                }
                at = skip_space(bytes, value_end(bytes, at, deepest.checked_sub(1)?)?);
                match *bytes.get(at)? {
                    b',' => at = skip_space(bytes, at + 1),
                    b if b == closes => return Some(at + 1),
                    _ => return None,
                }
            }
        }
        b't' => bytes[at..].starts_with(b"true").then_some(at + 4),
        b'f' => bytes[at..].starts_with(b"false").then_some(at + 5),
        b'n' => bytes[at..].starts_with(b"null").then_some(at + 4),
        _ => number_end(bytes, at),
    }
}

fn string_end(bytes: &[u8], at: usize) -> Option<usize> {
    if *bytes.get(at)? != b'"' {
        return None;
    }
    let mut at = at + 1;
    loop {
        match *bytes.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => match *bytes.get(at + 1)? {
                b'u' if bytes.get(at + 2..at + 6)?.iter().all(u8::is_ascii_hexdigit) => at += 6,
                b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => at += 2,
                _ => return None,
            },
            0..0x20 => return None,
            _ => at += 1,
        }
    }
}

fn number_end(bytes: &[u8], at: usize) -> Option<usize> {
    let digits = |mut at: usize| {
        let from = at;
        while bytes.get(at).is_some_and(u8::is_ascii_digit) {
            at += 1;
        }
        (at > from).then_some(at)
    };
    let from = at + usize::from(bytes[at] == b'-');
    let mut end = digits(from)?;
    if bytes[from] == b'0' && end > from + 1 {
        return None;
    }
    if bytes.get(end) == Some(&b'.') {
        end = digits(end + 1)?;
    }
    if matches!(bytes.get(end), Some(b'e' | b'E')) {
        end = digits(end + 1 + usize::from(matches!(bytes.get(end + 1), Some(b'+' | b'-'))))?;
    }
    Some(end)
}

fn unescape(inner: &str) -> Option<String> {
    let mut units = Vec::with_capacity(inner.len());
    let mut rest = inner.chars();
    while let Some(c) = rest.next() {
        if c != '\\' {
            units.extend_from_slice(c.encode_utf16(&mut [0; 2]));
            continue;
        }
        units.push(match rest.next()? {
            'b' => 8,
            'f' => 12,
            'n' => 10,
            'r' => 13,
            't' => 9,
            'u' => {
                let hex: String = rest.by_ref().take(4).collect();
                u16::from_str_radix(&hex, 16).ok()?
            }
            plain => plain as u16,
        });
    }
    String::from_utf16(&units).ok()
}

/// Appends `text` as a JSON string.
pub fn write_text(out: &mut Vec<u8>, text: &str) {
    out.push(b'"');
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend_from_slice(&[b'\\', c as u8]),
            c if c < ' ' => out.extend_from_slice(format!("\\u{:04x}", c as u32).as_bytes()),
            c => out.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes()),
        }
    }
    out.push(b'"');
}
