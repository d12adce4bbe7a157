//! Reads JSON in place: a `Json` is the text of one well-formed value. Values are decoded when they are asked for.

use std::borrow::Cow;

/// The deepest nesting of arrays and objects.
const MAX_DEPTH: u32 = 32;

/// The text of a well-formed JSON value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Json<'a>(&'a str);

/// The fields of an object.
#[derive(Default)]
pub struct Table<'a>(Vec<Field<'a>>);

struct Field<'a> {
    name: Cow<'a, str>,
    value: Json<'a>,
}

impl<'a> Table<'a> {
    /// The first field of this name.
    pub fn get(&self, name: &str) -> Option<Json<'a>> {
        self.0.iter().find(|field| field.name == name).map(|field| field.value)
    }
}

impl<'a> Json<'a> {
    /// Checks that all of `bytes` is one value.
    pub fn parse(bytes: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let from = skip_space(text.as_bytes(), 0);
        let end = value_end(text.as_bytes(), from, MAX_DEPTH)?;
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

    /// The first field of this name; none of anything but an object.
    pub fn get(self, name: &str) -> Option<Json<'a>> {
        self.fields().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    /// All fields of an object, for callers that look many up: the text is scanned once.
    pub fn table(self) -> Table<'a> {
        Table(self.fields().map(|(name, value)| Field { name, value }).collect())
    }

    /// Whether the value is an object.
    pub fn is_object(self) -> bool {
        self.0.starts_with('{')
    }

    /// Whether the value is an array.
    pub fn is_array(self) -> bool {
        self.0.starts_with('[')
    }

    /// Whether the value is null.
    pub fn is_null(self) -> bool {
        self.0 == "null"
    }

    /// The value of a boolean.
    pub fn flag(self) -> Option<bool> {
        self.0.parse().ok()
    }

    /// The value of a number that is finite as an `f64`.
    pub fn number(self) -> Option<f64> {
        let digits = self.0.starts_with(|c: char| c == '-' || c.is_ascii_digit());
        self.0.parse().ok().filter(|n: &f64| digits && n.is_finite())
    }

    /// The value of a whole number from 0 on, without fraction or exponent.
    pub fn unsigned(self) -> Option<u64> {
        self.0.parse().ok()
    }

    /// The value of a string; none where its escapes are no valid UTF-16.
    pub fn text(self) -> Option<Cow<'a, str>> {
        let inner = self.0.strip_prefix('"')?.strip_suffix('"')?;
        if inner.contains('\\') { unescape(inner).map(Cow::Owned) } else { Some(Cow::Borrowed(inner)) }
    }

    fn parts(self, opening: u8) -> impl Iterator<Item = (Option<Json<'a>>, Json<'a>)> {
        let (text, bytes) = (self.0, self.0.as_bytes());
        let mut at = if bytes[0] == opening { 1 } else { bytes.len() };
        std::iter::from_fn(move || {
            at = skip_space(bytes, at);
            if matches!(bytes.get(at)?, b'}' | b']') {
                return None;
            }
            let mut key = None;
            if opening == b'{' {
                let end = value_end(bytes, at, 1)?;
                key = Some(Json(&text[at..end]));
                at = skip_space(bytes, skip_space(bytes, end) + 1);
            }
            let end = value_end(bytes, at, MAX_DEPTH)?;
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

/// The end of the value that begins at `at`; none where it is malformed or nested too deep.
fn value_end(bytes: &[u8], at: usize, max_depth: u32) -> Option<usize> {
    match *bytes.get(at)? {
        b'"' => string_end(bytes, at),
        b'{' | b'[' => container_end(bytes, at, max_depth),
        b't' => bytes[at..].starts_with(b"true").then_some(at + 4),
        b'f' => bytes[at..].starts_with(b"false").then_some(at + 5),
        b'n' => bytes[at..].starts_with(b"null").then_some(at + 4),
        _ => number_end(bytes, at),
    }
}

/// The end of the object or array that begins at `at`.
fn container_end(bytes: &[u8], at: usize, max_depth: u32) -> Option<usize> {
    let closing = if bytes[at] == b'{' { b'}' } else { b']' };
    let mut at = skip_space(bytes, at + 1);
    if *bytes.get(at)? == closing {
        return Some(at + 1);
    }
    loop {
        if closing == b'}' {
            at = skip_space(bytes, string_end(bytes, at)?);
            if *bytes.get(at)? != b':' {
                return None;
            }
            at = skip_space(bytes, at + 1);
        }
        at = skip_space(bytes, value_end(bytes, at, max_depth.checked_sub(1)?)?);
        match *bytes.get(at)? {
            b',' => at = skip_space(bytes, at + 1),
            b if b == closing => return Some(at + 1),
            _ => return None,
        }
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
