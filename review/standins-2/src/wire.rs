//! The parts of AMQP 0-9-1 that the broker needs: frames, methods, content properties and field tables.
//! Written from the public specification.

/// Last octet of each frame.
const FRAME_END: u8 = 0xCE;

/// One frame.
pub struct Frame {
    pub kind: u8,
    pub channel: u16,
    pub payload: Vec<u8>,
}

pub const METHOD: u8 = 1;
pub const HEADER: u8 = 2;
pub const BODY: u8 = 3;
pub const HEARTBEAT: u8 = 8;

/// Takes the first whole frame from the buffer; `Err` if the bytes are no frame.
pub fn take_frame(buffer: &mut Vec<u8>) -> Result<Option<Frame>, String> {
    if buffer.len() < 7 {
        return Ok(None);
    }
    let size = u32::from_be_bytes([buffer[3], buffer[4], buffer[5], buffer[6]]) as usize;
    if size > 1 << 20 {
        return Err(format!("frame of {size} bytes"));
    }
    if buffer.len() < size + 8 {
        return Ok(None);
    }
    if buffer[size + 7] != FRAME_END {
        return Err("frame without its end octet".into());
    }
    let frame = Frame {
        kind: buffer[0],
        channel: u16::from_be_bytes([buffer[1], buffer[2]]),
        payload: buffer[7..size + 7].to_vec(),
    };
    buffer.drain(..size + 8);
    Ok(Some(frame))
}

/// Appends a frame.
pub fn put_frame(out: &mut Vec<u8>, kind: u8, channel: u16, payload: &[u8]) {
    out.push(kind);
    out.extend(channel.to_be_bytes());
    out.extend((payload.len() as u32).to_be_bytes());
    out.extend(payload);
    out.push(FRAME_END);
}

/// Appends a method frame.
pub fn put_method(out: &mut Vec<u8>, channel: u16, class: u16, method: u16, arguments: &[u8]) {
    let mut payload = Vec::new();
    payload.extend(class.to_be_bytes());
    payload.extend(method.to_be_bytes());
    payload.extend(arguments);
    put_frame(out, METHOD, channel, &payload);
}

pub fn short(out: &mut Vec<u8>, text: &str) {
    out.push(text.len() as u8);
    out.extend(text.as_bytes());
}

pub fn long(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

/// Reader of arguments.
pub struct Reader<'a>(pub &'a [u8]);

impl<'a> Reader<'a> {
    pub fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (head, tail) = (self.0.get(..count)?, self.0.get(count..)?);
        self.0 = tail;
        Some(head)
    }
    pub fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }
    pub fn u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.take(2)?.try_into().ok()?))
    }
    pub fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }
    pub fn u64(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.take(8)?.try_into().ok()?))
    }
    pub fn short(&mut self) -> Option<String> {
        let length = self.u8()? as usize;
        Some(String::from_utf8_lossy(self.take(length)?).into_owned())
    }
    pub fn long(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        self.take(length)
    }
}

/// The message properties that the cases set or look at.
#[derive(Clone, Default)]
pub struct Properties {
    pub headers: Vec<(String, String)>,
    pub correlation_id: Option<String>,
    pub reply_to: Option<String>,
    pub message_id: Option<String>,
    pub kind: Option<String>,
}

impl Properties {
    /// Encodes the property flags and the properties; persistent delivery mode.
    pub fn encode(&self) -> Vec<u8> {
        let mut flags = 0u16;
        let mut body = Vec::new();
        if !self.headers.is_empty() {
            flags |= 1 << 13;
            let mut table = Vec::new();
            for (name, value) in &self.headers {
                short(&mut table, name);
                table.push(b'S');
                long(&mut table, value.as_bytes());
            }
            long(&mut body, &table);
        }
        flags |= 1 << 12;
        body.push(2);
        for (bit, value) in
            [(10, &self.correlation_id), (9, &self.reply_to), (7, &self.message_id), (5, &self.kind)]
        {
            if let Some(text) = value {
                flags |= 1 << bit;
                short(&mut body, text);
            }
        }
        let mut out = flags.to_be_bytes().to_vec();
        out.extend(body);
        out
    }

    /// Decodes properties.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let mut reader = Reader(bytes);
        let flags = reader.u16()?;
        let mut properties = Self::default();
        let has = |bit: u16| flags & (1 << bit) != 0;
        for bit in [15, 14] {
            if has(bit) {
                reader.short()?;
            }
        }
        if has(13) {
            properties.headers = decode_table(reader.long()?)?;
        }
        for bit in [12, 11] {
            if has(bit) {
                reader.u8()?;
            }
        }
        if has(10) {
            properties.correlation_id = Some(reader.short()?);
        }
        if has(9) {
            properties.reply_to = Some(reader.short()?);
        }
        if has(8) {
            reader.short()?;
        }
        if has(7) {
            properties.message_id = Some(reader.short()?);
        }
        if has(6) {
            reader.u64()?;
        }
        if has(5) {
            properties.kind = Some(reader.short()?);
        }
        Some(properties)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Decodes a flat table; values other than text are shown as numbers or left empty.
fn decode_table(bytes: &[u8]) -> Option<Vec<(String, String)>> {
    let mut reader = Reader(bytes);
    let mut fields = Vec::new();
    while !reader.0.is_empty() {
        let name = reader.short()?;
        let value = match reader.u8()? {
            b't' | b'b' | b'B' => reader.u8()?.to_string(),
            b's' | b'U' | b'u' => reader.u16()?.to_string(),
            b'I' | b'i' | b'f' => reader.u32()?.to_string(),
            b'L' | b'l' | b'd' | b'T' => reader.u64()?.to_string(),
            b'S' | b'x' | b'F' | b'A' => String::from_utf8_lossy(reader.long()?).into_owned(),
            b'D' => {
                reader.take(5)?;
                String::new()
            }
            b'V' => String::new(),
            _ => return None,
        };
        fields.push((name, value));
    }
    Some(fields)
}
