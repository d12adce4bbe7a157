//! Numbers and texts of the wire: all in network order, every length checked before it is used.

/// What came is no AMQP; the text says what was being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Bytes that are read from the front.
#[derive(Clone, Copy, Debug)]
pub struct Wire<'a>(pub &'a [u8]);

impl<'a> Wire<'a> {
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(Malformed("too short"))?;
        self.0 = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let (taken, rest) = self.0.split_first_chunk().ok_or(Malformed("too short"))?;
        self.0 = rest;
        Ok(*taken)
    }

    pub fn u8(&mut self) -> Result<u8, Malformed> {
        self.array().map(|[byte]| byte)
    }

    pub fn u16(&mut self) -> Result<u16, Malformed> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, Malformed> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, Malformed> {
        self.array().map(u64::from_be_bytes)
    }

    /// At most 255 bytes of UTF-8.
    pub fn short_text(&mut self) -> Result<&'a str, Malformed> {
        let length = usize::from(self.u8()?);
        std::str::from_utf8(self.bytes(length)?).map_err(|_| Malformed("a short string is no UTF-8"))
    }

    /// A length of 32 bits and so many bytes, which must be there already: nothing is reserved for it.
    pub fn long_bytes(&mut self) -> Result<&'a [u8], Malformed> {
        let length = self.u32()?;
        self.bytes(length as usize)
    }

    pub fn end(&self) -> Result<(), Malformed> {
        if self.0.is_empty() { Ok(()) } else { Err(Malformed("something behind the end")) }
    }
}

/// Cut to 255 bytes at a character's edge.
pub fn put_short_text(out: &mut Vec<u8>, text: &str) {
    let length = (0..=text.len().min(255)).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    out.push(length as u8);
    out.extend_from_slice(&text.as_bytes()[..length]);
}

pub fn put_long_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    out.extend_from_slice(bytes);
}
