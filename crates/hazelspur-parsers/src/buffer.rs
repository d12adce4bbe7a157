//! What a connection has brought and nobody has taken yet: one buffer that grows as it needs and is compacted
//! in place.

const STEP: usize = 4096;

#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub fn take(&mut self, count: usize) {
        self.start = (self.start + count).min(self.bytes.len());
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            self.bytes.shrink_to(4 * STEP);
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
    pub fn line(&self) -> Option<usize> {
        self.unread().iter().position(|b| *b == b'\n')
    }
}
