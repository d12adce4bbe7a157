//! Reads JSON in place. `Json::parse` checks that a text is one well-formed value; the accessors of `Json`
//! decode parts of it on demand.

use std::borrow::Cow;

/// Maximum nesting depth of arrays and objects.
const MAX_DEPTH: u32 = 32;

/// Text of a well-formed JSON value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Json<'a>(&'a str);

/// Fields of an object, collected once for repeated lookups.
#[derive(Default)]
pub struct Table<'a>(Vec<Field<'a>>);

struct Field<'a> {
    name: Cow<'a, str>,
    value: Json<'a>,
}

impl<'a> Table<'a> {
    /// Returns the value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<Json<'a>> {
        self.0.iter().find(|field| field.name == name).map(|field| field.value)
    }
}

impl<'a> Json<'a> {
    /// Returns the value if `bytes` is exactly one well-formed value, with optional white space around it.
    pub fn parse(bytes: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let from = skip_space(text.as_bytes(), 0);
        let end = value_end(text.as_bytes(), from, MAX_DEPTH)?;
        (skip_space(text.as_bytes(), end) == text.len()).then(|| Self(&text[from..end]))
    }

    /// Returns the names and values of an object's fields; none if the value is not an object.
    pub fn fields(self) -> impl Iterator<Item = (Cow<'a, str>, Json<'a>)> {
        self.parts(b'{').map(|(key, value)| (key.and_then(Json::text).unwrap_or_default(), value))
    }

    /// Returns the items of an array; none if the value is not an array.
    pub fn items(self) -> impl Iterator<Item = Json<'a>> {
        self.parts(b'[').map(|(_, value)| value)
    }

    /// Returns the value of the first field with this name, `None` if the value is not an object or has no
    /// such field.
    pub fn get(self, name: &str) -> Option<Json<'a>> {
        self.fields().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    /// Collects all fields of an object, so that the text is scanned once for many lookups.
    pub fn table(self) -> Table<'a> {
        Table(self.fields().map(|(name, value)| Field { name, value }).collect())
    }

    /// Returns whether the value is an object.
    pub fn is_object(self) -> bool {
        self.0.starts_with('{')
    }

    /// Returns whether the value is an array.
    pub fn is_array(self) -> bool {
        self.0.starts_with('[')
    }

    /// Returns whether the value is null.
    pub fn is_null(self) -> bool {
        self.0 == "null"
    }

    /// Returns the value of a boolean.
    pub fn flag(self) -> Option<bool> {
        self.0.parse().ok()
    }

    /// Returns the value of a number, `None` if it is not finite as an `f64`.
    pub fn number(self) -> Option<f64> {
        let digits = self.0.starts_with(|c: char| c == '-' || c.is_ascii_digit());
        self.0.parse().ok().filter(|n: &f64| digits && n.is_finite())
    }

    /// Returns the value of an integer from 0 on, `None` if it is written with a fraction or an exponent.
    pub fn unsigned(self) -> Option<u64> {
        self.0.parse().ok()
    }

    /// Returns the value of a string, `None` if its escapes are not valid UTF-16.
    pub fn text(self) -> Option<Cow<'a, str>> {
        let inner = self.0.strip_prefix('"')?.strip_suffix('"')?;
        if inner.contains('\\') { unescape(inner).map(Cow::Owned) } else { Some(Cow::Borrowed(inner)) }
    }

    /// Returns the parts of a container that begins with `opening`: keys and values of an object, values of
    /// an array.
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

/// Returns the end of the value that begins at `at`, `None` if it is malformed or nested deeper than
/// `max_depth`.
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

/// Returns the end of the object or array that begins at `at`.
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

/// Decodes the escapes of a string without its quotes, `None` if they are not valid UTF-16.
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

/// Appends `text` as a JSON string, with quotes and escapes.
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
