//! What a connection has brought and nobody has taken yet: one buffer that grows as it needs and is compacted
//! in place.

const STEP: usize = 4096;

#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    /// So much of what is unread holds no line end.
    looked_at: usize,
}

impl Buffer {
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub fn take(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        self.looked_at = 0;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            self.bytes.shrink_to(STEP);
        }
    }

    /// Where the next read appends; there is room for a step at least.
    pub fn room(&mut self) -> &mut Vec<u8> {
        if self.start > 0 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
        self.bytes.reserve(STEP);
        &mut self.bytes
    }

    /// How long the first whole line is, without its end.
    pub fn line(&mut self) -> Option<usize> {
        let (unread, from) = (&self.bytes[self.start..], self.looked_at);
        let end = unread[from..].iter().position(|b| *b == b'\n').map(|at| from + at);
        self.looked_at = end.unwrap_or(unread.len());
        end
    }
}
